"""Lines that explain a decision afterwards: bounded in number, never blocking.

``note("request.given_up", request="…", reason="…")`` writes one JSON line through
``eliot``. A process under load would spend its time on lines, and a reader of
standard output that stopped would stop the process with it: so there is a budget of
lines a second, and what cannot be written at once is kept in a bounded buffer. What
was left out is counted and said. Bodies and secrets never go in.
"""

import os

import eliot

from sassafrasdoor.clock import now
from sassafrasdoor.metrics import counter

LINES_PER_SECOND = 60.0
"""Budget, so that writing lines stays a small part of a core under any load."""
BURST_LINES = 240.0
"""Lines that may come at once: the items of one step and their results."""
MAX_BUFFER_BYTES = 512 * 1024
"""What waits for a slow reader of standard output; beyond it lines are dropped."""

DROPPED = counter("log_lines_dropped_total", "Log lines left out, by reason.")


class _LineBudget:
    """A token bucket of log lines."""

    __slots__ = ("_dropped", "_last", "_tokens")

    def __init__(self):
        self._tokens = BURST_LINES
        self._last = now()
        self._dropped = 0

    def take(self, reserved=0.0):
        """Return how many lines were left out before this one; None: leave it out.

        ``reserved`` lines are kept for others.
        """
        current = now()
        refill = (current - self._last) * LINES_PER_SECOND
        self._tokens = min(BURST_LINES, self._tokens + refill)
        self._last = current
        if self._tokens < 1 + reserved:
            self._dropped += 1
            DROPPED.inc({"reason": "budget"})
            return None
        self._tokens -= 1
        dropped, self._dropped = self._dropped, 0
        return dropped


class NonBlockingOutput:
    """A file for ``eliot`` that writes to a descriptor without ever waiting."""

    __slots__ = ("_descriptor", "_buffer")

    def __init__(self, descriptor):
        self._descriptor = descriptor
        self._buffer = bytearray()
        os.set_blocking(descriptor, False)

    def write(self, text):
        """Take one line; drop it where too much waits already."""
        data = text.encode() if isinstance(text, str) else text
        if len(self._buffer) + len(data) > MAX_BUFFER_BYTES:
            DROPPED.inc({"reason": "reader"})
            return
        self._buffer += data
        self.flush()

    def flush(self):
        """Write what the reader takes now."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; the process serves on without its log.
                DROPPED.inc({"reason": "closed"})
                self._buffer.clear()
                return
            del self._buffer[:written]


_BUDGET = _LineBudget()


def note(message_type, **fields):
    """Write one line on a decision, if the budget allows it."""
    _write(_BUDGET.take(), message_type, fields)


def note_routine(message_type, **fields):
    """Write one line on what went well; half of the budget is kept for troubles."""
    _write(_BUDGET.take(BURST_LINES / 2), message_type, fields)


def _write(dropped, message_type, fields):
    if dropped is None:
        return
    if dropped:
        fields["lines_left_out_before"] = dropped
    # The time of day may jump; lines of one process are ordered by the steady clock.
    eliot.log_message(message_type=message_type, steady=round(now(), 4), **fields)


def start(process):
    """Send the lines of this process to standard output."""
    eliot.add_destinations(eliot.FileDestination(file=NonBlockingOutput(1)))
    eliot.add_global_fields(process=process)
