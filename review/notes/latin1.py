"""Not a case (no page names such a client): one request whose Program-Id holds a
byte that is not UTF-8, as in an id in ISO-8859-1, ends the node that takes it and
the node that coordinates the program's budget. Prints the processes' ends."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
import world as w  # noqa: E402

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-dialogue", "host": "ficu95.example", "prefix": "/lohu930/",
            "kind": "stream", "timeout_ms": 3000, "target_latency_ms": 250, "priority": 0,
            "service": "huvo11a", "max_attempts": 2, "retain": True, "retain_s": 60.0,
            "sticky": True, "resumable": False, "gap_aim_ms": 250,
        }
    ],
    "services": [
        {"name": "huvo11a", "health_path": "/healthz", "max_conns": 180, "proto": "h1", "tls": False,
         "engine": {"slots": 16, "kv_capacity": 589344, "stride": 22, "models": [{"name": "m"}]}},
    ],
}


async def main(trouble):
    world = w.World(HERE, [])
    try:
        world.engines.append(
            w.ModelEngine(world.ports.take(), world.store, "i-1", "huvo11a", "naas", world.record)
        )
        nodes = [world.node("front-%s-1" % zone, zone) for zone in ("naas", "swords", "bray")]
        world.store.put("op", "config", CONFIG)
        await world.start()
        for one in nodes:
            one.start()
        await world.all_ready(nodes)
        await asyncio.sleep(3)
        program = b"Z\xfcrich-17" if trouble else b"Zurich-17"
        for number, node in enumerate(nodes):
            request = (
                b"POST /lohu930/4b HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: a%d\r\n"
                b"Program-Id: %s\r\nSession-Id: 1\r\nFinish-Ms: 5200\r\nToken-Budget: 4576\r\n"
                b"Token-Usage: 100,88\r\nDeadline-Ms: 3000\r\nContent-Length: 2\r\n\r\nhi"
                % (number, program)
            )
            answer = await world.clients.call(node.front, request, 3.5)
            await asyncio.sleep(0.5)
            print(
                node.name, "answers", answer and answer.first,
                "exit codes now", [one.process.poll() for one in nodes],
            )
        return 1 if any(one.process.poll() is not None for one in nodes) else 0
    finally:
        world.close()


w.run_case(main)
