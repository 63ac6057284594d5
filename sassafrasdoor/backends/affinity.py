"""Which engines hold which prompt prefix: a hint from their late cache events.

An event may come late or never, so an entry says "probably" for a while: it is
believed for ``BELIEVED_FOR`` seconds after its last event or our own use. Used
to order choices, never to exclude one.
"""

import asyncio

from cachetools import TTLCache

from sassafrasdoor.clock import LONG_AGO, deadline_in, now, passed
from sassafrasdoor.view import BackendKind, State

BELIEVED_FOR = 60.0
PREFIXES_KEPT = 1024
POLL_INTERVAL = 1.0
START_OVER_AFTER = 30.0
AT_ONCE = 16


class Followed:
    """What one engine told: the next event wanted and its prefixes."""

    __slots__ = ("address", "following", "prefixes", "start_over_deadline")

    def __init__(self, address):
        self.address = address
        self.following = 0
        self.start_over_deadline = LONG_AGO
        self.prefixes = TTLCache(PREFIXES_KEPT, BELIEVED_FOR, timer=now)


class Affinity:
    """Follows the cache events of all engines in the view."""

    __slots__ = ("_client", "_engines", "_places", "_view")

    def __init__(self, engine_client, view_getter):
        self._client = engine_client
        self._view = view_getter
        self._engines = {}
        self._places = asyncio.Semaphore(AT_ONCE)

    async def run(self):
        """Poll for events until cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(POLL_INTERVAL)

    def affinity(self, prefix):
        """Return the names of the engines that probably hold the prefix."""
        return [
            name
            for name, followed in self._engines.items()
            if prefix in followed.prefixes
        ]

    def used(self, name, prefix):
        """Note that a stream with that prefix was sent to an engine."""
        followed = self._engines.get(name)
        if followed is not None:
            followed.prefixes[prefix] = True

    async def poll(self):
        """Ask every engine once for the events since the last time."""
        engines = [
            backend
            for backend in self._view().backends
            if backend.kind is BackendKind.ENGINE and backend.state is State.ALIVE
        ]
        known, self._engines = self._engines, {}
        for backend in engines:
            followed = known.get(backend.name)
            if followed is None or followed.address != backend.address:
                followed = Followed(backend.address)
            self._engines[backend.name] = followed
        await asyncio.gather(*[self._ask(backend) for backend in engines])

    async def _ask(self, backend):
        followed = self._engines[backend.name]
        if passed(followed.start_over_deadline):
            # A restarted engine numbers from the start again and would have
            # nothing to say from our number on, for ever.
            followed.following = 0
        async with self._places:
            answer = await self._client.cache_events(backend, followed.following)
        if not answer:
            return
        events, followed.following = answer
        if events or not followed.following:
            followed.start_over_deadline = deadline_in(START_OVER_AFTER)
        for event in events:
            if event.stored:
                followed.prefixes[event.prefix] = True
            else:
                followed.prefixes.pop(event.prefix, None)
