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
intervals. Those after a refused read, which costs a call, keep all followers together
within their share of the log's calls; those after an unanswered one keep the answers
within their share of its bytes. While lists fail, the intervals grow with each retry.

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
    LISTS_ANSWERED = "no list fails, and one was answered"
    NONE = "neither"


class Intervals:
    """The least seconds between two reads of a partition by one of its followers.

    ``by_calls`` keeps the reads of all followers within their share of the log's calls,
    ``by_bytes`` the answers within their share of its bytes. Zero means no such limit.
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

    That is whether one has been answered since the last failed read, and none fails.
    ``returned_at`` is the monotonic time at which the last failing one was answered again.
    """

    __slots__ = ("are_answered", "returned_at")

    def __init__(self):
        self.are_answered = True
        self.returned_at = float("-inf")


class PartitionRetry:
    """Schedules the reads of one partition by one reader while they fail.

    Times are monotonic seconds.
    """

    __slots__ = ("_draw", "_has_append", "_is_refused", "_last_read_at", "_reads")

    def __init__(self):
        self.record_answer()

    @property
    def _growing_pause(self):
        return RETRY_PAUSE * 2 ** min(MAX_DOUBLINGS, max(0, self._reads - 1))

    def record_read(self, at, draw):
        """Record that a retry was sent at a point in time.

        ``draw`` is a random number from 0 to 1 by which the next pause varies.
        """
        self.record_failure(at, draw)
        self._has_append = False

    def record_failure(self, at, draw):
        """Record that a read other than a retry was not answered; ``draw`` as above.

        An append that was acknowledged while it was pending remains evidence.
        """
        self._last_read_at = at
        self._draw = draw
        self._reads += 1
        self._is_refused = False

    def record_refusal(self):
        """Record that the last read was refused: no answer to it is sent any more."""
        self._is_refused = True

    def record_append(self):
        """Record that an append to the partition was acknowledged."""
        self._has_append = True

    def record_answer(self):
        """Record that a read was answered."""
        self._last_read_at = float("-inf")
        self._draw = 0.0
        self._reads = 0
        self._is_refused = False
        self._has_append = False

    def due_at(self, lists, intervals, is_pending):
        """Return when the next read is due, from ``Lists`` and ``Intervals``.

        ``is_pending`` says whether a former read has neither been answered nor failed.
        """
        evidence = self._evidence(lists)
        due_at = _DUE[evidence](self, lists, intervals)
        if is_pending and evidence is not Evidence.APPENDED:
            return max(due_at, self._last_read_at + HEDGE_INTERVAL)
        return due_at

    def _evidence(self, lists):
        if self._has_append:
            return Evidence.APPENDED
        return Evidence.LISTS_ANSWERED if lists.are_answered else Evidence.NONE

    def _due_after_append(self, lists, intervals):
        return self._last_read_at + RETRY_PAUSE

    def _due_with_lists(self, lists, intervals):
        longest = MAX_BOUNDED_PAUSE if self._is_refused else intervals.longest
        pause = max(intervals.by_calls, min(longest, self._growing_pause))
        spread = self._draw * max(intervals.by_calls, RETURN_SPREAD)
        return max(
            self._last_read_at + pause * (1.0 + MAX_LENGTHENING * self._draw),
            lists.returned_at + spread,
        )

    def _due_without_lists(self, lists, intervals):
        pause = min(MAX_RETRY_PAUSE, self._growing_pause)
        varied = pause * (1.0 - MAX_SHORTENING * (1.0 - self._draw))
        return self._last_read_at + max(MAX_LIST_WAIT, intervals.by_calls, varied)


_DUE = {
    Evidence.APPENDED: PartitionRetry._due_after_append,
    Evidence.LISTS_ANSWERED: PartitionRetry._due_with_lists,
    Evidence.NONE: PartitionRetry._due_without_lists,
}
