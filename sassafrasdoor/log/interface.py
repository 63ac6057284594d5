"""Interface of the platform's append-only log.

Offsets are positive and increasing, possibly with gaps. A retried append may store its
record twice, at two offsets. Reads may lag behind appends. Old records expire. The log
may be down for minutes and has no compare-and-set. Support for another log takes only
another ``PlatformLog``.
"""

from abc import ABC, abstractmethod


class Record:
    """A record: its ``offset`` and its ``body``, a JSON-serializable mapping."""

    __slots__ = ("body", "offset")

    def __init__(self, offset, body):
        self.offset = offset
        self.body = body

    def __repr__(self):
        return f"Record({self.offset}, {self.body!r})"


class Batch:
    """Records in offset order, possibly none.

    ``next_offset`` is the offset of the next read; ``first_offset`` is the first offset
    that the log still keeps.
    """

    __slots__ = ("first_offset", "next_offset", "records")

    def __init__(self, records, next_offset, first_offset):
        self.records = records
        self.next_offset = next_offset
        self.first_offset = first_offset


class PlatformLog(ABC):
    """An append-only log service with named streams."""

    @abstractmethod
    async def append(self, stream, body):
        """Append once; return the offset, ``Unavailable`` or ``ReplyLost``.

        After ``ReplyLost`` the record may be in the log: read before appending again.
        """

    @abstractmethod
    async def read(self, stream, offset, limit, wait):
        """Return a ``Batch`` from ``offset`` on, ``Expired`` or ``Unavailable``.

        Waits up to ``wait`` seconds for a first record.
        """

    @abstractmethod
    async def end(self, stream):
        """Return the offset of the next append, or ``Unavailable``.

        A log that does not support this returns its first kept offset.
        """

    @abstractmethod
    def close(self):
        """Close the connections."""
