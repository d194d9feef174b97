"""What agent programs do in the proofs."""

import random
import threading
import time

import callers


def model_call(rng, text="quote the sofa", **options):
    return callers.call("quote-agents", f"{text} {rng.randrange(1000)}",
                        model=True, **options)


def look_up(rng):
    return callers.call("depot-app", f"look up crew {rng.randrange(1000)}")


def booking(rng):
    """A call that may not be repeated."""
    return callers.call("depot-app", f"book crew {rng.randrange(1000)}",
                        repeatable=False)


def mixed_call(rng):
    kind = rng.random()
    if kind < 0.5:
        return model_call(rng, stream=rng.random() < 0.5)
    return booking(rng) if kind < 0.75 else look_up(rng)


def stuck(last):
    """Whether the call left its number unused, so that the next would wait."""
    return (last["result"] == "refusal" and
            last["body"]["error"]["ran"] == "not_run")


def chain(agent, rng, calls=6, pick=mixed_call, pause=0.1):
    """A chain of calls with tool pauses between them."""
    agent.create()
    for _ in range(calls):
        if stuck(agent.make(pick(rng))):
            return
        time.sleep(rng.uniform(0.0, pause))
    agent.end()


def with_sub_agent(agent, rng, calls=4, pick=mixed_call):
    """A chain whose sub-agent does a chain of its own in the middle."""
    agent.create()
    agent.make(pick(rng))
    sub = callers.agent(agent.nodes, agent.record, random.Random(rng.random()),
                        budget=agent.budget, name=agent.name + "-sub",
                        patience=agent.patience)
    sub.create(parent=agent)
    for _ in range(calls):
        if stuck(sub.make(pick(rng))):
            return
    sub.end()
    agent.make(pick(rng))
    agent.end()


def crowd_call(agent, wanted, number):
    try:
        agent.make(wanted, number)
    except callers.lost:
        pass  # its attempts are recorded


def ahead(agent, rng, rounds=2, burst=4):
    """Hands in several calls at once, in any order, through any node."""
    agent.create()
    for _ in range(rounds):
        numbers = [agent.next_number() for _ in range(burst)]
        rng.shuffle(numbers)
        threads = [threading.Thread(
            target=crowd_call, args=(agent, mixed_call(rng), number))
            for number in numbers]
        for thread in threads:
            thread.start()
            time.sleep(rng.uniform(0.0, 0.02))
        for thread in threads:
            thread.join()
    agent.end()


def endless(agent, rng, most=200):
    """A program that loops until its budget refuses it, with sub-agents."""
    agent.create()
    sub = callers.agent(agent.nodes, agent.record, random.Random(rng.random()),
                        budget=agent.budget, name=agent.name + "-sub",
                        patience=agent.patience)
    sub.create(parent=agent)
    threads = [threading.Thread(target=loop, args=(each, rng, most))
               for each in (agent, sub)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def loop(agent, rng, most):
    for _ in range(most):
        last = agent.make(model_call(rng, "go on"))
        if last["result"] != "answer":
            return


def until_over(running, rng, name, script, over, budget, options):
    """Runs programs one after the other, at least one, until it is over."""
    count = 0
    while count == 0 or not over():
        count += 1
        agent = running.agent(rng, f"{name}-{count}", budget=budget)
        script(agent, rng, **options)


def visiting(visitor, rng, seconds):
    """Plain calls through every node until the time is up."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        visitor.visit()
        time.sleep(rng.uniform(0.0, 0.1))


class crowd:
    """Agents that work at the same time; what went wrong is kept."""

    def __init__(self):
        self.errors = []
        self.threads = []

    def add(self, task, actor, rng, **options):
        thread = threading.Thread(
            target=self.run, args=(task, actor, rng, options), daemon=True)
        self.threads.append(thread)
        thread.start()

    def run(self, task, actor, rng, options):
        try:
            task(actor, rng, **options)
        except Exception as error:  # the proof reports it
            self.errors.append(repr(error))

    def join(self):
        for thread in self.threads:
            thread.join()
