"""Decides for which processes the counts of a window must wait.

Load pattern: an instance is stopped, or gets no processor time, for some seconds while
it has counted requests that it has not written yet. Counts that are fixed meanwhile stay
too low for good. So each process states which windows it has closed: all that it counted
of them precedes that record in the log.

A process that has died without a word cannot be told from a paused one, and is waited for
as long. A restarted one is known to have ended by the records of its successor.
"""

# Seconds for which a process is waited for after it should have closed a window. Frozen
# machines mostly resume within it; it is below the 10 s after which a report is late.
MAX_SILENCE = 8.0
ENDED = -1  # in place of a window: the process counts no more
SEPARATOR = "/"


class Watermarks:
    """The last window that each process has closed.

    A process is named by its instance, a slash and an identifier. Times are seconds since
    the epoch; window ``k`` begins at ``k`` times ``length``.
    """

    __slots__ = ("_closed", "_length", "_processes")

    def __init__(self, length):
        self._length = length
        self._closed = {}
        self._processes = {}

    def record(self, process, window):
        """Record that a process has closed a window and all before it."""
        instance = process.partition(SEPARATOR)[0]
        former = self._processes.get(instance)
        if former != process:
            self._closed.pop(former, None)
        if window == ENDED:
            self._closed.pop(process, None)
            return
        self._processes[instance] = process
        self._closed[process] = max(window, self._closed.get(process, window))

    def awaited(self, window, at):
        """Return the processes that a window's counts must wait for at a point in time.

        Processes that never state what they have closed are of an earlier version, and
        are not waited for.
        """
        return [
            process
            for process, closed in self._closed.items()
            if closed < window and at < (closed + 2) * self._length + MAX_SILENCE
        ]

    def discard_before(self, window):
        """Forget processes that have closed no window from ``window`` on."""
        for instance, process in list(self._processes.items()):
            if self._closed.get(process, ENDED) < window:
                self._closed.pop(process, None)
                del self._processes[instance]
