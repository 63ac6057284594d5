"""Structured logs by ``eliot``, on standard output: lines for changes of state."""

import logging
import sys

import eliot


def start(process):
    """Send the log of this process to standard output, a JSON line a change."""
    eliot.add_destinations(eliot.FileDestination(file=sys.stdout))
    eliot.add_global_fields(process=process)
    # Tornado warns of each bad request with its path and arguments: lines that any
    # caller can cause without end, and that may hold what is nobody's to read.
    # ``sassafrasdoor_calls_total`` counts these calls by their status.
    logging.getLogger("tornado.general").setLevel(logging.ERROR)


def changed(message_type, **fields):
    """Log one change of state; secrets never go in ``fields``."""
    eliot.log_message(message_type=message_type, **fields)
