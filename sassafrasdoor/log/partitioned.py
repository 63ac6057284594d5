"""Interface of a log with topics, partitions, raw records and keyed topics.

It is independent of the protocol of the log. Offsets count the records of a partition
from 0 without gaps. In a keyed topic the newest record of each key never expires.
"""

from abc import ABC, abstractmethod


class Appended:
    """An acknowledged append: its ``first`` offset and the partition's ``end``."""

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
        """The offset of the next read."""
        return self.first + len(self.records)


class NewestKeys:
    """``values`` maps keys to their newest values (bytes) as of the offset ``end``.

    A list of several pages has the ``end`` of the first one.
    """

    __slots__ = ("end", "values")

    def __init__(self, values, end):
        self.values = values
        self.end = end


class PartitionedLog(ABC):
    """The log. Every call may return ``Unavailable`` and has then had no effect."""

    @property
    def is_cut_off(self):
        """Whether the log is reached only through other instances, if at all."""
        return False

    @abstractmethod
    async def append(self, topic, part, records, deadline):
        """Append all records or none: ``Appended``, ``Unavailable``, ``ReplyLost``."""

    @abstractmethod
    async def read(self, topic, part, offset, wait, slack, max_bytes=None):
        """Return a ``RawBatch`` or ``Expired``; wait up to ``wait`` seconds.

        ``slack`` is how many seconds the answer may take beyond that, ``max_bytes`` its
        maximum size; None leaves the size to the log.
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
