"""HTTP as a caller speaks it: one request a connection, typed replies."""

import dataclasses
import http.client
import json
import time


# Ports that a request of this process waits at, as often as it does.
UNDER_WAY = []


@dataclasses.dataclass
class reply:
    """What came back; status 0 when the connection broke or timed out."""

    status: int
    body: object = None
    events: list = dataclasses.field(default_factory=list)
    broken: str = ""


def request(port, method, path, body=None, token=None, timeout=10.0,
            last_id=None):
    """Sends a request; never raises for what the network does.

    Server-sent events come back in `events`, each with its arrival time.
    """
    headers = {"Content-Type": "application/json"}
    if token:
        headers["Authorization"] = "Bearer " + token
    text = None if body is None else json.dumps(body)
    link = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    got = reply(0)
    UNDER_WAY.append(port)
    try:
        link.request(method, path, text, headers)
        answer = link.getresponse()
        if "event-stream" in (answer.getheader("Content-Type") or ""):
            read_events(answer, got.events)
            got.status = answer.status
        else:
            data = answer.read()
            got.body = parse(data)
            got.status = answer.status
    except (OSError, http.client.HTTPException) as error:
        got.broken = repr(error)
    finally:
        UNDER_WAY.remove(port)
        link.close()
    return got


def parse(data):
    try:
        return json.loads(data) if data else None
    except ValueError:
        return data.decode(errors="replace")


def read_events(answer, events):
    """Collects events until the stream ends."""
    current = {}
    for line in answer:
        line = line.decode().rstrip("\r\n")
        if line:
            key, _, value = line.partition(":")
            current[key] = value.strip()
        elif current:
            events.append({
                "id": current.get("id"),
                "event": current.get("event", "message"),
                "data": parse(current.get("data", "").encode()),
                "at_us": time.monotonic_ns() // 1000})
            current = {}
