"""Structured logs by ``eliot``, on standard output: lines for changes of state."""

import sys

import eliot


def start(process):
    """Send the log of this process to standard output, a JSON line a change."""
    eliot.add_destinations(eliot.FileDestination(file=sys.stdout))
    eliot.add_global_fields(process=process)


def changed(what, **fields):
    """Log one change of state; secrets never go in ``fields``."""
    eliot.log_message(message_type=what, **fields)
