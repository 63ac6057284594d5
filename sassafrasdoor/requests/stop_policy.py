"""Decides which requests an instance still accepts while it stops as planned.

Load pattern: callers that cached the instance's address go on sending for seconds after
the stop has begun, short calls among streams that may last longer than the stop. A
request that is accepted and does not end in time is cut off, and one that must not run
twice is then lost to its caller, who could have gone to another instance.

Its deadline is the only bound on how long a request lasts: however short the recent ones
of its kind were, the next one may take many times as long. So a request that must not be
cut off is accepted if its deadline lies within the stop. One that may be repeated gets a
complete answer in any case, and is judged by the durations of recent ones, so that calls
with generous deadlines are served. Early in the stop, while callers cannot know of it,
all requests are judged so.
"""

from collections import deque

# Seconds before the end of the stop by which answers must be complete, so that they can
# still be sent.
ANSWER_MARGIN = 0.05
MAX_KINDS, MAX_DURATIONS = 512, 128  # kept, the latter per kind
MIN_DURATIONS = 8  # fewer do not show how long a kind takes that must not run twice
# Multiple of the recent durations that a request is expected not to exceed.
DURATION_MARGIN = 1.25
# Seconds added for requests that must not be cut off: what a busy replica adds does not
# shrink with the request.
DURATION_SLACK = 0.5
# Share of the repeatable requests of a kind that are expected to end in time.
REPEATABLE_QUANTILE = 0.95
MAX_OUTPUT_LIMIT = 2**30  # tokens; bounds the number of kinds
# Share of a caller's remaining time that it waits at most before it returns.
MAX_RETRY_SHARE = 1 / 3


class StopTimes:
    """The deadlines of a planned stop, all monotonic times in seconds.

    From ``estimate_deadline`` on no request is accepted that may outlive the stop, unless
    it may be repeated and recent ones show that it is not expected to, from
    ``intake_deadline`` on none that another instance can serve. Requests in progress are
    cut off at ``finish_deadline``.
    """

    __slots__ = ("estimate_deadline", "finish_deadline", "intake_deadline")

    def __init__(self, estimate_deadline, intake_deadline, finish_deadline):
        self.estimate_deadline = estimate_deadline
        self.intake_deadline = intake_deadline
        self.finish_deadline = finish_deadline

    @property
    def answer_deadline(self):
        """Time by which answers must be complete."""
        return self.finish_deadline - ANSWER_MARGIN


class RequestKind:
    """Requests that take about the same time.

    ``name`` is that of a route or row. ``output_limit`` is the largest number of tokens
    that the request may generate, 0 if it states none; limits within a factor of two
    are one kind. ``is_repeatable`` says whether a request that is cut off gets a
    complete answer that lets its caller repeat it. ``target`` is the latency in seconds
    that the operator wants, None if it is not stated.
    """

    __slots__ = ("is_repeatable", "key", "name", "target")

    def __init__(self, name, output_limit=0, is_repeatable=False, target=None):
        self.name = name
        self.is_repeatable = is_repeatable
        self.target = target
        self.key = (name, min(output_limit, MAX_OUTPUT_LIMIT).bit_length())


class Run:
    """A request in progress since ``started_at``; ``is_whole`` is set by its answer."""

    __slots__ = ("is_whole", "key", "started_at")

    def __init__(self, key, started_at):
        self.key = key
        self.started_at = started_at
        self.is_whole = False


class _Durations:
    """The durations of one kind's recent requests, and those in progress.

    ``whole`` has the durations in seconds of those that were answered. ``other`` has
    those that failed or were given up, which would have taken at least that long.
    """

    __slots__ = ("other", "running", "whole")

    def __init__(self):
        self.whole = deque(maxlen=MAX_DURATIONS)
        self.other = deque(maxlen=MAX_DURATIONS)
        self.running = set()

    def longest(self, current):
        """Return the longest known duration, 0.0 if none is known."""
        ages = (current - run.started_at for run in self.running)
        return max([0.0, *self.whole, *self.other, *ages])

    def usual(self):
        """Return the duration that ``REPEATABLE_QUANTILE`` of the answers kept to."""
        return sorted(self.whole)[int(len(self.whole) * REPEATABLE_QUANTILE)]


class StopPolicy:
    """Keeps the durations of requests, and decides by them."""

    __slots__ = ("_durations",)

    def __init__(self):
        self._durations = {}

    def begin(self, kind, current):
        """Record that a request has begun; return its ``Run``."""
        run = Run(kind.key, current)
        # Inserted anew, so that the kind that was used least recently stands first.
        durations = self._durations.pop(kind.key, None) or _Durations()
        durations.running.add(run)
        self._durations[kind.key] = durations
        if len(self._durations) > MAX_KINDS:
            del self._durations[next(iter(self._durations))]
        return run

    def end(self, run, current):
        """Record that a request has ended."""
        durations = self._durations.get(run.key)
        if durations is None or run not in durations.running:
            return
        durations.running.remove(run)
        kept = durations.whole if run.is_whole else durations.other
        kept.append(current - run.started_at)

    def can_finish(self, times, kind, deadline, current):
        """Return whether a request is accepted, as it will end before the stop does.

        ``deadline`` is the request's own; at it the request is answered in any case.
        """
        if current >= times.answer_deadline:
            return False
        if deadline <= times.answer_deadline:
            return True
        is_late = current >= times.estimate_deadline
        if is_late and not kind.is_repeatable:
            return False
        durations = self._durations.get(kind.key) or _Durations()
        expected = _expected_duration(kind, durations, current)
        if expected is None and is_late:
            return False
        if expected is None:
            expected = durations.longest(current)
        return current + expected <= times.answer_deadline


def _expected_duration(kind, durations, current):
    """Return the seconds that a request takes at most, None if that is unknown."""
    if kind.is_repeatable and durations.whole:
        # One slow request must not have all others refused.
        return durations.usual() * DURATION_MARGIN
    if kind.is_repeatable:
        known = durations.longest(current)
        return None if kind.target is None else max(kind.target, known)
    if len(durations.whole) < MIN_DURATIONS:
        return None
    return durations.longest(current) * DURATION_MARGIN + DURATION_SLACK


def retry_after(times, is_servable, deadline, current):
    """Return the seconds after which a refused caller should return.

    ``is_servable`` says whether another instance can serve it now. If none can, this
    one may be replaced after the stop's end.
    """
    if is_servable:
        return 0.0
    left = max(0.0, deadline - current)
    until_end = max(0.0, times.finish_deadline - current)
    return min(until_end, left * MAX_RETRY_SHARE)
