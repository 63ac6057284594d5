"""Forwards keyed requests to the one process that may run them."""

import pathlib

import capnp
from tornado.httputil import HTTPHeaders

from sassafrasdoor import metrics
from sassafrasdoor.backends.interface import Answer
from sassafrasdoor.clock import deadline_in, remaining
from sassafrasdoor.outcomes import NotRun, Unknown
from sassafrasdoor.peers.link import PeerLink
from sassafrasdoor.requests import messages
from sassafrasdoor.requests.messages import Conflict, Request

SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("peer.capnp")))
CONNECT_TIMEOUT = 2.0
REPLY_MARGIN = 0.5  # seconds beyond the deadline for the reply of a run that ends at it

FORWARDED = metrics.counter(
    "sassafrasdoor_forwarded_total", "Keyed requests forwarded to their owner."
)


class _Capability(SCHEMA.Requests.Server):
    """The RPC interface that this entry process offers to its peers."""

    def __init__(self, requests):
        self._requests = requests

    async def run(self, request, _context, **_):
        outcome = await self._requests.run_for_peer(
            request.incarnation, request.row, request_from(request)
        )
        _context.results.outcome = outcome_message(outcome)


def capability(requests):
    """Return the pycapnp server object for ``PeerServer``."""
    return _Capability(requests)


async def forward(settings, address, incarnation, row, request):
    """Forward a keyed request to the process of that incarnation.

    Each request uses its own connection, because a slow run would close a shared one
    for all the others. Failures are ``Unknown``, since the key may have run there
    earlier.
    """
    FORWARDED.inc({})
    link = PeerLink(settings, address, SCHEMA.Requests)
    try:
        failure = await link.open(min(CONNECT_TIMEOUT, remaining(request.deadline)))
        if failure is not None:
            return Unknown(f"the key's owner does not answer: {failure.reason}")
        reply = await link.call(
            "run",
            timeout=remaining(request.deadline) + REPLY_MARGIN,
            request=request_message(incarnation, row, request),
        )
        if not reply:
            return Unknown(f"the key's owner does not answer: {reply.reason}")
        return outcome_from(reply.outcome)
    finally:
        link.close()


def request_message(incarnation, row, request):
    """Return a request as a message, with its deadline as the remaining time."""
    return {
        "incarnation": incarnation,
        "row": row.name,
        "kind": request.kind,
        "method": request.method,
        "path": request.path,
        "headers": _headers(request.headers),
        "body": request.body,
        "key": request.key,
        "remainingMs": int(remaining(request.deadline) * 1000),
    }


def request_from(message):
    """Return the ``Request`` in a message, which is always a keyed one."""
    return Request(
        message.method,
        message.path,
        headers=_headers_from(message.headers),
        body=bytes(message.body),
        key=message.key,
        kind=message.kind,
        repeatable=False,
        request_id=messages.keyed_request_id(message.row, message.key),
        deadline=deadline_in(message.remainingMs / 1000),
    )


def outcome_message(outcome):
    """Return an outcome as a message."""
    message = {"name": messages.outcome_name(outcome)}
    if isinstance(outcome, Answer):
        message.update(status=outcome.status, body=outcome.body)
        message["headers"] = _headers(outcome.headers)
        return message
    retry_after = getattr(outcome, "retry_after", 0.0)
    return {
        **message,
        "reason": outcome.reason,
        "retryAfterMs": int(retry_after * 1000),
    }


def outcome_from(message):
    """Return the outcome in a message."""
    return _READERS[message.name](message)


_READERS = {
    messages.ANSWERED: lambda message: Answer(
        message.status, _headers_from(message.headers), bytes(message.body)
    ),
    messages.NOT_RUN: lambda message: NotRun(
        message.reason, message.retryAfterMs / 1000
    ),
    messages.UNKNOWN: lambda message: Unknown(message.reason),
    messages.REJECTED: lambda message: Conflict(message.reason),
}


def _headers(headers):
    pairs = messages.header_pairs(headers)
    return [{"name": name, "value": value} for name, value in pairs]


def _headers_from(entries):
    headers = HTTPHeaders()
    for header in entries:
        headers.add(header.name, header.value)
    return headers
