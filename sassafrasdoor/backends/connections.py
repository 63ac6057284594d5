"""A pool of HTTP/1.1 connections to replicas, one exchange at a time on each.

The protocol is Tornado's ``http1connection``. One task reads all answers on a connection,
also between exchanges, and ``attribution`` decides which send each belongs to. A caller
may refuse a reply by its status and headers, which closes the connection. The curl client
can't abort a transfer this way without keeping the connection.
"""

import asyncio
import socket
from enum import Enum

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
)
from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from sassafrasdoor.answer_heads import (
    INTERIM_STATUSES,
    MAX_HEAD_BYTES,
    Flaw,
    read_number,
)
from sassafrasdoor.answers import checked_head, count_refused
from sassafrasdoor.backends.attribution import (
    AnswerHead,
    Ledger,
    SequentialLedger,
    Verdict,
)
from sassafrasdoor.backends.interface import Broken, Refused
from sassafrasdoor.backends.joined import MAX_STATUS_LINE_BYTES, data_holds_answer
from sassafrasdoor.backends.limits import RECEIVE_BUDGET, AnswerBody, AnswerGivenUp
from sassafrasdoor.clock import deadline_in, now, passed, remaining
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
LARGE_BODY_BYTES = 64 * 1024  # of a request, from which on it is not copied
# Seconds in which a complete answer is written to its caller, and between looks whether
# answers that were handed over have been.
HANDOVER_TIME, HANDOVER_CHECK_INTERVAL = 0.25, 0.01
CONTINUE = 100  # status by which a server asks for a request's body
HEAD = "HEAD"
OWN_VERDICTS = {Verdict.OWN, Verdict.FINAL}
UNREADABLE = "unreadable"
UNFRAMED = "unframed"
BODYLESS_STATUSES = {204, 304}
MAX_IDLE_CONNECTIONS = 64  # connections to one address
MAX_DROPPED_ANSWERS = 16  # of other sends, in a row
MAX_DROPPED_BYTES = 4 * 1024 * 1024  # of their bodies
READ_CHUNK_BYTES = 65536
MAX_BUFFER_BYTES = 1024 * 1024  # received and not yet parsed, of one connection
# The protocol reader's own limit, which would end long streams too.
NO_BODY_LIMIT = 2**62

OPENED = counter("connections_opened_total", "Connections opened, by result.")
REUSED = counter("connections_reused_total", "Exchanges on a kept connection.")
RETIRED = counter(
    "connections_retired_total", "Connections closed after many exchanges."
)
DROPPED = counter(
    "answers_dropped_total", "Answers that belong to no current send, by kind."
)


class OutgoingRequest:
    """A request; ``deadline`` is monotonic, ``fresh`` forbids a reused connection.

    If it ``awaits_continue`` its body is sent once the server has asked for it (status
    100, RFC 9110): a server that is paused cannot handle it later. ``is_sent`` says
    whether a server may handle the request, ``earlier_exchanges`` how many the connection
    had carried before it. Answers to it bear its ``request_id`` if the server names
    requests in its answers, unless that is None.
    """

    __slots__ = (
        "awaits_continue",
        "body",
        "deadline",
        "earlier_exchanges",
        "fresh",
        "headers",
        "is_sent",
        "method",
        "path",
        "request_id",
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
        request_id=None,
    ):
        self.awaits_continue = awaits_continue and bool(body)
        self.is_sent = False
        self.earlier_exchanges = 0
        self.method = method
        self.path = path
        self.headers = headers or {}
        self.body = body
        self.deadline = deadline
        self.fresh = fresh
        self.request_id = request_id


class Reply:
    """A complete reply: ``status``, ``headers`` (``HTTPHeaders``), ``body`` (bytes)."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


class _Exchange:
    """One request on a connection and its answer.

    ``outcome`` is a future of the ``Reply`` or ``Broken``; ``close()`` closes the
    connection, from which no more of a refused answer is read.
    """

    __slots__ = (
        "_accept",
        "_body",
        "_close",
        "_on_data",
        "headers",
        "outcome",
        "request",
        "send_body",
        "status",
    )

    def __init__(self, request, accept, on_data, close):
        self._accept = accept
        self._body = AnswerBody(RECEIVE_BUDGET, self.refuse)
        self._close = close
        self._on_data = on_data
        self.headers = None
        self.outcome = asyncio.get_running_loop().create_future()
        self.request = request
        self.send_body = None
        self.status = 0

    @property
    def body(self):
        """The bytes received that are kept, not copied."""
        return self._body.data

    @property
    def _has_body(self):
        return self.request.method != HEAD and self.status not in BODYLESS_STATUSES

    @property
    def _is_passed_on(self):
        return self._on_data is not None and self.status == 200

    @property
    def _must_wait(self):
        return not self.outcome.done() and RECEIVE_BUDGET.must_wait(now())

    def complete(self):
        """Set the outcome to the answer that has been received."""
        if not self.outcome.done():
            reply = Reply(self.status, self.headers, self._body.take())
            self.outcome.set_result(reply)
            _hand_over(len(reply.body))

    def fail(self, reason):
        """Set the outcome to ``Broken`` unless there is one."""
        if not self.outcome.done():
            self.outcome.set_result(Broken(reason, began=self.request.is_sent))

    def refuse(self, reason):
        """Fail, and close the connection."""
        self.fail(reason)
        self._close()

    def release(self):
        """Free the memory of an answer that is not complete."""
        self._body.release()

    def receive_head(self, status, headers):
        """Receive the head of the answer."""
        self.status = status
        self.headers = headers
        reason = self._accept(status, headers) if self._accept is not None else ""
        length = headers.get("Content-Length", "")
        is_kept = self._has_body and not self._is_passed_on
        if reason:
            self.refuse(reason)
        elif is_kept and not self._body.allows_length(length):
            self.refuse("answer too long")

    def receive_data(self, chunk):
        """Receive data of the answer; may return an awaitable, to be awaited first."""
        if self._is_passed_on:
            return self._pass_on(chunk)
        self._body.append(chunk)
        return self._wait_for_room() if self._must_wait else None

    async def _wait_for_room(self):
        try:
            while self._must_wait:  # noqa: ASYNC110
                await asyncio.sleep(HANDOVER_CHECK_INTERVAL)
        except asyncio.CancelledError as error:
            raise HTTPInputError("exchange cancelled") from error

    async def _pass_on(self, chunk):
        try:
            waiting = self._on_data(chunk)
            if waiting is not None:
                await waiting
        except AnswerGivenUp as error:
            self.refuse(str(error))
        except asyncio.CancelledError as error:
            # The protocol library would log a cancellation as an error.
            raise HTTPInputError("exchange cancelled") from error


class _AnswerReceiver(HTTPMessageDelegate):
    """Receives one answer for its connection; ``exchange`` is None if it is dropped."""

    __slots__ = ("_connection", "exchange", "is_begun", "is_complete")

    def __init__(self, connection):
        self._connection = connection
        self.exchange = None
        self.is_begun = False
        self.is_complete = False

    def headers_received(self, start_line, headers):
        if start_line.code in INTERIM_STATUSES:
            self._connection.receive_interim(start_line.code)
            return
        self.is_begun = True
        self.exchange = self._connection.attribute(start_line.code, headers)

    def data_received(self, chunk):
        if self.exchange is None:
            self._connection.drop_data(chunk)
        # A closed connection still delivers the bytes that it has buffered.
        elif not self.exchange.outcome.done():
            return self.exchange.receive_data(chunk)
        return None

    def finish(self):
        self.is_complete = True


class _Stream(IOStream):
    """A stream of answers whose heads are checked as they are read.

    ``on_refused_head(reason)`` is called for an invalid one. It also tells whether it
    holds bytes that have not been read.
    """

    on_refused_head = None

    async def read_until_regex(self, regex, max_bytes=None):
        """Return the bytes of a head; raises ``HTTPInputError`` for an invalid one."""
        try:
            data = await super().read_until_regex(regex, max_bytes)
        except StreamClosedError as error:
            self._count_unfinished_head(error)
            raise
        head = checked_head(data)
        if not head:
            self.on_refused_head(head.reason)
            raise HTTPInputError(head.reason)
        return data

    def _count_unfinished_head(self, error):
        if isinstance(error.real_error, UnsatisfiableReadError):
            count_refused(Flaw.TOO_LONG)
        elif self._read_buffer_size:
            count_refused(Flaw.CUT)

    @property
    def has_unread_bytes(self):
        """Whether received bytes are buffered or wait in the socket.

        Raises ``StreamClosedError`` if the server has closed the connection.
        """
        if self.closed():
            raise StreamClosedError
        if self._read_buffer_size:
            return True
        try:
            if not self.socket.recv(1, socket.MSG_PEEK):
                raise StreamClosedError
        except BlockingIOError:
            return False
        except OSError as error:
            raise StreamClosedError(real_error=error) from error
        return True

    def peek(self, limit):
        """Return up to ``limit`` received bytes that have not been read."""
        return bytes(self._read_buffer[:limit])


class _Availability(Enum):
    """Whether an idle connection can be used; ``BUSY`` while an answer is arriving."""

    FREE = "free"
    BUSY = "busy"
    ENDED = "ended"


class _Connection:
    """An open connection; while idle it may be reused until ``deadline``.

    ``identify`` and ``names_request`` are those of ``Connections``;
    ``on_close(connection)`` is called once it has ended.
    """

    __slots__ = (
        "_dropped_answers",
        "_dropped_bytes",
        "_dropped_tail",
        "_exchange",
        "_http",
        "_identify",
        "_is_final",
        "_is_receiving",
        "_ledger",
        "_names_request",
        "_on_close",
        "_parameters",
        "_reader",
        "address",
        "deadline",
        "stream",
    )

    def __init__(self, address, stream, parameters, identify, names_request, on_close):
        self._dropped_answers = 0
        self._dropped_bytes = 0
        self._dropped_tail = b""
        self._exchange = None
        self._http = HTTP1Connection(stream, True, parameters)
        stream.on_refused_head = self._fail_and_close
        self._identify = identify
        self._is_final = False
        self._is_receiving = False
        self._ledger = SequentialLedger() if identify is None else Ledger()
        self._names_request = names_request
        self._on_close = on_close
        self._parameters = parameters
        self._reader = None
        self.address = address
        self.deadline = None
        self.stream = stream

    @property
    def exchanges(self):
        """The number of requests sent on it."""
        return self._ledger.exchanges

    @property
    def availability(self):
        """The ``_Availability`` of an idle connection."""
        if passed(self.deadline):
            return _Availability.ENDED
        try:
            if not (self._is_receiving or self.stream.has_unread_bytes):
                return _Availability.FREE
        except StreamClosedError:
            return _Availability.ENDED
        # Without ids an answer could not be told from that to the next request.
        return _Availability.ENDED if self._identify is None else _Availability.BUSY

    def may_carry(self, request_id):
        """Return whether a request with this id may be sent on it."""
        return self._ledger.may_carry(request_id)

    def close(self):
        """Close it; an answer that is being handled is abandoned."""
        self.stream.close()
        if self._reader is not None:
            self._reader.cancel()

    async def exchange(self, request, accept, on_data):
        """Return the ``Reply`` or ``Broken``; cancelling closes the connection."""
        exchange = self._exchange = _Exchange(
            request, accept, on_data, self.stream.close
        )
        self._ledger.begin(request.request_id)
        is_answered = False
        try:
            self._send(exchange)
            if self._reader is None:
                self._http.finish()
                self._reader = asyncio.create_task(self._read_answers())
            result = await exchange.outcome
            is_answered = True
            return result
        finally:
            exchange.release()
            if not is_answered:
                self._exchange = None
                self.close()

    def may_be_kept(self, headers):
        """Return whether it may be kept after an answer with these headers."""
        if self._ledger.is_retired:
            RETIRED.inc({})
            return False
        # After an answer to a part of the request, the remaining bytes would be read as
        # the next request.
        return not (
            self._is_final
            or self.stream.closed()
            or self.stream.writing()
            or "close" in headers.get("Connection", "").lower()
        )

    def receive_interim(self, status):
        """Handle the head of an interim answer."""
        if status == CONTINUE and self._exchange is not None:
            send_body, self._exchange.send_body = self._exchange.send_body, None
            if send_body is not None:
                send_body()

    def attribute(self, status, headers):
        """Return the exchange that an answer belongs to; None if it is dropped."""
        self._is_receiving = True
        head = self._answer_head(status, headers)
        verdict = self._ledger.judge(head)
        exchange = self._exchange
        if verdict in OWN_VERDICTS:
            self._is_final = verdict is Verdict.FINAL
            exchange.receive_head(status, headers)
            return exchange
        kind = self._ledger.mark(head).value if head.is_framed else UNFRAMED
        DROPPED.inc({"kind": kind})
        self._dropped_answers += 1
        self._dropped_tail = b""
        if verdict is Verdict.REJECT:
            exchange.fail("answer to another request")
        if verdict is not Verdict.DROP or self._dropped_answers > MAX_DROPPED_ANSWERS:
            self.stream.close()
        return None

    def drop_data(self, chunk):
        """Count bytes of an answer that belongs to no current send.

        If it goes on with another answer, that may be the answer to the current send.
        """
        self._dropped_bytes += len(chunk)
        if self._dropped_bytes > MAX_DROPPED_BYTES:
            self.stream.close()
        if self._names_request is None or self.stream.closed():
            return
        data = self._dropped_tail + chunk
        self._dropped_tail = data[-MAX_STATUS_LINE_BYTES:]
        if data_holds_answer(data, self._names_request):
            self._fail_and_close("two answers in one body")

    def _fail_and_close(self, reason):
        if self._exchange is not None:
            self._exchange.fail(reason)
        self.stream.close()

    async def _read_answers(self):
        reason = "connection lost: Stream is closed"
        try:
            while not self.stream.closed():
                receiver = _AnswerReceiver(self)
                await self._http.read_response(receiver)
                self._is_receiving = False
                if not receiver.is_complete:
                    if not receiver.is_begun:
                        DROPPED.inc({"kind": UNREADABLE})
                    reason = "reply cut or not understood"
                    break
                if receiver.exchange is not None:
                    self._complete(receiver.exchange)
        except (StreamClosedError, HTTPInputError, OSError) as error:
            reason = f"connection lost: {error}"
        finally:
            self.stream.close()
            # Refers to this connection, which would stay until garbage is collected.
            self.stream.on_refused_head = None
            if self._exchange is not None:
                self._exchange.fail(reason)
                self._exchange = None
            self._on_close(self)

    def _complete(self, exchange):
        self._exchange = None
        self._ledger.end()
        self._dropped_answers = self._dropped_bytes = 0
        # An answer without length ends with its connection, and the protocol reader
        # can't distinguish a reset from that end.
        if self.stream.closed() and self.stream.error is not None:
            exchange.fail(f"connection reset: {self.stream.error}")
        elif self._is_joined(exchange):
            exchange.refuse("two answers in one body")
        else:
            exchange.complete()

    def _is_joined(self, exchange):
        """Return whether the body goes on with another answer, which may end behind it."""
        if self._names_request is None:
            return False
        following = self.stream.peek(MAX_HEAD_BYTES)
        return data_holds_answer(exchange.body, self._names_request, following)

    def _answer_head(self, status, headers):
        is_framed = (
            status in BODYLESS_STATUSES
            or "Content-Length" in headers
            or "Transfer-Encoding" in headers
        )
        if self._identify is None:
            return AnswerHead(None, False, is_framed)
        request_id, is_refusal = self._identify(status, headers)
        return AnswerHead(request_id, is_refusal, is_framed)

    def _send(self, exchange):
        """Send a request, or its head if its body awaits the server's answer to that."""
        request = exchange.request
        headers = HTTPHeaders(request.headers)
        headers["Content-Length"] = str(len(request.body))
        start_line = RequestStartLine(request.method, request.path, "HTTP/1.1")
        # The answer to HEAD is read by the object that has written the request. Others
        # are written beside the answers that may be read meanwhile.
        is_head = request.method == HEAD
        http = (
            self._http
            if is_head
            else HTTP1Connection(self.stream, True, self._parameters)
        )

        def send_body():
            request.is_sent = True
            http.write(request.body)
            http.finish()

        if request.awaits_continue:
            headers["Expect"] = "100-continue"
            exchange.send_body = send_body
            http.write_headers(start_line, headers)
            return
        request.is_sent = True
        is_large = len(request.body) > LARGE_BODY_BYTES
        # Written with its head, a body is copied.
        first = None if is_large else request.body or None
        http.write_headers(start_line, headers, first)
        if is_large:
            http.write(request.body)
        if not is_head:
            http.finish()


class Connections:
    """Sends requests to ``host:port`` addresses over pooled connections.

    ``identify(status, headers)`` returns the request id that an answer bears, or None, and
    whether it says that its request was not run. Without it the servers' answers bear no
    ids. ``names_request(headers)`` says whether a head that stands in the body of an
    answer is that of another one, by headers that only the servers set.
    """

    __slots__ = ("_identify", "_idle", "_names_request", "_parameters")

    def __init__(self, identify=None, names_request=None):
        self._identify = identify
        self._idle = {}
        self._names_request = names_request
        self._parameters = HTTP1ConnectionParameters(
            max_header_size=MAX_HEAD_BYTES,
            max_body_size=NO_BODY_LIMIT,
            chunk_size=READ_CHUNK_BYTES,
        )

    def close(self):
        """Close all idle connections."""
        for address in tuple(self._idle):
            self.close_idle(address)

    def close_idle(self, address):
        """Close the idle connections to ``address``."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    async def try_connect(self, address):
        """Return True if a connection can be opened, else ``Refused`` or ``Broken``."""
        connection = await self._open(address)
        if not connection:
            return connection
        connection.close()
        return True

    def has_idle(self, address):
        """Return whether an idle connection to ``address`` can be reused now."""
        return any(
            connection.availability is _Availability.FREE
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
                connection = self._take_idle(address, request, oldest_first)
                if connection is None:
                    connection = await self._open(address)
                if not connection:
                    return connection
                # The timeout expires some turns of the event loop after its deadline.
                if request.deadline is not None and passed(request.deadline):
                    connection.close()
                    return Broken("timeout", began=False)
                reply = await connection.exchange(request, accept, on_data)
                if not reply or not self._keep_idle(connection, request, reply):
                    connection.close()
                return reply
        except TimeoutError:
            return Broken("timeout", began=request.is_sent)

    def _take_idle(self, address, request, oldest_first):
        pool = self._idle.get(address)
        # The answer to HEAD has no body, which later reads could not know.
        if not pool or request.fresh or request.method == HEAD:
            return None
        for connection in tuple(pool if oldest_first else reversed(pool)):
            availability = connection.availability
            if availability is _Availability.ENDED:
                pool.remove(connection)
                connection.close()
            elif availability is _Availability.FREE and connection.may_carry(
                request.request_id
            ):
                pool.remove(connection)
                REUSED.inc({})
                request.earlier_exchanges = connection.exchanges
                return connection
        return None

    async def _open(self, address):
        host, _, port = address.rpartition(":")
        stream = _Stream(_create_socket(), max_buffer_size=MAX_BUFFER_BYTES)
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
        return _Connection(
            address,
            stream,
            self._parameters,
            self._identify,
            self._names_request,
            self._discard,
        )

    def _keep_idle(self, connection, request, reply):
        if not request.is_sent or request.method == HEAD:
            return False
        if not connection.may_be_kept(reply.headers):
            return False
        pool = self._idle.setdefault(connection.address, [])
        if len(pool) >= MAX_IDLE_CONNECTIONS:
            return False
        connection.deadline = deadline_in(_idle_timeout(reply.headers))
        pool.append(connection)
        return True

    def _discard(self, connection):
        """Take a connection that has ended out of the pool."""
        pool = self._idle.get(connection.address, ())
        if connection in pool:
            pool.remove(connection)


def _hand_over(size):
    """Count a large complete answer until it is being sent to its caller."""
    if size > LARGE_BODY_BYTES:
        deadline = deadline_in(HANDOVER_TIME)
        RECEIVE_BUDGET.hand_over(size, deadline)
        loop = asyncio.get_running_loop()
        loop.call_later(remaining(deadline), lambda: RECEIVE_BUDGET.must_wait(now()))


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


def _idle_timeout(headers):
    for part in headers.get("Keep-Alive", "").split(","):
        name, _, value = part.strip().partition("=")
        seconds = read_number(value)
        if name.lower() == "timeout" and seconds is not None:
            return max(0.0, seconds - IDLE_TIMEOUT_MARGIN)
    return DEFAULT_IDLE_TIMEOUT
