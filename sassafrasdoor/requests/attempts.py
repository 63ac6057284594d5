"""A caller's request and its sends to replicas, for whole answers and streams."""

import hashlib

from sassafrasdoor.backends.interface import Answer, Broken
from sassafrasdoor.backends.replicas import DirectCall, WrongReplica
from sassafrasdoor.clock import now, passed, remaining
from sassafrasdoor.decisions import note, note_routine
from sassafrasdoor.metrics import counter
from sassafrasdoor.outcomes import NotRun, Outcome, Unknown
from sassafrasdoor.requests.access import PUBLIC
from sassafrasdoor.routing.replicas import SUSPECT_DURATION
from sassafrasdoor.table.routes import Repeat

RETRY_AFTER = 0.1  # seconds, in which about two typical calls end
NO_REPLICA_RETRY_AFTER = 0.4  # seconds, longer than the list's read interval
MAX_REFUSALS = 4  # sends that did not run before the caller is refused
SERVER_ERROR = 500
# Statuses that callers interpret as a guarantee that the request has not run.
NOT_RUN_STATUSES = {408, 421, 429, 503}
# Headers that do not change when a caller repeats a request.
FINGERPRINT_HEADERS = ("host", "authorization")
FINGERPRINT_BYTES = 16
REPEATABLE = {Repeat.SAFE, Repeat.RESUME}

TRIES = counter("direct_tries_total", "Sends to replicas, by why.")


class DirectRequest:
    """A caller's request with its route and monotonic deadline.

    ``version`` is the version of the routes, ``grant`` the permission of the caller.
    """

    __slots__ = (
        "_fingerprint",
        "body",
        "deadline",
        "grant",
        "headers",
        "method",
        "path",
        "request_id",
        "route",
        "version",
    )

    def __init__(self, **fields):
        self._fingerprint = None
        fields = {"grant": PUBLIC, **fields}
        for name in self.__slots__[1:]:
            setattr(self, name, fields[name])

    @property
    def fingerprint(self):
        """A digest of caller, method, path and body that ignores the request id."""
        if self._fingerprint is None:
            self._fingerprint = fingerprint(
                self.headers, self.method, self.path, self.body, self.grant.account
            )
        return self._fingerprint


def fingerprint(headers, method, path, body, account=""):
    """Return a digest of caller, method, path and body; ``headers`` are pairs.

    The caller is the client account; without one, what it sent to authorize itself.
    """
    values = {name.lower(): value for name, value in headers}
    if account:
        values["authorization"] = account
    parts = [values.get(name, "") for name in FINGERPRINT_HEADERS]
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (*parts, method, path):
        digest.update(f"{len(part)}:{part}".encode())
    digest.update(body)
    return digest.hexdigest()


def denial(access, request):
    """Return why a request's caller may not send it any more, or None."""
    if access is None:
        return None
    grant = access.check(request.grant)
    return grant if isinstance(grant, Outcome) else None


def open_usage(usage, attempts):
    """Record that a request that may have to be counted is in progress."""
    if usage is not None:
        usage.open(attempts)


def record_usage(usage, attempts):
    """Count a request for its client account if a replica has begun to run it."""
    if usage is None:
        return
    if attempts.began_at is not None:
        usage.record(attempts.request.grant.account, attempts.began_at)
    usage.close(attempts)


class _Send:
    """A send of a request: its ``DirectCall``, why and as which it was sent, and when."""

    __slots__ = ("_call", "_number", "_why", "sent_at")

    def __init__(self, call, why, number):
        self._call = call
        self._why = why
        self._number = number
        self.sent_at = now()

    def log_fields(self):
        """Return log fields that tell which send had a result, and on what connection."""
        return {
            "why": self._why,
            "send": self._number,
            "seconds": round(now() - self.sent_at, 4),
            "earlier_exchanges": self._call.earlier_exchanges,
            "signature": self._call.signature,
        }


class Attempts:
    """The sends of one request; ``running`` maps tasks to their replicas.

    ``failures`` counts answers with status 500, which report a failure of the replica.
    ``at_most_once`` forbids another send while one is running or may have run.
    ``began_at`` is the monotonic time of the first send that a replica has begun to run,
    as far as is known, None before. ``may_hedge`` says whether a slow send may be
    followed by a second one, ``retry_after`` after how many seconds a refused caller may
    return. ``ticket`` is the ``Ticket`` of a request that is subject to admission.
    """

    __slots__ = (
        "_last_replica",
        "_sends",
        "at_most_once",
        "began_at",
        "failures",
        "may_have_run",
        "may_hedge",
        "refusals",
        "request",
        "retry_after",
        "running",
        "sent",
        "service",
        "ticket",
        "tried",
    )

    def __init__(self, request):
        self.request = request
        self.service = request.route.pick_service()
        self.sent = 0
        self.refusals = 0
        self.failures = 0
        self.at_most_once = False
        self.began_at = None
        self._last_replica = None
        self._sends = {}
        self.tried = set()
        self.running = {}
        self.may_have_run = False
        self.may_hedge = True
        self.retry_after = RETRY_AFTER
        self.ticket = None

    @property
    def repeatable(self):
        """Whether the request may run more than once."""
        return self.request.route.repeat in REPEATABLE

    @property
    def may_send(self):
        """Whether attempts, deadline and at-most-once rule allow another send."""
        if self.sent >= self.request.route.attempts:
            return False
        if self.refusals >= MAX_REFUSALS or passed(self.request.deadline):
            return False
        if self.repeatable and not self.at_most_once:
            return True
        return not (self.may_have_run or self.running)

    def begin_send(self, replica, why):
        """Count a send to ``replica``; return the ``DirectCall``."""
        self.tried.add(replica.identity)
        self.sent += 1
        TRIES.inc({"why": why})
        request = self.request
        call = DirectCall(
            request.method,
            request.path,
            request.headers,
            request.body,
            request.request_id,
            request.deadline,
            # If the server closes a reused connection just then, it is unknown whether
            # the request ran, and a non-repeatable request could not be sent again.
            fresh=not self.repeatable,
            account=request.grant.account,
        )
        self._sends[replica.identity] = _Send(call, why, len(self.tried))
        return call

    def record_begin(self, replica):
        """Record that a replica has begun to run the request that was sent to it."""
        sent_at = self._sends[replica.identity].sent_at
        if self.began_at is None or sent_at < self.began_at:
            self.began_at = sent_at

    def record_outcome(self, replica, result):
        """Update the replica and the counts with the result of a send; return it."""
        self._last_replica = replica
        if isinstance(result, Answer):
            self.may_have_run = True
            self.record_begin(replica)
            if result.status < SERVER_ERROR:
                replica.state.answered()
                return result
            self.failures += result.status == SERVER_ERROR
            reason = f"status {result.status}"
            replica.state.failed(SUSPECT_DURATION)
        elif isinstance(result, NotRun):
            reason = result.reason
            self._count_refusal()
            if isinstance(result, WrongReplica):
                replica.state.failed(SUSPECT_DURATION)
        else:
            reason = result.reason
            replica.state.failed(SUSPECT_DURATION)
            if result.began:
                self.may_have_run = True
                self.record_begin(replica)
            else:
                self._count_refusal()
        note(
            "request.try_failed",
            request=self.request.request_id,
            replica=replica.identity,
            tries=self.sent,
            routes_version=self.request.version,
            reason=reason,
            fingerprint=self.request.fingerprint,
            **self._sends[replica.identity].log_fields(),
        )
        return result

    def final_outcome(self, last):
        """Log and return the outcome for the caller after the last result."""
        if isinstance(last, Answer):
            if self.repeatable or last.status not in NOT_RUN_STATUSES:
                return last
            # A replica may run a request and still answer with a status that means
            # "not run" to callers, who would then repeat it, and it would run twice.
            reason = f"replica answered {last.status} and may have run it"
            return self.give_up(Unknown(reason))
        if self.may_have_run:
            reason = last.reason if isinstance(last, Broken) else "no answer"
            return self.give_up(Unknown(reason))
        if not self.tried:
            refused = NotRun("no replica known", NO_REPLICA_RETRY_AFTER)
        else:
            refused = NotRun("every replica asked was full or away", self.retry_after)
        return self.give_up(refused)

    def timeout_outcome(self):
        """Log and return the outcome for the caller at the deadline."""
        if self.may_have_run or self.running:
            return self.give_up(Unknown("out of time"))
        return self.give_up(NotRun("out of time", RETRY_AFTER))

    def log_answer(self, status, replica=None):
        """Log an answer for the caller, by ``replica`` or the last one with a result."""
        identity = (replica or self._last_replica).identity
        note_routine(
            "request.answered",
            request=self.request.request_id,
            service=self.service,
            replicas=sorted(self.tried),
            replica=identity,
            routes_version=self.request.version,
            status=status,
            seconds_left=round(remaining(self.request.deadline), 3),
            **self._sends[identity].log_fields(),
        )

    def give_up(self, result):
        """Log and return a failure that is sent to the caller."""
        note(
            "request.given_up",
            request=self.request.request_id,
            service=self.service,
            replicas=sorted(self.tried),
            routes_version=self.request.version,
            outcome=type(result).__name__,
            reason=result.reason,
        )
        return result

    def _count_refusal(self):
        self.sent -= 1
        self.refusals += 1
