"""Polling of the load reports of the backend servers that this instance uses."""

import asyncio
import random

from sassafrasdoor import metrics
from sassafrasdoor.clock import deadline_in, remaining
from sassafrasdoor.outcomes import Unavailable

JITTER = 0.3  # share of the interval; prevents simultaneous polls by all instances
MAX_CONCURRENT_LOAD_POLLS = 32

POLLS = metrics.counter("sassafrasdoor_load_polls_total", "Load reports asked for.")
POLL_FAILURES = metrics.counter(
    "sassafrasdoor_load_poll_failures_total", "Load reports that did not come."
)


class LoadPoller:
    """Polls the load of each server in use and reports it to the chooser."""

    __slots__ = ("_chooser", "_engine", "_settings", "_view_getter")

    def __init__(self, settings, view_getter, engine, chooser):
        self._settings = settings
        self._view_getter = view_getter
        self._engine = engine
        self._chooser = chooser

    async def run(self):
        """Poll until cancelled."""
        while True:
            interval = self._settings.routing.load_interval
            next_round = deadline_in(interval * random.uniform(1 - JITTER, 1 + JITTER))
            await self.poll_once()
            await asyncio.sleep(remaining(next_round))

    async def poll_once(self):
        """Poll every server in use once."""
        slots = asyncio.Semaphore(MAX_CONCURRENT_LOAD_POLLS)
        backends = self._chooser.backends_in_use(self._view_getter())
        await asyncio.gather(*[self._poll(backend, slots) for backend in backends])

    async def _poll(self, backend, slots):
        async with slots:
            POLLS.inc({})
            load = await self._load(backend)
        if load:
            self._chooser.report(backend, load)
        else:
            POLL_FAILURES.inc({})
            self._chooser.record_missed_report(backend)

    async def _load(self, backend):
        # A frozen server accepts the connection and never answers. Without a timeout the
        # round would wait for it, and all other reports would become outdated.
        try:
            async with asyncio.timeout(self._settings.routing.load_interval):
                return await self._engine.load(backend)
        except TimeoutError:
            return Unavailable("load report timed out")
