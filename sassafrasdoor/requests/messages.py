"""The request type and the names of outcomes on the wire."""

import hashlib
from functools import singledispatch

from tornado.httputil import HTTPHeaders

from sassafrasdoor.backends.interface import Answer
from sassafrasdoor.outcomes import NotRun, Rejected, Unknown

ANSWERED = "answered"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
REJECTED = "rejected"

CALL = "call"
GENERATE = "generate"


class Request:
    """One request of a caller, on its way to a backend server.

    ``kind`` is ``CALL`` or ``GENERATE``; the body of the latter is JSON.
    ``deadline`` is on the monotonic clock. ``key`` is the caller's idempotency key or
    empty; ``request_id`` identifies the request to backend servers.
    """

    __slots__ = (
        "body",
        "deadline",
        "headers",
        "key",
        "kind",
        "method",
        "path",
        "repeatable",
        "request_id",
    )

    def __init__(
        self,
        method,
        path,
        headers=None,
        body=b"",
        key="",
        kind=CALL,
        repeatable=True,
        request_id="",
        deadline=None,
    ):
        self.method = method
        self.path = path
        self.headers = dict(headers or {})
        self.body = body
        self.key = key
        self.kind = kind
        self.repeatable = repeatable
        self.request_id = request_id
        self.deadline = deadline

    @property
    def is_deduplicated(self):
        """Whether its key must prevent a second run."""
        return bool(self.key) and not self.repeatable

    def fingerprint(self):
        """Return a digest of the request, to detect a key reused for another one."""
        digest = hashlib.sha256()
        for part in (self.kind, self.method, self.path):
            digest.update(f"{len(part)}:{part}".encode())
        digest.update(self.body)
        return digest.digest()


class Conflict(Rejected):
    """The key was used before for another request."""

    __slots__ = ()


def keyed_request_id(row_name, key):
    """Return the request id of a keyed request for backend servers.

    It includes the row, since the same key of two rows belongs to two requests.
    """
    text = f"{len(row_name)}:{row_name}{key}"
    return "k-" + hashlib.sha256(text.encode()).hexdigest()[:32]


@singledispatch
def outcome_name(outcome):
    """Return the name of an outcome on the wire."""
    raise TypeError(f"unsupported outcome: {outcome!r}")


@outcome_name.register
def _(outcome: Answer):
    return ANSWERED


@outcome_name.register
def _(outcome: NotRun):
    return NOT_RUN


@outcome_name.register
def _(outcome: Unknown):
    return UNKNOWN


@outcome_name.register
def _(outcome: Rejected):
    return REJECTED


def header_pairs(headers):
    """Return name and value pairs; names may repeat (``Set-Cookie``)."""
    if isinstance(headers, HTTPHeaders):
        return list(headers.get_all())
    return list(headers.items())


def combine_outcomes(last, outcome):
    """Return the combined outcome of all tries; ``last`` is None before the first.

    Once a try may have run, a later try that did not run leaves the outcome unknown.
    """
    if isinstance(last, Unknown) and not outcome:
        return last
    return outcome
