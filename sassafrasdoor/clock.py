"""Points in time: monotonic deadlines, pauses of the process, hybrid clock."""

import time

now = time.monotonic
LONG_AGO = float("-inf")


def boot_now():
    """Return the seconds since boot, those of a suspended machine included.

    The monotonic clock stands still while a machine is suspended; a lease judged by
    it would be held by one who slept through its end.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def deadline_in(seconds):
    """Return the point on the monotonic clock that many seconds from now."""
    return now() + seconds


def remaining(deadline):
    """Return the seconds left until ``deadline``, never below zero."""
    return max(0.0, deadline - now())


def passed(deadline):
    """Say whether ``deadline`` lies behind us."""
    return now() >= deadline


class PauseDetector:
    """Notices that this process did not run for a while.

    A process that was stopped and continued believes its leases, its view of
    the members and its load reports to be current. One would notice by two
    holders acting at once. Ticks that lie further apart than ``limit`` seconds
    reveal the pause; until ``refreshed`` is called nothing may be trusted.
    """

    __slots__ = ("_last_tick", "_limit", "_paused")

    def __init__(self, limit):
        self._limit = limit
        self._last_tick = now()
        self._paused = False

    @property
    def paused(self):
        """Whether a pause was seen and nothing was refreshed since."""
        self.tick()
        return self._paused

    def tick(self):
        """Record that the process runs; return whether a gap lies behind it."""
        current = now()
        if current - self._last_tick > self._limit:
            self._paused = True
        self._last_tick = current
        return self._paused

    def clear_pause(self):
        """Trust what is known again: it was read anew after the pause."""
        self._last_tick = now()
        self._paused = False


class HybridClock:
    """A hybrid logical clock: wall milliseconds plus a counter, as one integer.

    Stamps of causally related events order correctly on all processes although
    their wall clocks differ (Kulkarni et al., 2014). The low 16 bits count.
    """

    __slots__ = ("_last", "_wall")

    COUNTER_BITS = 16
    MAX_AHEAD_MS = 24 * 3600 * 1000

    def __init__(self, wall=time.time):
        self._wall = wall
        self._last = 0

    def stamp(self):
        """Return a stamp later than every stamp seen or given before."""
        physical = int(self._wall() * 1000) << self.COUNTER_BITS
        self._last = max(physical, self._last + 1)
        return self._last

    def observe(self, stamp):
        """Take note of a stamp that came with a message.

        One from far in the future would carry all processes there with it; at
        the end of 64 bits no message could be sent any more. So it is ignored.
        """
        limit = int(self._wall() * 1000) + self.MAX_AHEAD_MS
        if stamp <= limit << self.COUNTER_BITS:
            self._last = max(self._last, stamp)
