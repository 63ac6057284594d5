"""One caller's request and what has become of it so far, whole answer or stream."""

import hashlib

from sassafrasdoor.backends.interface import Answer, Broken
from sassafrasdoor.backends.replicas import DirectCall, WrongReplica
from sassafrasdoor.clock import passed, remaining
from sassafrasdoor.decisions import note, note_routine
from sassafrasdoor.metrics import counter
from sassafrasdoor.outcomes import NotRun, Unknown
from sassafrasdoor.routing.replicas import SUSPECT_FOR
from sassafrasdoor.table.routes import Repeat

RETRY_AFTER = 0.1
"""Seconds a refused caller should wait: about two usual calls end in that time."""
NO_REPLICA_RETRY_AFTER = 0.4
"""Seconds to wait where no replica is known; the list is read more often than that."""
MAX_REFUSALS = 4
"""Replicas asked in a row that say they are full, before the caller is refused."""
SERVER_ERROR = 500
NOT_RUN_STATUSES = {408, 421, 429, 503}
"""Statuses that callers take for the promise that a request has not run."""
FINGERPRINT_HEADERS = ("host", "authorization")
"""Headers that are the same each time a caller sends a request again."""
FINGERPRINT_BYTES = 16
REPEATABLE = {Repeat.SAFE, Repeat.RESUME}

TRIES = counter("direct_tries_total", "Sends to replicas, by why.")


class DirectRequest:
    """A caller's request: what came in, its route and its deadline (monotonic)."""

    __slots__ = (
        "_fingerprint",
        "body",
        "deadline",
        "headers",
        "method",
        "path",
        "request_id",
        "route",
        "version",
    )

    def __init__(self, **fields):
        self._fingerprint = None
        for name in self.__slots__[1:]:
            setattr(self, name, fields[name])

    @property
    def fingerprint(self):
        """A digest of caller, method, path and body, the same under each id."""
        if self._fingerprint is None:
            self._fingerprint = fingerprint(
                self.headers, self.method, self.path, self.body
            )
        return self._fingerprint


def fingerprint(headers, method, path, body):
    """Return a digest of caller, method, path and body; ``headers`` are pairs."""
    values = {name.lower(): value for name, value in headers}
    parts = [values.get(name, "") for name in FINGERPRINT_HEADERS]
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (*parts, method, path):
        digest.update(f"{len(part)}:{part}".encode())
    digest.update(body)
    return digest.hexdigest()


class Attempts:
    """The sends of one request; ``running`` maps tasks to their replicas.

    ``failures`` counts the answers in which a replica says that its own work failed;
    ``alone`` allows one send that may run, and no second beside it.
    """

    __slots__ = (
        "at_most_once",
        "failures",
        "may_have_run",
        "refusals",
        "request",
        "running",
        "sent",
        "service",
        "tried",
    )

    def __init__(self, request):
        self.request = request
        self.service = request.route.pick_service()
        self.sent = 0
        self.refusals = 0
        self.failures = 0
        self.at_most_once = False
        self.tried = set()
        self.running = {}
        self.may_have_run = False

    @property
    def repeatable(self):
        """Whether the request may run more than once."""
        return self.request.route.repeat in REPEATABLE

    @property
    def may_send(self):
        """Whether one more send is within the budget, the time and the promise."""
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
        return DirectCall(
            request.method,
            request.path,
            request.headers,
            request.body,
            request.request_id,
            request.deadline,
            # A kept connection that its server closes just now leaves open whether
            # the request ran; what may run once only could not be sent again.
            fresh=not self.repeatable,
        )

    def record_outcome(self, replica, result):
        """Take what became of one send into account; return it."""
        if isinstance(result, Answer):
            self.may_have_run = True
            if result.status < SERVER_ERROR:
                replica.state.answered()
                return result
            self.failures += result.status == SERVER_ERROR
            reason = f"status {result.status}"
            replica.state.failed(SUSPECT_FOR)
        elif isinstance(result, NotRun):
            reason = result.reason
            self._count_refusal()
            if isinstance(result, WrongReplica):
                replica.state.failed(SUSPECT_FOR)
        else:
            reason = result.reason
            replica.state.failed(SUSPECT_FOR)
            if result.began:
                self.may_have_run = True
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
        )
        return result

    def final_outcome(self, last):
        """Return the outcome for the caller after ``last``, logged."""
        if isinstance(last, Answer):
            if self.repeatable or last.status not in NOT_RUN_STATUSES:
                return last
            # A replica may run a request and answer with a status that callers take
            # for "not run". Passed on, they would send it again, and it runs twice.
            reason = f"replica answered {last.status} and may have run it"
            return self.give_up(Unknown(reason))
        if self.may_have_run:
            reason = last.reason if isinstance(last, Broken) else "no answer"
            return self.give_up(Unknown(reason))
        if not self.tried:
            refused = NotRun("no replica known", NO_REPLICA_RETRY_AFTER)
        else:
            refused = NotRun("every replica asked was full or away", RETRY_AFTER)
        return self.give_up(refused)

    def timeout_outcome(self):
        """Return the outcome for the caller at the deadline, logged."""
        if self.may_have_run or self.running:
            return self.give_up(Unknown("out of time"))
        return self.give_up(NotRun("out of time", RETRY_AFTER))

    def answered(self, status):
        """Log an answer that goes to the caller."""
        note_routine(
            "request.answered",
            request=self.request.request_id,
            service=self.service,
            replicas=sorted(self.tried),
            routes_version=self.request.version,
            status=status,
            seconds_left=round(remaining(self.request.deadline), 3),
        )

    def give_up(self, result):
        """Log a failure that goes to the caller; return it."""
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
