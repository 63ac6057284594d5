"""Structured logs of state changes, by ``eliot``, on standard output."""

import logging
import sys

import eliot


def start(process):
    """Write the log of this process to standard output, one JSON line per change."""
    eliot.add_destinations(eliot.FileDestination(file=sys.stdout))
    eliot.add_global_fields(process=process)
    # Tornado warns of each bad request with its path and arguments: any caller can
    # cause such lines without limit, and they may contain confidential data.
    # ``sassafrasdoor_calls_total`` counts these calls by their status.
    logging.getLogger("tornado.general").setLevel(logging.ERROR)


def changed(message_type, **fields):
    """Log a change of state; ``fields`` must not contain secrets."""
    eliot.log_message(message_type=message_type, **fields)
