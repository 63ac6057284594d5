"""Streams of the platform stand-in's log: offsets with gaps, retention."""

import asyncio
import random
from bisect import bisect_left

from sassafrasdoor.clock import now

FIRST_OFFSET = 1
MAX_GAP = 3  # offsets
GAP_PROBABILITY = 0.1


class Stream:
    """All records as ``(offset, time, body)``, the expired ones included."""

    __slots__ = (
        "_gap_random",
        "append_event",
        "first_offset",
        "next_offset",
        "records",
        "first_index",
    )

    def __init__(self, name):
        self._gap_random = random.Random(name)
        self.records = []
        self.first_index = 0
        self.first_offset = 0
        self.next_offset = FIRST_OFFSET
        self.append_event = asyncio.Event()

    def append(self, body):
        """Append a record and return its offset; a gap may follow."""
        offset = self.next_offset
        self.records.append((offset, now(), body))
        self.next_offset += 1
        if self._gap_random.random() < GAP_PROBABILITY:
            self.next_offset += self._gap_random.randint(1, MAX_GAP)
        self.notify_readers()
        return offset

    def notify_readers(self):
        """Wake all readers that wait for a record."""
        self.append_event.set()
        self.append_event = asyncio.Event()

    def expire(self, faults):
        """Expire the records beyond the retention by count and age."""
        if faults.retain:
            self.first_index = max(self.first_index, len(self.records) - faults.retain)
        cutoff = now() - faults.retain_seconds
        while (
            faults.retain_seconds
            and self.first_index < len(self.records)
            and self.records[self.first_index][1] < cutoff
        ):
            self.first_index += 1
        if self.first_index:
            kept = self.records[self.first_index :]
            self.first_offset = kept[0][0] if kept else self.next_offset

    def read(self, offset, limit):
        """Return up to ``limit`` records from ``offset``, and the offset to read next."""
        index = bisect_left(
            self.records, offset, lo=self.first_index, key=lambda record: record[0]
        )
        page = self.records[index : index + limit]
        if len(page) == limit:
            return page, page[-1][0] + 1
        return page, max(offset, self.next_offset)
