"""Schedules of repeated reads: when another one is sent beside those that are pending."""

import asyncio
import random

from sassafrasdoor.clock import LONG_AGO, now
from sassafrasdoor.log.partition_retry import HEDGE_INTERVAL, PartitionRetry


class HedgeSchedule:
    """Sends a read at once, and another after each ``HEDGE_INTERVAL`` without an answer.

    ``changed`` is set when a read may be due earlier than ``due_at()`` has returned.
    """

    __slots__ = ("_last_read_at", "changed")

    def __init__(self):
        self._last_read_at = LONG_AGO
        self.changed = asyncio.Event()

    def due_at(self, is_pending):
        """Return when the next read is due; ``is_pending``: while a former one is."""
        return self._last_read_at + HEDGE_INTERVAL if is_pending else LONG_AGO

    def record_read(self):
        """Record that a read is sent now."""
        self._last_read_at = now()

    def record_failure(self, is_refused):
        """Record that a read which was not scheduled here has failed now.

        ``is_refused`` says that it failed before its time was over.
        """

    def record_refusal(self):
        """Record that the last read was refused before its time was over."""

    def record_answer(self):
        """Record that a read was answered."""

    def record_append(self):
        """Record that an append to the partition was acknowledged."""


class RetrySchedule(HedgeSchedule):
    """Sends the reads of one failing partition as ``PartitionRetry`` decides.

    ``lists`` and ``silence`` are the ``Lists`` and the ``Silence`` of the instance;
    ``intervals()`` returns the ``Intervals``. ``on_change()`` is called when other
    schedules may have a read due earlier.
    """

    __slots__ = ("_intervals", "_lists", "_on_change", "_retry")

    def __init__(self, lists, silence, intervals, on_change):
        super().__init__()
        self._lists = lists
        self._intervals = intervals
        self._on_change = on_change
        self._retry = PartitionRetry(silence)

    def due_at(self, is_pending):
        return self._retry.due_at(self._lists, self._intervals(), is_pending)

    def record_read(self):
        self._retry.record_read(now(), random.uniform(0.0, 1.0))

    def record_failure(self, is_refused):
        self._retry.record_failure(now(), random.uniform(0.0, 1.0))
        if is_refused:
            self._retry.record_refusal()

    def record_refusal(self):
        self._retry.record_refusal()

    def record_answer(self):
        if self._retry.record_answer(now()):
            self._on_change()

    def record_append(self):
        self._retry.record_append()
        self.changed.set()
