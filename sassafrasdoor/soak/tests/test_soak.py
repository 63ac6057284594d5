"""The schedule depends on the seed alone, and each check can fail."""

import unittest
from types import SimpleNamespace

from sassafrasdoor.backends.connections import Reply
from sassafrasdoor.backends.interface import Broken
from sassafrasdoor.soak import checks
from sassafrasdoor.soak.checks import (
    Call,
    Departure,
    Disruption,
    StepObservation,
    Violations,
)
from sassafrasdoor.soak.schedule import (
    ADDED_KINDS,
    FAULT_PERIOD_SHARE,
    Kind,
    schedule,
)


class Run:
    def __init__(self, at, request_id="r", answer=None, stamp="p.1"):
        self.at = at
        self.request_id = request_id
        self.answer = answer
        self.stamp = stamp


def answer(status, body=b"own"):
    """Return an answer as a replica sent it."""
    return SimpleNamespace(status=status, body=body, is_success=status < 300)


def call(once, status, body):
    """Return a call to ``a``, sent at 0 and answered at 2; cut if ``status`` is None."""
    observed_call = Call("r", once, 0, "a")
    observed_call.record_outcome(
        Broken("cut") if status is None else Reply(status, {}, body), False, 2
    )
    return observed_call


def sample(name, text="text", versions=(1,)):
    return {
        "Id": name,
        "State": "completed",
        "Output": text,
        "Versions": list(versions),
    }


FIRST_FAULTS_OF_SEED_36 = [
    ("delay", 0),
    ("replica breaks streams", 0),
    ("cut off", 2),
    ("cut off", 0),
]


class ScheduleTest(unittest.TestCase):
    def test_same_seed_same_faults(self):
        first, second = (
            [str(fault) for fault in schedule(7, 30, 3, 4)] for _ in range(2)
        )
        self.assertEqual(first, second)
        self.assertNotEqual(first, [str(fault) for fault in schedule(8, 30, 3, 4)])

    def test_faults_leave_time_to_recover(self):
        for seed in range(20):
            faults = schedule(seed, 30, 3, 4)
            self.assertLess(max(fault.at for fault in faults), FAULT_PERIOD_SHARE * 30)

    def test_added_kinds_do_not_change_first_series(self):
        """Seeds that once failed are kept as tests, so their faults must not change."""
        first_series = [
            fault for fault in schedule(36, 10, 3, 3) if fault.kind not in ADDED_KINDS
        ]
        self.assertEqual(
            [(fault.kind, fault.target) for fault in first_series][:4],
            FIRST_FAULTS_OF_SEED_36,
        )

    def test_every_kind_is_drawn(self):
        drawn = {fault.kind for seed in range(20) for fault in schedule(seed, 60, 3, 4)}
        self.assertEqual(drawn, set(Kind))


class ChecksTest(unittest.TestCase):
    def violated_by_call(self, call, runs):
        violations = Violations()
        checks.check_calls([call], {"r": runs}, lambda name: b"own", violations)
        return [message.partition(":")[0] for message in violations.messages]

    def test_each_call_guarantee_can_fail(self):
        run = Run(0)
        cases = [
            (call(False, 200, b"own"), [run], []),
            (call(False, 200, b"other"), [run], ["own whole answer"]),
            (call(False, 200, b"own"), [], ["answers come from replicas"]),
            (call(True, None, b""), [run, run], ["at most once"]),
            (call(True, 503, b""), [run], ["not run is true"]),
            (call(False, 503, b""), [run], []),
        ]
        for observed_call, runs, expected in cases:
            self.assertEqual(self.violated_by_call(observed_call, runs), expected)

    def test_errored_item_needs_a_removed_route_failed_runs_or_a_reward(self):
        errored = {**sample("i"), "State": "errored"}
        failed, served, cut = (
            Run(0, answer=answer(500)),
            Run(0, answer=answer(200)),
            Run(0),
        )
        broken = "routes in force end no item: i after %d failed runs"
        cases = [
            (StepObservation("s", ["i"]), [], [broken % 0]),
            (StepObservation("s", ["i"]), [failed, failed], [broken % 2]),
            (StepObservation("s", ["i"]), [failed, failed, served, cut], [broken % 2]),
            (StepObservation("s", ["i"]), [failed] * 3, []),
            (StepObservation("s", ["i"], route_stays=False), [], []),
            (StepObservation("s", ["i"], rewarded=["i"]), [], []),
        ]
        for step, runs, expected in cases:
            step.pages = [[errored]]
            violations = Violations()
            checks.check_routes([step], {"i": runs}, 3, violations)
            self.assertEqual(violations.messages, expected)

    def test_answer_must_be_the_own_one_of_the_stamped_run(self):
        broken = ["answers are their runs' own"]
        served, failed = Run(0, answer=answer(200)), Run(0, answer=answer(500))
        cases = [
            (200, b"own", "p.1", [served], []),
            (200, b"own", None, [served], broken),
            (200, b"own", "p.2", [served], broken),
            (200, b"ow", "p.1", [served], broken),
            (200, b"own", "p.1", [failed], broken),
            (200, b"own", "p.1", [Run(0)], broken),
            (200, b"own", "p.1", [], broken),
            (500, b"", "p.1", [failed], []),
            (500, b"", "p.1", [served], broken),
            (503, b"", "p.1", [failed], broken),
            (504, b"", None, [], []),
            (None, b"", None, [served], []),
        ]
        for status, body, stamp, runs, expected in cases:
            with self.subTest(status=status, stamp=stamp, runs=runs):
                observed_call, violations = call(False, status, body), Violations()
                observed_call.stamp = stamp
                checks.check_answers([observed_call], {"r": runs}, violations)
                violated = [
                    message.partition(":")[0] for message in violations.messages
                ]
                self.assertEqual(violated, expected)

    def test_unserved_calls_are_those_that_may_be_repeated(self):
        served = {"r": [Run(0, answer=answer(200))]}
        cases = [
            (call(False, 503, b""), served, (1, 1)),
            (call(False, 504, b""), {}, (1, 0)),
            (call(False, 504, b""), {"r": [Run(0, answer=answer(500))]}, (1, 0)),
            (call(False, 200, b""), served, (0, 0)),
            (call(True, 504, b""), served, (0, 0)),
        ]
        for observed_call, runs, expected in cases:
            found = checks.unserved_calls([observed_call], runs)
            self.assertEqual(tuple(map(len, found)), expected)

    def test_cut_call_needs_a_disruption(self):
        # outcome, runs, disruptions -> violated guarantees
        cut, timed_out = Broken("connection lost"), Broken("timeout")
        cases = [
            (cut, 1, [], ["nothing is cut"]),
            (cut, 1, [Disruption("b", 0, 9)], ["nothing is cut"]),
            (cut, 1, [Disruption("a", 3, 9)], ["nothing is cut"]),
            (cut, 1, [Disruption("a", 1, 9)], []),
            (cut, 0, [], []),
            (timed_out, 1, [], []),
            (Broken("refused", began=False), 1, [], []),
            (Reply(200, {}, b""), 1, [], []),
            (Reply(504, {}, b""), 1, [], []),
            (Reply(500, {}, b""), 1, [], ["nothing is cut"]),
        ]
        for outcome, runs, disruptions, expected in cases:
            with self.subTest(outcome=outcome, disruptions=disruptions):
                observed_call = Call("r", False, 0, "a")
                observed_call.record_outcome(outcome, True, 2)
                violations = Violations()
                checks.check_cuts(
                    [observed_call], {"r": [Run(0)] * runs}, disruptions, violations
                )
                violated = [
                    message.partition(":")[0] for message in violations.messages
                ]
                self.assertEqual(violated, expected)

    def test_call_to_departed_replica_needs_a_disruption(self):
        # time of the run, disruptions -> violated guarantees; the entry is missing from
        # 10 to 19
        broken = ["leaving gets no work"]
        cases = [
            (11.9, [], []),
            (12.1, [], broken),
            (19.1, [], []),
            (12.1, [Disruption("a", 5, 9.2)], []),
            (12.3, [Disruption("a", 5, 9.2)], broken),
            (12.1, [Disruption("b", 5, 12)], broken),
            (12.1, [Disruption("", 5, 6.9)], broken),
            (12.1, [Disruption("", 5, 7.1)], []),
            (17.0, [Disruption("", 15, 16)], []),
        ]
        for at, disruptions, expected in cases:
            with self.subTest(
                at=at,
                disruptions=[
                    (disruption.instance, disruption.end) for disruption in disruptions
                ],
            ):
                replica = SimpleNamespace(identity="p", runs=[Run(at)])
                departure = Departure(replica, 10)
                departure.returned_at = 19
                observed_call, violations = call(False, 200, b""), Violations()
                checks.check_departures(
                    [departure], [observed_call], disruptions, violations
                )
                violated = [
                    message.partition(":")[0] for message in violations.messages
                ]
                self.assertEqual(violated, expected)

    def violated_by_step(
        self, pages, runs=(), accepted=True, refusals=0, unknown=0, ended_at=None
    ):
        step = StepObservation("s", ["i"])
        step.pages, step.accepted = pages, accepted
        step.refusals, step.unknown, step.ended_at = refusals, unknown, ended_at
        violations = Violations()
        checks.check_steps([step], {"i": list(runs)}, lambda name: "text", violations)
        checks.check_accepted_readable([step], lambda name: name != "s", violations)
        return [message.partition(":")[0] for message in violations.messages]

    def test_scores_are_those_of_their_own_calls(self):
        called = Run(0, answer=answer(200))
        failed = Run(0, answer=answer(500), stamp="p.3")
        cases = [
            ("own", {"Score": "p.1"}, []),
            ("failed call's", {"Score": "p.3"}, ["own score"]),
            ("another's", {"Score": "p.2"}, ["own score"]),
            ("none", {}, ["own score"]),
            ("failed", {"State": "errored"}, []),
        ]
        for name, fields, expected in cases:
            with self.subTest(name):
                step = StepObservation("s", ["i", "j"], rewarded=["i"])
                step.pages = [[{**sample("i"), **fields}, sample("j")]]
                violations = Violations()
                runs = {checks.reward_call_id("i"): [called, failed]}
                checks.check_scores([step], runs, violations)
                violated = [
                    message.partition(":")[0] for message in violations.messages
                ]
                self.assertEqual(violated, expected)

    def test_each_step_guarantee_can_fail(self):
        kept = "accepted is kept"
        cases = [
            ([[sample("i")]], {}, [kept]),
            ([[sample("i"), sample("i")]], {}, ["samples exactly once", kept]),
            ([[sample("i")], [sample("j")]], {}, ["positions stay", kept]),
            ([[sample("i", "tex")]], {}, ["whole samples", kept]),
            ([[sample("i", versions=(2,))]], {}, ["right labels", kept]),
            ([], {"runs": [Run(9)], "ended_at": 1}, ["ended means ended", kept]),
            ([], {"runs": [Run(3)], "ended_at": 1}, [kept]),
            ([], {"accepted": False, "refusals": 1}, []),
            (
                [],
                {"accepted": False, "refusals": 1, "runs": [Run(1)]},
                ["not run is true"],
            ),
            (
                [],
                {"accepted": False, "refusals": 1, "unknown": 1, "runs": [Run(1)]},
                [],
            ),
        ]
        for pages, fields, expected in cases:
            self.assertEqual(self.violated_by_step(pages, **fields), expected)
