"""Ring buffer of the recent events of this process, for the time line.

Any module may call ``EVENTS.add``; the collector reads ``EVENTS.since``.
"""

import os
from collections import deque

from sassafrasdoor.clock import HybridClock

RING_SIZE = 4096


class Event:
    """An event: its hybrid stamp, process, kind and fields."""

    __slots__ = ("fields", "kind", "process", "stamp")

    def __init__(self, stamp, process, kind, fields):
        self.stamp = stamp
        self.process = process
        self.kind = kind
        self.fields = fields

    def as_dict(self):
        """Return the event as a JSON-ready mapping."""
        return {
            "stamp": self.stamp,
            "process": self.process,
            "kind": self.kind,
            **self.fields,
        }


class EventRing:
    """A bounded ring of events; the oldest are dropped."""

    __slots__ = ("_ring", "clock", "process")

    def __init__(self, size=RING_SIZE):
        self._ring = deque(maxlen=size)
        self.clock = HybridClock()
        self.process = f"pid-{os.getpid()}"

    def add(self, kind, **fields):
        """Record an event; field values are short strings and numbers."""
        self._ring.append(Event(self.clock.stamp(), self.process, kind, fields))

    def since(self, stamp=0):
        """Return the events with a stamp above ``stamp``, oldest first."""
        return [event for event in self._ring if event.stamp > stamp]


EVENTS = EventRing()
