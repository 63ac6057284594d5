"""HTTP client for replicas: calls, streams, samples and orders to load weights."""

import asyncio
import json
from collections import deque

from tornado.httputil import HTTPHeaders

from sassafrasdoor.answer_heads import read_number
from sassafrasdoor.backends.connections import Connections, OutgoingRequest
from sassafrasdoor.backends.interface import Answer, Broken, Stale
from sassafrasdoor.backends.joined import data_holds_answer
from sassafrasdoor.backends.limits import (
    RECEIVE_BUDGET,
    AnswerBody,
    AnswerGivenUp,
    AnswerTooLong,
)
from sassafrasdoor.backends.replicas import (
    Event,
    OrderMisdirected,
    OrderRefused,
    ReplicaClient,
    SampleFailed,
    WrongReplica,
)
from sassafrasdoor.clock import remaining
from sassafrasdoor.metrics import counter
from sassafrasdoor.outcomes import NotRun, ReplyLost, Unavailable
from sassafrasdoor.platform import wire
from sassafrasdoor.requests.buffers import BufferBudget

UNPROCESSABLE = 422
ORDER_ACCEPTED = (200, 202)
ORDER_FENCED = 412
RETRY_AFTER = 0.1
VERSION_LINE = wire.VERSIONS.lower()
EVENT_END = b"\n\n"
MAX_EVENT_BYTES = 1024 * 1024  # of one event of a stream
# A listed sample fits into a page of results, of 1 MB.
MAX_SAMPLE_BYTES = 1024 * 1024  # of the data of all events of one run
MAX_SAMPLE_EVENTS = 100_000  # of one run
# After as many events other tasks take a turn, as a chunk may hold thousands.
EVENTS_PER_TURN = 64
MIN_LOAD_FIGURES, KNOWN_LOAD_FIGURES = 3, 4  # of a load report
MAX_LOAD_FIGURE = 999_999  # more than any replica runs, or a pace of 10,000
UNREADABLE_LOADS = counter(
    "replica_loads_unreadable_total", "Load reports that cannot be read, by service."
)
BODIES_NOT_SENT = counter(
    "buffers_not_sent_total", "Requests not sent as the replica holds too many bytes."
)
UNANSWERED = (Broken, NotRun)
ANSWER_HEADERS = (wire.REQUEST_ID, wire.STAMP, wire.NOT_RUN)
MISSING_STAMP = "answer without the replica's stamp"


class WireReplicas(ReplicaClient):
    """Sends requests to replicas; each request names the intended replica.

    ``budget`` bounds the bytes that a replica holds. ``rotates_connections`` says whether
    requests to replicas under load control use the kept connections in turn, so that
    more of them stay open.
    """

    __slots__ = ("_budget", "_connections", "_rotates_connections")

    def __init__(self, budget=None, rotates_connections=False):
        self._budget = budget or BufferBudget()
        self._connections = Connections(_identify_answer, _names_request)
        self._rotates_connections = rotates_connections

    def close(self):
        """Close all connections."""
        self._connections.close()

    def forget(self, replica):
        """Close the idle connections to an incarnation that has ended."""
        self._connections.close_idle(replica.listing.address)

    def has_idle_connection(self, replica):
        """Return whether a kept connection to the replica can be used now."""
        return self._connections.has_idle(replica.listing.address)

    async def call(self, replica, call):
        """Return an ``Answer``, ``NotRun``, ``WrongReplica`` or ``Broken``."""
        request = _build_request(replica, call)
        return _answer_from(await self._send(replica, request, call=call))

    async def try_connect(self, replica):
        """Return True if a connection opens, else ``Refused`` or ``Broken``."""
        return await self._connections.try_connect(replica.listing.address)

    async def stream(self, replica, call, relay):
        """Forward events; return True at the end of the stream, else as ``call``."""
        splitter = _EventSplitter()

        def accept(status, response_headers):
            if status == 200:
                if wire.STAMP not in response_headers:
                    return MISSING_STAMP
                relay.head(
                    wire.header_pairs(response_headers, wire.DROPPED_FROM_ANSWER)
                )
            return ""

        async def forward_events(data):
            async for block in splitter.events(data):
                number = _event_number(block)
                block += EVENT_END
                await relay.event(number, block)

        try:
            reply = await self._send(
                replica, _build_request(replica, call), accept, call, forward_events
            )
        finally:
            splitter.release()
        if isinstance(reply, UNANSWERED) or reply.status != 200:
            return _answer_from(reply)
        return splitter.end_result

    async def generate(self, replica, order, on_event):
        """Call ``on_event`` for each event of a sample.

        Returns True at the end of the sample, else ``SampleFailed``, ``NotRun``,
        ``WrongReplica`` or ``Broken``.
        """
        headers = {
            name: value
            for name, value in order.headers.items()
            if name.lower() not in wire.DROPPED_FROM_ITEM
        }
        if order.account:
            headers[wire.ACCOUNT] = order.account
        headers["Host"] = order.host
        headers[wire.REQUEST_ID] = order.item_id
        headers[wire.EXPECT_INSTANCE] = replica.identity
        if order.after is not None:
            headers[wire.LAST_EVENT] = str(order.after)
        if order.priority is not None and not _names(headers, wire.PRIORITY):
            headers[wire.PRIORITY] = str(order.priority)
        request = OutgoingRequest(
            "POST",
            order.path,
            headers,
            order.body,
            order.deadline,
            request_id=order.item_id,
        )
        events = _EventReader(on_event)

        def accept(status, response_headers):
            if status == 200:
                events.version = (
                    read_number(response_headers.get(wire.VERSIONS, "")) or 0
                )
            return ""

        try:
            reply = await self._send(replica, request, accept, order, events.feed)
        finally:
            events.release()
        if isinstance(reply, UNANSWERED):
            return reply
        if reply.status == 200:
            return events.end_result
        refusal = _refusal(reply)
        if refusal is not None:
            return refusal
        return SampleFailed(f"status {reply.status}", reply.status == UNPROCESSABLE)

    async def order(self, replica, order):
        """Return True, ``Stale``, ``OrderRefused``, ``Unavailable`` or ``ReplyLost``."""
        document = {
            "Operation": "Version",
            "Model": order.model,
            "Version": order.version,
            "SwitchMode": "wait" if order.finish_first else "keep",
            "Holder": order.holder,
            "FencingToken": order.fence,
        }
        headers = {
            "Host": replica.listing.address,
            "Content-Type": wire.JSON_TYPE,
            wire.EXPECT_INSTANCE: replica.identity,
        }
        body = json.dumps(document).encode()
        request = OutgoingRequest("POST", "/-/order", headers, body, order.deadline)
        reply = await self._send(replica, request)
        if isinstance(reply, NotRun):
            return Unavailable(reply.reason)
        if isinstance(reply, Broken):
            return (ReplyLost if reply.began else Unavailable)(reply.reason)
        if reply.status in ORDER_ACCEPTED:
            return True
        if reply.status == ORDER_FENCED:
            return Stale("lower fencing number", order.fence)
        if reply.status == wire.MISDIRECTED:
            return OrderMisdirected(f"status {reply.status}")
        return OrderRefused(f"status {reply.status}")

    async def _send(self, replica, request, accept=None, call=None, on_data=None):
        address = replica.listing.address

        def accept_head(status, headers):
            refusal_reason = accept(status, headers) if accept is not None else ""
            if not refusal_reason:
                # At the end of a stream the load in its head would be seconds old.
                _record_load(replica, headers)
                if call is not None:
                    call.signature = headers.get(wire.STAMP, "")
                if wire.NOT_RUN in headers:
                    replica.count_refusal()
            return refusal_reason

        size = len(request.body)
        if not self._budget.may_send(replica.identity, size):
            BODIES_NOT_SENT.inc({})
            return NotRun("requests at the replica take up their memory", RETRY_AFTER)
        oldest_first = self._rotates_connections and replica.uses_load_control
        self._budget.add_sent(replica.identity, size)
        try:
            reply = await self._connections.send(
                address, request, accept_head, on_data, oldest_first
            )
        finally:
            self._budget.add_sent(replica.identity, -size)
            if call is not None:
                call.earlier_exchanges = request.earlier_exchanges
        if isinstance(reply, Broken) and reply.reason == "timeout":
            self._connections.close_idle(address)
        return reply


class _EventSplitter:
    """Splits a stream of bytes into events; buffers an incomplete last event.

    That counts in the budget of answers that are received, and may be given up for it.
    """

    __slots__ = ("_event_count", "_excess", "_incomplete_event", "_is_incomplete")

    def __init__(self):
        self._event_count = 0
        self._excess = ""
        self._incomplete_event = AnswerBody(RECEIVE_BUDGET, self._give_up)
        self._is_incomplete = False

    @property
    def end_result(self):
        """True if the stream ended after a complete event, else ``Broken``."""
        is_incomplete = self._is_incomplete or self._incomplete_event.data.strip()
        return Broken("stream ended inside an event") if is_incomplete else True

    async def events(self, data):
        """Append bytes of the stream; yield the events that are now complete.

        Other tasks take turns between them. Raises ``AnswerGivenUp`` as ``feed``.
        """
        blocks = deque(self.feed(data))
        while blocks:
            yield blocks.popleft()
            self._event_count += 1
            if self._event_count % EVENTS_PER_TURN == 0:
                await asyncio.sleep(0)

    def feed(self, data):
        """Append bytes of the stream; return the events that are now complete.

        Raises ``AnswerGivenUp`` if an event does not end in time, goes on with the head
        of another answer, or is too long beside others.
        """
        self._raise_if_given_up()
        incomplete = self._incomplete_event
        if not len(incomplete):
            blocks, size = _split_events(data)
            if size < len(data):
                self._append(data[size:])
        else:
            # Earlier bytes were searched when they came; an end may span two chunks.
            searched = max(0, len(incomplete) - len(EVENT_END) + 1)
            self._append(data)
            if incomplete.data.find(EVENT_END, searched) < 0:
                if len(incomplete) > MAX_EVENT_BYTES:
                    raise AnswerTooLong(f"event too long: over {MAX_EVENT_BYTES} bytes")
                return []
            blocks, size = _split_events(incomplete.data)
            incomplete.discard(size)
        if any(data_holds_answer(block, _names_request) for block in blocks):
            raise AnswerGivenUp("two answers in one event")
        return [block for block in blocks if block.strip()]

    def release(self):
        """Free the memory of an event that has not ended."""
        self._is_incomplete |= bool(self._incomplete_event.data.strip())
        self._incomplete_event.release()

    def _append(self, data):
        self._incomplete_event.append(data)
        self._raise_if_given_up()

    def _raise_if_given_up(self):
        if self._excess:
            raise AnswerGivenUp(self._excess)

    def _give_up(self, reason):
        self._excess, self._is_incomplete = reason, True


def _split_events(data):
    """Return the complete events in data, without their ends, and their size with them."""
    blocks, begin = [], 0
    with memoryview(data) as view:
        while (end := data.find(EVENT_END, begin)) >= 0:
            blocks.append(bytes(view[begin:end]))
            begin = end + len(EVENT_END)
    return blocks, begin


class _EventReader:
    """Parses the events of a sample and passes them on with their weight version.

    Stops passing events on once ``on_event`` has returned a false value.
    """

    __slots__ = (
        "_blocks",
        "_event_count",
        "_on_event",
        "_sample_bytes",
        "_stopped",
        "version",
    )

    def __init__(self, on_event):
        self._event_count = self._sample_bytes = 0
        self._on_event = on_event
        self._blocks = _EventSplitter()
        self._stopped = False
        self.version = 0

    @property
    def end_result(self):
        """True if the stream ended after a complete event, else ``Broken``."""
        return self._blocks.end_result

    def release(self):
        """Free the memory of an event that has not ended."""
        self._blocks.release()

    async def feed(self, data):
        """Append bytes of the stream; raises ``AnswerGivenUp``."""
        async for block in self._blocks.events(data):
            if not self._stopped:
                self._dispatch_event(block)

    def _dispatch_event(self, block):
        number, lines = None, []
        for line in block.decode("utf-8", "replace").split("\n"):
            name, _, value = line.partition(":")
            value = value.removeprefix(" ")
            if name == VERSION_LINE:
                self.version = read_number(value) or self.version
            elif name == "id":
                number = read_number(value)
            elif name == "data":
                lines.append(value)
        if number is None and not lines:
            return
        self._count_event(lines)
        if not self._on_event(Event(number, "\n".join(lines), self.version)):
            self._stopped = True

    def _count_event(self, lines):
        self._event_count += 1
        self._sample_bytes += sum(map(len, lines))
        if self._event_count > MAX_SAMPLE_EVENTS:
            raise AnswerTooLong(f"sample too long: over {MAX_SAMPLE_EVENTS} events")
        if self._sample_bytes > MAX_SAMPLE_BYTES:
            raise AnswerTooLong(f"sample too long: over {MAX_SAMPLE_BYTES} bytes")


def _build_request(replica, call):
    headers = HTTPHeaders()
    for name, value in call.headers:
        headers.add(name, value)
    if call.account:
        headers[wire.ACCOUNT] = call.account
    headers[wire.REQUEST_ID] = call.request_id
    headers[wire.EXPECT_INSTANCE] = replica.identity
    headers[wire.DEADLINE] = str(max(1, int(remaining(call.deadline) * 1000)))
    if call.after is not None:
        headers[wire.LAST_EVENT] = str(call.after)
    return OutgoingRequest(
        call.method,
        call.path,
        headers,
        call.body,
        call.deadline,
        call.fresh,
        request_id=call.request_id,
    )


def _answer_from(reply):
    """Convert a reply to ``Answer``, ``NotRun``, ``WrongReplica`` or ``Broken``."""
    if isinstance(reply, UNANSWERED):
        return reply
    refusal = _refusal(reply)
    if refusal is not None:
        return refusal
    if wire.STAMP not in reply.headers:
        # A truncated header block still parses as a complete one. Only the stamp shows
        # which replica answered; without it the caller could get an incomplete answer.
        return Broken(MISSING_STAMP, began=True)
    pairs = wire.header_pairs(reply.headers, wire.DROPPED_FROM_ANSWER)
    return Answer(reply.status, pairs, reply.body, reply.headers[wire.STAMP])


def _event_number(block):
    """Return the id of an event as a number, or None if it has none."""
    for line in block.decode("utf-8", "replace").split("\n"):
        name, _, value = line.partition(":")
        if name == "id":
            return read_number(value)
    return None


def _identify_answer(status, headers):
    """Return the request id that an answer bears, or None, and whether it refuses."""
    is_refusal = status == wire.MISDIRECTED or wire.NOT_RUN in headers
    return headers.get(wire.REQUEST_ID), is_refusal


def _names_request(headers):
    """Return whether headers hold one that only a replica's answer to a request has."""
    return any(name in headers for name in ANSWER_HEADERS)


def _refusal(reply):
    """Return ``WrongReplica`` or ``NotRun`` if the request was not run, else None."""
    if reply.status == wire.MISDIRECTED:
        return WrongReplica("another replica has the address", RETRY_AFTER)
    if wire.NOT_RUN in reply.headers:
        return NotRun(f"replica refused with {reply.status}", RETRY_AFTER)
    return None


def _record_load(replica, headers):
    """Record the load report of an answer: running, waiting, slots and the pace.

    The pace, a percentage of the usual work time, is absent from replicas that have
    their machine to themselves. Further figures are ignored; a report with a known
    figure that is not valid is counted and changes nothing.
    """
    report = headers.get(wire.LOAD)
    if report is None:
        return
    texts = report.split(",")[:KNOWN_LOAD_FIGURES]
    figures = [read_number(text, MAX_LOAD_FIGURE) for text in texts]
    if len(figures) < MIN_LOAD_FIGURES or None in figures:
        UNREADABLE_LOADS.inc({"service": replica.listing.service})
        return
    running, waiting, _, *percentages = figures
    pace = percentages[0] / 100 if percentages else None
    replica.record_load(running, waiting, pace)


def _names(headers, wanted):
    """Return whether a mapping of headers names one, in any case."""
    return any(name.lower() == wanted.lower() for name in headers)
