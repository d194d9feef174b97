"""The promises, each with a proof by real processes under failure."""

import dataclasses
import random
import threading
import time

import callers
import checkers
import faults
import harness
import wire
import workload
from world import world

# Stated bound after which a leaving target gets no new work (seconds).
LEAVING_BOUND = 5.0
# Stated bound after which an accepted configuration is in force (seconds).
CONFIGURATION_BOUND = 5.0
# Holds of ended programs are gone within this (seconds).
HOLDS_BOUND = 30.0
# A storm that has not shown what it is about by then ends without (seconds).
ENOUGH_AT_MOST = 60.0
# How a call that may not be repeated can end when a failure strikes it.
UNKNOWN = ("answer", "outcome_unknown", "target_failed", "deadline_exceeded")


@dataclasses.dataclass
class verdict:
    """How a proof went."""

    faults: list
    checked: str
    violations: list


def storm(running, rng, script, struck, agents=6, rounds=3, pairs=False,
          budget=100_000, enough=lambda: True, **options):
    """Runs programs, one after the other in each of some threads, until all
    faults have struck and there was enough of what is to be proved, or
    ENOUGH_AT_MOST has passed. Returns (faults injected, errors)."""
    group = workload.crowd()
    end = time.monotonic() + ENOUGH_AT_MOST
    with faults.injector(running, random.Random(rng.random()), struck,
                         rounds, pairs=pairs) as harm:
        for i in range(agents):
            own = random.Random(rng.random())
            group.add(workload.until_over, running, own, name=f"a{i + 1}",
                      script=script, budget=budget, options=options,
                      over=lambda: harm.over() and (
                          enough() or time.monotonic() > end))
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
        def refusals():
            return sum(checkers.refused_not_run(a)
                       for a in list(running.record.attempts))
        done, errors = storm(
            running, rng, workload.chain,
            [faults.service_refuses, faults.engine_refuses, faults.kill,
             faults.table_down, faults.table_loses_answers, faults.freeze,
             faults.cut_target, faults.engine_slow],
            agents=10, pick=hurried, pause=0.02,
            enough=lambda: refusals() > 0)
        seen = running.executions()
        attempts = running.record.attempts
        refused = refusals()
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


def wait_for_traffic(node):
    """Waits until a caller has a request at the node under way."""
    harness.wait_until(f"request at {node.name}",
                       lambda: node.port in wire.UNDER_WAY, 10, 0.001)


def planned_stop(seed):
    """A planned stop cuts off no request in flight."""
    rng = random.Random(seed)
    with world(engine_options=["--token-us", "10000"]) as running:
        group, over = workload.crowd(), threading.Event()
        for i in range(16):
            own = random.Random(rng.random())
            group.add(workload.until_over, running, own, name=f"a{i + 1}",
                      script=workload.chain, over=over.is_set, budget=100_000,
                      options={"pause": 0.02})
        stops = []
        for each in rng.sample(running.nodes, 2):
            time.sleep(rng.uniform(0.2, 1.0))
            wait_for_traffic(each)
            at = harness.now_us()
            stops.append((each, at, each.process.terminate()))
            each.start()
            each.wait_ready()
        over.set()
        group.join()
        attempts = running.record.attempts
        wrong, in_flight = checkers.complete(attempts), 0
        for each, at, code in stops:
            wrong += checkers.planned_stop(attempts, each.name, at, code)
            in_flight += sum(a["node"] == each.name and
                             a["sent_us"] < at < a["ended_us"]
                             for a in attempts)
        if in_flight == 0:
            wrong.append("nothing was in flight: nothing was tested")
        seen = running.executions()
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


def generated(running, target):
    return any(e["target"] == target and e["kind"] == "generate"
               for e in running.executions())


def leaving_target(seed):
    """A leaving target gets no new work after the stated bound."""
    rng = random.Random(seed)
    end = time.monotonic() + LEAVING_BOUND + 8.0

    def over():
        return time.monotonic() > end
    with world(engines=3) as running:
        group = workload.crowd()
        for i in range(6):
            own = random.Random(rng.random())
            group.add(workload.until_over, running, own, name=f"a{i + 1}",
                      script=workload.chain, over=over, budget=100_000,
                      options={"pick": pausing, "pause": 0.02})
        struck = [faults.kill, faults.freeze, faults.table_slow,
                  faults.cut_table]
        with faults.injector(running, random.Random(rng.random()), struck,
                             rounds=2) as harm:
            time.sleep(rng.uniform(0.3, 1.0))
            # Draining an engine that had no work yet would prove nothing.
            until = time.monotonic() + LEAVING_BOUND
            while time.monotonic() < until and not generated(running, "e1"):
                time.sleep(0.05)
            ordered = callers.operator(running.nodes, rng, "operator")
            accepted, at, got = ordered.order('drain e1 reason "proof"')
            harm.thread.join()
        group.join()
        seen = running.executions()
        wrong = checkers.leaving_target(seen, "e1", at,
                                        LEAVING_BOUND * 1_000_000)
        wrong += checkers.complete(running.record.attempts)
        if not accepted:
            wrong.append(f"the order was refused: {got.body}")
        mine = [e["at_us"] for e in seen
                if e["target"] == "e1" and e["kind"] == "generate"]
        if not mine:
            wrong.append("e1 had no work before: nothing was tested")
        last = max([0.0] + [(start - at) / 1e6 for start in mine])
        return verdict(harm.done + ["drain"],
                       f"last start {last:.2f} s after the order, "
                       + counted(running, seen), group.errors + wrong)


def race(running, rng, version, targets):
    """Two operators change the same version at once, through any node.

    Returns [(accepted, at_us, target)] of both.
    """
    results = []

    def change(target):
        ordered = callers.operator(running.nodes, random.Random(target),
                                   f"operator-{target}")
        accepted, at, _ = ordered.order(
            f"alter service depot-app set targets={target} "
            f"at version {version}")
        results.append((accepted, at, target))
    threads = [threading.Thread(target=change, args=(t,)) for t in targets]
    rng.shuffle(threads)
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


def configuration(seed):
    """An accepted configuration is in force everywhere and never reverts."""
    rng = random.Random(seed)
    with world(services=5, one_service_each=True) as running:
        group = workload.crowd()
        for i in range(2):
            own = random.Random(rng.random())
            guest = callers.visitor(running.nodes, running.record, f"v{i + 1}")
            group.add(workload.visiting, guest, own,
                      seconds=2 * CONFIGURATION_BOUND + 6)
        accepted, outcomes = [(0, "s1")], {}
        struck = [faults.kill, faults.freeze, faults.table_loses_answers,
                  faults.cut_table]
        with faults.injector(running, random.Random(rng.random()), struck,
                             rounds=3) as harm:
            for version, pair in ((1, ("s2", "s3")), (2, ("s4", "s5"))):
                results = race(running, rng, version, pair)
                outcomes[version] = ["accepted" if r[0] else "refused"
                                     for r in results]
                accepted += [(at, target) for won, at, target in results
                             if won]
                time.sleep(CONFIGURATION_BOUND + 1.0)
            harm.thread.join()
        group.join()
        seen = running.executions()
        wrong = checkers.one_winner(outcomes)
        wrong += checkers.configuration(seen, accepted,
                                        CONFIGURATION_BOUND * 1_000_000)
        runs = sum(e["kind"] == "run" for e in seen)
        return verdict(harm.done + ["racing operators"],
                       f"{runs} plain calls, {len(accepted) - 1} changes",
                       group.errors + wrong)


def recovery(seed):
    """Times from a kill to the next answered call of each program."""
    rng = random.Random(seed)
    with world() as running:
        lease = running.node_options["lease_ms"] / 1_000
        group = workload.crowd()
        for i in range(24):
            own = random.Random(rng.random())
            group.add(workload.chain, running.agent(own, f"a{i + 1}"), own,
                      calls=120, pause=0.2, pick=workload.look_up)
        kills = []
        for _ in range(3):
            time.sleep(rng.uniform(1.0, 2.0))
            struck = rng.choice(running.nodes)
            struck.process.kill()
            kills.append(harness.now_us())
            time.sleep(2.5 * lease)
            struck.start()
            struck.wait_ready()
        group.join()
        gaps = checkers.gaps_after(running.record.attempts, kills)
        hit = [g for g in gaps if g > lease / 2]
        middle, worst = checkers.median_and_worst(hit)
        wrong = checkers.complete(running.record.attempts)
        if not hit:
            return verdict(["kill"] * 3, "nothing",
                           wrong + ["no program lost its owner"])
        return verdict(
            ["kill"] * 3,
            f"lease {lease:.1f} s, {len(hit)} of {len(gaps)} waits longer "
            f"than half a lease: median {middle:.2f} s, worst {worst:.2f} s",
            group.errors + wrong)


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
    "leaving-target": leaving_target, "configuration": configuration,
    "rolling": rolling, "zone": zone, "outage": outage,
    "everything": everything, "recovery": recovery}
