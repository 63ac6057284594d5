"""Separates an engine's lasting speed from slowdowns that end within about a second.

Engines differ in speed permanently, and on each one work takes 2.5 times as long for some
hundred ms, many times a minute. Only a slowdown that lasts longer than these is a reason
for samples to leave. Load reports arrive at the head of streams, a few times a second, so
the intervals between events show what happens between two reports.
"""

from bisect import bisect_left, insort
from collections import deque
from math import exp

# Slowdown of a full engine's samples, as a share of their interval. It is between 0 and 1
# for engines known so far; with a half, a change of load alters the normalized interval by
# at most 1.4, below ``SLOW_RATIO``.
LOAD_SLOWDOWN = 0.5
WINDOW_DURATION = 0.25  # seconds; a mean over it is little affected by late packets
# Windows of the estimate: 20 s with events. A slowdown that fills three quarters of them,
# 15 s or more, counts as lasting; faults end sooner.
WINDOW_COUNT = 80
MIN_WINDOWS = 4  # one second with events; before, the speed counts as unknown
LASTING_QUANTILE = 0.25  # short slowdowns take 0.15 of the time
SMOOTHING_TIME = 0.15  # seconds; time constant of the current slowdown
# Ratio to the lasting speed: above the error of ``LOAD_SLOWDOWN``, below the 2.5 times
# of real slowdowns by this error. Reported paces below it count as lasting: a report may
# include the lasting difference (1.2) of an engine.
SLOW_RATIO = 1.7
SLOW_AFTER = 1.0  # seconds; short slowdowns end sooner
# Seconds by which the first slow event at most shows a slowdown late: a slow engine's
# events are up to a second apart, and a longer interval may contain a short slowdown.
MAX_LAG = 0.3
# Seconds without events after which a slow engine counts as usual again: its samples may
# have left, and only new ones can show its speed.
SLOW_LIFETIME = 3.0
# A longer interval includes a pause, such as a load of weights, and states no speed.
# While the speed is unknown, the quantile leaves out the window with the pause.
PAUSE_RATIO = 6.0
MIN_PAUSE = 0.6  # seconds; a load of weights takes 0.9 s


def load_slowdown(load, slots):
    """Return how much longer an event takes with ``load`` samples than on an idle engine."""
    return 1 + LOAD_SLOWDOWN * min(1.0, load / slots)


class EngineSpeed:
    """The lasting speed and the current slowdown of one incarnation of an engine.

    ``lasting_interval`` is the usual seconds between two events of a sample that has the
    engine to itself, None while unknown.
    """

    __slots__ = (
        "_last_event_at",
        "_ratio",
        "_sorted_windows",
        "_window_count",
        "_window_ends_at",
        "_window_sum",
        "_windows",
        "lasting_interval",
        "slow_since",
    )

    def __init__(self):
        self._windows = deque()
        self._sorted_windows = []
        self._window_ends_at = None
        self._window_sum = self._window_count = 0
        self._ratio = 1.0
        self._last_event_at = None
        self.lasting_interval = None
        self.slow_since = None

    def is_slow(self, moment):
        """Return whether it has been slower than usual for over ``SLOW_AFTER``."""
        return (
            self.slow_since is not None
            and self._last_event_at >= self.slow_since + SLOW_AFTER
            and moment < self._last_event_at + SLOW_LIFETIME
        )

    def interval(self, moment):
        """Return the interval to expect of a sample alone on it, or None if unknown."""
        if self.lasting_interval is None:
            return None
        return self.lasting_interval * (self._ratio if self.is_slow(moment) else 1.0)

    def record(self, seconds, slowdown, pace, moment):
        """Record the seconds between two events of a stream.

        ``slowdown`` is the ``load_slowdown`` at that moment, ``pace`` the reported multiple
        of the usual time, 1.0 if no report is recent.
        """
        normalized = seconds / slowdown
        if self._is_pause(seconds, normalized):
            return
        self._add_to_window(self._without_pace(normalized, pace), moment)
        self._update_ratio(normalized, seconds, moment)

    def _is_pause(self, seconds, normalized):
        return (
            seconds >= MIN_PAUSE
            and self.lasting_interval is not None
            and normalized >= PAUSE_RATIO * self.lasting_interval
        )

    def _without_pace(self, normalized, pace):
        """Return the normalized interval at the usual pace.

        A report may be 0.3 s old. Dividing by a pace that has ended would make the engine
        faster than it is, so a known speed is not undercut by it.
        """
        usual = normalized / pace if pace >= SLOW_RATIO else normalized
        if self.lasting_interval is None:
            return usual
        return max(usual, min(normalized, self.lasting_interval))

    def _add_to_window(self, usual, moment):
        if self._window_ends_at is None:
            self._window_ends_at = moment + WINDOW_DURATION
        self._window_sum += usual
        self._window_count += 1
        if moment < self._window_ends_at:
            return
        self._add_window(self._window_sum / self._window_count)
        self._window_ends_at = moment + WINDOW_DURATION
        self._window_sum = self._window_count = 0

    def _add_window(self, mean):
        self._windows.append(mean)
        insort(self._sorted_windows, mean)
        if len(self._windows) > WINDOW_COUNT:
            oldest = self._windows.popleft()
            del self._sorted_windows[bisect_left(self._sorted_windows, oldest)]
        count = len(self._sorted_windows)
        if count >= MIN_WINDOWS:
            self.lasting_interval = self._sorted_windows[int(LASTING_QUANTILE * count)]

    def _update_ratio(self, normalized, seconds, moment):
        since = moment - self._last_event_at if self._last_event_at is not None else 0.0
        self._last_event_at = moment
        if self.lasting_interval is None:
            return
        weight = 1 - exp(-since / SMOOTHING_TIME)
        self._ratio += weight * (normalized / self.lasting_interval - self._ratio)
        if self._ratio < SLOW_RATIO:
            self.slow_since = None
        elif self.slow_since is None:
            self.slow_since = moment - min(seconds, MAX_LAG)
