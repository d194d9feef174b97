"""A planned stop cuts answers of routes with a limit of 4 s."""

import asyncio
import os
import pathlib
import random
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
import world as w  # noqa: E402

# further/LATER.md (vlastor-lic): deadline of both kinds of turns, and
# further/vlastor-lic.toml: timeout_ms and pieces of 8.5 in the mean, 34 at most.
LIMIT_S = 4.0
GRACE_S = 8.0
EVENTS = 30
CLIENTS = 48
# roll_term of the site file: machines are stopped and started in turn, each
# 1.0 (busy) or 1.3 s after the one before.
GAP_S = 1.3

CONFIG = {
    "version": 7,
    "routes": [{
        "name": "dossier", "host": "office.example", "prefix": "/dossier/",
        "kind": "stream", "timeout_ms": 4000, "target_latency_ms": 200,
        "priority": 0, "service": "agents", "max_attempts": 2,
        "retain": True, "retain_s": 60.0, "sticky": True, "resumable": False,
        "gap_aim_ms": 200}],
    "services": [{
        "name": "agents", "health_path": "/healthz", "max_conns": 210,
        "proto": "h1", "tls": False,
        "engine": {"slots": 24, "kv_capacity": 274490, "stride": 22,
                   "models": [{"name": "m"}]}}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


async def generate(request, writer):
    """A turn of 30 events, 120 to 128 ms apart: 3.6 to 3.85 s in all, below
    the route's gap_aim_ms of 200 and its timeout_ms of 4,000."""
    engine = request["engine"]
    name = request["headers"]["request-id"]
    writer.write(engine.head(
        request, 200,
        ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]))
    gap = random.uniform(0.119, 0.127)
    for number in range(1, EVENTS + 1):
        await asyncio.sleep(gap)
        if writer.transport.is_closing():
            engine.record(f"engine {engine.id}: the sender of {name} closed "
                          f"after event {number - 1}")
            return False
        writer.write(w.chunk(f"id: {number}\ndata: {'x' * 50}\n\n"))
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    engine.record(f"engine {engine.id} ends {name}")
    return True


class Ingress:
    """The platform's address for the clients of one zone, as PROTOCOL.md says:
    two missed looks at /ready in a row take a node out, one 200 brings it back,
    and if fewer than half of the zone's nodes are in, all of them are used."""

    def __init__(self, nodes):
        self.nodes = nodes
        self.misses = {node: 0 for node in nodes}

    async def look(self):
        while True:
            for node in self.nodes:
                good = await node.is_ready()
                self.misses[node] = 0 if good else self.misses[node] + 1
            await asyncio.sleep(1)

    def choose(self):
        inside = [node for node in self.nodes if self.misses[node] < 2]
        few = len(inside) * 2 < len(self.nodes)
        return random.choice(self.nodes if few else inside)


class Client:
    def __init__(self, world, ingress):
        self.world, self.ingress = world, ingress
        self.reader = self.writer = self.node = None
        self.sent = []

    async def connect(self):
        self.node = self.ingress.choose()
        ip, port = self.node.front.split(":")
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(ip, int(port)), 1)

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = self.node = None

    async def turn(self):
        """One request. Returns its record."""
        if self.writer is None:
            await self.connect()
        name = w.new_id()
        body = b"p" * 2000
        self.writer.write((
            "POST /dossier/2f HTTP/1.1\r\nHost: office.example\r\n"
            f"Request-Id: {name}\r\nModel: m\r\nToken-Usage: 600,748\r\n"
            f"Prompt-Prefix: a1:500,{name[:8]}:100\r\nDeadline-Ms: 4000\r\n"
            f"Program-Id: {w.new_id()}\r\nSession-Id: {name[:6]}\r\n"
            "Finish-Ms: 9000\r\nToken-Budget: 5000\r\n"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
        one = {"id": name, "node": self.node, "sent": w.now(), "status": 0,
               "events": 0, "whole": False}
        self.sent.append(one)
        try:
            async with asyncio.timeout(LIMIT_S + 1):
                line, headers = await w.read_head(self.reader)
                one["status"] = int(line.split()[1])
                if "chunked" in headers.get("transfer-encoding", ""):
                    while True:
                        size = int(await self.reader.readline() or b"x", 16)
                        await self.reader.readexactly(size + 2)
                        if size == 0:
                            break
                        one["events"] += 1
                else:
                    await w.read_body(self.reader, headers)
                one["whole"] = True
                if headers.get("connection", "") == "close":
                    self.close()
                if one["status"] != 200:
                    await asyncio.sleep(
                        min(float(headers.get("retry-after", 0.1)), 1.3))
        except (ValueError, asyncio.IncompleteReadError, ConnectionError,
                TimeoutError):
            self.close()
        one["ended"] = w.now()
        self.world.record(
            f"client: {name} at {one['node'].name} sent {one['sent']:.3f} "
            f"status={one['status']} events={one['events']} "
            f"whole={one['whole']}")
        return one

    async def work(self):
        while True:
            try:
                await self.turn()
            except (OSError, TimeoutError):
                self.close()
                await asyncio.sleep(0.2)


async def case(world, trouble):
    world.store.put("op", "", "config", CONFIG)
    engines = [w.Engine(world.record, world.store, "agents", "z1", generate,
                        slots=24) for _ in range(4)]
    for engine in engines:
        await engine.start()
    for _ in range(3):
        world.add_node()
    await world.start()
    ingress = Ingress(world.nodes)
    looks = asyncio.create_task(ingress.look())
    clients = [Client(world, ingress) for _ in range(CLIENTS)]
    tasks = []
    for client in clients:
        tasks.append(asyncio.create_task(client.work()))
        await asyncio.sleep(0.08)
    broken = []

    async def restart(node):
        stopped = w.now()
        if trouble:
            node.signal(signal.SIGTERM)
        await asyncio.sleep(GRACE_S)
        if trouble:
            if node.process.poll() is None:
                node.signal(signal.SIGKILL)
            node.process.wait()
            world.record(f"node {node.name} has ended")
            node.start()
        await asyncio.sleep(1)
        for one in (one for client in clients for one in client.sent):
            after = one["sent"] - stopped
            if one["node"] is node and 3.0 < after < GRACE_S and "ended" in one \
                    and not one["whole"] and one["events"] > 0 \
                    and one["ended"] - one["sent"] < LIMIT_S - 0.1:
                broken.append(
                    f"LOST: {one['id']}, sent {after:.3f} s after the SIGTERM "
                    f"of {node.name}, was passed on and cut after "
                    f"{one['ended'] - one['sent']:.3f} s and {one['events']} of "
                    f"{EVENTS} events")

    for _ in range(3):
        await asyncio.sleep(8)
        first, second = random.sample(world.nodes, 2)
        stopping = asyncio.create_task(restart(first))
        await asyncio.sleep(GAP_S)
        await restart(second)
        await stopping
    for task in tasks + [looks]:
        task.cancel()
    done = [one for client in clients for one in client.sent if "ended" in one]
    world.record.say(
        f"{len(done)} requests, {sum(one['whole'] and one['status'] == 200 for one in done)} "
        f"answered whole with 200, {sum(not one['whole'] for one in done)} not whole, "
        f"{sum(one['status'] == 503 for one in done)} refused")
    for one in broken:
        world.record(f"broken: {one}")
    return broken


if __name__ == "__main__":
    # TROUBLE=0 plays the same without the disruption.
    sys.exit(w.run(HERE, case, os.environ.get("TROUBLE", "1") != "0"))
