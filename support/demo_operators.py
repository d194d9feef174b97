"""support/demo --operators: orders to targets while programs run.

Drains a target under load, stops and wakes it, loads a model, lets two changes
race, and makes a change while a node is frozen. Exits with 1 when an order
fails, a call is cut, or not exactly one of the racing changes wins.
"""

import json
import random
import re
import sys
import threading
import time

import callers
import checkers
import harness
import workload
from world import world

LIMIT = 60.0


def short(got):
    """The answer on one line, as far as it is worth reading."""
    body = got.body or {}
    said = body.get("error", {}).get("message") or body.get("result")
    return " ".join(json.dumps(said).split())[:220]


class session:
    """One operator's orders with what came of them."""

    def __init__(self, running):
        self.running = running
        self.begun = time.monotonic()
        self.operator = callers.operator(
            running.nodes, random.Random(1), "ann")
        self.wrong = []
        # The version that the last order made.
        self.version = 1

    def say(self, text):
        print(f"{time.monotonic() - self.begun:6.2f} s  {text}", flush=True)

    def order(self, text):
        accepted, _, got = self.operator.order(text)
        lines = short(got)
        made = re.search(r"committed, version (\d+)", lines)
        self.version = int(made.group(1)) if made else self.version
        self.say(f"{text}\n          -> {got.status} {lines}")
        if not accepted:
            self.wrong.append(f"refused: {text}")
        return accepted

    def state_of(self, target):
        got = self.running.operate(
            f"show targets where name = {target}", json=True)
        if got.status != 200:
            return None
        rows = got.body["result"]["rows"]
        return rows[0]["state"] if rows else None

    def wait_for(self, target, states):
        try:
            harness.wait_until(
                f"{target} {states}",
                lambda: self.state_of(target) in states, LIMIT, 0.2)
            self.say(f"{target} is {self.state_of(target)}")
        except Exception as problem:  # noqa: BLE001 - reported at the end
            self.wrong.append(f"{target} never was {states}: {problem}")

    def race(self):
        """Two operators change the same version: one is told why it lost."""
        version = self.version
        results = []

        def change(name, weight):
            other = callers.operator(
                self.running.nodes, random.Random(weight), name)
            accepted, _, got = other.order(
                f"alter service depot-app set latency_weight={weight} "
                f"at version {version}")
            results.append(accepted)
            self.say(f"{name} changes version {version}: {got.status} "
                     f"{short(got)}")
        threads = [threading.Thread(target=change, args=("cleo", 2)),
                   threading.Thread(target=change, args=("ben", 3))]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        if sorted(results) != [False, True]:
            self.wrong.append(f"racing changes: {results}")

    def change_with_a_frozen_node(self):
        frozen = self.running.nodes[-1]
        frozen.process.freeze()
        self.say(f"{frozen.name} is frozen")
        self.operator.nodes = self.running.nodes[:-1]
        self.order("alter service depot-app set latency_weight=1.5")
        time.sleep(2.5)
        frozen.process.wake()
        self.say(f"{frozen.name} wakes")
        harness.wait_until("all nodes in force", self.all_in_force, LIMIT, 0.2)
        self.say("the change is in force at every serving node")

    def all_in_force(self):
        got = self.running.operate("show nodes where state = serving",
                                   json=True)
        if got.status != 200:
            return False
        rows = got.body["result"]["rows"]
        return len({row["version"] for row in rows}) == 1


def main():
    with world(nodes=3, engines=3) as running:
        group = workload.crowd()
        done = threading.Event()
        for i in range(5):
            group.add(workload.until_over, running, random.Random(i),
                      name=f"a{i + 1}", script=workload.chain,
                      over=done.is_set, budget=100_000,
                      options={"pause": 0.05})
        shown = session(running)
        time.sleep(1)
        shown.order('drain e1 reason "a fan is loud"')
        shown.wait_for("e1", ("drained",))
        shown.order("stop e1")
        shown.wait_for("e1", ("stopped",))
        shown.order("wake e1")
        shown.wait_for("e1", ("ready",))
        shown.order("load model second on e1")
        shown.race()
        shown.change_with_a_frozen_node()
        done.set()
        group.join()
        wrong = shown.wrong + group.errors
        wrong += checkers.complete(running.record.attempts)
        answers = len(running.record.answers())
        print(f"demo: {shown.operator.count} orders, {answers} answers, "
              f"{len(wrong)} wrong")
        for one in wrong:
            print("  " + str(one))
        return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
