"""The programs of support/demo and the count at their end."""

import random
import shutil
import sys
import threading
import time

import callers
import checkers
from world import world

PROGRAMS = 4
# Index of the node that is killed.
VICTIM = 1


class transcript:
    """Prints lines of several threads, each with its time and speaker."""

    def __init__(self):
        self.begun = time.monotonic()
        self.lock = threading.Lock()

    def say(self, who, text):
        with self.lock:
            print(f"{time.monotonic() - self.begun:6.2f} s  {who:12} {text}",
                  flush=True)


def shorten(text, most=46):
    return text if len(text) <= most else text[:most - 3] + "..."


class demo:
    """Corrib's agents quote jobs and book crews."""

    def __init__(self, running):
        self.running = running
        self.script = transcript()
        self.barrier = threading.Barrier(PROGRAMS + 1)
        self.errors = []

    def call(self, agent, wanted):
        done = agent.make(wanted)
        tries = [a for a in self.running.record.attempts
                 if a["program"] == agent.program
                 and a["number"] == done["number"]]
        word = done["body"]["output"] if done["result"] == "answer" \
            else f"{done['result']} {done['body'] or done['broken']}"
        again = f" after {len(tries)} attempts" if len(tries) > 1 else ""
        self.script.say(agent.name, f"call {done['number']} through "
                        f"{done['node']}{again}: {wanted.text} -> "
                        f"{shorten(word)}")

    def tool(self, agent, name, seconds):
        self.script.say(agent.name, f"tool {name} runs {seconds:.1f} s")
        time.sleep(seconds)

    def program(self, index):
        rng = random.Random(index)
        agent = self.running.agent(rng, f"quote-{index}").create()
        self.script.say(agent.name, f"is program {agent.program}")
        self.call(agent, callers.call(
            "quote-agents", f"photograph {index}: red wine on wool",
            model=True, next_tool="look-up"))
        self.tool(agent, "look-up", 0.3)
        self.call(agent, callers.call("depot-app", "look up free crews"))
        self.barrier.wait()
        self.barrier.wait()
        self.call(agent, callers.call(
            "quote-agents", "price for two hours", model=True, stream=True))
        if index == 1:
            self.sub_agent(agent)
        self.tool(agent, "letting agent", 0.4)
        self.call(agent, callers.call(
            "depot-app", f"book crew {index} once", repeatable=False))
        self.call(agent, callers.call(
            "quote-agents", "confirm to the customer", model=True))
        agent.end()
        self.script.say(agent.name, "has ended")

    def sub_agent(self, parent):
        sub = callers.agent(self.running.nodes, self.running.record,
                            random.Random(99), budget=parent.budget,
                            name="stain-check").create(parent)
        self.script.say(sub.name, f"is sub-agent {sub.program}")
        self.call(sub, callers.call(
            "quote-agents", "is alcohol safe on wool", model=True))
        self.call(sub, callers.call("depot-app", "look up cleaning agents"))
        sub.end()
        self.script.say(sub.name, "has ended")

    def run_program(self, index):
        try:
            self.program(index)
        except Exception as error:  # counted at the end
            self.errors.append(error)
            self.script.say(f"quote-{index}", f"failed: {error!r}")
            self.barrier.abort()

    def run(self):
        threads = [threading.Thread(target=self.run_program, args=(i + 1,))
                   for i in range(PROGRAMS)]
        for thread in threads:
            thread.start()
        victim = self.running.nodes[VICTIM]
        try:
            self.barrier.wait()
            victim.process.kill()
            self.script.say("machine", f"node {victim.name} is killed "
                            f"between two turns")
            self.barrier.wait()
        except threading.BrokenBarrierError:
            pass
        for thread in threads:
            thread.join()

    def count(self):
        """Counts by callers' records and targets' ledgers only."""
        record = self.running.record
        seen = self.running.executions()
        finished = [p for p in record.programs.values() if p["ended_us"]]
        calls = checkers.by_request(record.attempts)
        answered = [c for c in calls.values() if checkers.answers_of(c)]
        lost = len(calls) - len(answered) + len(self.errors) + \
            len(checkers.history(record.attempts, seen)) + \
            len(checkers.whole_answer(record.attempts, seen))
        doubled = len(checkers.at_most_once(record.attempts, seen))
        print(f"demo: {len(finished)} programs finished, {len(answered)} "
              f"answers, {lost} lost, {doubled} doubled", flush=True)
        all_done = len(finished) == len(record.programs) == PROGRAMS + 1
        return all_done and lost == 0 and doubled == 0


def main():
    with world() as running:
        shown = demo(running)
        for node in running.nodes:
            shown.script.say("machine", f"node {node.name} in {node.zone} "
                             f"serves on port {node.port}")
        shown.run()
        passed = shown.count()
    if passed:
        shutil.rmtree(running.directory, ignore_errors=True)
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
