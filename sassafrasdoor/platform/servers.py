"""Replicas on the platform's wire: calls, samples' streams and orders."""

import json

from sassafrasdoor.backends.connections import Connections, Outgoing
from sassafrasdoor.backends.interface import Answer, Broken, Stale
from sassafrasdoor.backends.replicas import (
    Event,
    OrderRefused,
    ReplicaClient,
    SampleFailed,
    WrongReplica,
)
from sassafrasdoor.clock import remaining
from sassafrasdoor.outcomes import NotRun, ReplyLost, Unavailable
from sassafrasdoor.platform import wire

NEVER_DOABLE = 422
ORDER_ACCEPTED = (200, 202)
ORDER_FENCED = 412
RETRY_AFTER = 0.1
VERSION_LINE = wire.VERSIONS.lower()


class WireReplicas(ReplicaClient):
    """Speaks to replicas; each send names the replica that is meant."""

    __slots__ = ("_connections",)

    def __init__(self):
        self._connections = Connections()

    def close(self):
        """Close all connections."""
        self._connections.close()

    async def call(self, replica, call):
        """Return the ``Answer``, ``NotRun``, ``WrongReplica`` or ``Broken``."""
        headers = dict(call.headers)
        headers[wire.REQUEST_ID] = call.request_id
        headers[wire.EXPECT_INSTANCE] = replica.identity
        headers[wire.DEADLINE] = str(max(1, int(remaining(call.deadline) * 1000)))
        request = Outgoing(
            call.method, call.path, headers, call.body, call.deadline, call.fresh
        )
        reply = await self._send(replica, request, _own(call.request_id))
        if isinstance(reply, Broken):
            return reply
        refused = _refusal(reply)
        if refused is not None:
            return refused
        if wire.STAMP not in reply.headers:
            # A head cut short still reads as one. Passed on, the caller would take
            # half an answer for its own; only the stamp shows whose answer it is.
            return Broken("answer without the replica's stamp", began=True)
        pairs = wire.header_pairs(reply.headers, wire.NOT_SENT_BACK)
        return Answer(reply.status, pairs, reply.body)

    async def generate(self, replica, order, on_event):
        """Hand on events; return True, ``SampleFailed``, ``NotRun`` or ``Broken``."""
        headers = dict(order.headers)
        headers["Host"] = order.host
        headers[wire.REQUEST_ID] = order.item_id
        headers[wire.EXPECT_INSTANCE] = replica.identity
        if order.after is not None:
            headers[wire.LAST_EVENT] = str(order.after)
        request = Outgoing("POST", order.path, headers, order.body, order.deadline)
        events = _EventReader(on_event)
        own = _own(order.item_id)

        def accept(status, answered):
            refused = own(status, answered)
            if not refused and status == 200:
                events.version = _number(answered.get(wire.VERSIONS))
            return refused

        reply = await self._send(replica, request, accept, events.feed)
        if isinstance(reply, Broken):
            return reply
        if reply.status == 200:
            return (
                True if events.at_boundary else Broken("stream ended inside an event")
            )
        refused = _refusal(reply)
        if refused is not None:
            return refused
        return SampleFailed(f"status {reply.status}", reply.status == NEVER_DOABLE)

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
        request = Outgoing("POST", "/-/order", headers, body, order.deadline)
        reply = await self._send(replica, request, None)
        if isinstance(reply, Broken):
            return (ReplyLost if reply.began else Unavailable)(reply.reason)
        if reply.status in ORDER_ACCEPTED:
            return True
        if reply.status == ORDER_FENCED:
            return Stale("lower fencing number", order.fence)
        return OrderRefused(f"status {reply.status}")

    async def _send(self, replica, request, accept, on_data=None):
        address = replica.listing.address
        reply = await self._connections.send(address, request, accept, on_data)
        if isinstance(reply, Broken):
            if reply.reason == "timeout":
                self._connections.forget(address)
            return reply
        _take_load(replica, reply.headers)
        return reply


class _EventReader:
    """Cuts a stream into events; only whole ones are handed on."""

    __slots__ = ("_on_event", "_rest", "_stopped", "version")

    def __init__(self, on_event):
        self._on_event = on_event
        self._rest = b""
        self._stopped = False
        self.version = 0

    @property
    def at_boundary(self):
        """Whether the last event is whole."""
        return not self._rest.strip()

    def feed(self, data):
        """Take bytes of the stream."""
        *whole, self._rest = (self._rest + data).split(b"\n\n")
        for block in whole:
            if block.strip() and not self._stopped:
                self._event(block)

    def _event(self, block):
        number, lines = None, []
        for line in block.decode("utf-8", "replace").split("\n"):
            name, _, value = line.partition(":")
            value = value.removeprefix(" ")
            if name == VERSION_LINE:
                self.version = _number(value) or self.version
            elif name == "id":
                number = _number(value, None)
            elif name == "data":
                lines.append(value)
        if number is None and not lines:
            return
        if not self._on_event(Event(number, "\n".join(lines), self.version)):
            self._stopped = True


def _own(request_id):
    """Return the check that an answer belongs to the request of that id."""

    def check(status, headers):
        echoed = headers.get(wire.REQUEST_ID)
        if echoed is not None and echoed != request_id:
            return "answer to another request"
        return ""

    return check


def _refusal(reply):
    """Return ``WrongReplica`` or ``NotRun`` if the reply promises that, else None."""
    if reply.status == wire.MISDIRECTED:
        return WrongReplica("another replica has the address", RETRY_AFTER)
    if wire.NOT_RUN in reply.headers:
        return NotRun(f"replica refused with {reply.status}", RETRY_AFTER)
    return None


def _take_load(replica, headers):
    parts = headers.get(wire.LOAD, "").split(",")
    if len(parts) == 3 and all(part.strip().isdigit() for part in parts):
        replica.told_load(int(parts[0]), int(parts[1]))


def _number(text, default=0):
    try:
        return int(text)
    except (TypeError, ValueError):
        return default
