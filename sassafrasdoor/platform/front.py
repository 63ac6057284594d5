"""HTTP handlers of the callers' address: requests and steps."""

import contextlib
import re

from tornado.iostream import StreamClosedError
from tornado.web import Application

from sassafrasdoor.backends.connections import OutgoingRequest, Reply
from sassafrasdoor.backends.interface import Answer, Broken
from sassafrasdoor.callers.decoding import decoded_bytes
from sassafrasdoor.callers.refusals import RETRY_AFTER
from sassafrasdoor.callers.requests import CountedRequests
from sassafrasdoor.clock import deadline_in
from sassafrasdoor.decisions import note
from sassafrasdoor.metrics import counter
from sassafrasdoor.outcomes import NotRun, Outcome, Rejected
from sassafrasdoor.platform import steps as documents, wire
from sassafrasdoor.platform.configuration import OPERATOR_TOPIC
from sassafrasdoor.platform.handlers import (
    MAX_LOGGED_PATH,
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
from sassafrasdoor.platform.prompts import output_limit
from sassafrasdoor.requests.access import Unauthorized
from sassafrasdoor.requests.attempts import SERVER_ERROR, DirectRequest
from sassafrasdoor.requests.stop_policy import RequestKind
from sassafrasdoor.requests.streaming import StreamCaller
from sassafrasdoor.routing.reader_search import ReaderSearch
from sassafrasdoor.steps.durable.hedging import first_answer
from sassafrasdoor.steps.durable.service import ANY_ACCOUNT, NotFound, Page
from sassafrasdoor.table.routes import Repeat
from sassafrasdoor.timeouts import SettlingTimeout

DEFAULT_CALL_TIMEOUT = 60.0  # seconds; for callers that state no deadline
MAX_POLL_WAIT = 1.0  # seconds that a reader may wait for another sample
NO_CONFIGURATION_RETRY_AFTER = 0.5  # seconds
SUBMISSION_COPIES = 2  # of a decoded submission, which is also encoded as records
ROUTES_READ_TIMEOUT = 0.4  # seconds; a slow store answers within 0.25 s
FORWARDED_HEADER = "X-Handed-On"  # marks a call forwarded by another instance
# Seconds for a peer to handle a forwarded call: an append takes up to 0.8 s, a read
# waits for up to one second.
FORWARD_TIMEOUT = 1.8
# Seconds for all peers asked for one read, in addition to the wait that its caller
# requested; the caller gives up 1.5 s after that wait.
PEER_READ_TIMEOUT = 1.4
# Seconds without an answer, after the caller's wait, before the next peer is asked too.
HEDGE_DELAY = 0.5
MAX_PEERS_ASKED = 3  # for one read; peers that were not reached do not count
STEP_CALL = RequestKind("steps")  # their deadlines are bounded by a planned stop
STEP_PATH = re.compile(r"^/-/lots/([^/?]+)$")
ITEM_PATH = re.compile(r"^/-/items/([^/?]+)$")

# Refusals that a newer configuration may not make.
_REFUSALS_BY_CONFIGURATION = (NotFound, Unauthorized)

FIELDS_REFUSED = counter(
    "front_fields_refused_total", "Submissions with fields that do not fit the memory."
)
FORWARDED_CALLS = counter(
    "front_handed_on_total", "Calls handed to another instance, by result."
)


class FrontHandler(WireHandler):
    """Handles all requests to the callers' address."""

    async def _serve(self):
        path = self.request.path
        for pattern, method, handler in _STEP_CALLS:
            match = pattern.match(path)
            if match and self.request.method == method:
                await self._step_call(handler, match.group(1))
                return
        await self._route(path)

    get = head = post = put = delete = patch = options = _serve

    async def _step_call(self, handler, step_id):
        """Handle a call on a step for the account of the caller's key."""
        if self._is_refused_by_stop(STEP_CALL, self._bounded(self._deadline())):
            return
        configuration = self._parts.routes.current
        if configuration is None and self._parts.access.fails_closed:
            refused = NotRun("no configuration yet", NO_CONFIGURATION_RETRY_AFTER)
            await self._reply_from_peer_or_fail(refused)
            return
        account = await self._by_current_configuration(self._step_account)
        if self._caller_left:
            return
        if isinstance(account, Outcome):
            self._reply_failure(account)
        else:
            await handler(self, step_id, account)

    def _step_account(self):
        """Return the account for a call on a step, or an ``Outcome``."""
        configuration = self._parts.routes.current
        if configuration is None or configuration.accounts is None:
            return ANY_ACCOUNT
        has_key = wire.bearer_key(self.request.headers) is not None
        grant = self._grant(not has_key and configuration.has_public_steps(self._host))
        return grant if isinstance(grant, Outcome) else grant.account

    @property
    def _host(self):
        return self.request.headers.get("Host", "").partition(":")[0]

    async def _route(self, path):
        if self._parts.routes.current is None:
            refused = NotRun("no configuration yet", NO_CONFIGURATION_RETRY_AFTER)
            self._reply_failure(refused)
            return
        target = await self._by_current_configuration(lambda: self._target(path))
        if self._caller_left:
            return
        if isinstance(target, Outcome):
            self._reply_failure(target)
        elif target.route.repeat is Repeat.STEP:
            await self._submit(target.grant, self._host, path)
        else:
            await self._direct(target.route, target.configuration, target.grant)

    def _target(self, path):
        """Return the ``_Target`` of this request, or an ``Outcome``."""
        configuration = self._parts.routes.current
        route = configuration.match(self._host, path)
        if route is None:
            return NotFound("no such route")
        grant = self._grant(route.public)
        if isinstance(grant, Outcome):
            return grant
        return _Target(configuration, route, grant)

    async def _by_current_configuration(self, decide):
        """Return ``decide()``, made by routes that are not older than this request.

        ``decide`` goes by the configuration in force. Where that has no such route, or no
        such key, a newer one may have it, and callers do not repeat a 404 or a 401. So it is
        read once, and the request is refused as not run if that does not succeed.
        """
        result = decide()
        if not isinstance(result, _REFUSALS_BY_CONFIGURATION):
            return result
        await self._read_configuration()
        # A newer version may have come by another read, also if this one has failed.
        result = decide()
        if not isinstance(result, _REFUSALS_BY_CONFIGURATION):
            return result
        if isinstance(result, NotFound):
            note(
                "request.no_route",
                request=self._request_id,
                host=self._host,
                routes_version=self._parts.routes.current.version,
            )
        return self._parts.routes.resolve_unknown(result, self._started_at)

    async def _read_configuration(self):
        """Read the configuration to its end, unless that fails or lasts too long.

        The store is not asked while it is known not to answer.
        """
        tail = self._parts.lists.get(OPERATOR_TOPIC)
        if tail is not None and tail.failing_since is None:
            await self._while_connected(_confirm(tail))

    def _grant(self, is_public):
        """Return the ``Grant`` of the caller, or an ``Outcome``."""
        return self._parts.access.grant(
            wire.bearer_key(self.request.headers), is_public
        )

    async def _direct(self, route, configuration, grant):
        dropped = (
            wire.DROPPED_FROM_REQUEST
            if configuration.accounts is None
            else wire.DROPPED_WITH_KEYS
        )
        deadline = min(self._deadline(), self._started_at + route.timeout)
        kind = _request_kind(route, self.request.headers)
        if self._is_refused_by_stop(kind, deadline):
            return
        self._run = self._parts.stop_admission.begin(kind)
        request = DirectRequest(
            route=route,
            method=self.request.method,
            path=self.request.connection.target,
            headers=wire.header_pairs(self.request.headers, dropped),
            body=self._body,
            request_id=self._request_id,
            deadline=self._bounded(deadline),
            version=configuration.version,
            grant=grant,
        )
        if route.streams:
            await self._stream(request)
            return
        answer = await self._while_connected(self._parts.direct.answer(request))
        if answer is not None:
            self._answer(answer)

    def _is_refused_by_stop(self, kind, deadline):
        """Refuse a request that can't be answered in a planned stop; return whether."""
        refused = self._parts.stop_admission.refusal(kind, deadline, self._request_id)
        if refused is not None:
            self._reply_failure(refused)
        return refused is not None

    def _bounded(self, deadline):
        """Return a deadline that lets the answer be complete within a planned stop."""
        return self._parts.stop_admission.bounded(deadline)

    def _answer(self, answer):
        if isinstance(answer, Answer):
            self._run.is_whole = answer.status < SERVER_ERROR
            self._reply(answer.status, answer.headers, answer.body)
        else:
            self._reply_failure(answer)

    async def _stream(self, request):
        caller = _WireCaller(self)
        stream = self._parts.streams.answer(request, caller)
        result = await self._while_connected(stream)
        if result is True:
            self._run.is_whole = True
            self.finish()
        elif result is not None and self._headers_written:
            self._abort_connection()
        elif result is not None:
            self._answer(result)

    async def _submit(self, grant, host, path):
        deadline = self._bounded(self._deadline())
        if self._is_refused_by_stop(STEP_CALL, deadline):
            return
        size = SUBMISSION_COPIES * decoded_bytes(self._body)
        if self._is_refused_by_size(size):
            return
        spec = documents.parse_step_spec(
            self._request_id, host, path, self._body, grant.account
        )
        if isinstance(spec, Rejected):
            note(
                "step.invalid",
                request=self._request_id,
                findings=[str(finding) for finding in spec.findings[:5]],
            )
            self._reply_json(
                400, {"findings": [finding.as_dict() for finding in spec.findings]}
            )
            return
        submission = self._parts.steps.submit(spec, deadline, self._forwarder)
        result = await self._while_connected(submission)
        if result is True:
            self._reply(202)
        elif result is not None:
            self._reply_failure(result)

    def _is_refused_by_size(self, size):
        """Refuse a submission that takes ``size`` bytes if they do not fit; return whether.

        Another instance may have more memory, so it is worth another attempt.
        """
        if self.request.connection.hold_decoded(size):
            return False
        FIELDS_REFUSED.inc({})
        reason = "the fields do not fit into the memory for requests"
        self._reply_failure(NotRun(reason, RETRY_AFTER))
        return True

    async def _read_step(self, step_id, account):
        first_position = max(0, _parse_int(self._query_value("After"), 0))
        wait = _parse_int(self.request.headers.get(wire.WAIT), 0) / 1000
        wait_deadline = self._bounded(deadline_in(min(wait, MAX_POLL_WAIT)))
        page = await self._while_connected(
            self._parts.steps.read(step_id, first_position, wait_deadline, account)
        )
        if isinstance(page, Page):
            self._reply_json(200, documents.page_document(page))
        elif page is not None:
            await self._reply_from_peer_or_fail(page)

    async def _read_item_body(self, step_id, account):
        item_id = self._query_value("Id")
        reading = self._parts.steps.body(step_id, item_id, account)
        body = await self._while_connected(reading)
        if isinstance(body, bytes):
            self._reply(200, [("Content-Type", "application/octet-stream")], body)
        elif body is not None:
            await self._reply_from_peer_or_fail(body)

    async def _end_step(self, step_id, account):
        deadline = self._bounded(
            min(self._deadline(), deadline_in(DEFAULT_CALL_TIMEOUT))
        )
        ending = self._parts.steps.end(step_id, deadline, self._forwarder, account)
        result = await self._while_connected(ending)
        if result is True:
            self._reply(200)
        elif result is not None:
            await self._reply_from_peer_or_fail(result)

    @property
    def _forwarder(self):
        """Function that forwards this call to a peer; None if a peer sent it here."""
        return (
            None if FORWARDED_HEADER in self.request.headers else self._accepted_by_peer
        )

    async def _accepted_by_peer(self):
        reply = await self._forward_to_peer()
        if reply is None:
            return False
        if isinstance(reply, Broken):
            return None if reply.began else False
        return {200: True, 202: True, 401: False, 503: False}.get(reply.status)

    async def _reply_from_peer_or_fail(self, outcome):
        """Reply with the failure ``outcome``, or with a peer's answer if there is one.

        Peers are asked only if the outcome is ``NotRun``.
        """
        if isinstance(outcome, NotRun) and self._forwarder is not None:
            reply = await self._while_connected(self._first_peer_reply(outcome.reason))
            if self._caller_left:
                return
            if reply is not None:
                content_type = reply.headers.get("Content-Type", wire.JSON_TYPE)
                self._reply(200, [("Content-Type", content_type)], reply.body)
                return
        self._reply_failure(outcome)

    async def _first_peer_reply(self, reason):
        """Return the first ``Reply`` of a peer with status 200, or None."""
        wait = _parse_int(self.request.headers.get(wire.WAIT), 0) / 1000
        knows_reader = self._parts.instances.knows_reader
        search = ReaderSearch(self._parts.instances, MAX_PEERS_ASKED)

        async def ask(peer, deadline):
            reply = await self._forward_to(peer, deadline)
            if isinstance(reply, Broken) and not reply.began:
                search.record_unreached()
            return reply

        reply = await first_answer(
            search,
            ask,
            lambda reply: isinstance(reply, Reply) and reply.status == 200,
            wait + HEDGE_DELAY,
            self._bounded(self._started_at + wait + PEER_READ_TIMEOUT),
        )
        if reply is None:
            note(
                "request.handed_on_in_vain",
                request=self._request_id,
                path=self.request.path[:MAX_LOGGED_PATH],
                reason=reason,
                peers=search.tried,
                knows_reader=knows_reader,
            )
        return reply

    async def _forward_to_peer(self):
        """Forward this call to a peer; return None if no peer is known."""
        peers = self._parts.instances.peers()
        return (
            await self._forward_to(
                peers[0], self._bounded(deadline_in(FORWARD_TIMEOUT))
            )
            if peers
            else None
        )

    async def _forward_to(self, peer, deadline):
        pairs = wire.header_pairs(self.request.headers, wire.DROPPED_FROM_REQUEST)
        headers = {**dict(pairs), FORWARDED_HEADER: "1"}
        call = OutgoingRequest(
            self.request.method,
            self.request.connection.target,
            headers,
            self._body,
            deadline,
            # A peer that is paused would handle a complete call when it resumes.
            awaits_continue=True,
        )
        reply = await self._parts.connections.send(peer, call)
        outcome = "broken" if isinstance(reply, Broken) else str(reply.status)
        FORWARDED_CALLS.inc({"result": outcome})
        note(
            "request.handed_on",
            request=self._request_id,
            path=self.request.path[:MAX_LOGGED_PATH],
            to=peer,
            result=outcome,
        )
        return reply

    def _deadline(self):
        timeout_ms = _parse_int(self.request.headers.get(wire.DEADLINE), 0)
        return self._started_at + (
            timeout_ms / 1000 if timeout_ms > 0 else DEFAULT_CALL_TIMEOUT
        )


class _Target:
    """The route of a request, its configuration and the permission of its caller."""

    __slots__ = ("configuration", "grant", "route")

    def __init__(self, configuration, route, grant):
        self.configuration = configuration
        self.route = route
        self.grant = grant


class _WireCaller(StreamCaller):
    """Writes a stream to the caller of a handler."""

    __slots__ = ("_handler",)

    def __init__(self, handler):
        self._handler = handler

    async def begin(self, headers):
        self._handler._write_head(200, headers)
        await self._flush()

    async def send_event(self, block):
        self._handler.write(block)
        await self._flush()

    async def _flush(self):
        # Tornado notifies the handler when the caller disconnects, and the handler ends
        # the stream. Raised here, the error would look like a failed connection to the
        # replica.
        with contextlib.suppress(StreamClosedError):
            await self._handler.flush()


_STEP_CALLS = (
    (STEP_PATH, "GET", FrontHandler._read_step),
    (STEP_PATH, "DELETE", FrontHandler._end_step),
    (ITEM_PATH, "GET", FrontHandler._read_item_body),
)


async def _confirm(tail):
    """Read a list to its end, for at most ``ROUTES_READ_TIMEOUT``."""
    deadline = deadline_in(ROUTES_READ_TIMEOUT)
    with contextlib.suppress(TimeoutError):
        async with SettlingTimeout(deadline):
            await tail.confirm(deadline)


def _request_kind(route, headers):
    """Return the ``RequestKind`` of a caller's request."""
    # A stream that is cut off ends without an answer that its caller could go by.
    is_repeatable = route.repeat is Repeat.SAFE and not route.streams
    limit = output_limit(headers)
    return RequestKind(route.name, limit, is_repeatable, route.target)


def front_application(parts):
    """Return the application of the callers' address."""
    return _application(parts, [(r".*", FrontHandler)])


def ready_application(parts):
    """Return the application of the readiness and metrics address."""
    return _application(parts, [(r".*", ReadyHandler)])


def metrics_application(parts):
    """Return the application of the metrics address."""
    return _application(parts, [(r"/metrics", ReadyHandler)])


def control_application(parts):
    """Return the application of the control address, which other instances call."""
    return _application(
        parts,
        [
            (NEWEST_PATH, PeerHandler),
            (READ_PATH, RelayHandler),
            (APPEND_PATH, RelayHandler),
        ],
    )


def directory_application(parts):
    """Return the application of the directory's address."""
    return _application(parts, [(r".*", DirectoryHandler)])


def _application(parts, routes):
    arguments = {"parts": parts}
    # Disables Tornado's log line for each answer of 400 and above: decisions are logged
    # where they are made, at a limited rate.
    application = Application(
        [(pattern, handler, arguments) for pattern, handler in routes],
        log_function=lambda handler: None,
    )
    return CountedRequests(application, parts.budget)


def _parse_int(text, default):
    try:
        return int(text)
    except (TypeError, ValueError):
        return default
