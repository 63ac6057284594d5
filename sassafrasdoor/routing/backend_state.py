"""Load and failures of one backend server, as seen by one entry process."""

from collections import deque

from sassafrasdoor.clock import now
from sassafrasdoor.routing.suspicion import Suspicion

MAX_TRACKED = 4096  # calls since the last report, in case reports stop
# Changes of the calls in flight that are kept. A report is used for a second, in which
# one process rarely begins and ends as many calls at one server.
MAX_IN_FLIGHT_CHANGES = 256
MISSED_REPORT_LIMIT = 3


class BackendState:
    """Load, failures and leaving state of one backend server."""

    __slots__ = (
        "_capacity",
        "_finished",
        "_in_flight",
        "_in_flight_changes",
        "_missed_reports",
        "_reported",
        "_started",
        "_suspicion",
        "_taken_at",
        "leaving",
        "versions",
    )

    def __init__(self, capacity):
        self._capacity = max(1, capacity)
        self._started = deque(maxlen=MAX_TRACKED)
        self._finished = deque(maxlen=MAX_TRACKED)
        self._in_flight = 0
        self._in_flight_changes = deque(maxlen=MAX_IN_FLIGHT_CHANGES)
        self._missed_reports = 0
        self._reported = None
        self._suspicion = Suspicion()
        self._taken_at = None
        self.leaving = False
        self.versions = {}

    @property
    def in_flight(self):
        """Calls and streams of this process in progress on the server."""
        return self._in_flight

    def in_flight_at(self, moment):
        """Return the calls and streams that were in progress at a recent moment."""
        changes = self._in_flight_changes
        for changed_at, count in reversed(changes):
            if changed_at <= moment:
                return count
        return changes[0][1] if len(changes) == MAX_IN_FLIGHT_CHANGES else 0

    @property
    def is_suspect(self):
        """Whether it gets no work due to recent failures or missed reports."""
        return self._misses_reports or self._suspicion.is_active(now())

    @property
    def may_probe(self):
        """Whether one item may test it although it is suspect."""
        return not self._misses_reports and self._suspicion.may_probe(now())

    @property
    def _misses_reports(self):
        return self._missed_reports >= MISSED_REPORT_LIMIT

    @property
    def failures(self):
        """The failures in a row."""
        return self._suspicion.failures

    @property
    def recent_failures(self):
        """The failures in a row, 0 once they are too old to count as load.

        Without this limit a recovered server would get no work while others have
        capacity.
        """
        return self._suspicion.recent_failures(now())

    @property
    def score(self):
        """Estimated load as a share of capacity; failures count as load.

        A server that fails at once has nothing in flight and seems idle, so it would
        attract all work. Failures in a row prevent that until it answers again.
        """
        return (self._estimate() + self.failures) / self._capacity

    def status(self):
        """Return the server's state, JSON-ready; the age is None before a report."""
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
        # A report describes a past moment: calls started since are missing from it, and
        # calls finished since are still in it.
        if self._reported is None:
            return self._in_flight
        change = len(self._started) - len(self._finished)
        return max(self._in_flight, self._reported + change)

    def started(self):
        """Count a call or stream of this process that begins."""
        self._in_flight += 1
        self._in_flight_changes.append((now(), self._in_flight))
        if self._reported is not None:
            self._started.append(now())

    def finished(self):
        """Count one that ended, whatever its outcome."""
        self._in_flight = max(0, self._in_flight - 1)
        self._in_flight_changes.append((now(), self._in_flight))
        if self._reported is not None:
            self._finished.append(now())

    def record_report(self, load):
        """Apply a load report that was taken ``load.age`` seconds ago."""
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
        """Count a missed report; ``MISSED_REPORT_LIMIT`` in a row make it suspect."""
        self._missed_reports += 1

    def record_refusal(self):
        """Record that it refused work: it counts as full until its next report."""
        self._reported = max(self._reported or 0, self._capacity)

    def failed(self, suspect_for):
        """Count a failure: no work for ``suspect_for`` seconds, doubled with each in a row."""
        self._suspicion.failed(suspect_for, now())

    def probe_started(self):
        """Record that an item tests it although it is suspect."""
        self._suspicion.probe_started(now())

    def data_received(self, sent_at):
        """Record data of an attempt, which ends a suspicion from before it was sent."""
        self._suspicion.data_received(sent_at, now())

    def answered(self):
        """Record a complete answer, which resets the failures."""
        self._suspicion.answered()
