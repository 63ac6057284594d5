"""In which order instances that start together read what the log keeps.

Load pattern: all instances lose power and come back within half a second, or many are
restarted in turn, and each of those that follow the steps reads tens of megabytes, which
the log sends to all of them at one rate. Where many read at once the first is done only
shortly before the last, and no step is read or run until then.

So a few read at once, in order of rank, and the next one begins as one of them is done.
The others hand their callers on to those that have read.
"""

MAX_CONCURRENT_READERS = 4
"""Instances that read side by side: by itself one takes a third of what the log sends."""
MAX_WAIT = 8.0
"""Seconds after which an instance reads in any case."""


def may_read(ahead, waiting_since, at):
    """Say whether an instance may begin to read what the log keeps at a ``at``.

    ``ahead`` is how many instances that come before it may still have to read;
    ``waiting_since`` is when it began to wait. Times are monotonic.
    """
    return ahead < MAX_CONCURRENT_READERS or at >= waiting_since + MAX_WAIT


class ReadSlot:
    """One instance's turn to read: ``has_come`` until it steps back."""

    __slots__ = ("_waiting_since", "has_come")

    def __init__(self):
        self.reset()

    def reset(self):
        """Wait anew from the next look on: it need not read for now."""
        self._waiting_since = None
        self.has_come = False

    def try_acquire(self, ahead, at):
        """Return the seconds that it waited if its turn comes now, else None."""
        if self.has_come:
            return None
        if self._waiting_since is None:
            self._waiting_since = at
        self.has_come = may_read(ahead, self._waiting_since, at)
        return at - self._waiting_since if self.has_come else None
