"""Decides how long a server that failed gets no work, and when one item probes it.

Load pattern: a link or a server breaks all connections at once, with everything that ran
there. Each broken attempt counts as a failure in a row, so that one incident excludes the
server for as long as a dead one. If that happens to most servers of a service, the items
that are owed find no server, although all of them are sound and idle.

So an item that finds no other server may probe one that is suspect, one in an interval.
The first data of an attempt sent since the last failure ends the suspicion.
"""

import math

MAX_FAILURES = 6
MAX_SUSPICION_FACTOR = 8
PROBE_INTERVAL = 1.0  # seconds from a failure or a probe to the next probe
# Seconds after the suspicion in which failures still count as load; then one call, which
# may be repeated elsewhere, tests whether the server has recovered.
RECENT_FAILURE_PERIOD = 2.0


class Suspicion:
    """The failures in a row of one server; times are monotonic."""

    __slots__ = ("_ends_at", "_failed_at", "_next_probe_at", "failures")

    def __init__(self):
        self.failures = 0
        self._ends_at = self._failed_at = self._next_probe_at = -math.inf

    def is_active(self, moment):
        """Return whether the server gets no work due to recent failures."""
        return moment < self._ends_at

    def may_probe(self, moment):
        """Return whether one item may be sent although the server is suspect."""
        return self.is_active(moment) and moment >= self._next_probe_at

    def recent_failures(self, moment):
        """Return the failures in a row, 0 once they are too old to count as load."""
        return self.failures if moment < self._ends_at + RECENT_FAILURE_PERIOD else 0

    def failed(self, duration, moment):
        """Count a failure: no work for ``duration`` seconds, doubled with each in a row."""
        self.failures = min(MAX_FAILURES, self.failures + 1)
        factor = min(MAX_SUSPICION_FACTOR, 2 ** (self.failures - 1))
        self._ends_at = moment + duration * factor
        self._failed_at = moment
        self._next_probe_at = moment + PROBE_INTERVAL

    def probe_started(self, moment):
        """Record that an item is sent although the server is suspect."""
        self._next_probe_at = moment + PROBE_INTERVAL

    def data_received(self, sent_at, moment):
        """Record data of an attempt; later failures in a row still count further."""
        if sent_at > self._failed_at:
            self._ends_at = min(self._ends_at, moment)

    def answered(self):
        """Record a complete answer, which resets the failures."""
        self.failures = 0
        self._ends_at = -math.inf
