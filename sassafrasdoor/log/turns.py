"""The order in which instances that start together read the records of the steps.

Load pattern: all instances lose power and restart within half a second, or many are
restarted in turn. Each that follows the steps reads tens of megabytes, and all share the
log's bandwidth. If many read concurrently the first finishes only shortly before the
last, and no step is read or run until then.

So a few read concurrently, in order of rank, and the next one starts when one of them
finishes. The others forward their callers to instances that have finished.
"""

MAX_CONCURRENT_READERS = 4  # a single one uses a third of the log's bandwidth
MAX_WAIT = 8.0  # seconds after which an instance reads in any case


def may_read(ahead, waiting_since, at):
    """Return whether an instance may start to read at the time ``at``.

    ``ahead`` is the number of instances of higher rank that may not have finished;
    ``waiting_since`` is when it started to wait. Times are monotonic.
    """
    return ahead < MAX_CONCURRENT_READERS or at >= waiting_since + MAX_WAIT


class ReadSlot:
    """An instance's permission to read; ``has_come`` is whether it was granted."""

    __slots__ = ("_waiting_since", "has_come")

    def __init__(self):
        self.reset()

    def reset(self):
        """Give the permission up; a new wait starts with the next ``try_acquire()``."""
        self._waiting_since = None
        self.has_come = False

    def try_acquire(self, ahead, at):
        """Return the seconds waited if permission is granted by this call, else None."""
        if self.has_come:
            return None
        if self._waiting_since is None:
            self._waiting_since = at
        self.has_come = may_read(ahead, self._waiting_since, at)
        return at - self._waiting_since if self.has_come else None
