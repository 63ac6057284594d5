"""The order in which a step's samples are started."""

from heapq import heappop, heappush
from itertools import count

from sassafrasdoor.steps.sample import SampleState


class Pending:
    """Samples that wait to be started; the first to start is popped first.

    Streams found on an engine come first: they hold its memory already. Then
    whole groups, one after another, so that a group's prompt is read while it
    is still cached.
    """

    __slots__ = ("_heap", "_tie")

    def __init__(self):
        self._heap = []
        self._tie = count()

    def __len__(self):
        return len(self._heap)

    def add(self, sample, group):
        """Add a sample of ``group``."""
        rank = (sample.adopted is None, group, next(self._tie))
        heappush(self._heap, (rank, sample))

    def pop(self):
        """Return the next sample that still waits, or None."""
        while self._heap:
            _, sample = heappop(self._heap)
            if sample.state is SampleState.PENDING:
                return sample
        return None
