"""Merging the rings of all processes into one time line.

Hybrid stamps order what is causally related whatever the wall clocks say, for
every message between our processes carries one.
"""

import asyncio

from sassafrasdoor.clock import HybridClock

# While following, events younger than this wait for the next round: another
# process, read a moment earlier, may have older ones still to come.
REORDER_WINDOW_MS = 300
FOLLOW_INTERVAL = 0.5


class Filter:
    """Which events to keep; an empty criterion keeps all.

    ``request`` and ``step`` match a field of that name, or a ``stream`` one of
    whose parts between slashes they are; ``instance`` the instance of the
    process; ``kind`` the start of the kind.
    """

    __slots__ = ("_instance", "_kind", "_request", "_step")

    def __init__(self, request="", step="", instance="", kind=""):
        self._request = request
        self._step = step
        self._instance = instance
        self._kind = kind

    def matches(self, event):
        """Say whether the event passes."""
        return (
            event.kind.startswith(self._kind)
            and self._instance in ("", event.process.partition("/")[0])
            and self._matches_field(event, "request", self._request)
            and self._matches_field(event, "step", self._step)
        )

    def _matches_field(self, event, field, wanted):
        if not wanted:
            return True
        value = str(event.fields.get(field, ""))
        parts = str(event.fields.get("stream", "")).split("/")
        return wanted in (value, *value.split("/"), *parts)


class Collector:
    """Reads ``sources`` and yields their events in the order of their stamps.

    ``unavailable`` maps a source's name to why its last read failed: a time
    line that lacks a process must say so.
    """

    __slots__ = ("_pending", "_last_stamps", "_sources", "unavailable")

    def __init__(self, sources, since=0):
        self._sources = list(sources)
        self._last_stamps = dict.fromkeys(self._sources, since)
        self._pending = []
        self.unavailable = {}

    async def collect(self):
        """Read what is new everywhere; return it sorted."""
        pages = await asyncio.gather(*map(self._read_new, self._sources))
        return sorted(sum(pages, []), key=lambda event: event.stamp)

    async def _read_new(self, source):
        events = []
        while True:
            page = await source.read(self._last_stamps[source])
            if isinstance(page, list):
                self.unavailable.pop(source.name, None)
            else:
                self.unavailable[source.name] = page.reason
            if not page:
                return events
            newest = max(event.stamp for event in page)
            # A source that goes on sending what was read already would keep us
            # here for ever, with a list that grows.
            if newest <= self._last_stamps[source]:
                return events
            self._last_stamps[source] = newest
            events += page

    async def follow(self):
        """Yield sorted lists of events as they come, until cancelled."""
        clock = HybridClock()
        while True:
            cutoff = clock.stamp() - (REORDER_WINDOW_MS << HybridClock.COUNTER_BITS)
            events = self._pending + await self.collect()
            events.sort(key=lambda event: event.stamp)
            self._pending = [event for event in events if event.stamp > cutoff]
            yield [event for event in events if event.stamp <= cutoff]
            await asyncio.sleep(FOLLOW_INTERVAL)

    def close(self):
        """Close all sources."""
        for source in self._sources:
            source.close()
