"""Decides which samples leave an engine, where engines differ in speed for good.

A quarter of the engines is twice as fast as the others, and all slow down for some
hundred ms many times a minute. Judged by the ratio of intervals alone, a third of the
samples migrated on a calm day; each migration costs a connection and reading the prompt
again. A sample leaves an engine that is slower than its own lasting speed explains, or,
as one of the last of its step, for one that finishes it clearly earlier.
"""

from sassafrasdoor.routing.engine_speed import load_slowdown

SLOW_ENGINE, LAST_ITEM = "slow engine", "last item"
MIGRATION_COST = 0.15  # seconds: a connection, reading the text, the event in progress
MIN_GAIN = 0.2  # share of the time left; below it the estimate of the length decides
LAST_SHARE = 0.1  # share of a step's items that count as its last ones
# Share of the longest time left in its step from which a sample may determine the end of
# the step. Hints are often wrong by a factor of two.
END_SHARE = 0.5
# Share of a step's items, the longest ones, that have first choice of the engines.
LONG_SHARE = 0.4
# Share of its length that a sample has left at least. Hints are right at the median only,
# so half of the samples outlast theirs.
OVERRUN_SHARE = 0.25
# Weight of one sample in the learned events per token.
LENGTH_WEIGHT = 0.05


class LengthEstimate:
    """Learns how many events a sample has for each token of its hint."""

    __slots__ = ("_events_per_token",)

    def __init__(self):
        self._events_per_token = None

    def record(self, expected_tokens, events):
        """Record the events of a complete sample with a hint of its tokens."""
        if expected_tokens <= 0 or events <= 0:
            return
        observed = events / expected_tokens
        if self._events_per_token is None:
            self._events_per_token = observed
        self._events_per_token += LENGTH_WEIGHT * (observed - self._events_per_token)

    def events_left(self, expected_tokens, received):
        """Return the estimated events left of a sample, or None if unknown."""
        if self._events_per_token is None or expected_tokens <= 0:
            return None
        expected = expected_tokens * self._events_per_token
        return max(expected - received, OVERRUN_SHARE * received, 1.0)


def long_from(items):
    """Return the hint of tokens from which an item of a step counts as a long one."""
    hints = sorted((item.expected for item in items), reverse=True)
    return hints[int(LONG_SHARE * (len(hints) - 1))] if hints else 0


class StepOutlook:
    """What is open of a step: how many items, and the longest time left of a sample.

    A sample with less than ``END_SHARE`` of ``longest_time_left`` does not determine the
    end of the step.
    """

    __slots__ = ("_items", "longest_time_left", "open_items")

    def __init__(self, items):
        self._items = items
        self.open_items = 0
        self.longest_time_left = 0.0

    @property
    def has_only_last_items(self):
        """Whether the step is down to its last items."""
        return self.open_items <= max(1, LAST_SHARE * self._items)

    def add(self, candidate, left):
        """Add a sample with ``left`` events at a candidate; None for what is unknown."""
        self.open_items += 1
        if left is None or candidate is None or candidate.event_interval is None:
            return
        time_left = left * _interval_at(candidate, candidate.load)
        self.longest_time_left = max(self.longest_time_left, time_left)


def may_leave(own, outlook):
    """Return whether a sample at ``own`` may migrate, wherever it could go."""
    return own.event_interval is not None and (
        own.is_slow or outlook.has_only_last_items
    )


def migration_reason(own, better, left, outlook):
    """Return why a sample should leave the candidate ``own`` for ``better``, or "".

    ``left`` is the sample's estimated events left, None if unknown; ``outlook`` is the
    ``StepOutlook`` of its step.
    """
    if not may_leave(own, outlook) or better is None or better.free_slots <= 0:
        return ""
    if better.event_interval is None or (left is None and not own.is_slow):
        return ""
    stay = _interval_at(own, own.load)
    gain = stay - _interval_at(better, better.load + 1)
    if left is not None:
        if left * stay < END_SHARE * outlook.longest_time_left:
            return ""
        gain -= MIGRATION_COST / left
    if gain < MIN_GAIN * stay:
        return ""
    return SLOW_ENGINE if own.is_slow else LAST_ITEM


def _interval_at(candidate, load):
    """Return the seconds between two events of a sample there."""
    return candidate.event_interval * load_slowdown(load, candidate.slots)
