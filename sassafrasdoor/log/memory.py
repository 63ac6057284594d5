"""An in-memory log with fault injection, for tests and embedding applications."""

import asyncio
import contextlib
from collections import defaultdict

from sassafrasdoor.clock import deadline_in, remaining
from sassafrasdoor.log.interface import Batch, PlatformLog, Record
from sassafrasdoor.outcomes import Expired, ReplyLost, Unavailable


class MemoryLog(PlatformLog):
    """Keeps streams as lists of records; a ``stride`` above 1 leaves gaps in offsets.

    Faults: ``down`` makes every call fail; ``lose_replies`` and ``duplicates`` are the
    numbers of next appends that lose their reply or are stored twice.
    """

    __slots__ = (
        "_appended",
        "_first",
        "_next",
        "_records",
        "down",
        "duplicates",
        "lose_replies",
        "stride",
    )

    def __init__(self, stride=1):
        self._records = defaultdict(list)
        self._first = defaultdict(int)
        self._next = defaultdict(lambda: 1)
        self._appended = asyncio.Event()
        self.stride = stride
        self.down = False
        self.lose_replies = 0
        self.duplicates = 0

    async def append(self, stream, body):
        """Append once; return the offset, ``Unavailable`` or ``ReplyLost``."""
        if self.down:
            return Unavailable("log is down")
        offset = self._add(stream, body)
        if self.duplicates:
            self.duplicates -= 1
            self._add(stream, body)
        self._appended.set()
        self._appended = asyncio.Event()
        if self.lose_replies:
            self.lose_replies -= 1
            return ReplyLost("reply lost")
        return offset

    async def read(self, stream, offset, limit, wait):
        """Return a ``Batch``, ``Expired`` or ``Unavailable``."""
        deadline = deadline_in(wait)
        while True:
            if self.down:
                return Unavailable("log is down")
            if offset < self._first[stream]:
                return Expired("offset no longer kept", self._first[stream])
            kept = self._records[stream]
            records = [record for record in kept if record.offset >= offset][:limit]
            if records or not remaining(deadline):
                return self._batch(stream, offset, records, limit)
            await self._wait(remaining(deadline))

    async def end(self, stream):
        """Return the offset of the next append, or ``Unavailable``."""
        return Unavailable("log is down") if self.down else self._next[stream]

    def close(self):
        """Do nothing: there are no connections."""

    def expire(self, stream, before):
        """Drop the records below the offset ``before``."""
        self._first[stream] = max(self._first[stream], before)
        self._records[stream] = [
            record for record in self._records[stream] if record.offset >= before
        ]

    def _add(self, stream, body):
        offset = self._next[stream]
        self._next[stream] += self.stride
        self._records[stream].append(Record(offset, body))
        return offset

    def _batch(self, stream, offset, records, limit):
        following = self._next[stream]
        if len(records) == limit:
            following = records[-1].offset + 1
        return Batch(records, max(offset, following), self._first[stream])

    async def _wait(self, seconds):
        # asyncio.wait_for, until Python 3.12, loses a cancellation that coincides with
        # the record, so that a follower's task would never end.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._appended.wait()
