"""What one entry process knows of one backend server's load and failures."""

from collections import deque

from sassafrasdoor.clock import deadline_in, now, passed

# A report that never comes again must not let these grow without end.
MAX_TRACKED = 4096
MAX_FAILURES = 6
MAX_SUSPICION_FACTOR = 8
MISSED_REPORT_LIMIT = 3
RECENT_FAILURE_PERIOD = 2.0
"""Seconds beyond the suspicion in which failures still count as load: then one call,
which may be repeated elsewhere, finds out whether the server is well again."""


class BackendState:
    """Load, failures and leaving of one backend server, as seen from here."""

    __slots__ = (
        "_capacity",
        "_finished",
        "_in_flight",
        "_missed_reports",
        "_reported",
        "_started",
        "_suspect_until",
        "_taken_at",
        "failures",
        "leaving",
        "versions",
    )

    def __init__(self, capacity):
        self._capacity = max(1, capacity)
        self._started = deque(maxlen=MAX_TRACKED)
        self._finished = deque(maxlen=MAX_TRACKED)
        self._in_flight = 0
        self._missed_reports = 0
        self._reported = None
        self._suspect_until = 0.0
        self._taken_at = None
        self.failures = 0
        self.leaving = False
        self.versions = {}

    @property
    def in_flight(self):
        """Calls and streams of this process that run there now."""
        return self._in_flight

    @property
    def is_suspect(self):
        """Whether it failed so recently, or is silent, that it gets no work."""
        return self._missed_reports >= MISSED_REPORT_LIMIT or not passed(
            self._suspect_until
        )

    @property
    def recent_failures(self):
        """The failures in a row, while they are recent enough to count as load.

        For good they would keep a server that is well again without work for as long
        as the others have room.
        """
        forgotten = passed(self._suspect_until + RECENT_FAILURE_PERIOD)
        return 0 if forgotten else self.failures

    @property
    def score(self):
        """Estimated load as a share of capacity; failures count as load.

        A server that fails at once has nothing in flight and looks idle: the
        least loaded choice would send it everything. Failures in a row keep
        it unattractive until it answers again.
        """
        return (self._estimate() + self.failures) / self._capacity

    def status(self):
        """Return what is known of the server, JSON-ready; ``None``: no report yet."""
        age = None if self._taken_at is None else round(now() - self._taken_at, 3)
        return {
            "versions": self.versions,
            "report_age_seconds": age,
            "load": round(self.score, 3),
            "in_flight": self._in_flight,
            "failures": self.failures,
            "suspect": self.is_suspect,
            "says_leaving": self.leaving,
        }

    def _estimate(self):
        # A report is true for a moment in the past. What this process started
        # since is missing from it, what it finished since is still in it.
        if self._reported is None:
            return self._in_flight
        since = len(self._started) - len(self._finished)
        return max(self._in_flight, self._reported + since)

    def started(self):
        """Count a call or stream of this process that begins."""
        self._in_flight += 1
        if self._reported is not None:
            self._started.append(now())

    def finished(self):
        """Count one that ended, however it ended."""
        self._in_flight = max(0, self._in_flight - 1)
        if self._reported is not None:
            self._finished.append(now())

    def record_report(self, load):
        """Take a load report that was true ``load.age`` seconds ago."""
        taken_at = now() - load.age
        for moments in (self._started, self._finished):
            while moments and moments[0] <= taken_at:
                moments.popleft()
        self._missed_reports = 0
        self._taken_at = taken_at
        self.versions = load.versions
        self._reported = load.running + load.queued
        self._capacity = max(1, load.capacity)
        self.leaving = load.leaving

    def record_missed_report(self):
        """Count a load report that did not come; several in a row: it is silent."""
        self._missed_reports += 1

    def record_refusal(self):
        """Note that it refused work: count it as full until its next report."""
        self._reported = max(self._reported or 0, self._capacity)

    def failed(self, suspect_for):
        """Count a failure: no work for a while, longer with each in a row."""
        self.failures = min(MAX_FAILURES, self.failures + 1)
        factor = min(MAX_SUSPICION_FACTOR, 2 ** (self.failures - 1))
        self._suspect_until = deadline_in(suspect_for * factor)

    def answered(self):
        """Note a whole answer: the failures before it are forgotten."""
        self.failures = 0
        self._suspect_until = 0.0
