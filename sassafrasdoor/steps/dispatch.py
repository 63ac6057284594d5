"""Starts a step's samples in order, each with an admission permit."""

import asyncio
from heapq import heappop, heappush
from itertools import count

from sassafrasdoor.outcomes import Outcome
from sassafrasdoor.steps.sample import SampleState

MAX_PENDING_ADMISSIONS = 32  # per step


class PendingQueue:
    """A priority queue of the samples to be started.

    Adopted streams come first, as they already hold engine memory; then one group after
    another, so that a group's prompt is still in the prefix cache.
    """

    __slots__ = ("_heap", "_tie_breaker")

    def __init__(self):
        self._heap = []
        self._tie_breaker = count()

    def __len__(self):
        return len(self._heap)

    def add(self, sample, group):
        """Add a sample of ``group``."""
        rank = (sample.adopted is None, group, next(self._tie_breaker))
        heappush(self._heap, (rank, sample))

    def pop(self):
        """Return the next sample that is still PENDING, or None."""
        while self._heap:
            _, sample = heappop(self._heap)
            if sample.state is SampleState.PENDING:
                return sample
        return None


class Dispatcher:
    """Requests admission permits while its step has samples to start."""

    __slots__ = ("_owner", "_pending_admissions", "_resources", "pending")

    def __init__(self, resources, owner):
        self._resources = resources
        self._owner = owner
        self._pending_admissions = 0
        self.pending = PendingQueue()

    @property
    def is_idle(self):
        """Whether no admission is pending."""
        return not self._pending_admissions

    def add(self, sample):
        """Queue a sample; ``request_permits`` must follow to start it."""
        sample.state = SampleState.PENDING
        self.pending.add(sample, self._owner.identity.place(sample.position)[0])

    def request_permits(self):
        """Request permits for pending samples, up to ``MAX_PENDING_ADMISSIONS``."""
        while self._pending_admissions < min(MAX_PENDING_ADMISSIONS, len(self.pending)):
            if not self._owner.is_dispatching:
                return
            self._pending_admissions += 1
            self._owner.spawn(self._admit())

    async def _admit(self):
        owner = self._owner
        try:
            permit = await self._resources.admission.admit(
                self._resources.view(), owner.row, owner.deadline
            )
            if isinstance(permit, Outcome):
                await asyncio.sleep(permit.retry_after)
        finally:
            self._pending_admissions -= 1
        if not isinstance(permit, Outcome):
            self._start(permit)
        self.request_permits()

    def _start(self, permit):
        sample = self.pending.pop() if self._owner.is_dispatching else None
        if sample is None:
            permit.release()
            return
        attempt, sample.adopted = sample.adopted, None
        sample.state = SampleState.RUNNING
        self._owner.start_sample(sample, attempt, permit)
