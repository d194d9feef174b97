"""Faults that are put into a running world and taken out again.

A fault is a function (world, rng) that does its harm, waits and heals. The
seed's generator chooses whom it strikes and for how long.
"""

import threading
import time

import harness

# Longer than the lease, so that the others take over meanwhile.
PAST_LEASE = 1.8


def past_lease(world):
    return PAST_LEASE * world.node_options["lease_ms"] / 1_000


def a_node(world, rng):
    """A node that may be struck; one is always left alone."""
    up = [n for n in world.nodes[1:]
          if n.process.alive() and not n.process.frozen]
    return rng.choice(up) if up else None


def kill(world, rng):
    struck = a_node(world, rng)
    if struck is None:
        return
    struck.process.kill()
    time.sleep(rng.uniform(0.1, past_lease(world)))
    struck.start()
    struck.wait_ready()


def freeze(world, rng):
    struck = a_node(world, rng)
    if struck is None:
        return
    struck.process.freeze()
    time.sleep(past_lease(world))
    struck.process.wake()


def replace_all(world, rng):
    """Rolling replacement: every node stops as planned and comes back."""
    for each in world.nodes:
        each.process.terminate()
        time.sleep(rng.uniform(0.0, 0.3))
        each.start()
        each.wait_ready()


def zone_lost(world, rng):
    """All nodes of one failure domain, and its targets' links, at once."""
    zone = rng.choice([n.zone for n in world.nodes[1:]])
    struck = [n for n in world.nodes if n.zone == zone]
    targets = world.engines + world.services
    links = [world.links[t.name] for i, t in enumerate(targets)
             if harness.ZONES[i % len(harness.ZONES)] == zone]
    for link in links:
        link.cut()
    for each in struck:
        each.process.kill()
    time.sleep(past_lease(world))
    for link in links:
        link.heal()
    for each in struck:
        each.start()
        each.wait_ready()


def links_cut(names, longest=2.0):
    """Makes a fault that cuts the link of a name that the seed chooses."""
    def fault(world, rng):
        link = world.links[rng.choice(names(world))]
        harm = rng.choice([link.cut, link.hush])
        harm()
        time.sleep(rng.uniform(0.2, longest))
        link.heal()
    return fault


cut_table = links_cut(lambda w: [f"table-{n.name}" for n in w.nodes], 4.0)
cut_objects = links_cut(lambda w: [f"objects-{n.name}" for n in w.nodes], 4.0)
cut_target = links_cut(lambda w: [t.name for t in w.engines + w.services])


def switched(of, switches, longest=2.0):
    """Makes a fault that sets switches of a stand-in and takes them back."""
    def fault(world, rng):
        struck = rng.choice(of(world))
        struck.faults(**switches)
        time.sleep(rng.uniform(0.2, longest))
        struck.faults(drop_answers=0, refuse=0, stall_ms=0, hang=False,
                      slowdown=1.0, forget_holds=False)
    fault.__name__ = "_".join(switches)
    return fault


def table(world):
    return [world.table]


def objects(world):
    return [world.objects]


def engines(world):
    return world.engines


def services(world):
    return world.services


table_loses_answers = switched(table, {"drop_answers": 4})
table_down = switched(table, {"refuse": -1}, 4.0)
table_hangs = switched(table, {"hang": True}, 4.0)
table_slow = switched(table, {"stall_ms": 300}, 3.0)
objects_down = switched(objects, {"refuse": -1}, 4.0)
engine_hangs = switched(engines, {"hang": True})
engine_slow = switched(engines, {"slowdown": 30.0})
engine_loses_answers = switched(engines, {"drop_answers": 3})
engine_refuses = switched(engines, {"refuse": 5})
service_hangs = switched(services, {"hang": True})
service_loses_answers = switched(services, {"drop_answers": 3})
service_refuses = switched(services, {"refuse": 5})

ALL = [kill, freeze, cut_table, cut_objects, cut_target, table_loses_answers,
       table_down, table_hangs, table_slow, objects_down, engine_hangs,
       engine_slow, engine_loses_answers, engine_refuses, service_hangs,
       service_loses_answers, service_refuses]
NAMES = {fault: name for name, fault in list(globals().items())
         if callable(fault) and fault in ALL + [replace_all, zone_lost]}


class injector:
    """Injects faults in a thread of its own until it is told to stop."""

    def __init__(self, world, rng, faults, rounds=3, gap=0.6, pairs=False):
        self.world = world
        self.rng = rng
        self.faults = faults
        self.rounds = rounds
        self.gap = gap
        self.pairs = pairs
        self.done = []
        self.error = None
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.stopping.set()
        self.thread.join()

    def over(self):
        """Whether all faults have struck and are healed."""
        return not self.thread.is_alive()

    def run(self):
        try:
            for _ in range(self.rounds):
                if self.stopping.wait(self.rng.uniform(0.05, self.gap)):
                    return
                self.strike()
        except Exception as error:  # the proof reports it
            self.error = error

    def strike(self):
        chosen = [self.rng.choice(self.faults)]
        if self.pairs:
            chosen.append(self.rng.choice(self.faults))
        seeds = [self.rng.random() for _ in chosen]
        threads = [threading.Thread(
            target=self.inject, args=(fault, type(self.rng)(seed)))
            for fault, seed in zip(chosen, seeds)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def inject(self, fault, rng):
        self.done.append(NAMES.get(fault, fault.__name__))
        try:
            fault(self.world, rng)
        except Exception as error:
            self.error = error
