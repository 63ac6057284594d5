"""Finds out which broken connections were crashes, and which requests ran there."""

import asyncio

from sassafrasdoor.backends.interface import Broken, Refused
from sassafrasdoor.clock import deadline_in, passed
from sassafrasdoor.decisions import note
from sassafrasdoor.metrics import counter

PROBE_PAUSES = (0.0, 0.2, 0.4)
"""Seconds before each look whether anybody still listens at the replica's address."""
LIST_PAUSE = 0.25
"""Seconds between looks at the list, once somebody listens there or nothing is heard."""
GONE_WITHIN = 6.0
"""Seconds after a broken connection in which the end of the replica's entry confirms a
crash: three heartbeats and the reading of the list, with room for a slow one."""

CRASHES = counter(
    "replica_crashes_total", "Replicas that broke a connection and ended."
)


class CrashWatch:
    """Looks after each connection that broke while a request ran at a replica."""

    __slots__ = ("_broken", "_client", "_replicas", "_tasks")

    def __init__(self, client, replicas):
        self._client = client
        self._replicas = replicas
        self._broken = {}
        self._tasks = {}

    @property
    def looking(self):
        """Whether some replica is being looked after."""
        return bool(self._tasks)

    def judged(self, request, replica, result):
        """Take what became of a send."""
        if isinstance(result, Broken) and result.began:
            self._broke(request, replica)

    def _broke(self, request, replica):
        running = self._broken.setdefault(replica, {})
        running[request.fingerprint] = request.request_id
        if replica not in self._tasks:
            self._tasks[replica] = asyncio.ensure_future(self._look_after(replica))

    async def _look_after(self, replica):
        try:
            if await self._has_crashed(replica):
                self._crashed(replica, self._broken[replica])
        finally:
            del self._broken[replica], self._tasks[replica]

    async def _has_crashed(self, replica):
        limit = deadline_in(GONE_WITHIN)
        for pause in PROBE_PAUSES:
            await asyncio.sleep(pause)
            if isinstance(await self._client.reach(replica), Refused):
                return True
        while not passed(limit):
            if self._replicas.get(replica.identity) is not replica:
                return not replica.listing.leaving
            if not replica.state.failures:
                return False
            await asyncio.sleep(LIST_PAUSE)
        return False

    def _crashed(self, replica, running):
        CRASHES.inc({})
        note(
            "replica.crashed",
            replica=replica.identity,
            address=replica.listing.address,
            requests=list(running.values()),
            fingerprints=list(running),
        )
