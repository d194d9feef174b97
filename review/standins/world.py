"""Stand-ins for the platform's store, plain engines and clients, and the
starting of nodes, for the review's scripts. Loopback only, real clock.

Written from PROTOCOL.md and DEPLOY.md; engines and clients are sound unless a
script says otherwise."""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "walnutmill")


def now():
    return time.monotonic()


class Record:
    """record.txt of a case, one JSON object a line."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.t0 = now()

    def at(self):
        return round(now() - self.t0, 4)

    def add(self, what, **fields):
        fields = {"t": self.at(), "what": what, **fields}
        self.file.write(json.dumps(fields) + "\n")

    def close(self):
        self.file.close()


class Ports:
    """Free loopback ports, held by bound sockets that do not listen."""

    def __init__(self):
        self.held = []

    def take(self):
        s = socket.socket()
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        s.bind(("127.0.0.1", 0))
        self.held.append(s)
        return s.getsockname()[1]

    def take_udp_tcp(self):
        """A port that is free for TCP and UDP."""
        while True:
            port = self.take()
            u = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                u.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue
            finally:
                u.close()


class Message:
    __slots__ = ("first", "headers", "body")

    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body


class HttpProtocol(asyncio.Protocol):
    """One HTTP/1.1 connection; calls on_message for each whole message.
    Understands Content-Length, chunks and, for answers, the end of the
    connection. Interim answers (1xx) are skipped."""

    def __init__(self, owner):
        self.owner = owner
        self.buffer = bytearray()
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def connection_lost(self, exc):
        self.owner.on_lost(self)

    def data_received(self, data):
        self.buffer += data
        while True:
            one = self.parse()
            if one is None:
                return
            self.owner.on_message(self, one)

    def parse(self):
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0:
            return None
        lines = bytes(self.buffer[:end]).decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        at = end + 4
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = bytearray()
            while True:
                eol = self.buffer.find(b"\r\n", at)
                if eol < 0:
                    return None
                size = int(bytes(self.buffer[at:eol]).split(b";")[0], 16)
                if len(self.buffer) < eol + 2 + size + 2:
                    return None
                body += self.buffer[eol + 2 : eol + 2 + size]
                at = eol + 2 + size + 2
                if size == 0:
                    break
            body = bytes(body)
        else:
            length = int(headers.get("content-length", "0"))
            if len(self.buffer) < at + length:
                return None
            body = bytes(self.buffer[at : at + length])
            at += length
        del self.buffer[:at]
        if lines[0].startswith("HTTP/1.1 1"):
            return self.parse()
        return Message(lines[0], headers, body)


class Server:
    """Base of the stand-in servers."""

    def __init__(self, port):
        self.port = port
        self.address = "127.0.0.1:%d" % port
        self.connections = set()

    async def start(self):
        s = socket.socket()
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        s.bind(("127.0.0.1", self.port))
        self.server = await asyncio.get_running_loop().create_server(
            self.protocol, sock=s, backlog=512
        )

    def protocol(self):
        one = HttpProtocol(self)
        self.connections.add(one)
        return one

    def on_lost(self, connection):
        self.connections.discard(connection)

    def answer(self, connection, status, headers, body=b""):
        if connection.transport is None or connection.transport.is_closing():
            return
        out = "HTTP/1.1 %s\r\n" % status
        for name, value in headers.items():
            out += "%s: %s\r\n" % (name, value)
        out += "Content-Length: %d\r\n\r\n" % len(body)
        connection.transport.write(out.encode("latin-1") + body)

    def close(self):
        self.server.close()
        for one in list(self.connections):
            if one.transport:
                one.transport.abort()


class Store(Server):
    """The platform's store: versioned rows, conditional transactions, a feed.
    Answers after tx_ms."""

    def __init__(self, port, tx_ms=5.0):
        super().__init__(port)
        self.tx = tx_ms / 1000
        self.rows = {}  # (table, part, key) -> (value, ver)
        self.changes = []  # (ver, table, part, key, value or None)
        self.ver = 0
        self.began = now()

    def put(self, table, key, document):
        """A write of the platform itself: the operator or an engine."""
        self.ver += 1
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self._set((table, "", key), value)
        return self.ver

    def drop(self, table, key):
        self.ver += 1
        self._remove((table, "", key))

    def _set(self, at, value):
        self.rows[at] = (value, self.ver)
        self.changes.append((self.ver, *at, value))

    def _remove(self, at):
        if self.rows.pop(at, None) is not None:
            self.changes.append((self.ver, *at, None))

    def _row(self, at):
        value, ver = self.rows[at]
        return {"table": at[0], "part": at[1], "key": at[2], "value": value, "ver": ver}

    def _more(self):
        return {"ver": self.ver, "now_ms": int((now() - self.began) * 1000) + 1000}

    def on_message(self, connection, message):
        asyncio.get_running_loop().call_later(
            self.tx, self._respond, connection, message
        )

    def _respond(self, connection, message):
        method, target, _ = message.first.split(" ")
        path, _, query = target.partition("?")
        args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        status, body = "200 OK", {}
        if method == "POST" and path == "/rows-tx":
            status, body = self._transaction(json.loads(message.body))
        elif path == "/rows-get":
            body = self._range(args)
        elif path == "/rows-feed":
            body = self._feed(args)
        else:
            status = "404 Not Found"
        self.answer(
            connection,
            status,
            {"Content-Type": "application/json"},
            json.dumps(body).encode(),
        )

    def _transaction(self, body):
        def at(one):
            return (one["table"], one.get("part", ""), one["key"])

        parts = {
            at(one)[1]
            for kind in ("expect_rev", "writes", "remove")
            for one in body.get(kind, [])
        }
        if len(parts) > 1:
            return "400 Bad Request", {}
        for one in body.get("writes", []) + body.get("remove", []):
            if one["table"] in ("op", "servers"):
                return "403 Forbidden", {}
        expected = body.get("expect_rev", [])
        if any(
            self.rows.get(at(one), (None, 0))[1] != one["ver"] for one in expected
        ):
            rows = [self._row(at(one)) for one in expected if at(one) in self.rows]
            return "412 Precondition Failed", {"rows": rows, **self._more()}
        self.ver += 1
        for one in body.get("writes", []):
            self._set(at(one), one["value"])
        for one in body.get("remove", []):
            self._remove(at(one))
        return "200 OK", self._more()

    def _range(self, args):
        table, part = args["table"], args.get("part", "")
        low, high = args.get("from", ""), args.get("to")
        limit = min(int(args.get("limit", 500)), 500)
        keys = sorted(
            at[2]
            for at in self.rows
            if at[0] == table
            and at[1] == part
            and at[2] >= low
            and (not high or at[2] < high)
        )
        return {
            "rows": [self._row((table, part, key)) for key in keys[:limit]],
            "truncated": len(keys) > limit,
            **self._more(),
        }

    def _feed(self, args):
        after = int(args["after"])
        rows = {}
        for ver, table, part, key, value in reversed(self.changes):
            if ver <= after:
                break
            if table != args["table"] or (part, key) in rows:
                continue
            row = {"table": table, "part": part, "key": key, "ver": ver}
            if value is None:
                row["tombstone"] = True
            else:
                row["value"] = value
            rows[(part, key)] = row
        return {"rows": sorted(rows.values(), key=lambda one: one["ver"]), **self._more()}


class Engine(Server):
    """A sound engine of a plain service: one request at a time on a connection,
    `slots` at once, a queue, and 503 with Not-Executed beyond it."""

    def __init__(self, port, store, ident, service, zone, slots, work_ms, record):
        super().__init__(port)
        self.store, self.ident, self.service, self.zone = store, ident, service, zone
        self.slots, self.work, self.record = slots, work_ms / 1000, record
        self.running, self.queue, self.seq = 0, [], 0
        self.runs = []  # (time, request id, tenant)

    def entry(self, state="ready"):
        self.seq += 1
        return {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold_left_ms": 0,
            "seq": self.seq,
        }

    async def beat(self, beat_s=1.2):
        while True:
            self.store.put("servers", self.ident, self.entry())
            await asyncio.sleep(beat_s)

    def on_message(self, connection, message):
        expected = message.headers.get("expect-instance")
        if expected and expected != self.ident:
            self.answer(connection, "421 Misdirected Request", {"Instance-Id": self.ident})
        elif self.running >= self.slots and len(self.queue) >= 48:
            self.answer(connection, "503 Service Unavailable", {"Not-Executed": "1"})
        elif self.running >= self.slots:
            self.queue.append((connection, message))
        else:
            self.run(connection, message)

    def run(self, connection, message):
        self.running += 1
        ident = message.headers.get("request-id", "")
        tenant = message.headers.get("tenant", "")
        self.runs.append((now(), ident, tenant))
        asyncio.get_running_loop().call_later(self.work, self.end, connection, ident)

    def end(self, connection, ident):
        self.running -= 1
        self.answer(
            connection,
            "200 OK",
            {
                "Request-Id": ident,
                "Response-Stamp": "%s.%s" % (self.ident, ident),
                "Server-Load": "%d,%d,%d" % (self.running, len(self.queue), self.slots),
            },
            b"x" * 800,
        )
        while self.queue and self.running < self.slots:
            connection, message = self.queue.pop(0)
            if not connection.transport.is_closing():
                self.run(connection, message)


class ModelEngine(Engine):
    """A sound model engine: answers a turn with a stream of events of `stride`
    tokens each. `outputs` holds what each run was to continue from."""

    def __init__(self, port, store, ident, service, zone, record, events=4, gap_ms=10.0, slots=16):
        super().__init__(port, store, ident, service, zone, slots, gap_ms, record)
        self.events, self.gap = events, gap_ms / 1000
        self.bodies = {}  # request id -> body that the engine received

    def run(self, connection, message):
        self.running += 1
        ident = message.headers.get("request-id", "")
        self.runs.append((now(), ident, message.headers.get("program-id", "")))
        self.bodies[ident] = message.body
        self.record.add("run", engine=self.ident, id=ident, bytes=len(message.body))
        asyncio.get_running_loop().create_task(self.stream(connection, ident, message))

    async def stream(self, connection, ident, message):
        transport = connection.transport
        transport.write(
            (
                "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: %s.%s\r\n"
                "Content-Type: text/event-stream\r\nWeight-Versions: 1\r\n"
                "Transfer-Encoding: chunked\r\n\r\n" % (ident, self.ident, ident)
            ).encode()
        )
        first = int(message.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.gap)
            if transport.is_closing():
                break
            event = ("id: %d\ndata: %s\n\n" % (number, self.data(ident, number))).encode()
            transport.write(b"%x\r\n%s\r\n" % (len(event), event))
        if not transport.is_closing():
            transport.write(b"0\r\n\r\n")
        self.running -= 1
        while self.queue and self.running < self.slots:
            other, waiting = self.queue.pop(0)
            if not other.transport.is_closing():
                self.run(other, waiting)

    @staticmethod
    def data(ident, number):
        return "%s-%d" % (ident, number)

    def output(self, ident):
        """What the turns after this one are to hold of its answer."""
        return "".join(self.data(ident, n) + "\n" for n in range(1, self.events + 1))


class Node:
    """A process of the system, started as the deploy file says."""

    def __init__(self, world, name, zone, extra=()):
        self.world, self.name, self.zone = world, name, zone
        take = world.ports.take
        self.front, self.ready, self.metrics = take(), take(), take()
        self.peers = world.ports.take_udp_tcp()
        self.process = None
        self.settings = os.path.join(world.folder, name + ".conf")
        self.log = os.path.join(world.folder, name + ".log")
        with open(self.settings, "w") as file:
            file.write(
                "node = %s\ndomain = %s\n" % (name, zone)
                + "listen-callers = 127.0.0.1:%d\n" % self.front
                + "listen-ready = 127.0.0.1:%d\n" % self.ready
                + "listen-peers = 127.0.0.1:%d\n" % self.peers
                + "listen-metrics = 127.0.0.1:%d\n" % self.metrics
                + "store = %s\n" % world.store.address
                + "cpu-share = 0.5\ncores = 1\nmemory-mb = 120\n"
                + "".join("%s = %s\n" % one for one in world.bounds)
            )

    def start(self):
        environment = {"PATH": os.environ.get("PATH", ""), "WALNUTMILL_NODE_FILE": self.settings}
        with open(self.log, "ab") as out:
            self.process = subprocess.Popen(
                [PROGRAM, "entry"], cwd=ROOT, env=environment, stdout=out, stderr=out
            )
        self.world.record.add("start", node=self.name, pid=self.process.pid)

    def signal(self, number):
        self.world.record.add("signal", node=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def is_ready(self):
        status = await self.world.clients.get_status(self.ready, "/ready")
        return status == 200


class Clients:
    """Connections of clients, kept and used for many requests."""

    def __init__(self, record):
        self.record = record
        self.idle = {}
        self.waiting = {}

    def on_message(self, connection, message):
        future = self.waiting.pop(connection, None)
        if future and not future.done():
            future.set_result(message)

    def on_lost(self, connection):
        future = self.waiting.pop(connection, None)
        if future and not future.done():
            future.set_result(None)
        for links in self.idle.values():
            if connection in links:
                links.remove(connection)

    async def call(self, port, request, timeout):
        """Returns the answer; None if the connection ended without one."""
        links = self.idle.setdefault(port, [])
        connection = links.pop() if links else None
        try:
            if connection is None or connection.transport.is_closing():
                _, connection = await asyncio.wait_for(
                    asyncio.get_running_loop().create_connection(
                        lambda: HttpProtocol(self), "127.0.0.1", port
                    ),
                    1.0,
                )
        except (OSError, asyncio.TimeoutError):
            return None
        future = asyncio.get_running_loop().create_future()
        self.waiting[connection] = future
        connection.transport.write(request)
        try:
            answer = await asyncio.wait_for(future, timeout)
        except asyncio.TimeoutError:
            connection.transport.abort()
            return None
        if answer is None or answer.headers.get("connection") == "close":
            connection.transport.close()
        else:
            links.append(connection)
        return answer

    async def get_status(self, port, path):
        answer = await self.call(
            port, ("GET %s HTTP/1.1\r\nHost: ready\r\n\r\n" % path).encode(), 1.0
        )
        return int(answer.first.split(" ")[1]) if answer else 0


class World:
    def __init__(self, case_folder, bounds):
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="walnutmill-review-")
        self.bounds = bounds
        self.ports = Ports()
        self.store = Store(self.ports.take())
        self.clients = Clients(self.record)
        self.nodes, self.engines, self.tasks = [], [], []

    def node(self, name, zone):
        one = Node(self, name, zone)
        self.nodes.append(one)
        return one

    def engine(self, ident, service, zone, slots=16, work_ms=5.0):
        one = Engine(
            self.ports.take(), self.store, ident, service, zone, slots, work_ms, self.record
        )
        self.engines.append(one)
        return one

    def task(self, coroutine):
        one = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.append(one)
        return one

    async def start(self):
        await self.store.start()
        for one in self.engines:
            await one.start()
            self.task(one.beat())

    async def all_ready(self, nodes, timeout=20):
        end = now() + timeout
        while now() < end:
            states = await asyncio.gather(*(one.is_ready() for one in nodes))
            if all(states):
                return True
            await asyncio.sleep(0.1)
        return False

    def close(self):
        for one in self.tasks:
            one.cancel()
        for one in self.nodes:
            if one.process and one.process.poll() is None:
                one.process.send_signal(signal.SIGCONT)
                one.process.kill()
        for one in self.nodes:
            if one.process:
                one.process.wait()
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def run_case(main):
    """Runs a case: exit 1 if the rule was broken, 0 if it held, 2 if the case
    could not run."""
    if not os.access(PROGRAM, os.X_OK):
        print("target/walnutmill is missing: build it as the deploy file says")
        sys.exit(2)
    try:
        sys.exit(asyncio.run(main(os.environ.get("TROUBLE", "1") != "0")))
    except SystemExit:
        raise
    except BaseException as error:  # a case that could not run
        print("the case could not run:", repr(error))
        sys.exit(2)
