"""Kept HTTP/1.1 connections, one exchange at a time on each.

Tornado's own ``http1connection`` does the protocol. The curl client cannot be told
in the middle of a transfer that the answer on a reused connection belongs to an
earlier request: it would keep that connection, and each later answer on it would
reach the wrong request. Here an exchange checks the head of an answer first and
closes the connection where it is not its own.
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
from sassafrasdoor.clock import deadline_in, passed
from sassafrasdoor.metrics import counter

CONNECT_TIMEOUT = 0.4
"""Seconds; well above the slowest round trip here (6 ms), below a caller's patience."""
KEEPALIVE_IDLE = 1
KEEPALIVE_INTERVAL = 1
KEEPALIVE_PROBES = 2
"""Whole seconds and a count: a peer without power is noticed within three seconds."""
USER_TIMEOUT_MS = 2500
"""Milliseconds that sent bytes may stay unacknowledged; as long as the probes take."""
DEFAULT_IDLE = 0.5
"""Seconds an idle connection is trusted whose server names no whole second."""
IDLE_MARGIN = 0.6
"""Seconds before the server's own limit at which an idle connection is given up."""
MAX_IDLE = 64
"""Idle connections kept to one address: more than one server has places."""
MAX_HEADER = 65536
MAX_BODY = 64 * 1024 * 1024
READ_CHUNK = 65536

OPENED = counter("connections_opened_total", "Connections opened, by result.")
REUSED = counter("connections_reused_total", "Exchanges on a kept connection.")


class Outgoing:
    """One request to send; ``deadline`` is monotonic, ``fresh`` forbids reuse."""

    __slots__ = ("body", "deadline", "fresh", "headers", "method", "path")

    def __init__(
        self, method, path, headers=None, body=b"", deadline=None, fresh=False
    ):
        self.method = method
        self.path = path
        self.headers = headers or {}
        self.body = body
        self.deadline = deadline
        self.fresh = fresh


class Reply:
    """A whole answer: ``status``, ``headers`` (``HTTPHeaders``) and ``body``."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


class _Receiver(HTTPMessageDelegate):
    """Collects one answer; ``accept(status, headers)`` returns why it is refused."""

    def __init__(self, accept, on_data):
        self._accept = accept
        self._on_data = on_data
        self._pieces = []
        self.close = lambda: None
        self.status = 0
        self.headers = None
        self.refused = ""
        self.whole = False

    @property
    def body(self):
        return b"".join(self._pieces)

    def headers_received(self, start_line, headers):
        self.status = start_line.code
        self.headers = headers
        if start_line.code >= 200 and self._accept is not None:
            self.refused = self._accept(start_line.code, headers) or ""
        if self.refused:
            self.close()

    def data_received(self, chunk):
        # A closed connection still hands out what it has read. Taken, the events of an
        # earlier request would stand in this one's text.
        if self.refused:
            return None
        if self._on_data is not None and self.status == 200:
            return self._on_data(chunk)
        self._pieces.append(chunk)
        return None

    def finish(self):
        self.whole = True


class _Idle:
    """A connection that waits for its next exchange until ``deadline``."""

    __slots__ = ("deadline", "stream")

    def __init__(self, stream, deadline):
        self.stream = stream
        self.deadline = deadline


class Connections:
    """Sends requests to ``host:port`` addresses and keeps their connections."""

    __slots__ = ("_idle", "_parameters")

    def __init__(self):
        self._idle = {}
        self._parameters = HTTP1ConnectionParameters(
            max_header_size=MAX_HEADER, max_body_size=MAX_BODY, chunk_size=READ_CHUNK
        )

    def close(self):
        """Close all idle connections."""
        for kept in self._idle.values():
            for one in kept:
                one.stream.close()
        self._idle.clear()

    def forget(self, address):
        """Close the idle connections to ``address``: one of them went silent."""
        for one in self._idle.pop(address, ()):
            one.stream.close()

    async def reach(self, address):
        """Return True if a connection can be opened, else ``Refused`` or ``Broken``."""
        stream = await self._open(address)
        if not stream:
            return stream
        stream.close()
        return True

    async def send(self, address, request, accept=None, on_data=None):
        """Return the whole ``Reply``, or ``Broken``; cancelling closes at once.

        ``accept(status, headers)`` may refuse an answer by returning a reason;
        ``on_data`` takes the body of an answer 200 piece by piece; what it returns,
        unless None, is awaited before more is read.
        """
        try:
            async with asyncio.timeout_at(request.deadline):
                stream = None if request.fresh else self._take(address)
                if stream is None:
                    stream = await self._open(address)
                if not stream:
                    return stream
                return await self._exchange(address, stream, request, accept, on_data)
        except TimeoutError:
            return Broken("timeout", began=True)

    def _take(self, address):
        kept = self._idle.get(address)
        while kept:
            one = kept.pop()
            if not passed(one.deadline) and _quiet(one.stream):
                REUSED.inc({})
                return one.stream
            one.stream.close()
        return None

    async def _open(self, address):
        host, _, port = address.rpartition(":")
        stream = IOStream(_socket(), max_buffer_size=2 * MAX_BODY)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await stream.connect((host, int(port)))
        except TimeoutError:
            stream.close()
            OPENED.inc({"result": "timeout"})
            return Broken("connect timeout", began=False)
        except (StreamClosedError, OSError) as error:
            stream.close()
            OPENED.inc({"result": "refused"})
            reason = f"not connected: {error}"
            if isinstance(_cause(error), ConnectionRefusedError):
                return Refused(reason)
            return Broken(reason, began=False)
        except asyncio.CancelledError:
            stream.close()
            raise
        OPENED.inc({"result": "opened"})
        return stream

    async def _exchange(self, address, stream, request, accept, on_data):
        receiver = _Receiver(accept, on_data)
        receiver.close = stream.close
        connection = HTTP1Connection(stream, True, self._parameters)
        kept = False
        try:
            headers = HTTPHeaders(request.headers)
            headers["Content-Length"] = str(len(request.body))
            start = RequestStartLine(request.method, request.path, "HTTP/1.1")
            connection.write_headers(start, headers, request.body or None)
            connection.finish()
            await connection.read_response(receiver)
            broken = self._broken(stream, receiver)
            if broken is not None:
                return broken
            kept = self._keep(address, stream, receiver.headers)
            return Reply(receiver.status, receiver.headers, receiver.body)
        except (StreamClosedError, HTTPInputError, OSError) as error:
            return Broken(receiver.refused or f"connection lost: {error}", began=True)
        finally:
            if not kept:
                stream.close()

    def _broken(self, stream, receiver):
        if receiver.refused:
            return Broken(receiver.refused, began=True)
        if not receiver.whole:
            return Broken("reply cut or not understood", began=True)
        # A reply without length ends where its connection ends. After a reset it
        # looks the same to the protocol reader, but half of it may be missing.
        if stream.closed() and stream.error is not None:
            return Broken(f"connection reset: {stream.error}", began=True)
        return None

    def _keep(self, address, stream, headers):
        if stream.closed() or stream.writing():
            # An answer that came before the whole request was sent: what is left
            # of the request must not be taken for the next one.
            return False
        if "close" in headers.get("Connection", "").lower():
            return False
        kept = self._idle.setdefault(address, [])
        if len(kept) >= MAX_IDLE:
            return False
        kept.append(_Idle(stream, deadline_in(_idle_seconds(headers))))
        return True


def _cause(error):
    """Return the system's error behind a stream's."""
    return getattr(error, "real_error", None) or error


def _socket():
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    # A peer that lost power or its path answers nothing: without these a read
    # waits for ever. One would notice items that no server runs and nobody retries.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return sock


def _quiet(stream):
    """Say whether an idle connection is open and holds no bytes of anybody."""
    if stream.closed():
        return False
    try:
        stream.socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    # Either closed by the server, or bytes of an answer that nobody waits for.
    return False


def _idle_seconds(headers):
    for part in headers.get("Keep-Alive", "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return max(0.0, int(value) - IDLE_MARGIN)
    return DEFAULT_IDLE
