"""The promises, each with a proof by real processes under failure."""

import dataclasses
import random
import threading
import time

import callers
import checkers
import faults
import harness
import workload
from world import world

# Stated bound after which a leaving target gets no new work (seconds).
LEAVING_BOUND = 5.0
# Stated bound after which an accepted configuration is in force (seconds).
CONFIGURATION_BOUND = 5.0
# Holds of ended programs are gone within this (seconds).
HOLDS_BOUND = 30.0
# How a call that may not be repeated can end when a failure strikes it.
UNKNOWN = ("answer", "outcome_unknown", "target_failed", "deadline_exceeded")


@dataclasses.dataclass
class verdict:
    """How a proof went."""

    faults: list
    checked: str
    violations: list


def storm(running, rng, script, struck, agents=6, rounds=3, pairs=False,
          budget=100_000, **options):
    """Runs agents while faults strike. Returns (faults injected, errors)."""
    group = workload.crowd()
    with faults.injector(running, random.Random(rng.random()), struck,
                         rounds, pairs=pairs) as harm:
        for i in range(agents):
            own = random.Random(rng.random())
            agent = running.agent(own, f"a{i + 1}", budget=budget)
            group.add(script, agent, own, **options)
        # All faults strike, also when the agents are quick.
        harm.thread.join()
        group.join()
    errors = list(group.errors)
    if harm.error:
        errors.append(f"harness: {harm.error!r}")
    return harm.done, errors


def counted(running, executions):
    programs = len(running.record.programs)
    answers = len(running.record.answers())
    return f"{programs} programs, {answers} answers, " \
           f"{len(executions)} ledger entries"


def order(seed):
    """Calls of a program are handled in its own order."""
    rng = random.Random(seed)
    with world() as running:
        done, errors = storm(
            running, rng, workload.ahead,
            [faults.kill, faults.freeze, faults.engine_slow,
             faults.engine_loses_answers, faults.cut_target,
             faults.table_loses_answers])
        seen = running.executions()
        wrong = checkers.order(running.record.attempts, seen)
        wrong += checkers.complete(running.record.attempts, UNKNOWN)
        return verdict(done, counted(running, seen), errors + wrong)


def history(seed):
    """A program's history is never lost and never mixed."""
    rng = random.Random(seed)
    with world() as running:
        done, errors = storm(
            running, rng, workload.chain,
            [faults.kill, faults.freeze, faults.table_loses_answers,
             faults.table_slow, faults.cut_table, faults.objects_down,
             faults.engine_loses_answers])
        seen = running.executions()
        wrong = checkers.history(running.record.attempts, seen)
        wrong += checkers.complete(running.record.attempts, UNKNOWN)
        return verdict(done, counted(running, seen), errors + wrong)


def at_most_once(seed):
    """A request that may not be repeated runs at most once."""
    rng = random.Random(seed)
    with world(services=2) as running:
        done, errors = storm(
            running, rng, workload.chain,
            [faults.kill, faults.freeze, faults.service_loses_answers,
             faults.service_hangs, faults.cut_target, faults.cut_table,
             faults.table_loses_answers], rounds=4, pick=workload.booking)
        seen = running.executions()
        wrong = checkers.at_most_once(running.record.attempts, seen)
        wrong += checkers.complete(running.record.attempts, UNKNOWN)
        return verdict(done, counted(running, seen), errors + wrong)


def hurried(rng):
    """A call that its caller soon gives up on."""
    wanted = workload.mixed_call(rng)
    wanted.stream = False
    wanted.deadline_ms = rng.choice([30, 100, 400])
    return wanted


def not_run(seed):
    """What is refused as not run truly did not run."""
    rng = random.Random(seed)
    with world(services=2, engine_options=["--slots", "1", "--queue", "2"],
               service_options=["--run-ms", "40"]) as running:
        done, errors = storm(
            running, rng, workload.chain,
            [faults.service_refuses, faults.engine_refuses, faults.kill,
             faults.table_down, faults.table_loses_answers, faults.freeze,
             faults.cut_target, faults.engine_slow],
            agents=10, pick=hurried, pause=0.02)
        seen = running.executions()
        attempts = running.record.attempts
        refused = sum(checkers.refused_not_run(a) for a in attempts)
        wrong = checkers.not_run(attempts, seen)
        if refused == 0:
            wrong.append("nothing was refused as not run: nothing was tested")
        return verdict(done, f"{refused} refusals, " + counted(running, seen),
                       errors + wrong)


def streamed(rng):
    return workload.model_call(rng, "advise [tokens=120]", stream=True,
                               max_tokens=120)


def whole_answer(seed):
    """Every caller gets the whole answer to its own request."""
    rng = random.Random(seed)
    with world(engine_options=["--token-us", "2000"]) as running:
        done, errors = storm(
            running, rng, workload.chain,
            [faults.kill, faults.freeze, faults.cut_target,
             faults.engine_loses_answers, faults.engine_hangs,
             faults.table_loses_answers], pick=streamed)
        seen = running.executions()
        wrong = checkers.whole_answer(running.record.attempts, seen)
        wrong += checkers.complete(running.record.attempts)
        return verdict(done, counted(running, seen), errors + wrong)


def budget(seed):
    """A program never spends beyond its budget, sub-agents included."""
    rng = random.Random(seed)
    with world(limits={"budget_slice": 300}) as running:
        done, errors = storm(
            running, rng, workload.endless,
            [faults.kill, faults.freeze, faults.table_loses_answers,
             faults.cut_target, faults.engine_loses_answers], agents=4,
            rounds=4, budget=2_000)
        seen = running.executions()
        attempts = running.record.attempts
        wrong = checkers.budget(running.record.programs, seen, call_cost=1)
        wrong += checkers.complete(attempts, ("answer", "budget_exhausted",
                                              "program_ended"))
        used = sum(e["tokens"] for e in seen if e["kind"] == "generated")
        return verdict(done, f"{used} tokens, " + counted(running, seen),
                       errors + wrong)


def pausing(rng):
    return workload.model_call(rng, "quote [tokens=20]", next_tool="look-up")


def half_done(agent, rng, calls=2):
    """A program whose caller goes away; its end is the abandonment."""
    agent.create()
    for _ in range(calls):
        agent.make(pausing(rng))
    agent.record.end_program(agent.program)


def holds_released(seed):
    """No engine memory stays held for programs that have ended."""
    rng = random.Random(seed)
    limits = {"program_abandoned_after_ms": 3_000}
    with world(limits=limits) as running:
        struck = [faults.kill, faults.engine_loses_answers, faults.freeze,
                  faults.cut_target, faults.table_loses_answers,
                  faults.switched(faults.engines, {"forget_holds": True})]
        done, errors = storm(running, rng, workload.chain, struck,
                             pick=pausing, pause=0.3)
        more, late = storm(running, rng, half_done, struck, agents=4)
        begun = time.monotonic()
        programs = running.record.programs

        def all_released():
            return not checkers.holds_released(programs, running.holds())
        try:
            harness.wait_until("release", all_released, HOLDS_BOUND, 0.1)
        except TimeoutError:
            pass
        took = time.monotonic() - begun
        wrong = checkers.holds_released(programs, running.holds())
        seen = running.executions()
        taken = sum(e["kind"] == "hold_taken" for e in seen)
        if taken == 0:
            wrong.append("no hold was taken: nothing was tested")
        return verdict(done + more,
                       f"{taken} holds, all gone after {took:.1f} s, "
                       + counted(running, seen), errors + late + wrong)


def planned_stop(seed):
    """A planned stop cuts off no request in flight."""
    rng = random.Random(seed)
    with world(engine_options=["--token-us", "10000"]) as running:
        group = workload.crowd()
        for i in range(8):
            own = random.Random(rng.random())
            group.add(workload.chain, running.agent(own, f"a{i + 1}"), own,
                      calls=8, pause=0.02)
        time.sleep(rng.uniform(0.5, 1.5))
        wrong = []
        stopped = rng.sample(running.nodes, 2)
        stops = []
        for each in stopped:
            at = harness.now_us()
            stops.append((each, at, each.process.terminate()))
            each.start()
            each.wait_ready()
        group.join()
        attempts = running.record.attempts
        in_flight = 0
        for each, at, code in stops:
            wrong += checkers.planned_stop(attempts, each.name, at, code)
            in_flight += sum(a["node"] == each.name and
                             a["sent_us"] < at < a["ended_us"]
                             for a in attempts)
        if in_flight == 0:
            wrong.append("nothing was in flight: nothing was tested")
        seen = running.executions()
        wrong += checkers.complete(attempts)
        return verdict(["planned stop"] * 2,
                       f"{in_flight} in flight, " + counted(running, seen),
                       group.errors + wrong)


def rolling(seed):
    """All nodes are replaced one after the other; nothing is lost."""
    rng = random.Random(seed)
    with world() as running:
        done, errors = storm(running, rng, workload.with_sub_agent,
                             [faults.replace_all], rounds=1)
        return everything_holds(running, done, errors, ("answer",))


def zone(seed):
    """A failure domain is lost at once."""
    rng = random.Random(seed)
    with world(nodes=5, engines=3, services=2) as running:
        done, errors = storm(running, rng, workload.chain,
                             [faults.zone_lost], rounds=1, agents=8)
        return everything_holds(running, done, errors)


def outage(seed):
    """The table is away for long; calls go on when it comes back."""
    rng = random.Random(seed)
    with world() as running:
        done, errors = storm(
            running, rng, workload.chain,
            [faults.table_down, faults.table_hangs, faults.table_slow,
             faults.objects_down], rounds=2)
        return everything_holds(running, done, errors)


def everything(seed):
    """All promises under pairs of all faults."""
    rng = random.Random(seed)
    with world(services=2) as running:
        done, errors = storm(
            running, rng, rng.choice([workload.chain, workload.ahead,
                                      workload.with_sub_agent]),
            faults.ALL, rounds=3, pairs=True)
        return everything_holds(running, done, errors)


def everything_holds(running, done, errors, allowed=UNKNOWN):
    """All checks that need no staging of their own."""
    seen = running.executions()
    attempts = running.record.attempts
    programs = running.record.programs
    wrong = errors + checkers.order(attempts, seen)
    wrong += checkers.history(attempts, seen)
    wrong += checkers.at_most_once(attempts, seen)
    wrong += checkers.not_run(attempts, seen)
    wrong += checkers.whole_answer(attempts, seen)
    wrong += checkers.budget(programs, seen, call_cost=1)
    wrong += checkers.complete(attempts, allowed)
    return verdict(done, counted(running, seen), wrong)


ALL = {
    "order": order, "history": history, "at-most-once": at_most_once,
    "not-run": not_run, "whole-answer": whole_answer, "budget": budget,
    "holds-released": holds_released, "planned-stop": planned_stop,
    "rolling": rolling, "zone": zone, "outage": outage,
    "everything": everything}
