"""Stand-ins for the scripts of the second review: the platform's store, engines
and clients, and a starter of entry nodes.

All of them run in one asyncio loop and listen on loopback addresses only. Entry
nodes are separate processes, started with the command of deploy/system.toml and
settings filled into deploy/entry.conf.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
START = time.monotonic()


def now():
    return time.monotonic() - START


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")

    def __call__(self, text):
        self.file.write(f"{now():8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self(text)
        print(text, flush=True)


def free_port(ip, kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as one:
        one.bind((ip, 0))
        return one.getsockname()[1]


def new_id():
    return "%016x" % random.getrandbits(64)


async def read_head(reader):
    """Returns the first line and the headers, names in lower case."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                await reader.readline()
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get("content-length", 0)))


class Store:
    """The platform's store: rows with versions, transactions under conditions
    and the feed of changes, as PROTOCOL.md says. Each call takes 4 ms."""

    def __init__(self, ip="127.0.0.1", latency_s=0.004):
        self.ip = ip
        self.rows = {}
        self.version = 0
        self.changes = []
        self.latency_s = latency_s
        # Called with method, target and client address. True: the call is not
        # answered (the store is down).
        self.is_silent = lambda method, target, peer: False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{self.port}"

    def put(self, table, part, key, value):
        """A write of the operator or of an engine. Returns its version."""
        self.version += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.set_row((table, part, key), text)
        return self.version

    def drop(self, table, part, key):
        self.version += 1
        self.set_row((table, part, key), None)

    def set_row(self, at, text):
        if text is None:
            self.rows.pop(at, None)
        else:
            self.rows[at] = (self.version, text)
        self.changes.append((self.version, at, text))

    @staticmethod
    def row_json(at, ver, value):
        row = {"table": at[0], "part": at[1], "key": at[2], "ver": ver}
        if value is None:
            row["tombstone"] = True
        else:
            row["value"] = value
        return row

    def reply(self, **fields):
        fields["ver"] = self.version
        fields["now_ms"] = int(time.monotonic() * 1000)
        return fields

    def transaction(self, body):
        known = []
        holds = True
        for one in body.get("expect_rev", []):
            at = (one["table"], one["part"], one["key"])
            ver, value = self.rows.get(at, (0, None))
            if ver:
                known.append(self.row_json(at, ver, value))
            holds = holds and ver == one["ver"]
        if not holds:
            return 412, self.reply(rows=known)
        self.version += 1
        for one in body.get("writes", []):
            self.set_row((one["table"], one["part"], one["key"]), one["value"])
        for one in body.get("remove", []):
            self.set_row((one["table"], one["part"], one["key"]), None)
        return 200, self.reply()

    def range(self, query):
        at = (query["table"], query.get("part", ""))
        low, high = query.get("from", ""), query.get("to")
        limit = min(int(query.get("limit", 500)), 500)
        rows = [
            self.row_json(key, ver, value)
            for key, (ver, value) in sorted(self.rows.items())
            if key[:2] == at and key[2] >= low
            and (not high or key[2] < high)]
        return 200, self.reply(rows=rows[:limit], truncated=len(rows) > limit)

    def feed(self, query):
        after = int(query["after"])
        rows = [
            self.row_json(at, ver, value) for ver, at, value in self.changes
            if ver > after and at[0] == query["table"]]
        return 200, self.reply(rows=rows)

    def parts(self, query):
        names = sorted({at[1] for at in self.rows if at[0] == query["table"]})
        return 200, self.reply(parts=names, truncated=False)

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                if self.is_silent(method, target, writer.get_extra_info("peername")):
                    # Nothing is done and nothing is answered.
                    await asyncio.sleep(3600)
                await asyncio.sleep(self.latency_s)
                url = urllib.parse.urlsplit(target)
                query = dict(
                    urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                if method == "POST" and url.path == "/rows-tx":
                    status, answer = self.transaction(json.loads(body))
                elif url.path == "/rows-get":
                    status, answer = self.range(query)
                elif url.path == "/rows-feed":
                    status, answer = self.feed(query)
                elif url.path == "/rows-parts":
                    status, answer = self.parts(query)
                else:
                    status, answer = 404, {}
                text = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()


class Engine:
    """One engine. `work` is called with the request and a writer for each
    request that runs; it has to write the whole answer. Returning False closes
    the connection."""

    def __init__(self, record, store, service, zone, work, ip="127.0.0.1",
                 slots=16):
        self.record, self.store, self.service = record, store, service
        self.zone, self.work, self.ip, self.slots = zone, work, ip, slots
        self.id = "i-" + new_id()[:8]
        self.state = "ready"
        self.seq = 0
        self.running = 0
        self.requests = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{self.port}"
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.write_entry()
            await asyncio.sleep(1.2)

    def write_entry(self):
        self.seq += 1
        self.store.put("servers", "", self.id, {
            "service": self.service, "addr": self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state,
            "cold_left_ms": 0, "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "seq": self.seq})

    def head(self, request, status=200, extra=()):
        lines = [f"HTTP/1.1 {status} X",
                 f"Request-Id: {request['headers'].get('request-id', '')}",
                 f"Response-Stamp: {self.id}.{new_id()[:8]}",
                 f"Server-Load: {self.running},0,{self.slots}", *extra]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                if target == "/healthz":
                    writer.write(
                        f"HTTP/1.1 200 OK\r\nInstance-Id: {self.id}\r\n"
                        f"Server-Load: {self.running},0,{self.slots}\r\n"
                        "Content-Length: 0\r\n\r\n".encode())
                    continue
                if headers.get("expect-instance", self.id) != self.id:
                    writer.write(
                        f"HTTP/1.1 421 X\r\nInstance-Id: {self.id}\r\n"
                        "Content-Length: 0\r\n\r\n".encode())
                    continue
                request = {"method": method, "target": target,
                           "headers": headers, "body": body, "engine": self}
                self.requests += 1
                self.running += 1
                self.record(
                    f"run {headers.get('request-id')} {self.id} "
                    f"deadline={headers.get('deadline-ms')}")
                try:
                    if await self.work(request, writer) is False:
                        break
                    await writer.drain()
                finally:
                    self.running -= 1
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()


def chunk(text):
    data = text.encode()
    return b"%x\r\n%s\r\n" % (len(data), data)


def reset(writer):
    """Ends a connection with a reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                    b"\x01\x00\x00\x00\x00\x00\x00\x00")
    writer.transport.abort()


def fill_template(text, fields):
    """Fills in a template as DEPLOY.md says; only what deploy/entry.conf
    uses: values, and sections that are there if a value is."""
    def value(path):
        found = fields
        for key in path.split("."):
            if isinstance(found, list):
                found = found[int(key)]
            elif isinstance(found, dict) and key in found:
                found = found[key]
            else:
                return None
        return found

    def section(match):
        return match[2] if value(match[1]) else ""

    text = re.sub(r"\{\{#([^}]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, text,
                  flags=re.S)

    def shown(match):
        found = value(match[1])
        if found is None:
            return ""
        return ",".join(found) if isinstance(found, list) else str(found)

    return re.sub(r"\{\{([^}#/^]+)\}\}", shown, text)


class Node:
    """An entry node as a process of its own."""

    def __init__(self, world, name, zone, ip):
        self.world, self.name, self.zone, self.ip = world, name, zone, ip
        self.front = f"{ip}:{free_port(ip)}"
        self.ready = f"{ip}:{free_port(ip)}"
        # The first port is used for both TCP and UDP.
        while True:
            port = free_port(ip)
            try:
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as one:
                    one.bind((ip, port))
                break
            except OSError:
                continue
        self.ports = [port, free_port(ip)]
        self.process = None

    def fields(self):
        made = dict(self.world.settings)
        made.update({
            "node": self.name, "zone": self.zone, "ip": self.ip,
            "listen": {"front": self.front, "ready": self.ready},
            "port_range": self.ports,
            "platform": {"addr": self.world.store.address}})
        return made

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        template = (ROOT / role["template"]).read_text()
        path = pathlib.Path(self.world.folder) / f"{self.name}.conf"
        path.write_text(fill_template(template, self.fields()))
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
               if key in os.environ}
        env["WALNUTMILL_NODE_FILE"] = str(path)
        self.log = open(
            pathlib.Path(self.world.folder) / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            role["run"].split(), cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
            stdout=self.log, stderr=subprocess.STDOUT)
        self.world.record(f"node {self.name} started at {self.front}")

    def signal(self, which):
        self.world.record(f"node {self.name} gets {which.name}")
        self.process.send_signal(which)

    async def is_ready(self):
        try:
            async with asyncio.timeout(0.8):
                ip, port = self.ready.split(":")
                reader, writer = await asyncio.open_connection(ip, int(port))
                try:
                    writer.write(b"GET /ready HTTP/1.1\r\nHost: r\r\n"
                                 b"Connection: close\r\n\r\n")
                    line, _ = await read_head(reader)
                    return line.split()[1] == "200"
                finally:
                    writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


BOUNDS = {  # of further/LATER.md, vlastor-lic
    "grace_s": 8, "apply_ms": 2000, "drain_ms": 2000, "contact_ms": 3000,
    "lost_ms": 200}


class World:
    def __init__(self, folder):
        self.out = folder
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = self.temporary.name
        self.store = Store()
        self.nodes = []
        self.settings = {
            "limits": {"cpu_share": 0.5, "cores": 1, "memory_mb": 120},
            "contracts": ["base", "drain", "config", "cost", "recover",
                          "agent", "stream", "engine", "platform"],
            "bounds": dict(BOUNDS)}

    def add_node(self, zone="z1", ip=None):
        number = len(self.nodes) + 1
        node = Node(self, f"front-{zone}-{number}", zone, ip or "127.0.0.1")
        self.nodes.append(node)
        return node

    async def start(self, ready_s=30):
        """Starts all nodes and waits until all are ready for 8 s."""
        for node in self.nodes:
            node.start()
        until = now() + ready_s
        while not all([await node.is_ready() for node in self.nodes]):
            if now() > until or any(
                    node.process.poll() is not None for node in self.nodes):
                raise CannotRun("the nodes do not get ready")
            await asyncio.sleep(0.2)
        await asyncio.sleep(8)

    def stop(self):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        if os.environ.get("KEEP_LOGS"):
            for node in self.nodes:
                text = pathlib.Path(self.folder, f"{node.name}.log").read_bytes()
                pathlib.Path(os.environ["KEEP_LOGS"], f"{node.name}.log").write_bytes(text)


class CannotRun(Exception):
    pass


def run(folder, case, trouble):
    """Runs a case: 1 if it returns a list with broken rules, 0 if an empty one,
    2 if it could not run."""

    async def whole():
        # Connections that are open at the end are cancelled with their tasks.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        world = World(folder)
        try:
            async with asyncio.timeout(115):
                await world.store.start()
                return await case(world, trouble)
        finally:
            world.stop()
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()

    try:
        broken = asyncio.run(whole())
    except Exception as error:  # whatever it was, it says nothing of the rule
        print(f"the case could not run: {error!r}")
        return 2
    for one in broken:
        print("broken:", one)
    print("rule broken" if broken else "rule held")
    return 1 if broken else 0
