"""What the rest of the system assumes of the platform's append-only log.

Offsets are positive, grow, and may have holes. A record may appear twice, at two
offsets, when an append was retried. Reads may lag. Old offsets vanish. The log may
be down for minutes, and has no compare-and-set. Meeting another log means a new
``PlatformLog`` and no change elsewhere.
"""

from abc import ABC, abstractmethod


class Record:
    """One record: its ``offset`` and ``body``, a JSON-ready mapping."""

    __slots__ = ("body", "offset")

    def __init__(self, offset, body):
        self.offset = offset
        self.body = body

    def __repr__(self):
        return f"Record({self.offset}, {self.body!r})"


class Batch:
    """Records in offset order, possibly none.

    ``next_offset`` is where to read on; ``first_offset`` is the first offset that
    the log still keeps.
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

        After ``ReplyLost`` the record may be in the log: read before writing again.
        """

    @abstractmethod
    async def read(self, stream, offset, limit, wait):
        """Return a ``Batch`` from ``offset`` on, ``Expired`` or ``Unavailable``.

        Waits up to ``wait`` seconds for a first record.
        """

    @abstractmethod
    async def end(self, stream):
        """Return the next offset to be given, or ``Unavailable``.

        A log that cannot say returns an earlier one that it keeps.
        """

    @abstractmethod
    def close(self):
        """Give up connections."""
