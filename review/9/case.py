"""A second answer is written into a stream that has begun."""

import asyncio
import os
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
import world as w  # noqa: E402

EVENTS = 12
# corrib-dispatch.toml: quick-quote may be resumed, deadline and timeout_ms are
# 3,000, 11.7 pieces in the mean.
DEADLINE_S = 3.0
# fleetbench kinds, srv_grey: for 5 s, a share of 0.15 of the engines fails 0.4
# of its requests (one engine of seven falls silent, one answers with errors).
ENGINES = 7
PART = 0.4
FOR_S = 5.0
WINDOWS = 16
STREAMS_PER_S = 100
# What the engine with errors answers.
FAILURE = int(os.environ.get("STATUS", "409"))

CONFIG = {
    "version": 7,
    "routes": [{
        "name": "quote", "host": "depot.example", "prefix": "/quote/",
        "kind": "stream", "timeout_ms": 3000, "target_latency_ms": 250,
        "priority": 1, "service": "agents", "max_attempts": 2,
        "retain": False, "sticky": True, "resumable": True,
        "gap_aim_ms": 250}],
    "services": [{
        "name": "agents", "health_path": "/healthz", "max_conns": 180,
        "proto": "h1", "tls": False,
        "engine": {"slots": 16, "kv_capacity": 589344, "stride": 22,
                   "models": [{"name": "m"}]}}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


async def case(world, trouble):
    grey = {"silent": None, "failing": None}

    async def generate(request, writer):
        engine = request["engine"]
        name = request["headers"]["request-id"]
        after = int(request["headers"].get("last-event-id", 0))
        fails = random.random() < PART
        if engine is grey["failing"] and fails:
            body = b"conflict"
            writer.write(engine.head(
                request, FAILURE,
                ["Content-Type: text/plain", f"Content-Length: {len(body)}"])
                + body)
            engine.record(f"engine {engine.id} answers {name} from event "
                          f"{after} on with {FAILURE}")
            return True
        hangs = engine is grey["silent"] and fails
        stop = random.randint(after + 1, EVENTS - 1) if hangs else EVENTS
        writer.write(engine.head(
            request, 200,
            ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]))
        for number in range(after + 1, EVENTS + 1):
            if number > stop:
                engine.record(f"engine {engine.id} falls silent on {name}")
                while not writer.transport.is_closing():
                    await asyncio.sleep(0.1)
                return False
            await asyncio.sleep(0.03)
            if writer.transport.is_closing():
                return False
            writer.write(w.chunk(f"id: {number}\ndata: {'x' * 140}\n\n"))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True

    world.store.put("op", "", "config", CONFIG)
    engines = [w.Engine(world.record, world.store, "agents", "z1", generate)
               for _ in range(ENGINES)]
    for engine in engines:
        await engine.start()
    for _ in range(2):
        world.add_node()
    await world.start()
    broken = []
    ends = {}

    async def stream(node):
        name = w.new_id()
        ip, port = node.front.split(":")
        body = b"p" * 2000
        text = b""
        how = "whole"
        try:
            async with asyncio.timeout(DEADLINE_S + 1):
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write((
                    "POST /quote/2f HTTP/1.1\r\nHost: depot.example\r\n"
                    f"Request-Id: {name}\r\nModel: m\r\n"
                    "Token-Usage: 600,264\r\n"
                    f"Prompt-Prefix: a1:500,{name[:8]}:100\r\n"
                    f"Deadline-Ms: 3000\r\nContent-Length: {len(body)}"
                    "\r\n\r\n").encode() + body)
                line, headers = await w.read_head(reader)
                if headers.get("transfer-encoding") != "chunked":
                    how = f"status {line.split()[1]}"
                    await w.read_body(reader, headers)
                else:
                    while True:
                        line = await reader.readline()
                        if not line:
                            raise ConnectionError
                        try:
                            size = int(line, 16)
                        except ValueError:
                            how = "other bytes"
                            rest = await reader.read(300)
                            broken.append(
                                f"MIXED: {name}, after {text.count(b'id: ')} "
                                f"events, got {(line + rest)[:120]!r} where a "
                                "chunk is due")
                            break
                        text += await reader.readexactly(size + 2)
                        if size == 0:
                            break
                writer.close()
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            how = "ended early"
        ends[how] = ends.get(how, 0) + 1
        world.record(
            f"client {name} {node.name} {text.count(b'id: ')} {how}")

    tasks = []
    begin = w.now()
    window = -1
    while w.now() - begin < WINDOWS * FOR_S:
        if trouble and int((w.now() - begin) / FOR_S) != window:
            window += 1
            grey["silent"], grey["failing"] = random.sample(engines, 2)
            world.record(f"for {FOR_S} s, engine {grey['silent'].id} falls "
                         f"silent and engine {grey['failing'].id} answers "
                         f"{FAILURE} on {PART} of their requests")
        while len(tasks) < (w.now() - begin) * STREAMS_PER_S:
            tasks.append(asyncio.create_task(
                stream(random.choice(world.nodes))))
        await asyncio.sleep(0.005)
    await asyncio.gather(*tasks)
    world.record.say(f"{len(tasks)} streams: {ends}")
    for one in broken:
        world.record(f"broken: {one}")
    return broken


if __name__ == "__main__":
    # TROUBLE=0 plays the same without the disruption.
    sys.exit(w.run(HERE, case, os.environ.get("TROUBLE", "1") != "0"))
