"""The rollout of weights by the instance that holds its lease."""

import asyncio

from sassafrasdoor.backends.http import HttpEngine
from sassafrasdoor.backends.transfer import Client
from sassafrasdoor.lease.holder import Holder
from sassafrasdoor.view import View
from sassafrasdoor.weights.rollout import Rollout

LEASE = "weights"
MAX_TRANSFERS = 256


class WeightsRollout:
    """Orders engines to load the announced versions while it holds the lease."""

    __slots__ = ("_engine", "_process", "_tasks", "holder", "rollout")

    def __init__(self, settings, process):
        self._process = process
        self._engine = HttpEngine(settings, Client(MAX_TRANSFERS))
        self._tasks = []
        self.holder = Holder(
            settings,
            process.log,
            process.follower,
            LEASE,
            may_claim=self._may_claim,
        )
        self.rollout = Rollout(settings, self._engine, self.holder, self._view)

    def start(self):
        """Start to claim the lease and, while holding it, to roll out weights."""
        jobs = [self.holder.run(), self.rollout.run()]
        self._tasks = [asyncio.create_task(job) for job in jobs]

    async def depart(self):
        """Finish the orders in flight, then release the lease."""
        if await self.rollout.drain():
            await self.holder.release()

    async def close(self):
        """Stop all tasks and close connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._engine.close()

    def _may_claim(self):
        wanted = bool(self._process.follower.state.weights)
        return wanted and self._process.state_sync.is_chosen(LEASE)

    def _view(self):
        state = self._process.follower.state
        backends = self._process.source.backends
        return View(table=state.table, weights=state.weights, backends=backends)
