"""Feeds each checker a good history and bad ones: a check that cannot fail
is a defect."""

import json
import pathlib
import re
import subprocess
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "support"))
sys.dont_write_bytecode = True

import checkers  # noqa: E402

TEXTS = {1: "[00000000000003e9/1] 1.2", 2: "[00000000000003ea/3] 2.2"}


def attempt(number, sent=None, **changes):
    """A model call of program p that was answered."""
    sent = number * 100 if sent is None else sent
    made = {"program": "p", "number": number, "request_id": f"call-{number}",
            "service": "quotes", "input": f"in {number}", "model": True,
            "repeatable": True, "node": "n1", "sent_us": sent,
            "ended_us": sent + 50, "result": "answer", "events": [],
            "body": {"program": "p", "number": number,
                     "request_id": f"call-{number}",
                     "output": TEXTS.get(number, "")}}
    made.update(changes)
    return made


def refusal(number, ran, code="unavailable", **changes):
    return attempt(number, result="refusal",
                   body={"error": {"code": code, "ran": ran}}, **changes)


def generate(number, at, **changes):
    """The engine's entries of a call: its start and its end."""
    turns = [{"role": "user", "text": "in 1"}]
    if number == 2:
        turns += [{"role": "assistant", "text": TEXTS[1]},
                  {"role": "user", "text": "in 2"}]
    start = {"kind": "generate", "program": "p", "target": "e1",
             "request": f"p/call-{number}", "at_us": at,
             "turns": len(turns), "hash": 1000 + number, "history": turns,
             "prompt_tokens": 10}
    start.update(changes)
    end = {"kind": "generated", "program": start["program"], "target": "e1",
           "request": start["request"], "at_us": at + 20, "tokens": 2,
           "canceled": False}
    return [start, end]


def run(number, at, **changes):
    made = {"kind": "run", "program": "p", "target": "s1", "at_us": at,
            "request": f"p/call-{number}", "input": f"in {number}"}
    made.update(changes)
    return made


def booking(number, **changes):
    made = attempt(number, model=False, repeatable=False, **changes)
    if made["result"] == "answer" and "body" not in changes:
        made["body"]["output"] = f"done p/call-{number} 17"
    return made


ATTEMPTS = [attempt(1), attempt(2)]
GOOD = generate(1, 110) + generate(2, 210)
PROGRAMS = {"p": {"root": "p", "budget": 40, "ended_us": None}}


class checker_case(unittest.TestCase):
    def good(self, wrong):
        self.assertEqual(wrong, [])

    def bad(self, wrong, part):
        self.assertTrue(wrong, "the checker saw nothing wrong")
        self.assertIn(part, " ".join(wrong))


class order_test(checker_case):
    def test_calls_in_turn_pass(self):
        self.good(checkers.order(ATTEMPTS, GOOD))

    def test_second_call_first_fails(self):
        swapped = generate(2, 110) + generate(1, 210)
        self.bad(checkers.order(ATTEMPTS, swapped), "started before")

    def test_overlapping_calls_fail(self):
        overlapping = generate(1, 110) + generate(2, 120)
        self.bad(checkers.order(ATTEMPTS, overlapping), "started before")

    def test_canceled_run_is_no_end(self):
        entries = generate(1, 110) + generate(2, 210)
        entries[1]["canceled"] = True
        self.bad(checkers.order(ATTEMPTS, entries), "started before")


class history_test(checker_case):
    def test_own_conversation_passes(self):
        self.good(checkers.history(ATTEMPTS, GOOD))

    def test_lost_turn_fails(self):
        lost = generate(2, 210, history=[{"role": "user", "text": "in 2"}])
        self.bad(checkers.history(ATTEMPTS, generate(1, 110) + lost),
                 "differ")

    def test_turn_of_another_program_fails(self):
        mixed = generate(2, 210)
        mixed[0]["history"][1] = {"role": "assistant", "text": "of another"}
        self.bad(checkers.history(ATTEMPTS, generate(1, 110) + mixed),
                 "differ")

    def test_request_nobody_made_fails(self):
        self.bad(checkers.history(ATTEMPTS, generate(1, 9, program="q")),
                 "nobody made")


class at_most_once_test(checker_case):
    def test_one_run_passes(self):
        self.good(checkers.at_most_once([booking(1)], [run(1, 110)]))

    def test_unknown_outcome_without_run_passes(self):
        unknown = [booking(1, result="broken", body=None)]
        self.good(checkers.at_most_once(unknown, []))

    def test_two_runs_fail_also_at_other_targets(self):
        twice = [run(1, 110), run(1, 150, target="s2")]
        self.bad(checkers.at_most_once([booking(1)], twice), "2 times")

    def test_answer_without_run_fails(self):
        self.bad(checkers.at_most_once([booking(1)], []), "never ran")


class not_run_test(checker_case):
    def test_refused_and_never_run_passes(self):
        self.good(checkers.not_run([refusal(1, "not_run")], []))

    def test_later_attempt_explains_run(self):
        tries = [refusal(1, "not_run"), attempt(1, 200)]
        self.good(checkers.not_run(tries, generate(1, 210)))

    def test_run_before_later_attempt_fails(self):
        tries = [refusal(1, "not_run"), attempt(1, 200)]
        self.bad(checkers.not_run(tries, generate(1, 160)), "yet")

    def test_run_after_refusal_fails(self):
        tries = [refusal(1, "not_run", repeatable=False, model=False)]
        self.bad(checkers.not_run(tries, [run(1, 900)]), "yet")


class whole_answer_test(checker_case):
    def with_output(self, output, **changes):
        made = attempt(1, **changes)
        made["body"]["output"] = output
        return [made]

    def test_own_answer_passes(self):
        self.good(checkers.whole_answer(ATTEMPTS, GOOD))
        self.good(checkers.whole_answer([booking(1)], [run(1, 110)]))

    def test_cut_answer_fails(self):
        cut = self.with_output("[00000000000003e9/1]")
        self.bad(checkers.whole_answer(cut, GOOD), "engines made [2]")

    def test_doubled_token_fails(self):
        doubled = self.with_output("[00000000000003e9/1] 1.2 1.2")
        self.bad(checkers.whole_answer(doubled, GOOD), "doubled")

    def test_answer_of_another_program_fails(self):
        other = self.with_output("[00000000000003ff/1] 23.2")
        self.bad(checkers.whole_answer(other, GOOD), "no engine saw")

    def test_crossed_request_id_fails(self):
        crossed = attempt(1)
        crossed["body"]["request_id"] = "call-2"
        self.bad(checkers.whole_answer([crossed], GOOD), "carries request_id")

    def test_another_service_answer_fails(self):
        crossed = booking(1)
        crossed["body"]["output"] = "done p/call-9 17"
        self.bad(checkers.whole_answer([crossed], [run(1, 110)]),
                 "another request")

    def test_two_different_answers_fail(self):
        second = attempt(1, 200)
        second["body"] = dict(second["body"], output="[x/1]")
        self.bad(checkers.whole_answer([attempt(1), second], GOOD),
                 "two different")

    def token(self, text, kind="message"):
        return {"event": kind, "id": None, "data": {"text": text}}

    def test_streams_restart_passes_and_gap_fails(self):
        first, second = TEXTS[1].split(" ")
        whole = [self.token(first), self.token("", "restart"),
                 self.token(first), self.token(" " + second)]
        self.good(checkers.whole_answer([attempt(1, events=whole)], GOOD))
        self.bad(checkers.whole_answer([attempt(1, events=whole[:1])], GOOD),
                 "streamed")
        self.bad(checkers.whole_answer(
            [attempt(1, events=whole + whole[-1:])], GOOD), "streamed")


class budget_test(checker_case):
    def test_within_passes(self):
        self.good(checkers.budget(PROGRAMS, GOOD, 1))

    def test_sub_agents_repeats_and_plain_calls_count(self):
        programs = dict(PROGRAMS, **{"p.1": {
            "root": "p", "budget": 40, "ended_us": None}})
        spent = GOOD + generate(1, 300, program="p.1")
        self.good(checkers.budget(programs, spent, 4))
        self.bad(checkers.budget(programs, spent + [run(3, 400)], 5),
                 "spent 41 of 40")


class complete_test(checker_case):
    def test_answered_passes(self):
        self.good(checkers.complete(ATTEMPTS))

    def test_lost_call_fails(self):
        lost = [attempt(1, result="broken", body=None)]
        self.bad(checkers.complete(lost), "broken")

    def test_refusal_fails_unless_allowed(self):
        refused = [refusal(1, "ran", "budget_exhausted")]
        self.bad(checkers.complete(refused), "budget_exhausted")
        self.good(checkers.complete(refused, ("budget_exhausted",)))


class holds_released_test(checker_case):
    HOLDS = {"e1": [{"program": "p", "tokens": 5}]}

    def test_hold_of_running_program_passes(self):
        self.good(checkers.holds_released(PROGRAMS, self.HOLDS))

    def test_hold_of_ended_program_fails(self):
        ended = {"p": dict(PROGRAMS["p"], ended_us=7)}
        self.bad(checkers.holds_released(ended, self.HOLDS), "5 tokens")


class planned_stop_test(checker_case):
    def test_answered_and_later_refused_pass(self):
        tries = [attempt(1), refusal(2, "not_run", sent_us=200)]
        self.good(checkers.planned_stop(tries, "n1", 120, 0))

    def test_cut_request_fails(self):
        cut = [attempt(1, result="broken", body=None)]
        self.bad(checkers.planned_stop(cut, "n1", 120, 0), "in flight")

    def test_refused_request_in_flight_fails(self):
        self.bad(checkers.planned_stop([refusal(1, "not_run")], "n1", 120, 0),
                 "in flight")

    def test_exit_code_fails(self):
        self.bad(checkers.planned_stop([], "n1", 120, None), "None")


class leaving_target_test(checker_case):
    def test_start_within_bound_passes(self):
        self.good(checkers.leaving_target(GOOD, "e1", 150, 100))

    def test_start_after_bound_fails(self):
        self.bad(checkers.leaving_target(GOOD, "e1", 150, 50), "1 starts")


class configuration_test(checker_case):
    ACCEPTED = [(100, "s1"), (200, "s2")]

    def test_change_in_force_passes(self):
        runs = [run(1, 150), run(2, 215), run(3, 300, target="s2")]
        self.good(checkers.configuration(runs, self.ACCEPTED, 20))

    def test_old_version_after_bound_fails(self):
        runs = [run(1, 300, target="s2"), run(2, 310)]
        self.bad(checkers.configuration(runs, self.ACCEPTED, 20),
                 "after the change")

    def test_two_winners_or_none_fail(self):
        self.good(checkers.one_winner({2: ["accepted", "refused"]}))
        self.bad(checkers.one_winner({2: ["accepted"] * 2}), "2 accepted")
        self.bad(checkers.one_winner({2: ["refused"] * 2}), "0 accepted")


class recovery_test(checker_case):
    def test_gap_runs_from_kill_to_next_answer(self):
        tries = [attempt(1), attempt(2, 1_000_000), attempt(3, 3_000_000)]
        gaps = checkers.gaps_after(tries, [500_000])
        self.assertEqual(gaps, [0.50005])
        self.assertEqual(checkers.median_and_worst([3, 1, 2]), (2, 3))
        self.assertEqual(checkers.median_and_worst([]), (None, None))


ROOT = pathlib.Path(__file__).parent.parent


class losses_test(unittest.TestCase):
    """The sums of support/losses: each party's losses are its own."""

    LINES = [
        {"event": "node.start", "node": "n1", "domain": "z1"},
        {"event": "call.ended", "node": "n1", "time_ms": 1000, "route": "r",
         "workspace": "archive", "outcome": "own answer", "status": 503,
         "why": "the engines are full"},
        {"event": "call.ended", "node": "n1", "time_ms": 1100, "route": "r",
         "workspace": "archive", "outcome": "own answer", "status": 503,
         "why": "the engines are full"},
        {"event": "call.ended", "node": "n2", "time_ms": 4000, "route": "q",
         "workspace": "library", "outcome": "broken off", "why": "time is up",
         "engine": "e1", "engine_domain": "z2"},
        {"event": "call.ended", "node": "n1", "time_ms": 1200, "route": "q",
         "workspace": "library", "outcome": "answered", "status": 200,
         "engine": "e1", "engine_domain": "z2", "finish_in_ms": 300,
         "ms": 400},
        {"event": "call.ended", "node": "n2", "time_ms": 1300, "route": "q",
         "outcome": "own answer", "status": 503, "why": "no engine to ask"},
    ]

    def losses(self, *options):
        with tempfile.NamedTemporaryFile("w", suffix=".log") as file:
            file.write("".join("10:00 " + json.dumps(one) + "\n"
                               for one in self.LINES) + "12 {}\n[1]\n")
            file.flush()
            done = subprocess.run(
                [ROOT / "support" / "losses", *options, file.name],
                stdout=subprocess.PIPE, check=True, text=True)
        return done.stdout.splitlines()

    def test_without_parties_causes_are_summed(self):
        self.assertEqual(self.losses()[:4], [
            "5 calls, 4 lost",
            "      2  own answer: the engines are full",
            "      1  broken off: time is up",
            "      1  own answer: no engine to ask"])

    def test_workspaces_have_their_own_losses_and_late_answers(self):
        self.assertEqual(self.losses("--by", "workspace"), [
            "5 calls, 4 lost",
            "archive: 2 calls, 2 lost, 0 late",
            "      2  own answer: the engines are full",
            "library: 2 calls, 1 lost, 1 late",
            "      1  broken off: time is up",
            "none: 1 calls, 1 lost, 0 late",
            "      1  own answer: no engine to ask",
            "from second 0",
            "      2  archive",
            "      1  none",
            "from second 2",
            "      1  library"])

    def test_routes_have_their_own_losses(self):
        self.assertEqual(self.losses("--by", "route")[1:4:2], [
            "q: 3 calls, 2 lost, 1 late", "      1  own answer: no engine to ask"])

    def test_domain_is_the_engines_or_without_one_the_nodes(self):
        lines = self.losses("--by", "domain")
        self.assertIn("no engine, node in z1: 2 calls, 2 lost, 0 late", lines)
        self.assertIn("engine in z2: 2 calls, 1 lost, 1 late", lines)
        self.assertIn(
            "no engine, node in unknown domain: 1 calls, 1 lost, 0 late", lines)


class refusals_test(unittest.TestCase):
    def test_each_documented_refusal_has_a_cause_in_the_metrics(self):
        """A refusal without an entry is counted under the cause `other`."""
        page = (ROOT / "docs" / "OPERATIONS.md").read_text()
        table = page.split("## A request was refused: 503")[1].split("\n## ")[0]
        reasons = [row.split("|")[1].strip() for row in table.splitlines()
                   if row.startswith("| ")][1:]
        reasons = [one for row in reasons for one in row.split("; ")
                   if set(one) != {"-"}]
        source = (ROOT / "src" / "entry" / "load_accounting.cpp").read_text()
        source = re.sub(r'"\s*"', "", source)
        self.assertGreater(len(reasons), 15)
        for reason in reasons:
            self.assertIn('{"%s",' % reason, source)


if __name__ == "__main__":
    unittest.main()
