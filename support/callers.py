"""Callers and agent programs that write down all they send and receive."""

import dataclasses
import threading
import time

import harness
import wire

# A caller goes on asking for this long before a call counts as lost.
PATIENCE = 60.0
# One request may take this long before the caller turns to another node.
ATTEMPT_TIMEOUT = 15.0


class recorder:
    """What all callers saw, for the checkers. Thread-safe."""

    def __init__(self):
        self.lock = threading.Lock()
        self.attempts = []
        self.programs = {}

    def add_attempt(self, attempt):
        with self.lock:
            self.attempts.append(attempt)

    def add_program(self, program, root, budget):
        with self.lock:
            self.programs[program] = {
                "root": root, "budget": budget, "ended_us": None}

    def end_program(self, program):
        with self.lock:
            self.programs[program]["ended_us"] = harness.now_us()

    def answers(self):
        with self.lock:
            return [a for a in self.attempts if a["result"] == "answer"]


@dataclasses.dataclass
class call:
    """One call of a program as its agent wants it."""

    service: str
    text: str
    model: bool = False
    repeatable: bool = True
    stream: bool = False
    max_tokens: int = 40
    deadline_ms: int = 0
    next_tool: str = ""


class lost(Exception):
    """A caller's patience ended without a final word."""


class agent:
    """An agent program. It turns to another node for each request, and asks
    again, with the same request id, whenever it is told to or hears nothing.
    """

    def __init__(self, nodes, record, rng, budget=100_000, name="agent",
                 workspace="corrib", token=harness.CALLER_TOKEN,
                 patience=PATIENCE):
        self.nodes = nodes
        self.record = record
        self.rng = rng
        self.budget = budget
        self.name = name
        self.workspace = workspace
        self.token = token
        self.patience = patience
        self.program = None
        self.number = 0
        self.lock = threading.Lock()

    def any_node(self):
        with self.lock:
            return self.rng.choice(self.nodes)

    def ask(self, method, path, body, timeout=ATTEMPT_TIMEOUT):
        """Asks until an answer or a final refusal comes."""
        end = time.monotonic() + self.patience
        while time.monotonic() < end:
            got = wire.request(self.any_node().port, method, path, body,
                               self.token, timeout)
            if is_final(got):
                return got
            time.sleep(pause_of(got))
        raise lost(f"{method} {path}")

    def create(self, parent=None):
        """Creates the program; the same request id makes it the same one."""
        body = {"request_id": f"create-{self.name}",
                "workspace": self.workspace}
        if parent:
            body["parent"] = parent.program
        else:
            body["budget"] = self.budget
        got = self.ask("POST", "/v1/programs", body)
        if got.status not in (200, 201):
            raise lost(f"creation of {self.name}: {got.status} {got.body}")
        self.program = got.body["program"]
        root = got.body.get("root") or self.program
        self.record.add_program(self.program, root, self.budget)
        return self

    def next_number(self):
        self.number += 1
        return self.number

    def make(self, wanted, number=None):
        """Makes a call until its final word. Returns the last attempt."""
        number = number or self.next_number()
        body = self.body_of(wanted, number)
        end = time.monotonic() + self.patience
        attempt = None
        while True:
            attempt = self.attempt(wanted, number, body, attempt)
            self.record.add_attempt(attempt)
            if attempt["final"]:
                return attempt
            if time.monotonic() > end:
                raise lost(f"{self.program} {attempt['request_id']}")
            time.sleep(attempt["pause"])
            # Asked with the same time again, a call that takes longer than
            # that never ends, however well it is served.
            if wanted.deadline_ms and deadline_passed(attempt):
                body["deadline_ms"] *= 2

    def body_of(self, wanted, number):
        # All programs use the same request ids: they must not get mixed up.
        body = {"number": number, "request_id": f"call-{number}",
                "service": wanted.service, "input": wanted.text}
        if wanted.model:
            body["max_tokens"] = wanted.max_tokens
        if not wanted.repeatable:
            body["repeatable"] = False
        if wanted.stream:
            body["stream"] = True
        if wanted.deadline_ms:
            body["deadline_ms"] = wanted.deadline_ms
        if wanted.next_tool:
            body["next_tool"] = wanted.next_tool
        return body

    def attempt(self, wanted, number, body, earlier=None):
        """Sends a call, or resumes the stream that an earlier attempt lost."""
        node = self.any_node()
        path = f"/v1/programs/{self.program}/calls"
        sent = harness.now_us()
        events = []
        if wanted.stream and earlier and earlier["events"]:
            events = earlier["events"]
            last = [e["id"] for e in events if e["id"]][-1:] or ["0"]
            got = wire.request(
                node.port, "GET",
                f"{path}/{body['request_id']}?after={last[0]}", None,
                self.token, ATTEMPT_TIMEOUT)
        else:
            got = wire.request(node.port, "POST", path, body, self.token,
                               ATTEMPT_TIMEOUT)
        result, answer = outcome_of(got)
        # The new owner does not know the call: it has to be made again.
        unknown = (result == "refusal" and bool(events) and
                   answer["error"]["code"] == "not_found")
        return {
            "program": self.program, "number": number,
            "request_id": body["request_id"], "service": wanted.service,
            "input": wanted.text, "model": wanted.model,
            "repeatable": wanted.repeatable, "node": node.name,
            "sent_us": sent, "ended_us": harness.now_us(),
            "result": result, "status": got.status, "body": answer,
            "broken": got.broken, "pause": pause_of(got),
            "events": [] if unknown else events + got.events,
            "final": not unknown and (result == "answer" or (
                result == "refusal" and not retry_after_ms(got)))}

    def end(self):
        got = self.ask("POST", f"/v1/programs/{self.program}/end", {})
        if got.status == 200:
            self.record.end_program(self.program)
        return got

    def view(self):
        return self.ask("GET", f"/v1/programs/{self.program}", None)


class visitor:
    """Makes plain calls that belong to no program, through every node."""

    def __init__(self, nodes, record, name, service="depot-app",
                 workspace="corrib", token=harness.CALLER_TOKEN):
        self.nodes = nodes
        self.record = record
        self.name = name
        self.service = service
        self.workspace = workspace
        self.token = token
        self.count = 0

    def visit(self):
        """Asks each node once."""
        for node in self.nodes:
            self.ask(node)

    def ask(self, node):
        self.count += 1
        body = {"request_id": f"{self.name}-{self.count}",
                "workspace": self.workspace, "input": f"visit {self.count}",
                "deadline_ms": 3_000}
        sent = harness.now_us()
        got = wire.request(node.port, "POST",
                           f"/v1/services/{self.service}/call", body,
                           self.token, 5)
        result, answer = outcome_of(got)
        self.record.add_attempt({
            "program": "", "number": 0, "request_id": body["request_id"],
            "service": self.service, "input": body["input"], "model": False,
            "repeatable": True, "node": node.name, "sent_us": sent,
            "ended_us": harness.now_us(), "result": result,
            "status": got.status, "body": answer, "broken": got.broken,
            "events": [], "final": True})


class operator:
    """Gives orders through any node until their outcome is known."""

    def __init__(self, nodes, rng, name, patience=PATIENCE):
        self.nodes = nodes
        self.rng = rng
        self.name = name
        self.patience = patience
        self.count = 0

    def order(self, text):
        """Returns (whether it was accepted, when, the last reply)."""
        self.count += 1
        body = {"text": text, "command_id": f"{self.name}-{self.count}"}
        end = time.monotonic() + self.patience
        while time.monotonic() < end:
            node = self.rng.choice(self.nodes)
            got = wire.request(node.port, "POST", "/v1/operate", body,
                               harness.OPERATOR_TOKEN, 20)
            if got.status == 200:
                return True, harness.now_us(), got
            if got.status and is_final(got):
                return False, harness.now_us(), got
            time.sleep(0.1)
        raise lost(f"order {text!r}")


def deadline_passed(attempt):
    return (attempt["result"] == "refusal" and
            attempt["body"]["error"]["code"] == "deadline_exceeded")


def outcome_of(got):
    """Returns ("answer" | "refusal" | "broken", body)."""
    for event in got.events:
        if event["event"] == "done":
            return "answer", event["data"]
        if event["event"] == "error":
            return "refusal", event["data"]
    if got.status == 0 or got.events:
        return "broken", None
    if got.status == 200 and isinstance(got.body, dict) \
            and "output" in got.body:
        return "answer", got.body
    if isinstance(got.body, dict) and "error" in got.body:
        return "refusal", got.body
    return "broken", got.body


def retry_after_ms(got):
    result, body = outcome_of(got)
    return body["error"].get("retry_after_ms", 0) if result == "refusal" else 0


def is_final(got):
    """Whether asking again would not help."""
    result, _ = outcome_of(got)
    if result == "refusal":
        return not retry_after_ms(got)
    return got.status in (200, 201)


def pause_of(got):
    return min(retry_after_ms(got) or 50, 2_000) / 1_000
