"""Decides whether a silent attempt at an item is given up, or waits where it is.

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


class ServiceActivity:
    """When data arrived from any replica of a service; ``moment``s are monotonic."""

    __slots__ = ("_gaps",)

    def __init__(self, moment):
        self._gaps = Gaps(moment, MIN_SHARED_SILENCE)

    def record(self, moment):
        """Record that data has arrived."""
        self._gaps.tick(moment)

    def spans_silence(self, since, moment):
        """Return whether a period that ends now contains a shared silence."""
        return self._gaps.seconds_outside(since, moment) < moment - since

    def is_given_up(self, since, moment, limit, listened, has_idle_replica):
        """Return whether an attempt that has been silent since ``since`` is repeated.

        ``limit`` is the silence in seconds after which it is, ``listened`` the seconds
        of it in which this process ran. ``has_idle_replica`` says whether an eligible
        replica has no attempt in progress: that it is silent too means nothing.
        """
        if listened < limit:
            return False
        silent = self._gaps.seconds_outside(since, moment, has_idle_replica)
        return silent >= limit or listened >= MAX_SHARED_SILENCE
