"""Repeats as a share of first tries.

Load pattern: a server slows down for everybody. Each call that is sent a second time
adds to its load, so that it stays slow after the cause has gone.
"""


class Budget:
    """Allows ``burst`` repeats at once, and ``share`` of the first tries over time."""

    __slots__ = ("_burst", "_left", "_share")

    def __init__(self, share, burst):
        self._share = share
        self._burst = burst
        self._left = burst

    def tried(self):
        """Count a first try."""
        self._left = min(self._burst, self._left + self._share)

    def take(self):
        """Say whether one more repeat is allowed, and count it."""
        if self._left < 1:
            return False
        self._left -= 1
        return True
