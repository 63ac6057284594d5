"""Makes the budget of a process agree with the memory that it takes.

The coroutines of a connection that is closed end in the next turns of the event loop. They
leave reference cycles, which hold heads and bodies, and which the interpreter would
collect only much later.
"""

import asyncio
import gc

from sassafrasdoor import allocator
from sassafrasdoor.backends.limits import MAX_RECEIVED_BYTES, RECEIVE_BUDGET
from sassafrasdoor.callers.budget import CallerBudget
from sassafrasdoor.clock import now
from sassafrasdoor.metrics import counter

TURNS = 3  # of the event loop, in which the coroutines of a closed connection end

COLLECTIONS = counter(
    "callers_garbage_collections_total", "Collections for connections that had ended."
)


class GarbageCollector:
    """Collects garbage for a ``CallerBudget``, a few turns of the event loop later."""

    __slots__ = ("_is_scheduled", "budget")

    def __init__(self):
        self._is_scheduled = False
        self.budget = None

    def __call__(self):
        if not self._is_scheduled:
            self._is_scheduled = True
            self._wait(TURNS, self.budget.unfreed_bytes)

    def _wait(self, turns, size):
        if turns:
            asyncio.get_running_loop().call_soon(self._wait, turns - 1, size)
            return
        COLLECTIONS.inc({})
        gc.collect()
        allocator.trim()
        self._is_scheduled = False
        self.budget.record_freed(size)


def process_budget(limits):
    """Return the ``CallerBudget`` of this process, by ``CallerLimits``."""
    allocator.map_large_blocks()
    collector = GarbageCollector()
    collector.budget = CallerBudget(limits, collector)
    RECEIVE_BUDGET.on_change = lambda size: collector.budget.change_received(
        size, now()
    )
    if limits.answer_bytes:
        RECEIVE_BUDGET.total_limit = min(MAX_RECEIVED_BYTES, limits.answer_bytes)
    return collector.budget
