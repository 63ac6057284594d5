"""Checks what callers saw of planned stops against the service's guarantees."""

import math

from sassafrasdoor.backends.connections import Reply
from sassafrasdoor.backends.interface import Broken
from sassafrasdoor.clock import now
from sassafrasdoor.soak.checks import REFUSED

# Bounds of the users' rules on planned work: seconds after SIGTERM up to which requests
# may be cut off, and the share of the grace time from which on they may be.
CUT_IF_SENT_WITHIN, CUT_FROM_SHARE = 3.0, 5 / 6
REFUSAL_TIMEOUT = 0.5  # seconds for a refusal
DEADLINE_SLACK = 0.2  # seconds
# Share of the grace time in which short calls that may be repeated are served.
SERVED_SHARE = 0.8


class RunningProcess:
    """One process of an instance; ``stopped_at`` is the time of its SIGTERM or None."""

    __slots__ = ("instance", "killed", "stopped_at")

    def __init__(self, instance):
        self.instance = instance
        self.stopped_at = None
        self.killed = False


class Observation:
    """A request as its caller saw it, sent to a ``RunningProcess``.

    ``result`` is a ``Reply`` or ``Broken``, ``deadline`` the monotonic time until which
    its caller or its route lets it run.
    """

    __slots__ = (
        "deadline",
        "ended_at",
        "process",
        "request_id",
        "request_type",
        "result",
        "sent_at",
        "was_killed",
    )

    def __init__(self, request_id, request_type, process, deadline):
        self.request_id = request_id
        self.request_type = request_type
        self.process = process
        self.deadline = deadline
        self.sent_at = now()
        self.ended_at = self.result = None
        self.was_killed = False

    @property
    def status(self):
        """The status of the answer, None without one."""
        return self.result.status if isinstance(self.result, Reply) else None

    @property
    def is_cut(self):
        """Whether the connection ended after the request was sent, before its end."""
        is_broken = isinstance(self.result, Broken) and self.result.began
        return is_broken and self.ended_at < self.deadline - DEADLINE_SLACK

    @property
    def seconds_stopping(self):
        """Seconds from the SIGTERM of its process to its send, negative before."""
        stopped_at = self.process.stopped_at
        return -math.inf if stopped_at is None else self.sent_at - stopped_at

    def __str__(self):
        after = round(self.seconds_stopping, 2)
        ended = round(self.ended_at - self.sent_at, 2)
        outcome = self.status or self.result.reason
        return (
            f"{self.request_type.prefix} {self.request_id} at "
            f"{self.process.instance.name}, sent {after} s after SIGTERM, ended {ended} s "
            f"later: {outcome}"
        )


def check(observations, runs, grace, violations):
    """Add what breaks a guarantee to ``violations``.

    ``runs`` maps ids of requests to how often replicas ran them, ``grace`` is the time
    for a stop in seconds.
    """
    for seen in observations:
        for find in _CHECKS:
            broken = find(seen, runs, grace)
            if broken:
                violations.add(broken, str(seen))


def _cut(seen, runs, grace):
    if seen.was_killed or not seen.is_cut:
        return None
    if seen.seconds_stopping > CUT_IF_SENT_WITHIN:
        return "no request that came late in a stop is cut"
    stopped_at = seen.process.stopped_at
    if stopped_at is None:
        return "no request is cut without a stop"
    is_early = seen.ended_at - stopped_at < CUT_FROM_SHARE * grace
    return "no request is cut before the end of a stop" if is_early else None


def _run_twice(seen, runs, grace):
    is_twice = seen.request_type.runs_once and runs[seen.request_id] > 1
    return "at most once" if is_twice else None


def _refused_and_run(seen, runs, grace):
    is_refused = seen.request_type.runs_once and seen.status == REFUSED
    return "not run is true" if is_refused and runs[seen.request_id] else None


def _refused_slowly(seen, runs, grace):
    is_refused = seen.status == REFUSED and seen.seconds_stopping > 0
    is_slow = seen.ended_at - seen.sent_at > REFUSAL_TIMEOUT
    return "refused at once" if is_refused and is_slow else None


def _refused_needlessly(seen, runs, grace):
    is_stopping = 0 < seen.seconds_stopping < SERVED_SHARE * grace
    is_refused = seen.request_type.is_short_call and seen.status == REFUSED
    return "short calls are served in a stop" if is_stopping and is_refused else None


_CHECKS = (
    _cut,
    _run_twice,
    _refused_and_run,
    _refused_slowly,
    _refused_needlessly,
)
