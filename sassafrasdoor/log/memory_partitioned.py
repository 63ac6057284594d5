"""An in-memory partitioned log with fault injection, for tests and stand-ins."""

import asyncio
import contextlib

from sassafrasdoor.clock import deadline_in, passed
from sassafrasdoor.log.partitioned import (
    Appended,
    NewestKeys,
    PartitionedLog,
    RawBatch,
    split_keyed,
)
from sassafrasdoor.outcomes import Expired, ReplyLost, Unavailable

KEYED_PREFIX = "keyed."


class Partition:
    """A partition: its records from the offset ``first`` on."""

    __slots__ = ("changed", "first", "newest", "records")

    def __init__(self):
        self.first = 0
        self.records = []
        self.newest = {}
        self.changed = asyncio.Event()

    @property
    def end(self):
        """The offset of the next append."""
        return self.first + len(self.records)

    def add(self, records, keyed):
        """Append records; return the offset of the first."""
        offset = self.end
        for data in records:
            self.records.append(data)
            if keyed:
                key, value = split_keyed(data)
                self.newest.pop(key, None)
                if value:
                    self.newest[key] = value
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def expire(self, before):
        """Drop the records below the offset ``before``."""
        kept = max(self.first, min(before, self.end))
        del self.records[: kept - self.first]
        self.first = kept


class MemoryPartitionedLog(PartitionedLog):
    """The log; ``down``, ``lose_replies`` and ``land_late`` inject faults.

    ``lose_replies`` is the number of next appends that take effect but lose their reply;
    ``land_late`` (seconds, or None) delays the effect of such an append.
    ``refused_parts`` and ``silent_parts`` are partitions, as pairs of topic and number,
    whose calls are refused or never answered.
    """

    def __init__(self, parts=12):
        self._parts = parts
        self._partitions = {}
        self._late_appends = set()
        self.down = False
        self.refused_parts = set()
        self.silent_parts = set()
        self.lose_replies = 0
        self.land_late = None
        self.calls = []

    def all_records(self):
        """Return ``(topic, records)`` of each partition."""
        return [
            (topic, list(partition.records))
            for (topic, _), partition in self._partitions.items()
        ]

    def _refuses(self, topic, part):
        return self.down or (topic, part) in self.refused_parts

    async def _block_if_silent(self, topic, part):
        if (topic, part) in self.silent_parts:
            await asyncio.get_running_loop().create_future()

    def partition(self, topic, part):
        """Return a partition, created on first use."""
        return self._partitions.setdefault((topic, part), Partition())

    async def append(self, topic, part, records, deadline):
        """Append all records."""
        self.calls.append(("append", topic, part))
        await self._block_if_silent(topic, part)
        if self._refuses(topic, part):
            return Unavailable("down")
        partition = self.partition(topic, part)
        if self.lose_replies > 0:
            self.lose_replies -= 1
            self._append_unanswered(topic, part, records)
            return ReplyLost("reply lost")
        first = partition.add(records, topic.startswith(KEYED_PREFIX))
        return Appended(first, partition.end)

    def _append_unanswered(self, topic, part, records):
        partition = self.partition(topic, part)
        if self.land_late is None:
            partition.add(records, topic.startswith(KEYED_PREFIX))
            return
        task = asyncio.ensure_future(self._append_late(partition, records, topic))
        self._late_appends.add(task)
        task.add_done_callback(self._late_appends.discard)

    async def _append_late(self, partition, records, topic):
        await asyncio.sleep(self.land_late)
        partition.add(records, topic.startswith(KEYED_PREFIX))

    async def read(self, topic, part, offset, wait, slack, max_bytes=None):
        """Return a ``RawBatch``, ``Expired`` or ``Unavailable``."""
        self.calls.append(("read", topic, part))
        await self._block_if_silent(topic, part)
        deadline = deadline_in(wait)
        partition = self.partition(topic, part)
        while (
            not self._refuses(topic, part)
            and partition.end <= offset
            and not passed(deadline)
        ):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(deadline):
                    await partition.changed.wait()
        await asyncio.sleep(0)
        await self._block_if_silent(topic, part)
        if self._refuses(topic, part):
            return Unavailable("down")
        if offset < partition.first:
            return Expired("offset no longer kept", partition.first)
        records = partition.records[offset - partition.first :]
        return RawBatch(_limit_bytes(records, max_bytes), offset, partition.end)

    async def newest(self, topic):
        """Return the ``NewestKeys`` of a keyed topic."""
        self.calls.append(("newest", topic, 0))
        await asyncio.sleep(0)
        await self._block_if_silent(topic, 0)
        if self._refuses(topic, 0):
            return Unavailable("down")
        partition = self.partition(topic, 0)
        return NewestKeys(dict(partition.newest), partition.end)


def _limit_bytes(records, max_bytes):
    """Return the first records up to ``max_bytes`` in total, but at least one."""
    if max_bytes is None:
        return list(records)
    limited, size = [], 0
    for record in records:
        size += len(record)
        if limited and size > max_bytes:
            break
        limited.append(record)
    return limited
