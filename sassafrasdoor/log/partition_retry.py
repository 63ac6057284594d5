"""Decides when a partition whose reads fail is read again.

Load pattern: one partition of the log, some or all of them refuse calls or leave them
unanswered for seconds. Once they serve again, records are acknowledged that every
follower must act on within seconds, for example the end of a step. A pause that grows
with the outage delays them by as much as the outage lasted.

Load pattern: the log is overloaded as a whole, by calls or by bytes, and the retries of
its readers sustain the overload after its cause has gone.

Load pattern: the log answers small reads, but sends large answers too late. Each read that
has timed out costs an answer for which nobody waits any more.

The lists, which every instance reads, tell the first two apart: an overloaded log does not
answer them in time. While they are answered, a failing partition is read at bounded
intervals, which keep all followers together within their share of the log's calls. The
partitions of an instance that leave reads unanswered take turns, so that the answers stay
within the share of its bytes. While lists fail, the intervals grow with each retry.

An acknowledged append proves that a partition serves. It allows one read at once, which
costs one read for each append at most.
"""

from enum import Enum

RETRY_PAUSE = 0.15  # seconds; a recovery must be detected well within 1 s
MAX_BOUNDED_PAUSE = 0.5  # seconds between retries while the lists are answered
MAX_RETRY_PAUSE = 5.0  # seconds between retries while lists fail
# Seconds without retries while lists fail: these have priority.
MAX_LIST_WAIT = 2.0
# Seconds without an answer before another read is sent beside the pending ones.
HEDGE_INTERVAL = 0.5
# Seconds within which the instances retry their reads, spread at random, once the lists
# are answered again.
RETURN_SPREAD = 0.4
MAX_DOUBLINGS = 8  # of a pause; reaches the longest one
# Largest fraction by which a bounded pause is lengthened, and a growing one shortened, so
# that readers which failed together do not read together again.
MAX_LENGTHENING, MAX_SHORTENING = 0.3, 0.5


class Evidence(Enum):
    """What a reader knows about the log since a partition's last read was sent."""

    APPENDED = "an append to the partition was acknowledged"
    OTHERS_ANSWERED = "another partition answers that had left reads unanswered"
    LISTS_ANSWERED = "no list fails, and one was answered"
    NONE = "neither"


class Intervals:
    """The least seconds between reads of failing partitions by one follower.

    ``by_calls``, between two reads of one partition, keeps the reads of all followers
    within their share of the log's calls. ``by_bytes``, between two reads that may cost an
    answer, keeps these within the share of its bytes. Zero means no such limit.
    """

    __slots__ = ("by_bytes", "by_calls")

    def __init__(self, by_calls=0.0, by_bytes=0.0):
        self.by_calls = by_calls
        self.by_bytes = min(by_bytes, MAX_RETRY_PAUSE)

    @property
    def longest(self):
        """The longest pause after a read while the lists are answered."""
        return max(MAX_BOUNDED_PAUSE, self.by_calls, self.by_bytes)


class Lists:
    """Whether the log answers the lists: ``are_answered``.

    That is whether one has been answered since the last failed read was sent, and none
    fails. ``returned_at`` is the monotonic time at which the last failing one was answered
    again.
    """

    __slots__ = ("_answered_at", "are_answered", "returned_at")

    def __init__(self):
        self.are_answered = True
        self._answered_at = self.returned_at = float("-inf")

    def record_failure(self, sent_at):
        """Record that a read has failed that was sent at a point in time."""
        self.are_answered = self.are_answered and self._answered_at > sent_at

    def record_list_failure(self):
        """Record that the read of a list has failed."""
        self.are_answered = False

    def record_answer(self, at, had_failed):
        """Record that a list was answered and none fails; ``had_failed``: it had."""
        self.are_answered = True
        self._answered_at = at
        if had_failed:
            self.returned_at = at


class Silence:
    """Takes turns among an instance's partitions that leave their reads unanswered.

    An answer shows that the log may serve them again, so the next read needs no pause.
    ``answered_at`` is the monotonic time of the last one.
    """

    __slots__ = ("_last_read_at", "_read_at", "answered_at")

    def __init__(self):
        self._last_read_at = self.answered_at = float("-inf")
        self._read_at = {}

    def add(self, partition, at):
        """Add a partition that has left a read unanswered until ``at``."""
        self._read_at[partition] = at

    def record_read(self, partition, at):
        """Record that a partition was read in its turn."""
        self._read_at[partition] = self._last_read_at = at

    def record_answer(self, partition, at):
        """Record that a partition has answered; return whether it was among these."""
        was_silent = self._read_at.pop(partition, None) is not None
        if was_silent:
            self._last_read_at, self.answered_at = float("-inf"), at
        return was_silent

    def remove(self, partition):
        """Remove a partition that refuses its reads."""
        self._read_at.pop(partition, None)

    def due_at(self, partition, interval):
        """Return the turn of a partition: the one read longest ago is first."""
        own = self._read_at.get(partition, float("inf"))
        earlier = sum(read_at < own for read_at in self._read_at.values())
        return self._last_read_at + interval * (1 + earlier)


class PartitionRetry:
    """Schedules the reads of one partition by one reader while they fail.

    Times are monotonic seconds. ``silence`` is the ``Silence`` of the instance.
    """

    __slots__ = (
        "_draw",
        "_has_append",
        "_is_refused",
        "_last_read_at",
        "_reads",
        "_silence",
    )

    def __init__(self, silence):
        self._silence = silence
        self._reset()

    @property
    def _lengthening(self):
        return 1.0 + MAX_LENGTHENING * self._draw

    @property
    def _growing_pause(self):
        return RETRY_PAUSE * 2 ** min(MAX_DOUBLINGS, max(0, self._reads - 1))

    def record_read(self, at, draw):
        """Record that a retry was sent at a point in time.

        ``draw`` is a random number from 0 to 1 by which the next pause varies.
        """
        self.record_failure(at, draw)
        self._has_append = False
        self._silence.record_read(self, at)

    def record_failure(self, at, draw):
        """Record that a read other than a retry was not answered; ``draw`` as above.

        An append that was acknowledged while it was pending remains evidence.
        """
        self._last_read_at = at
        self._draw = draw
        self._reads += 1
        self._is_refused = False
        self._silence.add(self, at)

    def record_refusal(self):
        """Record that the last read was refused: no answer to it is sent any more."""
        self._is_refused = True
        self._silence.remove(self)

    def record_append(self):
        """Record that an append to the partition was acknowledged."""
        self._has_append = True

    def record_answer(self, at):
        """Record that a read was answered; return whether other reads may be due now."""
        self._reset()
        return self._silence.record_answer(self, at)

    def _reset(self):
        self._last_read_at = float("-inf")
        self._draw = 0.0
        self._reads = 0
        self._is_refused = False
        self._has_append = False

    def due_at(self, lists, intervals, is_pending):
        """Return when the next read is due, from ``Lists`` and ``Intervals``.

        ``is_pending`` says whether a former read has neither been answered nor failed.
        """
        return _DUE[self._evidence(lists)](self, lists, intervals, is_pending)

    def _evidence(self, lists):
        if self._has_append:
            return Evidence.APPENDED
        if not lists.are_answered:
            return Evidence.NONE
        if not self._is_refused and self._silence.answered_at > self._last_read_at:
            return Evidence.OTHERS_ANSWERED
        return Evidence.LISTS_ANSWERED

    def _due_after_append(self, lists, intervals, is_pending):
        return self._last_read_at + RETRY_PAUSE

    def _due_after_others(self, lists, intervals, is_pending):
        pause = max(RETRY_PAUSE, intervals.by_calls)
        return max(self._last_read_at + pause, self._turn(intervals))

    def _due_with_lists(self, lists, intervals, is_pending):
        pause = max(intervals.by_calls, min(MAX_BOUNDED_PAUSE, self._growing_pause))
        if is_pending:
            pause = max(pause, HEDGE_INTERVAL)
        spread = self._draw * max(intervals.by_calls, RETURN_SPREAD)
        return max(
            self._last_read_at + pause * self._lengthening,
            lists.returned_at + spread,
            self._turn(intervals),
        )

    def _due_without_lists(self, lists, intervals, is_pending):
        pause = min(MAX_RETRY_PAUSE, self._growing_pause)
        varied = pause * (1.0 - MAX_SHORTENING * (1.0 - self._draw))
        pause = max(MAX_LIST_WAIT, intervals.by_calls, varied)
        return max(self._last_read_at + pause, self._turn(intervals))

    def _turn(self, intervals):
        if self._is_refused:
            return float("-inf")
        return self._silence.due_at(self, intervals.by_bytes * self._lengthening)


_DUE = {
    Evidence.APPENDED: PartitionRetry._due_after_append,
    Evidence.OTHERS_ANSWERED: PartitionRetry._due_after_others,
    Evidence.LISTS_ANSWERED: PartitionRetry._due_with_lists,
    Evidence.NONE: PartitionRetry._due_without_lists,
}
