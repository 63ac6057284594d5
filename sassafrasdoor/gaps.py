"""Gaps between ticks: the periods in which something that ticks regularly was silent."""

from collections import deque

MAX_KEPT_GAPS = 64  # the last ones; others ended before any period that is measured


class Gaps:
    """The periods of at least ``min_gap`` seconds without a tick, since ``started_at``.

    All times are monotonic.
    """

    __slots__ = ("_kept", "_last_tick", "_min_gap")

    def __init__(self, started_at, min_gap):
        self._min_gap = min_gap
        self._last_tick = started_at
        self._kept = deque(maxlen=MAX_KEPT_GAPS)

    def tick(self, moment):
        """Record a tick."""
        if moment - self._last_tick >= self._min_gap:
            self._kept.append((self._last_tick, moment))
        self._last_tick = max(self._last_tick, moment)

    def has_gap_since(self, since, moment):
        """Return whether a gap lies, at least in part, between ``since`` and now."""
        if moment - self._last_tick >= self._min_gap:
            return True
        return bool(self._kept) and self._kept[-1][1] > since

    def seconds_outside(self, since, moment, counts_present_gap=False):
        """Return the seconds from ``since`` to now outside of gaps.

        ``moment`` is now. The gap that has not ended is one too, unless
        ``counts_present_gap`` is set: its seconds are then part of the result.
        """
        gaps = list(self._kept)
        if moment - self._last_tick >= self._min_gap and not counts_present_gap:
            gaps.append((self._last_tick, moment))
        inside = sum(max(0.0, end - max(begin, since)) for begin, end in gaps)
        return moment - since - inside
