"""Replays of many times the usual calls in virtual time, and the cases of one decision."""

import unittest
from collections import Counter

from sassafrasdoor.admission.retries import RetryBudget
from sassafrasdoor.routing.overload import (
    HEADROOM_SHARE,
    MIN_RETRY_AFTER,
    OBSERVED_PACE_LIFETIME,
    REPORT_LIFETIME,
    AdmissionControl,
    Call,
    FirstAttempts,
    LoadReport,
    Refuse,
    ReplicaLoad,
    Send,
    Wait,
)
from sassafrasdoor.routing.tests.overload_replay import (
    SLOTS,
    TARGET,
    WORK_TIMES,
    Instance,
    PresentInstance,
    Replay,
)

PACES = (1.0, 1.0, 4.0)
SECONDS = 6.0
# Two large accounts have half of the demand, as in the deployment with 85 accounts.
ACCOUNTS = {"large-0": 30, "large-1": 20, **{f"a{at}": 50 / 83 for at in range(83)}}


def servable(paces):
    """Return how many calls the replicas can end in the time of the replay."""
    mean = sum(WORK_TIMES) / len(WORK_TIMES)
    return sum(SLOTS / (mean * pace) for pace in paces) * SECONDS


def fair_shares(demand, capacity):
    """Return the largest equal share of the capacity for each account (max-min)."""
    shares, left = {}, dict(demand)
    while left:
        equal = capacity / len(left)
        small = {name: calls for name, calls in left.items() if calls <= equal}
        for name, calls in (small or dict.fromkeys(left, equal)).items():
            shares[name] = calls
            capacity -= calls
            del left[name]
    return shares


def missed_targets(callers, paces=PACES):
    """Return which targets the calls of a replay miss, as text with the figures."""
    on_time = Counter(caller.account for caller in callers if caller.is_on_time)
    demand = Counter(caller.account for caller in callers)
    shares = fair_shares(demand, servable(paces))
    served = on_time.total() / min(len(callers), servable(paces))
    sends = sum(c.sends for c in callers) / sum(c.ran for c in callers)
    delay = max((d for c in callers for d in c.refusal_delays), default=0.0)
    lowest = min(on_time[name] / shares[name] for name in shares)
    checks = [
        (served >= 0.9, f"{served:.3f} of the servable calls on time"),
        (sends <= 1.2, f"{sends:.2f} sends for each call that runs"),
        (delay <= TARGET / 4, f"refused after {delay:.3f} s"),
        (lowest >= 0.5, f"an account has {lowest:.2f} of its share"),
    ]
    return [text for is_met, text in checks if not is_met]


class ReplayTest(unittest.TestCase):
    def callers(
        self,
        make_instance,
        load,
        paces=PACES,
        seed=1,
        instances=14,
        reports_pace=True,
    ):
        replay = Replay(make_instance, paces, instances, seed, reports_pace)
        return replay.run(load, SECONDS, ACCOUNTS)

    def test_targets_hold_under_many_times_the_usual_calls(self):
        """Guards against sends that are repeated at every full replica.

        The calls are up to twice what the replicas can end; one of three is slow.
        """
        for load in (60, 75, 90, 120):
            for seed in (1, 2, 3):
                with self.subTest(load=load, seed=seed):
                    callers = self.callers(Instance, load, seed=seed)
                    self.assertEqual(missed_targets(callers), [])

    def test_targets_hold_if_replicas_report_no_pace(self):
        """Guards against a slow replica whose calls are all expected as if it were not.

        Its slowness shows in the times of its answers only.
        """
        for load in (60, 75, 90, 120):
            for seed in (1, 2, 3):
                with self.subTest(load=load, seed=seed):
                    callers = self.callers(
                        Instance, load, seed=seed, reports_pace=False
                    )
                    self.assertEqual(missed_targets(callers), [])

    def test_present_policy_misses_the_targets(self):
        """Guards against a replay that any policy passes.

        At 75 times the usual calls the figures are close to those observed.
        """
        for load in (75, 90, 120):
            with self.subTest(load=load):
                missed = missed_targets(self.callers(PresentInstance, load))
                self.assertGreaterEqual(len(missed), 2, missed)

    def test_targets_hold_for_one_and_for_few_instances(self):
        for instances in (1, 4):
            with self.subTest(instances=instances):
                callers = self.callers(Instance, 120, instances=instances)
                self.assertEqual(missed_targets(callers), [])

    def test_nothing_changes_while_slots_are_free(self):
        """Guards against refusals, and more or fewer sends, without overload."""
        for paces in ((1.0, 1.0, 1.0), PACES):
            for load in (1, 5):
                with self.subTest(load=load, paces=paces):
                    before = self.callers(PresentInstance, load, paces)
                    after = self.callers(Instance, load, paces)
                    self.assertEqual(
                        [(c.sends, c.answered_at) for c in after],
                        [(c.sends, c.answered_at) for c in before],
                    )


class FirstAttemptsTest(unittest.TestCase):
    def test_elapsed_time_of_callers_that_come_back(self):
        """Guards against calls whose target counts from the second attempt."""
        cases = [
            ("first", 1.507, 0.0),
            ("first, later read", 1.490, 0.0),
            ("came back", 1.307, 0.2),
            ("longer deadline", 1.507, 0.0),
            ("a caller's own deadline", 0.5, 0.0),
        ]
        attempts = FirstAttempts()
        for name, left, elapsed in cases:
            with self.subTest(name):
                self.assertAlmostEqual(attempts.elapsed(left, TARGET, 10.0), elapsed)
        self.assertAlmostEqual(attempts.elapsed(1.307, TARGET, 21.0), 0.2)
        # No first attempt was seen for two periods.
        attempts.elapsed(1.0, TARGET, 32.0)
        self.assertEqual(attempts.elapsed(1.0, TARGET, 43.0), 0.0)


class DecisionTest(unittest.TestCase):
    def setUp(self):
        self.control = AdmissionControl(lambda: 0.0)
        self.control.work_time = 0.03

    def load(self, identity, total, pace=1.0, age=0.0):
        """Return a replica with six slots and ``total`` calls at time 10."""
        running = min(SLOTS, total)
        report = LoadReport(running, total - running, pace, 10.0 - age)
        return ReplicaLoad(identity, SLOTS, report)

    def call(self, account="", left=TARGET, returned=False):
        return Call(account, TARGET, 10.0 + left, 11.5, returned)

    def decide(self, *replicas, call=None, usual="a"):
        return self.control.decide(call or self.call(), usual, replicas, 10.0)

    def test_replicas_chosen(self):
        load = self.load
        unknown = ReplicaLoad("b", SLOTS, None)
        stale = REPORT_LIFETIME + 0.1
        cases = [
            ("nobody queues: the usual", [load("a", 3), load("b", 0)], {}, "a"),
            ("no report: the usual", [ReplicaLoad("a", SLOTS, None)], {}, "a"),
            ("stale reports: the usual", [load("a", 20, age=stale)], {}, "a"),
            ("earliest finish", [load("a", 14), load("b", 8)], {}, "b"),
            ("pace counts", [load("a", 9), load("b", 7, pace=4.0)], {}, "a"),
            ("unknown replica", [load("a", 36), unknown], {}, "b"),
            (
                "late, free slot",
                [load("a", 36), load("b", 5, pace=4.0)],
                {"left": 0.1},
                "b",
            ),
            ("late, slow for all", [load("a", 36), load("b", 8, pace=8.0)], {}, "b"),
        ]
        for name, replicas, fields, expected in cases:
            with self.subTest(name):
                decision = self.decide(*replicas, call=self.call(**fields))
                self.assertIsInstance(decision, Send)
                self.assertEqual(decision.identity, expected)

    def test_replica_that_was_free_by_its_last_report_gets_calls(self):
        """Guards against refusals while a replica of which little is heard is free."""
        full = self.load("a", 36)
        for load, expected in ((4, Send), (6, Refuse)):
            with self.subTest(load=load):
                self.setUp()
                stale = self.load("b", load, age=REPORT_LIFETIME + 0.1)
                self.control.record_send(self.call(), stale, 10.0)
                self.assertIsInstance(self.decide(full, stale), expected)

    def test_call_that_cannot_be_on_time_is_refused_at_once(self):
        decision = self.decide(self.load("a", 36), self.load("b", 36))
        self.assertIsInstance(decision, Refuse)
        self.assertGreaterEqual(decision.retry_after, MIN_RETRY_AFTER)
        self.assertLessEqual(decision.retry_after, 0.5)
        self.assertEqual(self.control.waiting, [])

    def test_observed_pace_lapses_and_is_forgotten_with_its_replica(self):
        """Guards against a replica that gets no calls because it was slow once."""
        idle = LoadReport(0, 0, None, 10.0)
        for identity, sent_at in [("b", 9.97)] * 20 + [("a", 9.88)] * 20:
            replica = ReplicaLoad(identity, SLOTS, idle)
            sent = self.control.record_send(self.call(), replica, sent_at)
            self.control.record_end(sent, 10.0, replica)

        def pace(now):
            report = LoadReport(0, 0, None, now)
            replica = ReplicaLoad("a", SLOTS, report)
            return self.control._estimates([replica], now)["a"].pace

        self.assertGreater(pace(10.1), 2.0)
        self.assertEqual(pace(10.1 + OBSERVED_PACE_LIFETIME), 1.0)
        self.control.retain(set())
        self.assertEqual(pace(10.1), 1.0)

    def test_callers_refused_together_return_at_different_times(self):
        self.control._random = iter([0.0, 1.0]).__next__
        full = self.load("a", 36)
        waits = [self.control.retry_after([full], self.call(), 10.0) for _ in "ab"]
        self.assertGreater(waits[1], waits[0] * 1.2)

    def test_account_above_its_share_leaves_headroom(self):
        """Guards against a large account that takes the capacity of all others."""
        for _ in range(20):
            self.control.record_send(self.call("large"), self.load("b", 0), 10.0)
        self.control.record_send(self.call("small"), self.load("b", 0), 10.0)
        queue = (1 - HEADROOM_SHARE) * TARGET / 0.03 * SLOTS
        replica = self.load("a", round(queue))
        self.assertIsInstance(self.decide(replica, call=self.call("large")), Refuse)
        self.assertIsInstance(self.decide(replica, call=self.call("small")), Send)

    def fill(self):
        """Fill replica ``a`` with own sends; return them."""
        full = self.load("a", 30)
        self.control.record_refusal(full, 10.0)
        return [self.control.record_send(self.call(), full, 9.9) for _ in range(30)]

    def wait(self, **fields):
        call = Call(target=1.0, target_at=11.0, deadline=11.5, **fields)
        decision = self.control.decide(call, "a", [self.load("a", 30)], 10.0)
        self.assertIsInstance(decision, Wait)
        return call

    def test_call_waits_for_room_in_a_queue_and_is_released_in_order(self):
        sends = self.fill()
        first = self.wait(account="x")
        returned = self.wait(account="y", returned=True)
        self.assertIsNone(self.control.release([self.load("a", 30)], 10.01))
        for sent in sends[:15]:
            self.control.record_end(sent, 10.02)
        released = []
        while found := self.control.release([self.load("a", 15)], 10.02):
            released.append(found[0])
            self.assertIsInstance(found[1], Send)
        self.assertEqual(released, [returned, first])

    def test_waiting_calls_are_refused_when_replicas_are_gone(self):
        """Guards against calls that wait for a replica that does not come back."""
        self.fill()
        call = self.wait(account="x")
        released, decision = self.control.release([], 10.01)
        self.assertIs(released, call)
        self.assertIsInstance(decision, Refuse)
        self.assertIsNone(self.control.release([], 10.01))

    def test_second_sends_need_budget_and_time_while_calls_queue(self):
        budget = RetryBudget(ratio=0.1)
        full, free = self.load("a", 20), self.load("b", 2)
        second = self.control.decide_second

        def granted(replicas, others):
            call = self.call(left=0.45 * TARGET)
            return second(call, replicas, others, budget, 10.0) is not None

        self.assertFalse(granted([full], [full]))
        self.assertTrue(granted([full], [self.load("b", 8)]))
        budget = RetryBudget(ratio=0.1)
        self.assertEqual(sum(granted([full, free], [free]) for _ in range(20)), 10)
        self.assertTrue(granted([free], [free]))

    def test_second_send_goes_to_a_replica_without_a_report(self):
        """Guards against slow calls without a second send in calm time.

        An instance that uses one replica has reports of that one only.
        """
        full, unknown = self.load("a", 6), ReplicaLoad("b", SLOTS, None)
        stale = self.load("b", 2, age=REPORT_LIFETIME + 0.1)
        for other in (unknown, stale):
            with self.subTest(report=other.report):
                budget = RetryBudget(ratio=0.1)
                call = self.call(left=0.45 * TARGET)
                found = self.control.decide_second(
                    call, [full, other], [other], budget, 10.0
                )
                self.assertEqual(found and found.identity, "b")

    def test_refused_call_is_sent_once_more_while_calls_queue(self):
        unknown, free = ReplicaLoad("b", SLOTS, None), self.load("b", 2)
        again = self.control.decide_again
        self.assertIsNone(again(self.call(), [unknown], 2, 10.0).identity)
        self.control.record_refusal(self.load("a", 30), 10.0)
        self.assertEqual(again(self.call(), [unknown], 1, 10.0).identity, "b")
        self.assertEqual(again(self.call(), [free], 1, 10.0).identity, "b")
        self.assertIsInstance(again(self.call(), [free], 2, 10.0), Refuse)
        self.assertIsInstance(again(self.call(), [self.load("b", 36)], 1, 10.0), Refuse)

    def test_replica_that_leaves_does_not_count_as_full(self):
        """Guards against refusals in calm time, when no report is fresh."""
        self.control.record_refusal(self.load("a", 0), 10.0)
        others = [ReplicaLoad(name, SLOTS, None) for name in "bc"]
        self.assertIsNone(
            self.control.decide_again(self.call(), others, 2, 10.0).identity
        )


if __name__ == "__main__":
    unittest.main()
