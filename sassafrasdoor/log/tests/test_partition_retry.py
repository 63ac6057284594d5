"""When a partition whose reads fail is read again."""

import unittest

from sassafrasdoor.log import partition_retry as module
from sassafrasdoor.log.partition_retry import Intervals, Lists, PartitionRetry
from sassafrasdoor.log.sharing import (
    FOLLOWER_READ_SHARE,
    answer_pause,
    follower_pause,
)

OUTAGE = 9.0  # seconds
ANSWER = 0.004  # seconds until a read is refused
TIMEOUT = 1.5  # seconds until a read has failed that is not answered
# Seconds between the answers of the lists: their shortest one, and their longest long poll.
LIST_INTERVALS = (0.35, 1.0)


class Replay:
    """The reads of one partition during an outage, in virtual time.

    ``sent`` are the times at which reads were sent; a read fails after ``failure``
    seconds. Lists are answered each ``list_interval`` seconds, None: they fail as well.
    """

    def __init__(
        self,
        failure,
        list_interval,
        interval=0.0,
        draw=1.0,
        seconds=OUTAGE,
        interval_by_bytes=0.0,
    ):
        self.sent = []
        self.retry = PartitionRetry()
        self.lists = Lists()
        self.lists.are_answered = list_interval is not None
        self._intervals = Intervals(interval, interval_by_bytes)
        self._list_interval = list_interval
        self._answered_at = 0.0
        self.retry.record_failure(0.0, draw)
        failed_at, at = 0.0, 0.0
        while at < seconds:
            self._answer_lists(failed_at, at)
            if self.due_at(at < failed_at) <= at:
                self.sent.append(at)
                self.retry.record_read(at, draw)
                failed_at = at + failure
                if failure == ANSWER:
                    self.retry.record_refusal()
            at += ANSWER

    def due_at(self, is_pending):
        return self.retry.due_at(self.lists, self._intervals, is_pending)

    def _answer_lists(self, failed_at, at):
        """A failed read counts as unexplained until a list is answered after it."""
        if self._list_interval is None:
            return
        if at - self._answered_at >= self._list_interval:
            self._answered_at = at
        self.lists.are_answered = at < failed_at or self._answered_at >= failed_at

    @property
    def longest_pause(self):
        """The longest time between two reads."""
        pairs = zip([0.0, *self.sent], [*self.sent, OUTAGE], strict=True)
        return max(later - former for former, later in pairs)


class PartitionRetryTest(unittest.TestCase):
    def test_pause_of_a_partition_that_fails_alone_is_bounded(self):
        """Guards against a partition that is read seconds after it serves again."""
        for failure in (ANSWER, TIMEOUT):
            for list_interval in LIST_INTERVALS:
                for draw in (0.0, 0.5, 1.0):
                    with self.subTest(failure=failure, lists=list_interval, draw=draw):
                        replay = Replay(failure, list_interval, draw=draw)
                        self.assertLessEqual(replay.longest_pause, 1.1)

    def test_lists_have_priority_while_they_fail(self):
        """Guards against retries of many partitions that delay the lists."""
        sent = Replay(ANSWER, None).sent
        self.assertGreaterEqual(sent[0], module.MAX_LIST_WAIT)
        self.assertLessEqual(len(sent), OUTAGE / module.MAX_LIST_WAIT)

    def test_reads_of_all_followers_stay_within_their_share(self):
        """Guards against retries that exceed the log's limit of reads."""
        partitions = 7
        # followers, the log's reads a second
        for followers, limit in ((9, 2000), (16, 6000), (80, 6000), (80, 2000)):
            interval = follower_pause(followers, partitions, limit)
            sent = Replay(ANSWER, 0.01, interval).sent
            rate = followers * partitions * len(sent) / OUTAGE
            with self.subTest(followers=followers, limit=limit):
                self.assertLessEqual(rate, 1.05 * FOLLOWER_READ_SHARE * limit)

    def test_answers_to_all_followers_stay_within_their_share(self):
        """Guards against retries of large reads that sustain an overload by bytes."""
        partitions, rate, record = 7, 80_000_000, 262_144  # rate in bytes a second
        for followers in (9, 20, 40):
            interval = answer_pause(followers, partitions, rate, record)
            replay = Replay(TIMEOUT, 0.01, interval_by_bytes=interval, seconds=60.0)
            sent = [at for at in replay.sent if at >= OUTAGE]
            size = followers * partitions * len(sent) * record
            with self.subTest(followers=followers):
                self.assertLessEqual(
                    size, 1.05 * FOLLOWER_READ_SHARE * rate * (60.0 - OUTAGE)
                )

    def test_refused_reads_do_not_lengthen_the_pause_for_answers(self):
        """Guards against a pause for bytes that a refusal has not cost."""
        retry, lists, intervals = PartitionRetry(), Lists(), Intervals(by_bytes=4.0)
        for at in range(6):
            retry.record_read(at, 0.0)
        self.assertAlmostEqual(retry.due_at(lists, intervals, False), 9.0)
        retry.record_refusal()
        self.assertAlmostEqual(retry.due_at(lists, intervals, False), 5.5)

    def test_partition_that_comes_and_goes_is_not_read_more_often(self):
        """Guards against a pause that starts at its shortest with each answer."""
        interval = follower_pause(80, 7, 6000)
        replay = Replay(ANSWER, 0.01, interval)
        for at in range(100, 200):
            replay.retry.record_answer()
            replay.retry.record_failure(at, 0.0)
            self.assertGreaterEqual(replay.due_at(False), at + interval)

    def test_acknowledged_append_allows_one_read_at_once(self):
        """Guards against a runner that appends claims and does not read an end."""
        for list_interval in (None, 1.0):
            replay = Replay(ANSWER, list_interval)
            last = replay.sent[-1]
            replay.retry.record_append()
            self.assertLessEqual(replay.due_at(False), last + module.RETRY_PAUSE)
            self.assertLessEqual(replay.due_at(True), last + module.RETRY_PAUSE)
            # Without another append the log is as likely to fail as before.
            replay.retry.record_read(OUTAGE, 0.0)
            replay.lists.are_answered = False
            self.assertGreaterEqual(replay.due_at(False), OUTAGE + module.MAX_LIST_WAIT)

    def test_append_that_was_acknowledged_during_a_failed_read_counts(self):
        """Guards against a long poll whose failure hides that the partition serves."""
        retry, lists = PartitionRetry(), Lists()
        lists.are_answered = False
        retry.record_append()
        retry.record_failure(10.0, 1.0)
        self.assertLessEqual(
            retry.due_at(lists, Intervals(), False), 10.0 + module.RETRY_PAUSE
        )

    def test_retries_of_all_instances_are_spread_once_the_lists_return(self):
        """Guards against a burst of reads as soon as the log is back."""
        replay = Replay(ANSWER, None)
        replay.lists.are_answered = True
        replay.lists.returned_at = 100.0
        for draw in (0.0, 0.5, 1.0):
            replay.retry.record_failure(90.0, draw)
            for interval in (0.0, 2.0):
                spread = draw * max(interval, module.RETURN_SPREAD)
                due_at = replay.retry.due_at(replay.lists, Intervals(interval), False)
                self.assertAlmostEqual(due_at, 100.0 + spread)


if __name__ == "__main__":
    unittest.main()
