"""Repeats as a share of first tries.

Load pattern: a server slows down for everybody. Each call that is sent a second time
adds to its load, so that it stays slow after the cause has gone.
"""


class Budget:
    """Allows ``burst`` repeats at once, and ``share`` of the first tries over time."""

    __slots__ = ("_burst", "_tokens", "_share")

    def __init__(self, share, burst):
        self._share = share
        self._burst = burst
        self._tokens = burst

    def record_attempt(self):
        """Count a first try."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def take(self):
        """Say whether one more repeat is allowed, and count it."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
