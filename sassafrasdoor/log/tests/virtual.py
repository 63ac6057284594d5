"""Virtual time, and a log with limited bandwidth and rate of calls."""

import asyncio
import math
import selectors
from unittest import mock

from sassafrasdoor import clock
from sassafrasdoor.log import schedules, sharing, tail
from sassafrasdoor.log.memory_partitioned import MemoryPartitionedLog
from sassafrasdoor.log.partitioned import PartitionedLog
from sassafrasdoor.outcomes import ReplyLost, Unavailable

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
        # A wait that is shorter than the resolution of the time must end, too.
        self.time = max(
            self.time + (timeout or 0.0), math.nextafter(self.time, math.inf)
        )
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
        mock.patch.object(schedules, "now", loop.time),
        mock.patch.object(tail, "now", loop.time),
        asyncio.Runner(loop_factory=lambda: loop) as runner,
    ):
        return runner.run(main(loop))


class BoundedLog:
    """A log that sends ``rate`` bytes a second, one answer after another.

    Answers are sent even if the reader has timed out. Calls made while it is ``silent``
    are never answered. Above ``calls_per_second`` it refuses calls, and the refused ones
    count towards that limit. ``sent_reads`` counts all reads that were sent to it.

    ``refused_parts`` and ``silent_parts`` are partitions, as pairs of topic and number,
    that refuse their calls or never answer those made meanwhile, of all readers or only
    of the ``failing_reader``. ``on_call(reader, call, partition)`` is called when a
    partition has refused a call, and when a call that will not be answered was sent.

    Answers of up to ``prompt_bytes`` are not queued behind larger ones.
    """

    def __init__(self, rate, calls_per_second=math.inf):
        self.storage = MemoryPartitionedLog()
        self.rate = rate
        self.calls_per_second = calls_per_second
        self.refuses_calls = False
        self._bucket_level = 0.0
        self._leaked_at = 0.0
        self.silent = False
        self.refused_parts = set()
        self.silent_parts = set()
        self.failing_reader = None
        self.on_call = lambda reader, call, partition: None
        self.prompt_bytes = 0
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
        if size <= self.prompt_bytes:
            await asyncio.sleep(ANSWER_DELAY)
            return
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
        if not await self._is_served("append", (topic, part)):
            return Unavailable("store answered 503")
        try:
            async with asyncio.timeout_at(deadline):
                await self._block_if_part_silent("append", (topic, part))
        except TimeoutError:
            return ReplyLost("timeout")
        return await self._log.storage.append(topic, part, records, deadline)

    async def read(self, topic, part, offset, wait, slack, max_bytes=None):
        self._log.sent_reads += 1
        call = self._read(topic, part, offset, wait, slack, max_bytes)
        return await self._answer_within(wait + slack, call, "read", (topic, part))

    async def newest(self, topic):
        call = self._newest(topic)
        return await self._answer_within(LOAD_TIMEOUT, call, "newest", (topic, 0))

    def _is_among(self, partition, failing):
        return partition in failing and self._log.failing_reader in (None, self)

    async def _is_served(self, name, partition):
        """Return whether a partition serves; report a refused call."""
        if not self._is_among(partition, self._log.refused_parts):
            return True
        await asyncio.sleep(ANSWER_DELAY)
        self._log.on_call(self, name, partition)
        return False

    async def _answer_within(self, seconds, call, name, partition):
        if not await self._is_served(name, partition):
            call.close()
            return Unavailable("store answered 503")
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
        await self._block_if_part_silent("read", (topic, part))
        max_bytes = MEGABYTE if max_bytes is None else min(max_bytes, MEGABYTE)
        batch = await self._log.storage.read(
            topic, part, offset, wait, slack, max_bytes
        )
        await self._block_if_part_silent("read", (topic, part))
        await self._log.answer(HEADER_BYTES + sum(map(len, batch.records)))
        return batch

    async def _newest(self, topic):
        await self._block_if_silent()
        await self._block_if_part_silent("newest", (topic, 0))
        newest = await self._log.storage.newest(topic)
        size = HEADER_BYTES + sum(map(len, newest.values.values()))
        await self._log.answer(size)
        return newest

    async def _block_if_silent(self):
        if self._log.silent:
            await asyncio.get_running_loop().create_future()

    async def _block_if_part_silent(self, name, partition):
        if self._is_among(partition, self._log.silent_parts):
            self._log.on_call(self, name, partition)
            await asyncio.get_running_loop().create_future()
