"""Decides whether a silent attempt at an item or stream is given up, or waits.

Load pattern: all replicas of a service, or the path to them, are silent at once for a
second or two, several times in a row: machines without processor time, a cut link. An
attempt elsewhere would be as silent, and the tokens read so far would be generated and
paid twice. If a single replica is silent beside others that are not, its items move at
once.

Silence that all replicas of a service share counts against none of them. That ends with
the first data of any of them; those of the others may arrive a moment later.
"""

from sassafrasdoor.gaps import Gaps

# Seconds without data from any replica of a service from which on a silence is shared.
# Above the usual interval of events of 150 ms.
MIN_SHARED_SILENCE = 0.5
# Seconds after which an attempt is repeated although everybody is silent. Connections to
# hosts that are gone have been closed by then, by the keepalive of their sockets.
MAX_SHARED_SILENCE = 10.0


class Silences:
    """When data arrived from any replica, by service; times are monotonic.

    ``pauses`` are the ``Pauses`` of this process; without them it counts as never paused.
    """

    __slots__ = ("_gaps", "_pauses")

    def __init__(self, pauses=None):
        self._pauses = pauses
        self._gaps = {}

    def record_start(self, service, moment):
        """Record that an attempt was started: from now on silence can be observed."""
        if service not in self._gaps:
            self._gaps[service] = Gaps(moment, MIN_SHARED_SILENCE)

    def record_data(self, service, moment):
        """Record that data has arrived from a replica of a service."""
        self.record_start(service, moment)
        self._gaps[service].tick(moment)

    def spans_shared(self, service, since, moment):
        """Return whether a period that ends now contains a shared silence."""
        return self._gaps[service].has_gap_since(since, moment)

    def is_given_up(self, service, since, moment, limit, has_idle_replica):
        """Return whether an attempt that has been silent since ``since`` is repeated.

        ``limit`` is the silence in seconds after which it is. ``has_idle_replica`` says
        whether an eligible replica has nothing in progress: that it is silent too means
        nothing.
        """
        listened = moment - since
        if self._pauses is not None:
            listened = self._pauses.running_seconds(since, moment)
        if listened < limit:
            return False
        gaps = self._gaps[service]
        silent = gaps.seconds_outside(since, moment, has_idle_replica)
        return silent >= limit or listened >= MAX_SHARED_SILENCE
