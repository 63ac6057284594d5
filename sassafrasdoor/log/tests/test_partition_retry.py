"""When a partition whose reads fail is read again."""

import unittest
from itertools import pairwise

from sassafrasdoor.log import partition_retry as module
from sassafrasdoor.log.partition_retry import Intervals, Lists, PartitionRetry, Silence
from sassafrasdoor.log.sharing import (
    FOLLOWER_READ_SHARE,
    answer_pause,
    backlog_share,
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
    ):
        self.sent = []
        self.retry = PartitionRetry(Silence())
        self.lists = Lists()
        self.lists.are_answered = list_interval is not None
        self._intervals = Intervals(interval)
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


class SilentPartitions:
    """The silent partitions of one instance, read in virtual time; lists are answered."""

    def __init__(self, count, interval, draw=0.5):
        silence = Silence()
        self.at = 0.0
        self.are_answered = False
        self._draw = draw
        self._intervals = Intervals(by_bytes=interval)
        self._retries = [PartitionRetry(silence) for _ in range(count)]
        self.answered_at = [None] * count
        self._ends = [0.0] * count
        for retry in self._retries:
            retry.record_failure(self.at, draw)

    def replay(self, seconds):
        """Return the times at which each partition was read."""
        reads = [[] for _ in self._retries]
        ends_at = self.at + seconds
        while self.at < ends_at:
            for number, retry in enumerate(self._retries):
                is_pending = self.at < self._ends[number]
                due_at = retry.due_at(Lists(), self._intervals, is_pending)
                if self.answered_at[number] is None and due_at <= self.at:
                    reads[number].append(self.at)
                    retry.record_read(self.at, self._draw)
                    self._ends[number] = self.at + TIMEOUT
                    if self.are_answered:
                        retry.record_answer(self.at)
                        self.answered_at[number] = self.at
            self.at += ANSWER
        return reads


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
        rate, record = 80_000_000, 262_144  # bytes a second, bytes
        for followers in (9, 20, 40, 80):
            interval = answer_pause(followers, rate, record)
            silent = SilentPartitions(7, interval)
            size = record + backlog_share(followers, rate, record)
            sent = sum(map(len, silent.replay(60.0)))
            with self.subTest(followers=followers):
                self.assertLessEqual(
                    followers * sent * size, 1.05 * FOLLOWER_READ_SHARE * rate * 60.0
                )

    def test_silent_partitions_are_read_in_turn(self):
        """Guards against a silent partition that is never read beside others."""
        for interval in (0.1, 0.5, 2.0):
            for reads in SilentPartitions(7, interval).replay(60.0):
                longest = max(later - former for former, later in pairwise(reads))
                self.assertLessEqual(longest, max(1.0, 7 * 1.3 * interval) + 0.1)

    def test_silent_partitions_that_return_are_read_one_after_another(self):
        """Guards against an instance that waits a pause for each of its partitions."""
        for draw in (0.0, 1.0):
            silent = SilentPartitions(7, 2.0, draw)
            silent.replay(20.0)
            returned_at = silent.at
            silent.are_answered = True
            silent.replay(10.0)
            self.assertLessEqual(
                max(silent.answered_at) - returned_at, 2.0 * 1.3 + 7 * 2 * ANSWER
            )

    def test_partition_that_refuses_waits_for_no_turn(self):
        """Guards against a pause for bytes that a refusal has not cost."""
        silence, lists, intervals = Silence(), Lists(), Intervals(by_bytes=4.0)
        other, retry = PartitionRetry(silence), PartitionRetry(silence)
        other.record_read(5.0, 0.0)
        for at in range(6):
            retry.record_read(at, 0.0)
        self.assertGreaterEqual(retry.due_at(lists, intervals, False), 9.0)
        retry.record_refusal()
        self.assertAlmostEqual(retry.due_at(lists, intervals, False), 5.5)

    def test_partition_that_comes_and_goes_is_not_read_more_often(self):
        """Guards against a pause that starts at its shortest with each answer."""
        interval = follower_pause(80, 7, 6000)
        replay = Replay(ANSWER, 0.01, interval)
        for at in range(100, 200):
            replay.retry.record_answer(at)
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
        retry, lists = PartitionRetry(Silence()), Lists()
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
