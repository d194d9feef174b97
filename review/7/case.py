"""The answer of a client that reads slowly is lost."""

import asyncio
import os
import pathlib
import socket
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
import world as w  # noqa: E402

# demands/LATER.md (bantayog-pkg-grown): publish-commit is unsafe, 39 ms of
# work, deadline and timeout_ms 2,000; the site file: bodies of 800 B in the
# mean, 4,800 at most.
BODY = 4800
WORK_S = 0.039
DEADLINE_S = 2.0
# How long a client leaves its answer unread after it sent the request. It
# still has the whole answer within its deadline if it is sent.
PAUSE_S = 1.85
# A small window: the smallest receive buffer that Linux grants.
RECEIVE_BYTES = 2304
CLIENTS = 3
ROUNDS = 4

CONFIG = {
    "version": 7,
    "routes": [{
        "name": "publish", "host": "registry.example", "prefix": "/publish/",
        "kind": "unsafe", "timeout_ms": 2000, "target_latency_ms": 200,
        "priority": 2, "service": "app", "max_attempts": 1, "retain": False,
        "sticky": False, "resumable": False}],
    "services": [{"name": "app", "health_path": "/healthz", "max_conns": 530,
                  "proto": "h1", "tls": False}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


class Client:
    def __init__(self, world, node):
        self.world, self.node = world, node
        self.socket = None

    async def connect(self):
        self.socket = socket.socket()
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        self.socket.setblocking(False)
        ip, port = self.node.front.split(":")
        await asyncio.get_running_loop().sock_connect(
            self.socket, (ip, int(port)))

    async def request(self, pause):
        """Returns the request's id and how it ended; "" if the answer came
        whole."""
        loop = asyncio.get_running_loop()
        name = w.new_id()
        kept = self.socket is not None
        if not kept:
            await self.connect()
        sent = w.now()
        got = b""
        how = ""
        try:
            await loop.sock_sendall(self.socket, (
                "POST /publish/2f HTTP/1.1\r\nHost: registry.example\r\n"
                f"Request-Id: {name}\r\nDeadline-Ms: 2000\r\n"
                "Content-Length: 0\r\n\r\n").encode())
            await asyncio.sleep(pause)
            while got.partition(b"\r\n\r\n")[2].count(b"x") < BODY:
                part = await asyncio.wait_for(
                    loop.sock_recv(self.socket, 4096), 1)
                if not part:
                    how = "closed"
                    break
                got += part
        except (OSError, TimeoutError) as error:
            how = repr(error)
        if how:
            self.socket.close()
            self.socket = None
        self.world.record(
            f"client: {name} on a {'kept' if kept else 'new'} connection to "
            f"{self.node.name}, unread for {pause} s: {len(got)} bytes, "
            f"{how or 'whole'} after {w.now() - sent:.3f} s")
        return name, kept, how


async def case(world, trouble):
    ran = set()

    async def work(request, writer):
        ran.add(request["headers"]["request-id"])
        await asyncio.sleep(WORK_S)
        writer.write(request["engine"].head(
            request, 200, [f"Content-Length: {BODY}"]) + b"x" * BODY)
        return True

    world.store.put("op", "", "config", CONFIG)
    for _ in range(2):
        await w.Engine(world.record, world.store, "app", "z1", work,
                       slots=6).start()
    for _ in range(2):
        world.add_node()
    await world.start()
    lost = []
    late = 0

    async def work_as_client(client):
        nonlocal late
        for _ in range(ROUNDS):
            # Read at once, so that the next request is on a kept connection.
            _, _, how = await client.request(0)
            if how:
                raise w.CannotRun(f"a client that reads at once got: {how}")
            sent = w.now()
            name, kept, how = await client.request(PAUSE_S if trouble else 0)
            late += w.now() - sent > DEADLINE_S
            if kept and how and name in ran:
                lost.append((name, client.node.name, how))

    await asyncio.gather(*(
        work_as_client(Client(world, node))
        for node in world.nodes for _ in range(CLIENTS)))
    world.record.say(
        f"{len(ran)} requests ran, {len(lost)} of them lost their answers on "
        f"kept connections, three are allowed; {late} ended past the deadline")
    for one in lost:
        world.record(f"lost: {one}")
    if len(lost) <= 3:
        return []
    return [f"LOST: {len(lost)} requests that an engine ran and answered got "
            "no answer: the node reset their kept connections"]


if __name__ == "__main__":
    # TROUBLE=0 plays the same without the disruption.
    sys.exit(w.run(HERE, case, os.environ.get("TROUBLE", "1") != "0"))
