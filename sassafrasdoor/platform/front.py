"""Callers on the platform's wire: requests and steps."""

import contextlib
import re

from tornado.httputil import parse_qs_bytes
from tornado.iostream import StreamClosedError
from tornado.web import Application

from sassafrasdoor.backends.connections import OutgoingRequest, Reply
from sassafrasdoor.backends.interface import Answer, Broken
from sassafrasdoor.clock import deadline_in
from sassafrasdoor.decisions import note
from sassafrasdoor.metrics import counter
from sassafrasdoor.outcomes import NotRun, Rejected
from sassafrasdoor.platform import steps as documents, wire
from sassafrasdoor.platform.handlers import (
    LOGGED_PATH,
    DirectoryHandler,
    ReadyHandler,
    WireHandler,
)
from sassafrasdoor.platform.peers import (
    APPEND_PATH,
    NEWEST_PATH,
    READ_PATH,
    PeerHandler,
    RelayHandler,
)
from sassafrasdoor.requests.attempts import DirectRequest
from sassafrasdoor.requests.streaming import StreamCaller
from sassafrasdoor.steps.durable.hedging import first_answer
from sassafrasdoor.steps.durable.service import NotFound, Page
from sassafrasdoor.table.routes import Repeat

LONGEST_WAIT = 60.0
"""Seconds taken for a caller that states no deadline."""
LONGEST_POLL = 1.0
"""Seconds that a reader may be kept waiting for a further sample."""
NO_CONFIGURATION_RETRY_AFTER = 0.5
HANDED_ON = "X-Handed-On"
"""Header of a call that one of our instances hands to another."""
PEER_TIMEOUT = 1.8
"""Seconds for the other instance: an append, which has 0.8, or a reader's wait of one
second."""
PEERS_TIMEOUT = 1.4
"""Seconds for all that are asked for one read, beyond the time that its caller lets it
wait: the caller leaves after 1.5."""
HEDGE_AFTER = 0.5
"""Seconds without an answer, beyond that time, after which another one is asked too."""
MOST_PEERS = 3
LOT = re.compile(r"^/-/lots/([^/?]+)$")
ITEM = re.compile(r"^/-/items/([^/?]+)$")

HANDED = counter(
    "front_handed_on_total", "Calls handed to another instance, by result."
)


class FrontHandler(WireHandler):
    """Everything that reaches the callers' address."""

    async def _serve(self):
        path = self.request.path
        for pattern, method, call in _STEP_CALLS:
            found = pattern.match(path)
            if found and self.request.method == method:
                await call(self, found.group(1))
                return
        await self._route(path)

    get = head = post = put = delete = patch = options = _serve

    async def _route(self, path):
        configuration = self._parts.routes.current
        if configuration is None:
            refused = NotRun("no configuration yet", NO_CONFIGURATION_RETRY_AFTER)
            self._own_failure(refused)
            return
        host = self.request.headers.get("Host", "").partition(":")[0]
        route = configuration.match(host, path)
        if route is None:
            note(
                "request.no_route",
                request=self._request_id,
                host=host,
                routes_version=configuration.version,
            )
            missing = NotFound("no such route")
            self._own_failure(self._parts.routes.resolve_unknown(missing))
        elif route.repeat is Repeat.STEP:
            await self._submit(route, host, path)
        else:
            await self._direct(route, configuration)

    async def _direct(self, route, configuration):
        request = DirectRequest(
            route=route,
            method=self.request.method,
            path=self.request.uri,
            headers=wire.header_pairs(self.request.headers, wire.NOT_SENT_ON),
            body=self.request.body,
            request_id=self._request_id,
            deadline=min(self._deadline(), self._began + route.timeout),
            version=configuration.version,
        )
        if route.streams:
            await self._stream(request)
            return
        answer = await self._while_present(self._parts.direct.answer(request))
        if answer is not None:
            self._answer(answer)

    def _answer(self, answer):
        if isinstance(answer, Answer):
            self._reply(answer.status, answer.headers, answer.body)
        else:
            self._own_failure(answer)

    async def _stream(self, request):
        caller = _WireCaller(self)
        passing = self._parts.streams.answer(request, caller)
        result = await self._while_present(passing)
        if result is True:
            self.finish()
        elif result is not None and self._headers_written:
            self._cut()
        elif result is not None:
            self._answer(result)

    async def _submit(self, route, host, path):
        spec = documents.spec_from(self._request_id, host, path, self.request.body)
        if isinstance(spec, Rejected):
            note(
                "step.invalid",
                request=self._request_id,
                findings=[str(one) for one in spec.findings[:5]],
            )
            self._reply_json(
                400, {"findings": [one.as_dict() for one in spec.findings]}
            )
            return
        submission = self._parts.steps.submit(spec, self._deadline(), self._elsewhere)
        result = await self._while_present(submission)
        if result is True:
            self._reply(202)
        elif result is not None:
            self._own_failure(result)

    async def _read(self, step_id):
        query = parse_qs_bytes(self.request.query.encode())
        first = max(0, _whole(query.get("After", [b"0"])[0], 0))
        wait = _whole(self.request.headers.get(wire.WAIT), 0) / 1000
        until = deadline_in(min(wait, LONGEST_POLL))
        page = await self._while_present(self._parts.steps.read(step_id, first, until))
        if isinstance(page, Page):
            self._reply_json(200, documents.page_document(page))
        elif page is not None:
            await self._from_peer_or_failure(page)

    async def _body(self, step_id):
        query = parse_qs_bytes(self.request.query.encode())
        item_id = query.get("Id", [b""])[0].decode("utf-8", "replace")
        body = await self._while_present(self._parts.steps.body(step_id, item_id))
        if isinstance(body, bytes):
            self._reply(200, [("Content-Type", "application/octet-stream")], body)
        elif body is not None:
            await self._from_peer_or_failure(body)

    async def _end(self, step_id):
        deadline = min(self._deadline(), deadline_in(LONGEST_WAIT))
        ending = self._parts.steps.end(step_id, deadline, self._elsewhere)
        result = await self._while_present(ending)
        if result is True:
            self._reply(200)
        elif result is not None:
            await self._from_peer_or_failure(result)

    @property
    def _elsewhere(self):
        """What hands this call to another instance; None for one handed on already."""
        return None if HANDED_ON in self.request.headers else self._kept_by_peer

    async def _kept_by_peer(self):
        reply = await self._ask_peer()
        if reply is None:
            return False
        if isinstance(reply, Broken):
            return None if reply.began else False
        return {200: True, 202: True, 503: False}.get(reply.status)

    async def _from_peer_or_failure(self, outcome):
        """Answer as another instance does if it can, else with the own failure."""
        if isinstance(outcome, NotRun) and self._elsewhere is not None:
            reply = await self._while_present(self._first_answer(outcome.reason))
            if self._left:
                return
            if reply is not None:
                kind = reply.headers.get("Content-Type", wire.JSON_TYPE)
                self._reply(200, [("Content-Type", kind)], reply.body)
                return
        self._own_failure(outcome)

    async def _first_answer(self, reason):
        """Return the ``Reply`` of the first peer that has an answer, or None."""
        wait = _whole(self.request.headers.get(wire.WAIT), 0) / 1000
        peers = self._parts.instances.reader_candidates(MOST_PEERS)
        reply = await first_answer(
            peers,
            self._ask,
            lambda reply: isinstance(reply, Reply) and reply.status == 200,
            wait + HEDGE_AFTER,
            self._began + wait + PEERS_TIMEOUT,
        )
        if reply is None:
            note(
                "request.handed_on_in_vain",
                request=self._request_id,
                path=self.request.path[:LOGGED_PATH],
                reason=reason,
                peers=peers,
            )
        return reply

    async def _ask_peer(self):
        """Send this call to another instance; None where none is known."""
        peers = self._parts.instances.peers()
        return await self._ask(peers[0], deadline_in(PEER_TIMEOUT)) if peers else None

    async def _ask(self, peer, deadline):
        pairs = wire.header_pairs(self.request.headers, wire.NOT_SENT_ON)
        headers = {**dict(pairs), HANDED_ON: "1"}
        call = OutgoingRequest(
            self.request.method,
            self.request.uri,
            headers,
            self.request.body,
            deadline,
        )
        reply = await self._parts.connections.send(peer, call)
        outcome = "broken" if isinstance(reply, Broken) else str(reply.status)
        HANDED.inc({"result": outcome})
        note(
            "request.handed_on",
            request=self._request_id,
            path=self.request.path[:LOGGED_PATH],
            to=peer,
            result=outcome,
        )
        return reply

    def _deadline(self):
        stated = _whole(self.request.headers.get(wire.DEADLINE), 0)
        return self._began + (stated / 1000 if stated > 0 else LONGEST_WAIT)


class _WireCaller(StreamCaller):
    """Passes a stream on to the caller of a handler."""

    __slots__ = ("_handler",)

    def __init__(self, handler):
        self._handler = handler

    async def begin(self, headers):
        self._handler._head(200, headers)
        await self._flush()

    async def send_event(self, block):
        self._handler.write(block)
        await self._flush()

    async def _flush(self):
        # A caller who has left is told to the handler, which ends the stream; the
        # error here would look like one of the replica's connection.
        with contextlib.suppress(StreamClosedError):
            await self._handler.flush()


_STEP_CALLS = (
    (LOT, "GET", FrontHandler._read),
    (LOT, "DELETE", FrontHandler._end),
    (ITEM, "GET", FrontHandler._body),
)


def front_application(parts):
    """Return the application of the callers' address."""
    return _application([(r".*", FrontHandler, {"parts": parts})])


def ready_application(parts):
    """Return the application of the readiness and metrics address."""
    return _application([(r".*", ReadyHandler, {"parts": parts})])


def metrics_application(parts):
    """Return the application of the metrics address."""
    return _application([(r"/metrics", ReadyHandler, {"parts": parts})])


def control_application(parts):
    """Return the application of the address where other instances ask."""
    known = {"parts": parts}
    return _application(
        [
            (NEWEST_PATH, PeerHandler, known),
            (READ_PATH, RelayHandler, known),
            (APPEND_PATH, RelayHandler, known),
        ]
    )


def directory_application(parts):
    """Return the application of the directory's address."""
    return _application([(r".*", DirectoryHandler, {"parts": parts})])


def _application(handlers):
    # Tornado would write a line for each answer of 400 and above; decisions are
    # logged where they are made, within a budget.
    return Application(handlers, log_function=lambda handler: None)


def _whole(text, default):
    try:
        return int(text)
    except (TypeError, ValueError):
        return default
