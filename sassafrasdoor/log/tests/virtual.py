"""Virtual time, and a log with limited bandwidth and rate of calls."""

import asyncio
import math
import selectors
from unittest import mock

from sassafrasdoor import clock
from sassafrasdoor.log import sharing, tail
from sassafrasdoor.log.memory_partitioned import MemoryPartitionedLog
from sassafrasdoor.log.partitioned import PartitionedLog
from sassafrasdoor.outcomes import Unavailable

LOAD_TIMEOUT = (
    2.0  # seconds for a load of the newest values, as in the platform's store
)
ANSWER_DELAY = 0.004  # seconds
MEGABYTE = 1_000_000
HEADER_BYTES = 200


class _VirtualSelector(selectors.SelectSelector):
    """Advances the virtual time instead of sleeping."""

    def __init__(self):
        super().__init__()
        self.time = 0.0

    def select(self, timeout=None):
        self.time += timeout or 0.0
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time advances only while it waits."""

    def __init__(self):
        self._selector = _VirtualSelector()
        super().__init__(self._selector)

    def time(self):
        """Return the virtual seconds since the start."""
        return self._selector.time


def run(main):
    """Return the result of ``main(loop)``, run in virtual time."""
    loop = VirtualLoop()
    with (
        mock.patch.object(clock, "now", loop.time),
        mock.patch.object(sharing, "now", loop.time),
        mock.patch.object(tail, "now", loop.time),
        asyncio.Runner(loop_factory=lambda: loop) as runner,
    ):
        return runner.run(main(loop))


class BoundedLog:
    """A log that sends ``rate`` bytes a second, one answer after another.

    Answers are sent even if the reader has timed out. Calls made while it is ``silent``
    are never answered. Above ``calls_per_second`` it refuses calls, and the refused ones
    count towards that limit. ``sent_reads`` counts all reads that were sent to it.
    """

    def __init__(self, rate, calls_per_second=math.inf):
        self.storage = MemoryPartitionedLog()
        self.rate = rate
        self.calls_per_second = calls_per_second
        self.refuses_calls = False
        self._bucket_level = 0.0
        self._leaked_at = 0.0
        self.silent = False
        self.sent_reads = 0
        self.sent = 0
        self._free_at = 0.0

    @property
    def backlog(self):
        """Seconds that a small answer would be queued now."""
        return max(0.0, self._free_at - clock.now())

    def accepts_call(self):
        """Count a call; return whether it is accepted."""
        leaked = (clock.now() - self._leaked_at) * min(self.calls_per_second, 1e9)
        self._leaked_at = clock.now()
        self._bucket_level = max(0.0, self._bucket_level - leaked) + 1
        return self._bucket_level <= self.calls_per_second and not self.refuses_calls

    def reader(self):
        """Return the client of one instance."""
        return _Reader(self)

    async def answer(self, size):
        """Wait until ``size`` bytes are sent after all earlier answers."""
        self.sent += size
        self._free_at = max(self._free_at, clock.now()) + size / self.rate
        await asyncio.sleep(self._free_at + ANSWER_DELAY - clock.now())


class _Reader(PartitionedLog):
    __slots__ = ("_log",)

    def __init__(self, log):
        self._log = log

    @property
    def is_cut_off(self):
        return False

    async def append(self, topic, part, records, deadline):
        return await self._log.storage.append(topic, part, records, deadline)

    async def read(self, topic, part, offset, wait, slack, max_bytes=None):
        self._log.sent_reads += 1
        return await self._with_timeout(
            wait + slack, self._read(topic, part, offset, wait, slack, max_bytes)
        )

    async def newest(self, topic):
        return await self._with_timeout(LOAD_TIMEOUT, self._newest(topic))

    async def _with_timeout(self, seconds, call):
        if not self._log.accepts_call():
            call.close()
            await asyncio.sleep(ANSWER_DELAY)
            return Unavailable("store answered 429")
        try:
            async with asyncio.timeout(seconds):
                return await call
        except TimeoutError:
            return Unavailable("timeout")

    async def _read(self, topic, part, offset, wait, slack, max_bytes):
        await self._block_if_silent()
        max_bytes = MEGABYTE if max_bytes is None else min(max_bytes, MEGABYTE)
        batch = await self._log.storage.read(
            topic, part, offset, wait, slack, max_bytes
        )
        await self._log.answer(HEADER_BYTES + sum(map(len, batch.records)))
        return batch

    async def _newest(self, topic):
        await self._block_if_silent()
        newest = await self._log.storage.newest(topic)
        size = HEADER_BYTES + sum(map(len, newest.values.values()))
        await self._log.answer(size)
        return newest

    async def _block_if_silent(self):
        if self._log.silent:
            await asyncio.get_running_loop().create_future()
