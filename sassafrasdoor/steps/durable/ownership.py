"""Which shards this process runs, by the log's own groups."""

import asyncio
import time

from sassafrasdoor.decisions import note
from sassafrasdoor.outcomes import Outcome

GROUP = "step-runners"
TTL = 1.6
"""Seconds after its last join that a dead runner's shards go to others; an item must
be back at a replica well within five seconds."""
JOIN_INTERVAL = 0.4
"""Seconds between joins: three may be lost."""
LONGEST_TICK = 1.2
"""Seconds between two joins beyond which this process did not run: others have its
shards by now, and its knowledge of ended steps is old."""


def boot_time():
    """Return the seconds since boot, those of a suspended machine included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Ownership:
    """Keeps this process in the group; ``owned`` are the shards it runs.

    ``on_change(gained, lost)`` is told of shards. While the log is away the last
    answer holds: a sample that two runners make is listed once.
    """

    __slots__ = (
        "_generation",
        "_leaving",
        "_log",
        "_member",
        "_on_change",
        "_shards",
        "_ticked",
        "_topic",
        "owned",
    )

    def __init__(self, log, member, topic, shards, on_change):
        self._log = log
        self._member = member
        self._topic = topic
        self._shards = frozenset(range(shards))
        self._on_change = on_change
        self._generation = 0
        self._leaving = False
        self._ticked = boot_time()
        self.owned = frozenset()

    async def run(self):
        """Stay in the group until cancelled."""
        while not self._leaving:
            self._check_pause()
            result = await self._log.join(
                GROUP, self._member, self._topic, TTL, self._generation
            )
            if not isinstance(result, Outcome) and not self._leaving:
                self._generation = result.generation
                self._take(self._shards & frozenset(result.partitions))
            self._ticked = boot_time()
            await asyncio.sleep(JOIN_INTERVAL)

    async def leave(self):
        """Leave the group: others take the shards at once."""
        self._leaving = True
        self._take(frozenset())
        await self._log.leave(GROUP, self._member)

    def _check_pause(self):
        if boot_time() - self._ticked > LONGEST_TICK + JOIN_INTERVAL:
            note("shards.paused", seconds=round(boot_time() - self._ticked, 3))
            self._take(frozenset())

    def _take(self, owned):
        gained, lost = owned - self.owned, self.owned - owned
        self.owned = owned
        if gained or lost:
            note(
                "shards.changed",
                generation=self._generation,
                gained=sorted(gained),
                lost=sorted(lost),
            )
            self._on_change(gained, lost)
