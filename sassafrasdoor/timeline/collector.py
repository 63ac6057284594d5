"""Merges the event rings of all processes into one timeline.

Every message between the processes carries a hybrid stamp, so causally related events
are in order whatever the wall clocks show.
"""

import asyncio

from sassafrasdoor.clock import HybridClock

# ``follow`` delays younger events to its next round: a source that was read earlier in
# the same round may still report older ones.
REORDER_WINDOW_MS = 300
FOLLOW_INTERVAL = 0.5  # seconds


class Filter:
    """Selects events; an empty criterion matches all.

    ``request`` and ``step`` match a field of that name or a part, between slashes,
    of that field or of ``stream``; ``instance`` matches the instance of the process,
    ``kind`` the beginning of the kind.
    """

    __slots__ = ("_instance", "_kind", "_request", "_step")

    def __init__(self, request="", step="", instance="", kind=""):
        self._request = request
        self._step = step
        self._instance = instance
        self._kind = kind

    def matches(self, event):
        """Return whether the event meets all criteria."""
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

    ``unavailable`` maps a source's name to why its last read failed, so that an
    incomplete timeline is reported as such.
    """

    __slots__ = ("_pending", "_last_stamps", "_sources", "unavailable")

    def __init__(self, sources, since=0):
        self._sources = list(sources)
        self._last_stamps = dict.fromkeys(self._sources, since)
        self._pending = []
        self.unavailable = {}

    async def collect(self):
        """Return the new events of all sources, sorted by stamp."""
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
            # A source that keeps returning events already read would make this
            # loop endless and the list grow.
            if newest <= self._last_stamps[source]:
                return events
            self._last_stamps[source] = newest
            events += page

    async def follow(self):
        """Yield sorted lists of new events until cancelled."""
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
