"""Tracks which engines hold which prompt prefixes, by their cache events.

Events may be late or lost, so an entry is a hint that expires ``ENTRY_TTL`` seconds
after its last event or use. Hints rank candidates and exclude none.
"""

import asyncio

from cachetools import TTLCache

from sassafrasdoor.clock import LONG_AGO, deadline_in, now, passed
from sassafrasdoor.view import BackendKind, State

ENTRY_TTL = 60.0  # seconds
MAX_PREFIXES = 1024  # per engine
POLL_INTERVAL = 1.0  # seconds
RESYNC_INTERVAL = 30.0  # seconds without an event, then all are read again
MAX_CONCURRENT_POLLS = 16


class EngineCache:
    """One engine's prefixes and the number of the next event to read."""

    __slots__ = ("address", "next_event", "prefixes", "resync_deadline")

    def __init__(self, address):
        self.address = address
        self.next_event = 0
        self.resync_deadline = LONG_AGO
        self.prefixes = TTLCache(MAX_PREFIXES, ENTRY_TTL, timer=now)


class Affinity:
    """Polls the cache events of all engines in the view."""

    __slots__ = ("_caches", "_client", "_poll_slots", "_view")

    def __init__(self, engine_client, view_getter):
        self._client = engine_client
        self._view = view_getter
        self._caches = {}
        self._poll_slots = asyncio.Semaphore(MAX_CONCURRENT_POLLS)

    async def run(self):
        """Poll for events until cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(POLL_INTERVAL)

    def engines_with(self, prefix):
        """Return the names of the engines that probably hold the prefix."""
        return [
            name for name, cache in self._caches.items() if prefix in cache.prefixes
        ]

    def record_use(self, name, prefix):
        """Record that a stream with that prefix was sent to an engine."""
        cache = self._caches.get(name)
        if cache is not None:
            cache.prefixes[prefix] = True

    async def poll(self):
        """Read the new events of every live engine once."""
        engines = [
            backend
            for backend in self._view().backends
            if backend.kind is BackendKind.ENGINE and backend.state is State.ALIVE
        ]
        previous, self._caches = self._caches, {}
        for backend in engines:
            cache = previous.get(backend.name)
            if cache is None or cache.address != backend.address:
                cache = EngineCache(backend.address)
            self._caches[backend.name] = cache
        await asyncio.gather(*[self._poll_engine(backend) for backend in engines])

    async def _poll_engine(self, backend):
        cache = self._caches[backend.name]
        if passed(cache.resync_deadline):
            # A restarted engine numbers its events from zero again.
            cache.next_event = 0
        async with self._poll_slots:
            reply = await self._client.cache_events(backend, cache.next_event)
        if not reply:
            return
        events, cache.next_event = reply
        if events or not cache.next_event:
            cache.resync_deadline = deadline_in(RESYNC_INTERVAL)
        for event in events:
            if event.stored:
                cache.prefixes[event.prefix] = True
            else:
                cache.prefixes.pop(event.prefix, None)
