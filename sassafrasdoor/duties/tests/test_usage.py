"""What the usage report of a window says, whatever happens to the instances."""

import random
import unittest
from collections import Counter

from hypothesis import given, settings as run_settings, strategies as st

from sassafrasdoor.duties.usage import (
    BACKLOG_TIME,
    MAX_WINDOWS_BACK,
    RETRY_DELAY,
    Unreadable,
    UsageCounter,
    UsageLedger,
    began_record,
    fixed_record,
    gather_time,
    last_closed,
    may_fix,
    sent_record,
)

LENGTH, DUE, GATHER = 5.0, 10.0, 2.5
SLOW_APPEND = 0.25  # seconds for a slow log to answer
fuzzed = run_settings(derandomize=True, deadline=None, max_examples=200)


class CounterTest(unittest.TestCase):
    def test_requests_are_counted_in_the_window_in_which_they_began(self):
        counter = UsageCounter(LENGTH)
        for account, began_at in (("a", 4.9), ("a", 5.0), ("b", 9.9), ("a", 9.9)):
            counter.record(account, began_at)
        self.assertEqual(counter.take(), {0: {"a": 1}, 1: {"a": 2, "b": 1}})
        self.assertEqual(counter.take(), {})


class LastClosedTest(unittest.TestCase):
    def test_window_stays_open_for_a_request_in_progress(self):
        """Guards against a window closed while a paused process holds an answer."""
        for at, oldest_at, closed in (
            (10.0, 10.0, 1),
            (10.0, 9.9, 0),
            (14.9, 9.9, 0),
            (15.0, 15.0, 2),
        ):
            self.assertEqual(last_closed(LENGTH, DUE, at, oldest_at), closed)

    def test_window_is_closed_before_its_report_is_late(self):
        """Guards against reports that are late because of one long request."""
        self.assertEqual(last_closed(LENGTH, DUE, 16.1, 9.9), 1)


class LedgerTest(unittest.TestCase):
    def setUp(self):
        self.ledger = UsageLedger(LENGTH)

    def test_increment_that_lands_twice_counts_once(self):
        """Guards against doubled counts after an append without a reply."""
        first = began_record("p", 1, {3: {"a": 2}})
        for record in (first, first, began_record("p", 2, {3: {"a": 1}}), first):
            self.ledger.fold(record)
        self.assertEqual(self.ledger.began(3), {"a": 3})

    def test_processes_of_one_instance_count_separately(self):
        """Guards against increments lost after a restart, which counts anew."""
        for process in ("i/1", "i/2"):
            self.ledger.fold(began_record(process, 1, {3: {"a": 1}}))
        self.assertEqual(self.ledger.began(3), {"a": 2})

    def test_first_fixed_counts_stay(self):
        """Guards against two reports of one window with different counts."""
        self.ledger.fold(fixed_record(3, {"a": 2}))
        self.ledger.fold(began_record("p", 1, {3: {"a": 5}}))
        self.ledger.fold(fixed_record(3, {"a": 7}))
        self.assertEqual(self.ledger.fixed(3), {"a": 2})

    def test_increment_after_its_counts_were_fixed_is_known_to_be_missed(self):
        """Guards against a bill that is too low without any trace of it."""
        self.ledger.fold(began_record("p", 1, {3: {"a": 2}, 4: {"a": 1}}))
        self.ledger.fold(fixed_record(3, {"a": 2}))
        self.assertFalse(self.ledger.missed)
        self.ledger.fold(began_record("q", 1, {3: {"a": 5, "b": 1}, 4: {"a": 1}}))
        self.assertEqual(self.ledger.missed, {3: 6})

    def test_windows_without_requests_are_reported_too(self):
        self.ledger.fold(began_record("p", 1, {3: {"a": 1}, 6: {"a": 1}}))
        self.ledger.fold(sent_record(4))
        self.assertEqual(self.ledger.unsent(7, 5), [3, 5, 6])

    def test_window_whose_records_may_have_expired_is_not_fixed_anew(self):
        """Guards against a second report with other counts after expired records."""
        self.ledger.fold(began_record("p", 1, {3: {"a": 1}, 6: {"a": 1}}))
        self.ledger.fold(fixed_record(4, {"a": 7}))
        self.assertEqual(self.ledger.unsent(8, 3, floor=6), [4, 6, 7])

    def test_old_windows_are_given_up(self):
        self.ledger.fold(began_record("p", 1, {3: {"a": 1}}))
        self.assertEqual(self.ledger.unsent(100, 100), list(range(88, 100)))
        self.ledger.discard(100)
        self.assertEqual(self.ledger.began(3), {})
        self.assertEqual(MAX_WINDOWS_BACK, 12)

    def test_short_windows_are_reported_as_late_as_long_ones(self):
        """Guards against windows given up while an outage of seconds is made up for."""
        ledger = UsageLedger(1.0)
        ledger.fold(began_record("p", 1, {50: {"a": 1}}))
        self.assertEqual(ledger.unsent(100, 100), list(range(50, 100)))

    def test_foreign_records_change_nothing(self):
        """Guards against a record that stops every holder that reads it."""
        for data in (b"", b"[]", b"{}", b"[1]", b'["began"]', b'["fixed",1e999,{}]'):
            self.assertIsInstance(self.ledger.fold(data), Unreadable, data)
        self.assertIsInstance(
            self.ledger.fold(b'["began","p",1,{"x":{"a":1}}]'), Unreadable
        )
        self.assertEqual(self.ledger.unsent(5, 5), [])

    @fuzzed
    @given(st.binary(max_size=60) | st.text(max_size=60).map(str.encode))
    def test_any_bytes_are_folded(self, data):
        self.ledger.fold(data)


class FixingTest(unittest.TestCase):
    """When the counts of window 0, which ends at 5, may be fixed."""

    def may_fix(self, at, read_at, restored_at=None):
        return may_fix(0, LENGTH, GATHER, at, read_at, restored_at)

    def test_waits_until_the_increments_have_arrived(self):
        gathered_at = LENGTH + GATHER
        self.assertFalse(self.may_fix(gathered_at - 0.1, gathered_at - 0.1))
        self.assertFalse(self.may_fix(gathered_at + 0.1, gathered_at - 0.1))
        self.assertTrue(self.may_fix(gathered_at + 0.1, gathered_at))

    def test_waits_for_increments_held_up_by_an_outage(self):
        """Guards against counts fixed before instances could append theirs."""
        self.assertFalse(self.may_fix(12.0, 12.0, restored_at=11.0))
        self.assertFalse(self.may_fix(12.2, 12.2, restored_at=11.0))
        self.assertTrue(self.may_fix(12.4, 12.4, restored_at=11.0))

    def test_report_is_made_as_soon_as_its_increments_can_be_there(self):
        """Guards against reports missed since the log goes down before they are due."""
        self.assertAlmostEqual(gather_time(DUE, 0.8), 2.3)
        self.assertEqual(gather_time(DUE, 60.0), DUE / 2)

    def test_outage_longer_than_the_due_time_is_waited_for_too(self):
        """Guards against a bill that is too low since its report would have been late."""
        due_at = LENGTH + DUE
        for restored_at in (due_at - 1.0, due_at, due_at + 60.0):
            complete_at = restored_at + BACKLOG_TIME
            for at in (restored_at, complete_at - 0.1):
                self.assertFalse(self.may_fix(at, at, restored_at))
            self.assertTrue(self.may_fix(complete_at, complete_at, restored_at))

    def test_nothing_is_fixed_from_what_was_read_too_early(self):
        """Guards against counts without the increments of an unnoticed outage."""
        self.assertFalse(self.may_fix(LENGTH + DUE, LENGTH + GATHER - 0.1))

    def test_backlog_of_all_instances_can_arrive_in_the_time_for_it(self):
        """Guards against counts fixed before the slowest instance has tried again.

        An attempt that is never answered does not delay the next one: ``test_reporter``.
        """
        self.assertGreaterEqual(BACKLOG_TIME, RETRY_DELAY + 2 * SLOW_APPEND)


class TakeoverTest(unittest.TestCase):
    """Holders that are killed, cut off and replaced, over one log."""

    @fuzzed
    @given(st.integers(0, 10**6))
    def test_any_order_of_kills_and_lost_answers_gives_one_report(self, seed):
        """Guards against two reports that differ, and counts that are not true."""
        draw = random.Random(seed)
        log, truth, reports = [], Counter(), {}
        for number in range(1, draw.randint(2, 20)):
            count = draw.randint(1, 3)
            record = began_record(
                f"p{draw.randint(0, 2)}-{number}", 1, {0: {"a": count}}
            )
            truth["a"] += count
            log += [record] * draw.randint(1, 3)
        ledgers = [UsageLedger(LENGTH) for _ in range(3)]
        read = [0] * len(ledgers)
        for _ in range(draw.randint(5, 40)):
            at = draw.randrange(len(ledgers))
            if draw.random() < 0.1:  # killed: its successor reads the log anew
                ledgers[at], read[at] = UsageLedger(LENGTH), 0
            for record in log[read[at] :]:
                ledgers[at].fold(record)
            read[at] = len(log)
            ledger = ledgers[at]
            if ledger.fixed(0) is None:
                record = fixed_record(0, ledger.began(0))
                log += [record] * draw.randint(0, 2)  # refused, kept, or kept twice
            elif 0 in ledger.unsent(1, 0):
                reports.setdefault(0, []).append(ledger.fixed(0))
                if draw.random() < 0.5:
                    log.append(sent_record(0))
        for report in reports.get(0, ()):
            self.assertEqual(report, dict(truth))


if __name__ == "__main__":
    unittest.main()
