"""Reads the agreed stream to its end for requests that the table refuses for good.

A row or a key that the table lacks may have been added since it was last confirmed. One
read serves all requests that wait, and the reads of all instances together are bounded:
callers with wrong keys must not have the whole fleet read the log without a pause.
"""

import asyncio

from sassafrasdoor.clock import LONG_AGO, deadline_in, now, passed, remaining

READS_PER_SECOND = 50.0  # of all instances together
READ_TIMEOUT = 1.0  # seconds


class Confirmation:
    """Confirms the state of a ``Follower``; ``members()`` returns the instances."""

    __slots__ = ("_follower", "_members", "_next_read_at", "_reading")

    def __init__(self, follower, members):
        self._follower = follower
        self._members = members
        self._next_read_at = LONG_AGO
        self._reading = None

    async def confirm(self, deadline):
        """Return whether a read that was sent after this call reached the end in time."""
        called_at = now()
        while not (self._is_confirmed_since(called_at) or passed(deadline)):
            if self._reading is None or self._reading.done():
                self._reading = asyncio.ensure_future(self._read_when_due())
            await asyncio.wait([self._reading], timeout=remaining(deadline))
        return self._is_confirmed_since(called_at)

    def _is_confirmed_since(self, moment):
        confirmed_at = self._follower.confirmed_at
        return confirmed_at is not None and confirmed_at >= moment

    async def _read_when_due(self):
        await asyncio.sleep(remaining(self._next_read_at))
        interval = max(1, len(self._members())) / READS_PER_SECOND
        self._next_read_at = deadline_in(interval)
        await self._follower.catch_up(deadline_in(READ_TIMEOUT))
