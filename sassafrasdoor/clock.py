"""Monotonic deadlines, detection of process pauses, and a hybrid logical clock."""

import time

now = time.monotonic
LONG_AGO = float("-inf")


def boot_now():
    """Return the seconds since boot, including those of a suspended machine.

    The monotonic clock stops while a machine is suspended; judged by it, a lease
    that ended during the suspension would still be held afterwards.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def deadline_in(seconds):
    """Return the monotonic time ``seconds`` from now."""
    return now() + seconds


def remaining(deadline):
    """Return the seconds left until ``deadline``, never below zero."""
    return max(0.0, deadline - now())


def passed(deadline):
    """Return whether ``deadline`` has passed."""
    return now() >= deadline


class PauseDetector:
    """Detects that this process did not run for a while.

    A process that was stopped and continued takes its leases, its view of the
    members and its load reports for current, so two holders could act at once.
    A gap of more than ``limit`` seconds between ticks reveals the pause; until
    ``clear_pause()`` is called none of this state may be trusted.
    """

    __slots__ = ("_last_tick", "_limit", "_paused")

    def __init__(self, limit):
        self._limit = limit
        self._last_tick = now()
        self._paused = False

    @property
    def paused(self):
        """Whether a pause was detected and not cleared since."""
        self.tick()
        return self._paused

    def tick(self):
        """Record that the process runs; return whether there is an uncleared pause."""
        current = now()
        if current - self._last_tick > self._limit:
            self._paused = True
        self._last_tick = current
        return self._paused

    def clear_pause(self):
        """Clear the pause, after the state has been read again."""
        self._last_tick = now()
        self._paused = False


class HybridClock:
    """A hybrid logical clock: wall milliseconds plus a counter, as one integer.

    Stamps of causally related events are in the right order on all processes even if
    their wall clocks differ (Kulkarni et al., 2014). The low 16 bits are the counter.
    """

    __slots__ = ("_last", "_wall")

    COUNTER_BITS = 16
    MAX_AHEAD_MS = 24 * 3600 * 1000

    def __init__(self, wall=time.time):
        self._wall = wall
        self._last = 0

    def stamp(self):
        """Return a stamp later than every stamp observed or returned before."""
        physical = int(self._wall() * 1000) << self.COUNTER_BITS
        self._last = max(physical, self._last + 1)
        return self._last

    def observe(self, stamp):
        """Advance the clock to a stamp received with a message.

        A stamp from far in the future is ignored: it would advance the clocks of all
        processes, and beyond 64 bits no message could be sent any more.
        """
        limit = int(self._wall() * 1000) + self.MAX_AHEAD_MS
        if stamp <= limit << self.COUNTER_BITS:
            self._last = max(self._last, stamp)
