"""Starts nodes and stand-ins as processes and does harm to them.

Everything listens on the loopback address; a process is only ever ended by
its own handle.
"""

import base64
import hashlib
import json
import os
import pathlib
import selectors
import signal
import socket
import subprocess
import threading
import time

import wire

ROOT = pathlib.Path(__file__).resolve().parent.parent
STANDIN = ROOT / "build" / "walnutmill-standin"
NODE = ROOT / "build" / "walnutmill"

CALLER_TOKEN = "proof-caller"
OPERATOR_TOKEN = "proof-operator"
OTHER_TOKEN = "proof-other-caller"
PEER_KEY = "proof-key-of-all-nodes"
# Generous: a sanitized node on a busy machine still makes it.
READY_LIMIT = 60.0
ZONES = ["bern-hall", "zuerich-hall", "basel-hall", "luzern-hall"]


RESERVED = []


def free_port():
    """Returns a port that stays reserved until this process ends: bound, not
    listened on, so that only a listener that sets SO_REUSEADDR gets it."""
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind(("127.0.0.1", 0))
    RESERVED.append(held)
    return held.getsockname()[1]


def wait_until(what, condition, limit=READY_LIMIT, pause=0.02):
    """Polls a condition; raises TimeoutError after the limit (seconds)."""
    end = time.monotonic() + limit
    while time.monotonic() < end:
        found = condition()
        if found:
            return found
        time.sleep(pause)
    raise TimeoutError(f"{what}: not within {limit:.0f} s")


class process:
    """One child process whose output goes to a file."""

    def __init__(self, arguments, log_path, environment=None):
        self.arguments = [str(a) for a in arguments]
        self.log_path = log_path
        self.environment = dict(os.environ, **(environment or {}))
        self.child = None
        self.frozen = False

    def start(self):
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(
                self.arguments, stdin=subprocess.DEVNULL, stdout=log,
                stderr=log, env=self.environment)

    def alive(self):
        return self.child is not None and self.child.poll() is None

    def send(self, number):
        if self.alive():
            self.child.send_signal(number)

    def freeze(self):
        self.send(signal.SIGSTOP)
        self.frozen = True

    def wake(self):
        self.send(signal.SIGCONT)
        self.frozen = False

    def kill(self):
        """Ends it at once, as a lost machine would."""
        self.send(signal.SIGKILL)
        if self.child:
            self.child.wait()

    def terminate(self, limit=READY_LIMIT):
        """Asks it to stop; returns the exit code, None if it had to be killed."""
        self.wake()
        self.send(signal.SIGTERM)
        try:
            return self.child.wait(limit) if self.child else None
        except subprocess.TimeoutExpired:
            self.kill()
            return None


class standin:
    """A stand-in process with its switches and its ledger."""

    def __init__(self, directory, role, name, *options):
        self.name = name
        self.port = free_port()
        self.url = f"http://127.0.0.1:{self.port}"
        self.process = process(
            [STANDIN, role, "--port", self.port, "--name", name, *options],
            directory / f"{name}.log")
        self.process.start()
        wait_until(f"stand-in {name}", self.listening)

    def listening(self):
        return wire.request(self.port, "GET", "/faults").status == 200

    def faults(self, **switches):
        wire.request(self.port, "POST", "/faults", switches)

    def ledger(self):
        return wire.request(self.port, "GET", "/ledger", timeout=60).body

    def ask(self, method, path, body=None):
        return wire.request(self.port, method, path, body)


class relay:
    """A TCP link that can be cut, or made silent, and healed."""

    def __init__(self, target_port):
        self.target_port = target_port
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.url = f"http://127.0.0.1:{self.port}"
        self.is_cut = False
        self.silent = False
        self.lock = threading.Lock()
        self.pairs = []
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.carry, args=(near,),
                             daemon=True).start()

    def carry(self, near):
        try:
            if self.is_cut:
                raise OSError("cut")
            far = socket.create_connection(("127.0.0.1", self.target_port))
        except OSError:
            near.close()
            return
        with self.lock:
            self.pairs.append((near, far))
        for end in (near, far):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with selectors.DefaultSelector() as ready:
            ready.register(near, selectors.EVENT_READ, far)
            ready.register(far, selectors.EVENT_READ, near)
            self.pump(ready)
        self.drop(near, far)

    def pump(self, ready):
        while True:
            for key, _ in ready.select(0.5):
                if self.silent:
                    time.sleep(0.02)
                    continue
                try:
                    piece = key.fileobj.recv(65536)
                    if not piece:
                        return
                    key.data.sendall(piece)
                except (OSError, ValueError):
                    return
            if self.is_cut:
                return

    def drop(self, near, far):
        with self.lock:
            self.pairs = [p for p in self.pairs if p[0] is not near]
        near.close()
        far.close()

    def cut(self):
        """Breaks all connections and refuses new ones."""
        self.is_cut = True
        with self.lock:
            pairs = list(self.pairs)
        for pair in pairs:
            for end in pair:
                try:
                    end.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    def hush(self):
        """Carries nothing any more, yet keeps connections open."""
        self.silent = True

    def heal(self):
        self.is_cut = False
        self.silent = False

    def close(self):
        self.listener.close()
        self.cut()


class node:
    """One `walnutmill serve` process; it can be started again."""

    def __init__(self, directory, name, zone, table_url, object_url, options):
        self.name = name
        self.zone = zone
        self.port = free_port()
        self.peer_port = free_port()
        arguments = [
            NODE, "serve", "--node", name, "--zone", zone,
            "--http-port", self.port, "--peer-port", self.peer_port,
            "--table-url", table_url, "--object-url", object_url]
        for key, value in options.items():
            arguments += ["--" + key.replace("_", "-"), value]
        self.process = process(
            arguments, directory / f"{name}.log",
            {"WALNUTMILL_PEER_KEY": PEER_KEY})

    def start(self):
        self.process.start()

    def ready(self):
        return wire.request(self.port, "GET", "/ready", timeout=2).status == 200

    def wait_ready(self):
        def ready_or_dead():
            if not self.process.alive():
                raise RuntimeError(
                    f"node {self.name} ended with "
                    f"{self.process.child.returncode}: see "
                    f"{self.process.log_path}")
            return self.ready()
        wait_until(f"node {self.name} ready", ready_or_dead)


def sha256(token):
    return hashlib.sha256(token.encode()).hexdigest()


def text_of(value):
    """Returns the bytes of a row's value as text."""
    return base64.b64decode(value).decode(errors="replace")


def write_json(path, document):
    path.write_text(json.dumps(document, indent=2))
    return path


def now_us():
    """Microseconds of the clock that the ledgers' entries use."""
    return time.monotonic_ns() // 1000
