"""Limits retries to a share of the first attempts.

Load pattern: a server slows down for all callers. Each retry adds to its load and
keeps it slow after the cause has gone.
"""


class Budget:
    """Allows ``burst`` retries at once and ``share`` per first attempt over time."""

    __slots__ = ("_burst", "_tokens", "_share")

    def __init__(self, share, burst):
        self._share = share
        self._burst = burst
        self._tokens = burst

    def record_attempt(self):
        """Count a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def take(self):
        """Return whether another retry is allowed, and count it."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
