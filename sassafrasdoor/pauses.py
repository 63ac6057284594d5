"""Pauses of this process, in which it measured the silence of others wrongly.

Load pattern: the process is stopped, or gets no processor time, for a second or two,
several times in a row. When it continues, its timers run before it has read what has
arrived meanwhile: replicas, the log and other instances then look silent though only this
process was.
"""

import asyncio

from sassafrasdoor import clock
from sassafrasdoor.decisions import note
from sassafrasdoor.gaps import Gaps
from sassafrasdoor.metrics import histogram

TICK_INTERVAL = 0.1  # seconds
MIN_PAUSE = 0.3  # seconds between two ticks from which on the process counts as paused
MIN_LOGGED_LAG = 0.25  # seconds
SETTLE_TIME = 0.1  # seconds to handle what has arrived during a pause

LAG = histogram(
    "event_loop_lag_seconds",
    "Seconds by which the event loop ran a timer late.",
    buckets=[0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5],
)


class Pauses:
    """The pauses of a process that ticks each ``TICK_INTERVAL`` while it runs.

    All times are monotonic. ``started_at`` is when the ticks begin.
    """

    __slots__ = ("_gaps",)

    def __init__(self, started_at):
        self._gaps = Gaps(started_at, MIN_PAUSE)

    def tick(self, moment):
        """Record that the process runs at a moment."""
        self._gaps.tick(moment)

    def running_seconds(self, since, moment):
        """Return the seconds from ``since`` to now in which the process ran.

        ``moment`` is now; a pause that has just ended counts, also before its tick.
        """
        self.tick(moment)
        return self._gaps.seconds_outside(since, moment)


async def sleep_and_settle(seconds):
    """Sleep; after a pause of the process, sleep until what arrived in it is handled."""
    while True:
        due_at = clock.deadline_in(seconds)
        await asyncio.sleep(seconds)
        if clock.now() < due_at + MIN_PAUSE:
            return
        seconds = SETTLE_TIME


class LoopMonitor:
    """Ticks in the event loop, and reports by how much it runs late."""

    __slots__ = ("pauses",)

    def __init__(self):
        self.pauses = Pauses(clock.now())

    async def run(self):
        """Tick until cancelled."""
        while True:
            due_at = clock.deadline_in(TICK_INTERVAL)
            await asyncio.sleep(TICK_INTERVAL)
            lag = clock.now() - due_at
            self.pauses.tick(clock.now())
            LAG.observe({}, max(0.0, lag))
            if lag >= MIN_LOGGED_LAG:
                note("loop.lagged", seconds=round(lag, 3))
