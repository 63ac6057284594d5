"""Streams of the platform stand-in's log: offsets with holes, retention."""

import asyncio
import random
from bisect import bisect_left

from sassafrasdoor.clock import now

FIRST_OFFSET = 1
LONGEST_HOLE = 3
HOLE_CHANCE = 0.1


class Stream:
    """All records ever, as ``(offset, time, body)``, and how far they have expired."""

    __slots__ = ("_holes", "appended", "first", "following", "records", "start")

    def __init__(self, name):
        self._holes = random.Random(name)
        self.records = []
        self.start = 0
        self.first = 0
        self.following = FIRST_OFFSET
        self.appended = asyncio.Event()

    def append(self, body):
        """Add a record and return its offset; sometimes a hole follows."""
        offset = self.following
        self.records.append((offset, now(), body))
        self.following += 1
        if self._holes.random() < HOLE_CHANCE:
            self.following += self._holes.randint(1, LONGEST_HOLE)
        self.wake()
        return offset

    def wake(self):
        """Let everybody who waits for a record look again."""
        self.appended.set()
        self.appended = asyncio.Event()

    def expire(self, faults):
        """Forget what retention by count and age no longer keeps."""
        if faults.retain:
            self.start = max(self.start, len(self.records) - faults.retain)
        oldest = now() - faults.retain_seconds
        while (
            faults.retain_seconds
            and self.start < len(self.records)
            and self.records[self.start][1] < oldest
        ):
            self.start += 1
        if self.start:
            kept = self.records[self.start :]
            self.first = kept[0][0] if kept else self.following

    def since(self, offset, limit):
        """Return up to ``limit`` records from ``offset`` on, and where to read on."""
        low = bisect_left(
            self.records, offset, lo=self.start, key=lambda record: record[0]
        )
        found = self.records[low : low + limit]
        if len(found) == limit:
            return found, found[-1][0] + 1
        return found, max(offset, self.following)
