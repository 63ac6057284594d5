"""What travels through this slice: a request and the names of its outcomes."""

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
    ``deadline`` is on the monotonic clock. ``key`` is the caller's idempotency
    key or empty, ``request_id`` names the request to backend servers.
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
        """Whether its key guards it against running twice."""
        return bool(self.key) and not self.repeatable

    def fingerprint(self):
        """Return a digest of what is asked, to tell another request with its key."""
        digest = hashlib.sha256()
        for part in (self.kind, self.method, self.path):
            digest.update(f"{len(part)}:{part}".encode())
        digest.update(self.body)
        return digest.digest()


class Conflict(Rejected):
    """The key was used before for another request."""

    __slots__ = ()


def keyed_request_id(row_name, key):
    """Return the name under which backend servers know a keyed request.

    The row is part of it: the same key of two rows names two requests.
    """
    text = f"{len(row_name)}:{row_name}{key}"
    return "k-" + hashlib.sha256(text.encode()).hexdigest()[:32]


@singledispatch
def outcome_name(outcome):
    """Return the word for an outcome on the wire."""
    raise TypeError(f"no outcome: {outcome!r}")


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
    """Return names and values; a name may stand more than once (``Set-Cookie``)."""
    if isinstance(headers, HTTPHeaders):
        return list(headers.get_all())
    return list(headers.items())


def combine_outcomes(last, outcome):
    """Return the outcome of all tries so far, ``last`` being None before the first.

    Once one of them may have run, a later one that surely did not cannot make
    the whole ``not run``.
    """
    if isinstance(last, Unknown) and not outcome:
        return last
    return outcome
