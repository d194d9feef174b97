"""Checks of what must always hold, as pure functions.

They read only what callers, engines and services recorded:

attempts    one dict for each request a caller sent: program, number,
            request_id, service, input, model (bool), repeatable, node,
            sent_us, ended_us, result ("answer", "refusal" or "broken"),
            body, events
executions  entries of engines' and services' ledgers, each with `target`
programs    program -> {"root", "budget", "ended_us" or None}

Each returns a list of violations, empty when the promise was kept.
"""

import collections
import re

FIRST_TOKEN = re.compile(r"\[([0-9a-f]{16})/(\d+)\]")


def is_for(entry, program, request_id):
    """Whether a ledger's entry is of that request; ids may be prefixed."""
    return (entry.get("program", "") == program and
            (entry["request"] == request_id or
             entry["request"].endswith("/" + request_id)))


def by_request(attempts):
    """Groups attempts by program and request id, in order of sending."""
    groups = collections.defaultdict(list)
    for attempt in sorted(attempts, key=lambda a: a["sent_us"]):
        groups[attempt["program"], attempt["request_id"]].append(attempt)
    return groups


def starts_of(executions, program, request_id):
    return [e for e in executions if e["kind"] in ("generate", "run")
            and is_for(e, program, request_id)]


def answers_of(attempts):
    return [a for a in attempts if a["result"] == "answer"]


def completions_of(executions, program, request_id):
    """Entries that show that an execution came to its end."""
    return [e for e in executions if is_for_any(e) and
            is_for(e, program, request_id) and not e.get("canceled")]


def is_for_any(entry):
    return entry["kind"] in ("generated", "run")


def order(attempts, executions):
    """Calls of a program start in the order of their numbers, each after one
    execution of the call before it came to its end."""
    wrong = []
    numbers = collections.defaultdict(dict)
    for (program, request_id), tries in by_request(attempts).items():
        if program:
            numbers[program][tries[0]["number"]] = (request_id, tries)
    for program, calls in numbers.items():
        for number in sorted(calls):
            if number - 1 not in calls:
                continue
            starts = starts_of(executions, program, calls[number][0])
            earlier, tries = calls[number - 1]
            if not starts or not answers_of(tries):
                continue
            start = min(e["at_us"] for e in starts)
            ends = [e["at_us"] for e in
                    completions_of(executions, program, earlier)]
            if not ends or min(ends) > start:
                wrong.append(f"{program}: call {number} started before call "
                             f"{number - 1} ended")
    return wrong


def history(attempts, executions):
    """Every engine saw exactly the program's own earlier conversation."""
    wrong = []
    conversation = collections.defaultdict(dict)
    for (program, request_id), tries in by_request(attempts).items():
        answered = answers_of(tries)
        first = tries[0]
        if first["model"]:
            output = answered[0]["body"]["output"] if answered else None
            conversation[program][first["number"]] = (
                request_id, first["input"], output)
    for entry in executions:
        if entry["kind"] != "generate":
            continue
        program = entry["program"]
        calls = conversation.get(program, {})
        found = [n for n in calls if is_for(entry, program, calls[n][0])]
        if not found:
            wrong.append(f"{entry['target']}: a request nobody made, "
                         f"{program} {entry['request']}")
            continue
        expected = []
        for number in sorted(n for n in calls if n < found[0]):
            if calls[number][2] is not None:
                expected += [calls[number][1], calls[number][2]]
        expected.append(calls[found[0]][1])
        seen = [turn["text"] for turn in entry["history"]]
        if seen != expected:
            wrong.append(f"{program}: call {found[0]} at {entry['target']} "
                         f"saw {len(seen)} turns that differ from the "
                         f"{len(expected)} of its conversation")
    return wrong


def at_most_once(attempts, executions):
    """A request that may not be repeated runs at most once; one that was
    answered ran exactly once."""
    wrong = []
    for (program, request_id), tries in by_request(attempts).items():
        if tries[0]["repeatable"]:
            continue
        count = len(starts_of(executions, program, request_id))
        if count > 1:
            wrong.append(f"{program} {request_id}: ran {count} times")
        if count == 0 and answers_of(tries):
            wrong.append(f"{program} {request_id}: answered, never ran")
    return wrong


def not_run(attempts, executions):
    """Every execution is owed to an attempt that was sent before it and was
    not refused as not run."""
    wrong = []
    for (program, request_id), tries in by_request(attempts).items():
        causes = [t["sent_us"] for t in tries if not refused_not_run(t)]
        for entry in starts_of(executions, program, request_id):
            if not any(sent <= entry["at_us"] for sent in causes):
                wrong.append(f"{program} {request_id}: refused as not run, "
                             f"yet {entry['target']} ran it")
    return wrong


def refused_not_run(attempt):
    return (attempt["result"] == "refusal" and
            attempt["body"]["error"]["ran"] == "not_run")


def whole_answer(attempts, executions):
    """Every answer belongs to its own request and is whole."""
    wrong = []
    for (program, request_id), tries in by_request(attempts).items():
        answered = answers_of(tries)
        if len({a["body"]["output"] for a in answered}) > 1:
            wrong.append(f"{program} {request_id}: two different answers")
        for attempt in answered:
            problem = wrong_answer(attempt, executions)
            if problem:
                wrong.append(f"{program} {request_id}: {problem}")
    return wrong


def wrong_answer(attempt, executions):
    body = attempt["body"]
    for key in ("program", "number", "request_id"):
        if attempt["program"] and body.get(key) != attempt[key]:
            return f"carries {key} {body.get(key)!r}"
    if attempt.get("events"):
        problem = wrong_stream(attempt["events"], body["output"])
        if problem:
            return problem
    mine = [e for e in executions
            if "request" in e and
            is_for(e, attempt["program"], attempt["request_id"])]
    if not attempt["model"]:
        sent = {e["request"] for e in mine if e["kind"] == "run"}
        if not any(body["output"].startswith(f"done {s} ") for s in sent):
            return f"answer of another request: {body['output'][:60]!r}"
        return None
    return wrong_tokens(body["output"], mine)


def wrong_tokens(output, mine):
    """Whether a model's answer is not one that an engine made for it."""
    first = FIRST_TOKEN.match(output)
    if not first:
        return f"not an engine's answer: {output[:60]!r}"
    hash_seen, turns = int(first.group(1), 16), int(first.group(2))
    if not any(e["kind"] == "generate" and e["hash"] == hash_seen
               and e["turns"] == turns for e in mine):
        return "made from a history that no engine saw for it"
    count = len(output.split(" "))
    parts = [f" {hash_seen % 1000}.{k}" for k in range(2, count + 1)]
    if output != first.group(0) + "".join(parts):
        return "tokens are missing, doubled or of another answer"
    ends = {e["tokens"] for e in mine if e["kind"] == "generated"
            and not e["canceled"]}
    if count not in ends:
        return f"{count} tokens, engines made {sorted(ends)}"
    return None


def wrong_stream(events, output):
    """Whether the tokens do not add up to the whole answer."""
    text = ""
    for event in events:
        if event["event"] == "restart":
            text = ""
        elif event["event"] == "message":
            text += event["data"]["text"]
    if text != output:
        return f"streamed {text[-40:]!r}, answered {output[-40:]!r}"
    return None


def budget(programs, executions, call_cost):
    """What engines and services really did for a root stays in its budget."""
    spent = collections.Counter()
    for entry in executions:
        program = programs.get(entry.get("program"))
        if program is None:
            continue
        if entry["kind"] == "generate":
            spent[program["root"]] += entry["prompt_tokens"]
        elif entry["kind"] == "generated":
            spent[program["root"]] += entry["tokens"]
        elif entry["kind"] == "run":
            spent[program["root"]] += call_cost
    return [f"{root}: spent {units} of {programs[root]['budget']}"
            for root, units in spent.items()
            if units > programs[root]["budget"]]


def complete(attempts, allowed=("answer",)):
    """Every call ended with an answer, or with a refusal that is allowed."""
    wrong = []
    for (program, request_id), tries in by_request(attempts).items():
        last = tries[-1]
        how = last["result"]
        if how == "refusal":
            how = last["body"]["error"]["code"]
        if not answers_of(tries) and how not in allowed:
            wrong.append(f"{program} {request_id}: ended as {how} "
                         f"after {len(tries)} attempts")
    return wrong


def holds_released(programs, holds):
    """No engine holds memory for a program that has ended.

    holds: engine -> list of its own /v1/holds
    """
    return [f"{engine} holds {hold['tokens']} tokens of ended {hold['program']}"
            for engine, listed in holds.items() for hold in listed
            if programs.get(hold["program"], {}).get("ended_us")]


def planned_stop(attempts, node, stop_us, exit_code):
    """Requests in flight at the stop are answered; the node ends with 0."""
    wrong = []
    if exit_code != 0:
        wrong.append(f"{node} ended with {exit_code}")
    for attempt in attempts:
        in_flight = (attempt["node"] == node and
                     attempt["sent_us"] < stop_us < attempt["ended_us"])
        if in_flight and attempt["result"] != "answer":
            wrong.append(f"{attempt['program']} {attempt['request_id']}: "
                         f"in flight at the stop, ended as "
                         f"{attempt['result']} {attempt['body']}")
    return wrong


def leaving_target(executions, target, accepted_us, bound_us):
    """A leaving target starts nothing later than the bound."""
    late = [e for e in executions
            if e["target"] == target and e["kind"] in ("generate", "run")
            and e["at_us"] > accepted_us + bound_us]
    return [f"{target}: {len(late)} starts after the bound, the last "
            f"{(late[-1]['at_us'] - accepted_us) / 1e6:.1f} s after it was "
            f"to leave"] if late else []


def configuration(executions, accepted, bound_us):
    """After a version is accepted nothing follows an older one.

    accepted: list of (at_us, target): from then on only that target serves
    """
    wrong = []
    rank = {target: i for i, (_, target) in enumerate(accepted)}
    for entry in executions:
        if entry["kind"] != "run" or entry["target"] not in rank:
            continue
        in_force = [i for i, (at, _) in enumerate(accepted)
                    if at + bound_us < entry["at_us"]]
        if in_force and rank[entry["target"]] < in_force[-1]:
            wrong.append(
                f"{entry['target']} served {entry['request']} "
                f"{(entry['at_us'] - accepted[in_force[-1]][0]) / 1e6:.1f} s "
                f"after the change to {accepted[in_force[-1]][1]}")
    return wrong


def one_winner(outcomes):
    """Of changes that race on one version exactly one is accepted.

    outcomes: version -> list of "accepted" / "refused"
    """
    return [f"version {version}: {results.count('accepted')} accepted"
            for version, results in outcomes.items()
            if results.count("accepted") != 1]


def gaps_after(attempts, kills):
    """Seconds from each kill to the next answered call of each program that
    had calls before and after it."""
    ends = collections.defaultdict(list)
    for attempt in answers_of(attempts):
        ends[attempt["program"]].append(attempt["ended_us"])
    gaps = []
    for kill in kills:
        for times in ends.values():
            later = [t for t in times if t > kill]
            if later and min(times) < kill:
                gaps.append((min(later) - kill) / 1e6)
    return gaps


def median_and_worst(times):
    """Returns (median, worst) of a list, (None, None) when it is empty."""
    if not times:
        return None, None
    ordered = sorted(times)
    return ordered[len(ordered) // 2], ordered[-1]
