"""A platform log with topics, partitions, raw records and keyed topics.

What the system needs of such a log, whatever protocol it speaks. Offsets count the
records of one partition from 0 without gaps. In a keyed topic the newest record of
each key is kept for good.
"""

from abc import ABC, abstractmethod


class Appended:
    """An acknowledged append: ``first`` offset of it and ``end`` of the partition."""

    __slots__ = ("end", "first")

    def __init__(self, first, end):
        self.first = first
        self.end = end


class RawBatch:
    """``records`` (bytes) from offset ``first`` on, and the partition's ``end``."""

    __slots__ = ("end", "first", "records")

    def __init__(self, records, first, end):
        self.records = records
        self.first = first
        self.end = end

    @property
    def next_offset(self):
        """Where to read on."""
        return self.first + len(self.records)


class NewestKeys:
    """``values``: the newest value (bytes) by key; ``end`` as of the first page."""

    __slots__ = ("end", "values")

    def __init__(self, values, end):
        self.values = values
        self.end = end


class PartitionedLog(ABC):
    """The log. Every call may return ``Unavailable``: then it took no effect."""

    @property
    def is_cut_off(self):
        """Whether it is reached through others only, if at all."""
        return False

    @abstractmethod
    async def append(self, topic, part, records, deadline):
        """Append all records or none: ``Appended``, ``Unavailable``, ``ReplyLost``."""

    @abstractmethod
    async def read(self, topic, part, offset, wait, slack, max_bytes=None):
        """Return a ``RawBatch`` or ``Expired``; wait up to ``wait`` seconds.

        ``slack`` is how many seconds more the answer may take, ``most`` how many bytes
        it may have; None leaves that to the log.
        """

    @abstractmethod
    async def newest(self, topic):
        """Return the ``NewestKeys`` of a keyed topic's only partition."""


def keyed_record(key, value=b""):
    """Return the record that sets ``key``; without a value it drops the key."""
    name = key.encode()
    return bytes([len(name)]) + name + value


def split_keyed(record):
    """Return ``(key, value)`` of a record of a keyed topic."""
    length = record[0]
    return record[1 : 1 + length].decode(), record[1 + length :]
