"""What one instance asks of the log, by purpose.

Load pattern: readers whose answers come late ask again beside the calls that are still
under way. The calls a second alone do not tell that from many who follow; what they
are made for does.
"""

import contextlib
from contextvars import ContextVar

from sassafrasdoor.decisions import note_routine
from sassafrasdoor.metrics import counter

START, FOLLOW, RETRY, CONFIRM, LOAD, RELAY, PROBE = (
    "start",
    "follow",
    "again",
    "confirm",
    "load",
    "relay",
    "probe",
)
"""A partition's first reads, its next records, a call beside those that were not
answered, a look at its end, all newest values, a call for another instance, a look
whether the direct way answers. Other calls go by their own name."""

CALLS = counter("log_demand_calls_total", "Calls to the log, by purpose and result.")
BYTES = counter("log_demand_bytes_total", "Bytes that the log answered, by purpose.")

_PURPOSE = ContextVar("purpose", default="")


@contextlib.contextmanager
def call_purpose(purpose):
    """Count the calls of this block, and of tasks that it starts, for ``purpose``."""
    token = _PURPOSE.set(purpose)
    try:
        yield
    finally:
        _PURPOSE.reset(token)


class CallCounter:
    """Counts calls; ``report()`` writes what has come since the last one."""

    __slots__ = ("_open_calls", "_totals")

    def __init__(self):
        self._open_calls = 0
        self._totals = {}

    def begin(self, call):
        """Count a call that is sent; return its purpose, or its own name."""
        self._open_calls += 1
        return _PURPOSE.get() or call

    def end(self, purpose, answered, size):
        """Count the end of a call: whether it was answered, and with how many bytes."""
        self._open_calls -= 1
        totals = self._totals.setdefault(purpose, [0, 0, 0])
        totals[0] += 1
        totals[1] += not answered
        totals[2] += size
        CALLS.inc({"purpose": purpose, "result": "done" if answered else "failed"})
        BYTES.add({"purpose": purpose}, size)

    def report(self):
        """Write one line: for each purpose the calls, the failed ones and kilobytes."""
        totals, self._totals = self._totals, {}
        fields = {
            purpose: [calls, failed, size // 1024]
            for purpose, (calls, failed, size) in sorted(totals.items())
        }
        note_routine("store.asked", open=self._open_calls, **fields)
