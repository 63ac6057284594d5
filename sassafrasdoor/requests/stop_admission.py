"""Admission of callers' requests to an instance that stops as planned.

Applies the decisions of ``requests.stop_policy`` on both fronts: that of the product and
that of the platform.
"""

import contextlib

from sassafrasdoor.clock import now, passed
from sassafrasdoor.decisions import note
from sassafrasdoor.metrics import counter
from sassafrasdoor.outcomes import NotRun
from sassafrasdoor.requests.stop_policy import StopPolicy, StopTimes, retry_after

DECISIONS = counter(
    "stop_decisions_total", "Requests that came during a planned stop, by decision."
)


class InstanceStopping(NotRun):
    """The instance stops before it could answer; another one can."""

    __slots__ = ()


class StopAdmission:
    """Refuses requests that this instance cannot answer before its planned stop ends.

    ``has_others()`` returns whether another instance that serves callers is known.
    """

    __slots__ = ("_has_others", "_policy", "_times")

    def __init__(self, has_others):
        self._has_others = has_others
        self._policy = StopPolicy()
        self._times = None

    @property
    def is_stopping(self):
        """Whether a planned stop has begun."""
        return self._times is not None

    @property
    def is_refusing(self):
        """Whether all requests are refused."""
        return self._times is not None and passed(self._times.intake_deadline)

    def begin_stop(self, times):
        """Decide by the ``StopTimes`` from now on."""
        self._times = times

    def end_intake(self):
        """Refuse all requests that another instance can serve."""
        current = now()
        if self._times is None:
            self._times = StopTimes(current, current, current)
        self._times.intake_deadline = current

    @contextlib.contextmanager
    def track(self, kind):
        """Measure a request; the context is its ``Run``."""
        run = self.begin(kind)
        try:
            yield run
        finally:
            self.end(run)

    def begin(self, kind):
        """Record that a request of a ``RequestKind`` has begun; return its ``Run``."""
        return self._policy.begin(kind, now())

    def end(self, run):
        """Record that a request has ended, ``run.is_whole`` if it was answered."""
        self._policy.end(run, now())

    def refusal(self, kind, deadline, request_id="", is_movable=True):
        """Return ``InstanceStopping`` for a request that cannot be answered in time.

        ``deadline`` is the request's own, ``is_movable`` whether another instance could
        serve it. Returns None for a request that is accepted.
        """
        if self._times is None:
            return None
        current = now()
        is_accepted = (
            not is_movable or current < self._times.intake_deadline
        ) and self._policy.can_finish(self._times, kind, deadline, current)
        DECISIONS.inc({"accepted": str(is_accepted).lower()})
        if is_accepted:
            return None
        is_servable = is_movable and self._has_others()
        seconds = retry_after(self._times, is_servable, deadline, current)
        note(
            "request.refused_by_stop",
            request=request_id,
            kind=kind.name,
            seconds_left=round(self._times.answer_deadline - current, 3),
            retry_after=round(seconds, 3),
        )
        return InstanceStopping("this instance is leaving", seconds)

    def bounded(self, deadline):
        """Return ``deadline``, at most that by which the stop lets answers be complete."""
        if self._times is None:
            return deadline
        return min(deadline, self._times.answer_deadline)
