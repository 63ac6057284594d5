"""The possible results of a send, and a caller's request."""

from sassafrasdoor.backends.interface import Answer, Broken
from sassafrasdoor.backends.replicas import WrongReplica
from sassafrasdoor.clock import deadline_in
from sassafrasdoor.outcomes import NotRun
from sassafrasdoor.requests.attempts import DirectRequest

OK = Answer(200, [], b"ok")
ERROR = Answer(500, [], b"no")
BUSY = Answer(503, [], b"ran, and says busy")
FULL = NotRun("full")
GONE = WrongReplica("gone")
NOT_SENT = Broken("refused", began=False)
LOST = Broken("lost", began=True)
HANG = object()


def direct_request(route, seconds=20.0, **changes):
    """Return a request on ``route``; ``changes`` replace its fields."""
    fields = {
        "method": "POST",
        "path": "/p",
        "headers": [],
        "body": b"b",
        "request_id": "r1",
        "deadline": deadline_in(seconds),
        "version": 1,
    }
    return DirectRequest(route=route, **{**fields, **changes})
