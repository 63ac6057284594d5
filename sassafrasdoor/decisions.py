"""Log lines that explain decisions, limited in rate and written without blocking.

``note("request.given_up", request="…", reason="…")`` writes one JSON line through
``eliot``. Under load a process could spend most of its time on logging, and a stalled
reader of standard output would block it. So the lines per second are limited, and lines
that cannot be written at once are kept in a bounded buffer. Dropped lines are counted
and reported. Bodies and secrets are never logged.
"""

import os

import eliot

from sassafrasdoor.clock import now
from sassafrasdoor.metrics import counter

LINES_PER_SECOND = 60.0  # limits logging to a small part of a core under any load
BURST_LINES = 240.0  # the items of one step and their results
MAX_BUFFER_BYTES = 512 * 1024  # for a slow reader of standard output

DROPPED = counter("log_lines_dropped_total", "Log lines left out, by reason.")


class _LineBudget:
    """A token bucket of log lines."""

    __slots__ = ("_dropped", "_last", "_tokens")

    def __init__(self):
        self._tokens = BURST_LINES
        self._last = now()
        self._dropped = 0

    def take(self, reserved=0.0):
        """Return the number of lines dropped before this one, or None to drop it.

        ``reserved`` tokens are kept for other lines.
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
    """A file for ``eliot`` that writes to a descriptor without blocking."""

    __slots__ = ("_descriptor", "_buffer")

    def __init__(self, descriptor):
        self._descriptor = descriptor
        self._buffer = bytearray()
        os.set_blocking(descriptor, False)

    def write(self, text):
        """Write one line; drop it if the buffer is full."""
        data = text.encode() if isinstance(text, str) else text
        if len(self._buffer) + len(data) > MAX_BUFFER_BYTES:
            DROPPED.inc({"reason": "reader"})
            return
        self._buffer += data
        self.flush()

    def flush(self):
        """Write as much of the buffer as the reader accepts now."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end; the process continues without a log.
                DROPPED.inc({"reason": "closed"})
                self._buffer.clear()
                return
            del self._buffer[:written]


_BUDGET = _LineBudget()


def note(message_type, **fields):
    """Write a line about a decision, if the budget allows it."""
    _write(_BUDGET.take(), message_type, fields)


def note_routine(message_type, **fields):
    """Write a line about a success; half of the budget is reserved for failures."""
    _write(_BUDGET.take(BURST_LINES / 2), message_type, fields)


def _write(dropped, message_type, fields):
    if dropped is None:
        return
    if dropped:
        fields["lines_left_out_before"] = dropped
    # The wall clock may jump; ``steady`` gives the order of one process's lines.
    eliot.log_message(message_type=message_type, steady=round(now(), 4), **fields)


def start(process):
    """Write the lines of this process to standard output."""
    eliot.add_destinations(eliot.FileDestination(file=NonBlockingOutput(1)))
    eliot.add_global_fields(process=process)
