"""A pool of HTTP/1.1 connections to replicas, one exchange at a time on each.

The protocol is Tornado's ``http1connection``. A caller may refuse a reply by its
status and headers, which closes the connection: on a reused connection the reply may
belong to an earlier request. The curl client can't abort a transfer this way without
keeping the connection.
"""

import asyncio
import socket

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from sassafrasdoor.backends.interface import Broken, Refused
from sassafrasdoor.backends.limits import RECEIVE_BUDGET, AnswerBody, AnswerTooLong
from sassafrasdoor.clock import deadline_in, passed
from sassafrasdoor.metrics import counter
from sassafrasdoor.timeouts import SettlingTimeout

CONNECT_TIMEOUT = 0.4  # seconds
KEEPALIVE_IDLE = 1  # whole seconds
KEEPALIVE_INTERVAL = 1  # whole seconds
KEEPALIVE_PROBES = 2
# Raised for an address that can't be parsed, resolved or connected to.
CONNECT_ERRORS = (StreamClosedError, OSError, ValueError, TypeError, OverflowError)
USER_TIMEOUT_MS = 2500  # in which sent bytes must be acknowledged
DEFAULT_IDLE_TIMEOUT = 0.5  # seconds, for servers that name none
IDLE_TIMEOUT_MARGIN = 0.6  # seconds before the server's own idle timeout
CONTINUE = 100  # status by which a server asks for a request's body
MAX_IDLE_CONNECTIONS = 64  # connections to one address
MAX_HEADER_BYTES = 65536
READ_CHUNK_BYTES = 65536
MAX_BUFFER_BYTES = 1024 * 1024  # received and not yet parsed, of one connection
# The protocol reader's own limit, which would end long streams too.
NO_BODY_LIMIT = 2**62

OPENED = counter("connections_opened_total", "Connections opened, by result.")
REUSED = counter("connections_reused_total", "Exchanges on a kept connection.")


class OutgoingRequest:
    """A request; ``deadline`` is monotonic, ``fresh`` forbids a reused connection.

    If it ``awaits_continue`` its body is sent once the server has asked for it (status
    100, RFC 9110): a server that is paused cannot handle it later. ``is_sent`` says
    whether a server may handle the request.
    """

    __slots__ = (
        "awaits_continue",
        "body",
        "deadline",
        "fresh",
        "headers",
        "is_sent",
        "method",
        "path",
    )

    def __init__(
        self,
        method,
        path,
        headers=None,
        body=b"",
        deadline=None,
        fresh=False,
        awaits_continue=False,
    ):
        self.awaits_continue = awaits_continue and bool(body)
        self.is_sent = False
        self.method = method
        self.path = path
        self.headers = headers or {}
        self.body = body
        self.deadline = deadline
        self.fresh = fresh


class Reply:
    """A complete reply: ``status``, ``headers`` (``HTTPHeaders``), ``body`` (bytes)."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


class _ReplyReceiver(HTTPMessageDelegate):
    """Receives one reply; ``accept(status, headers)`` returns a reason to refuse it.

    ``on_continue()`` is called when the server asks for the request's body.
    """

    def __init__(self, accept, on_data):
        self._accept = accept
        self._on_data = on_data
        self._body = AnswerBody(RECEIVE_BUDGET, self._refuse)
        self.close = lambda: None
        self.on_continue = lambda: None
        self.status = 0
        self.headers = None
        self.refusal_reason = ""
        self.is_cancelled = False
        self.is_complete = False

    def take_body(self):
        """Return the body received, which is no longer kept here."""
        return self._body.take()

    def release(self):
        """Free the memory of an answer that is not complete."""
        self._body.release()

    def headers_received(self, start_line, headers):
        self.status = start_line.code
        self.headers = headers
        if start_line.code == CONTINUE:
            self.on_continue()
        if start_line.code >= 200 and self._accept is not None:
            self.refusal_reason = self._accept(start_line.code, headers) or ""
        length = headers.get("Content-Length", "")
        if not self._is_passed_on and not self._body.allows_length(length):
            self.refusal_reason = self.refusal_reason or "answer too long"
        if self.refusal_reason:
            self.close()

    def data_received(self, chunk):
        # A closed connection still delivers the bytes that it has buffered.
        if self.refusal_reason:
            return None
        if self._is_passed_on:
            return self._pass_on(chunk)
        self._body.append(chunk)
        return None

    @property
    def _is_passed_on(self):
        return self._on_data is not None and self.status == 200

    async def _pass_on(self, chunk):
        try:
            passing = self._on_data(chunk)
            if passing is not None:
                await passing
        except AnswerTooLong as error:
            self._refuse(str(error))
        except asyncio.CancelledError:
            # The protocol reader would log and drop it.
            self.is_cancelled = True
            self.close()

    def _refuse(self, reason):
        self.refusal_reason = self.refusal_reason or reason
        self.close()

    def finish(self):
        self.is_complete = True


class _IdleConnection:
    """A connection that may be reused until ``deadline``."""

    __slots__ = ("deadline", "stream")

    def __init__(self, stream, deadline):
        self.stream = stream
        self.deadline = deadline


class Connections:
    """Sends requests to ``host:port`` addresses over pooled connections."""

    __slots__ = ("_idle", "_parameters")

    def __init__(self):
        self._idle = {}
        self._parameters = HTTP1ConnectionParameters(
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=NO_BODY_LIMIT,
            chunk_size=READ_CHUNK_BYTES,
        )

    def close(self):
        """Close all idle connections."""
        for pool in self._idle.values():
            for connection in pool:
                connection.stream.close()
        self._idle.clear()

    def close_idle(self, address):
        """Close the idle connections to ``address``."""
        for connection in self._idle.pop(address, ()):
            connection.stream.close()

    async def try_connect(self, address):
        """Return True if a connection can be opened, else ``Refused`` or ``Broken``."""
        stream = await self._open(address)
        if not stream:
            return stream
        stream.close()
        return True

    def has_idle(self, address):
        """Return whether an idle connection to ``address`` can be reused now."""
        return any(
            not passed(connection.deadline) and _is_reusable(connection.stream)
            for connection in reversed(self._idle.get(address, ()))
        )

    async def send(
        self, address, request, accept=None, on_data=None, oldest_first=False
    ):
        """Return the complete ``Reply``, or ``Broken``; cancelling closes the connection.

        ``accept(status, headers)`` may refuse a reply by returning a reason;
        ``on_data`` takes the body of a 200 reply chunk by chunk and may return an
        awaitable, which is awaited before more is read; either may raise
        ``AnswerTooLong``. ``oldest_first`` reuses the
        connection that has been idle longest instead of the last one used: in turn all
        are used within their idle timeout, so that calls that overlap find one each.
        """
        try:
            async with SettlingTimeout(request.deadline):
                stream = (
                    None if request.fresh else self._take_idle(address, oldest_first)
                )
                if stream is None:
                    stream = await self._open(address)
                if not stream:
                    return stream
                # The timeout expires some turns of the event loop after its deadline.
                if request.deadline is not None and passed(request.deadline):
                    stream.close()
                    return Broken("timeout", began=False)
                return await self._exchange(address, stream, request, accept, on_data)
        except TimeoutError:
            return Broken("timeout", began=request.is_sent)

    def _take_idle(self, address, oldest_first):
        pool = self._idle.get(address)
        while pool:
            connection = pool.pop(0 if oldest_first else -1)
            if not passed(connection.deadline) and _is_reusable(connection.stream):
                REUSED.inc({})
                return connection.stream
            connection.stream.close()
        return None

    async def _open(self, address):
        host, _, port = address.rpartition(":")
        stream = IOStream(_create_socket(), max_buffer_size=MAX_BUFFER_BYTES)
        try:
            async with SettlingTimeout(deadline_in(CONNECT_TIMEOUT)):
                await stream.connect((host, int(port)))
        except TimeoutError:
            stream.close()
            OPENED.inc({"result": "timeout"})
            return Broken("connect timeout", began=False)
        except CONNECT_ERRORS as error:
            stream.close()
            OPENED.inc({"result": "refused"})
            reason = f"not connected: {error}"
            if isinstance(_system_error(error), ConnectionRefusedError):
                return Refused(reason)
            return Broken(reason, began=False)
        except asyncio.CancelledError:
            stream.close()
            raise
        OPENED.inc({"result": "opened"})
        return stream

    async def _exchange(self, address, stream, request, accept, on_data):
        receiver = _ReplyReceiver(accept, on_data)
        receiver.close = stream.close
        connection = HTTP1Connection(stream, True, self._parameters)
        pooled = False
        try:
            _send(connection, request, receiver)
            await connection.read_response(receiver)
            failure = self._reply_error(stream, request, receiver)
            if failure is not None:
                return failure
            pooled = request.is_sent and self._keep_idle(
                address, stream, receiver.headers
            )
            return Reply(receiver.status, receiver.headers, receiver.take_body())
        except (StreamClosedError, HTTPInputError, OSError) as error:
            reason = receiver.refusal_reason or f"connection lost: {error}"
            return Broken(reason, began=request.is_sent)
        finally:
            if receiver.is_cancelled:
                stream.close()
                raise asyncio.CancelledError
            receiver.release()
            if not pooled:
                stream.close()

    def _reply_error(self, stream, request, receiver):
        if receiver.refusal_reason:
            return Broken(receiver.refusal_reason, began=request.is_sent)
        if not receiver.is_complete:
            return Broken("reply cut or not understood", began=request.is_sent)
        # A reply without length ends with its connection, and the protocol reader
        # can't distinguish a reset from that end.
        if stream.closed() and stream.error is not None:
            return Broken(f"connection reset: {stream.error}", began=request.is_sent)
        return None

    def _keep_idle(self, address, stream, headers):
        if stream.closed() or stream.writing():
            # The reply arrived before the request was sent completely; the remaining
            # bytes would be read as the next request.
            return False
        if "close" in headers.get("Connection", "").lower():
            return False
        pool = self._idle.setdefault(address, [])
        if len(pool) >= MAX_IDLE_CONNECTIONS:
            return False
        pool.append(_IdleConnection(stream, deadline_in(_idle_timeout(headers))))
        return True


def _send(connection, request, receiver):
    """Send a request, or its head if its body awaits the server's answer to that."""
    headers = HTTPHeaders(request.headers)
    headers["Content-Length"] = str(len(request.body))
    start_line = RequestStartLine(request.method, request.path, "HTTP/1.1")

    def send_body():
        if not request.is_sent:
            request.is_sent = True
            connection.write(request.body)
            connection.finish()

    if request.awaits_continue:
        headers["Expect"] = "100-continue"
        receiver.on_continue = send_body
        connection.write_headers(start_line, headers)
        return
    request.is_sent = True
    connection.write_headers(start_line, headers, request.body or None)
    connection.finish()


def _system_error(error):
    """Return the operating system's error that caused a stream error."""
    return getattr(error, "real_error", None) or error


def _create_socket():
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    # Ends reads from a peer that lost power or connectivity.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return sock


def _is_reusable(stream):
    """Return whether an idle connection is open and has no unread bytes."""
    if stream.closed():
        return False
    try:
        stream.socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    # Closed by the server, or has unread bytes of an earlier reply.
    return False


def _idle_timeout(headers):
    for part in headers.get("Keep-Alive", "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return max(0.0, int(value) - IDLE_TIMEOUT_MARGIN)
    return DEFAULT_IDLE_TIMEOUT
