"""Statistics of an instance's calls to the log, by purpose.

Load pattern: readers whose answers arrive late send retries beside the pending calls.
The rate of calls alone does not distinguish these from many followers; their purposes
do.
"""

import contextlib
from contextvars import ContextVar

from sassafrasdoor.decisions import note_routine
from sassafrasdoor.metrics import counter

# The first reads of a partition, reads of new records, retries beside unanswered calls,
# reads that confirm the end, loads of all newest values, calls on behalf of another
# instance, probes of the direct path. Other calls are counted by the name of the call.
START, FOLLOW, RETRY, CONFIRM, LOAD, RELAY, PROBE = (
    "start",
    "follow",
    "again",
    "confirm",
    "load",
    "relay",
    "probe",
)

CALLS = counter("log_demand_calls_total", "Calls to the log, by purpose and result.")
BYTES = counter("log_demand_bytes_total", "Bytes that the log answered, by purpose.")

_PURPOSE = ContextVar("purpose", default="")


@contextlib.contextmanager
def call_purpose(purpose):
    """Count calls in this block, and in tasks started by it, under ``purpose``."""
    token = _PURPOSE.set(purpose)
    try:
        yield
    finally:
        _PURPOSE.reset(token)


class CallCounter:
    """Counts calls and logs the totals of each period between two reports."""

    __slots__ = ("_open_calls", "_totals")

    def __init__(self):
        self._open_calls = 0
        self._totals = {}

    def begin(self, call):
        """Count a sent call; return its purpose, or ``call`` (its name) if none is set."""
        self._open_calls += 1
        return _PURPOSE.get() or call

    def end(self, purpose, answered, size):
        """Count a finished call, with the ``size`` of its answer in bytes."""
        self._open_calls -= 1
        totals = self._totals.setdefault(purpose, [0, 0, 0])
        totals[0] += 1
        totals[1] += not answered
        totals[2] += size
        CALLS.inc({"purpose": purpose, "result": "done" if answered else "failed"})
        BYTES.add({"purpose": purpose}, size)

    def report(self):
        """Log calls, failed calls and KiB for each purpose since the last report."""
        totals, self._totals = self._totals, {}
        fields = {
            purpose: [calls, failed, size // 1024]
            for purpose, (calls, failed, size) in sorted(totals.items())
        }
        note_routine("store.asked", open=self._open_calls, **fields)
