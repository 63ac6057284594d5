"""Accepts callers' connections within a ``CallerBudget`` and serves HTTP on them."""

import asyncio
import contextlib
import sys

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream, SSLIOStream, StreamClosedError
from tornado.netutil import ssl_wrap_socket

from sassafrasdoor.callers.budget import Caller, Kind, Phase
from sassafrasdoor.callers.refusals import NO_ROOM
from sassafrasdoor.callers.requests import REFUSED
from sassafrasdoor.clock import now
from sassafrasdoor.decisions import note
from sassafrasdoor.metrics import counter
from sassafrasdoor.stopping import serve_accepted

# Bytes of the objects of a connection; with TLS also of the buffers of its records.
CONNECTION_BYTES, TLS_CONNECTION_BYTES = 12 * 1024, 64 * 1024
READ_CHUNK_BYTES = 8 * 1024
FIELD_BYTES = 512  # of a decoded header, which is also copied to a server's request
ACCEPTS_PER_TURN = 128  # connections, before other tasks take a turn
ACCEPT_RETRY_TIME = 0.05  # seconds until a failed accept is tried again
DRAINED_BYTES = 64 * 1024  # read from a refused connection, which is reset otherwise

CLOSED = counter(
    "callers_closed_total", "Connections closed to make room, by what they did."
)
ACCEPT_FAILURES = counter(
    "callers_accept_failures_total", "Connections that could not be accepted, by error."
)


class _CountedStream:
    """Mixin of streams that count in a budget until their descriptor is closed."""

    budget = caller = request = None

    def write(self, data):
        # Tornado would answer once more where the rest of an answered request is invalid.
        if self.request is not None and self.request.is_answered_early:
            self.close()
            raise StreamClosedError
        return super().write(data)

    async def read_until_regex(self, regex, max_bytes=None):
        """Read a request's head, which is decoded only if its fields find room."""
        # Tornado would serve the requests that were read before the caller has left.
        if self.closed():
            raise StreamClosedError(real_error=self.error)
        head = await super().read_until_regex(regex, max_bytes)
        size = FIELD_BYTES * head.count(b"\n")
        if not self.budget.hold(self.caller, Kind.HEAD, size, now()):
            self._refuse_head()
            raise StreamClosedError
        return head

    def write_to_fd(self, data):
        size = super().write_to_fd(data)
        if size and self.caller.phase is Phase.SENDING:
            self.budget.record_progress(self.caller, size, now())
        return size

    def close_fd(self):
        super().close_fd()
        self.budget.remove(self.caller)

    def _refuse_head(self):
        """Refuse a request that is not decoded, and close the connection."""
        if not self.closed():
            REFUSED.inc({"reason": "head"})
            note("caller.head_refused", held_bytes=self.budget.held_bytes)
            self.budget.abandon(self.caller)
            self.write(NO_ROOM).add_done_callback(lambda sent: sent.exception())
            self.close()

    def make_room(self, phase):
        """End the connection, with a refusal if a request is being read."""
        CLOSED.inc({"phase": str(phase)})
        note("caller.closed", phase=str(phase), connections=self.budget.connections)
        if phase is Phase.READING:
            self.request.give_up()
        self.close()


class _PlainStream(_CountedStream, IOStream):
    pass


class _TlsStream(_CountedStream, SSLIOStream):
    pass


class CallerServer:
    """Serves ``CountedRequests`` on the connections accepted at one socket.

    ``ssl_options`` is an ``SSLContext`` or None. ``header_bytes`` limits a request's head,
    ``idle_timeout`` (seconds) the wait for it.
    """

    def __init__(
        self, requests, ssl_options=None, header_bytes=None, idle_timeout=None
    ):
        self.requests = requests
        self.ssl_options = ssl_options
        self._budget = requests.budget
        self._http = HTTPServer(
            requests,
            ssl_options=ssl_options,
            chunk_size=READ_CHUNK_BYTES,
            max_header_size=header_bytes,
            idle_connection_timeout=idle_timeout,
            # ``requests`` refuses longer bodies, with a reason.
            max_body_size=sys.maxsize,
        )
        self._loop = None
        self._sock = None

    @property
    def header_bytes(self):
        """The limit of a request's head in bytes."""
        return self._http.conn_params.max_header_size

    def set_limits(self, header_bytes, idle_timeout):
        """Apply other limits, to open connections too."""
        self._http.conn_params.max_header_size = header_bytes
        self._http.conn_params.header_timeout = idle_timeout

    def start(self, sock):
        """Accept the connections of a listening socket."""
        self._loop, self._sock = asyncio.get_running_loop(), sock
        sock.setblocking(False)
        self._loop.add_reader(sock, self._accept)

    def stop(self):
        """Accept no further connections and close the socket."""
        if self._sock is not None:
            sock, self._sock = self._sock, None
            self._loop.remove_reader(sock)
            sock.close()

    async def close_all_connections(self):
        """Close the connections that are idle, and the others once they have ended."""
        await self._http.close_all_connections()

    def serve(self, connection, address):
        """Serve an accepted connection, or refuse it if there is no room."""
        caller = Caller(None)
        if not self._budget.connect(caller, self._connection_bytes, now()):
            self._refuse(connection)
            return
        try:
            stream = self._stream(connection)
        except OSError:  # as raised by TLS for a connection that has ended
            self._budget.remove(caller)
            connection.close()
            return
        stream.budget, stream.caller = self._budget, caller
        caller.on_yield = stream.make_room
        self._http.handle_stream(stream, address)

    @property
    def _connection_bytes(self):
        """Bytes of a connection that waits for a request, with what it reads of one."""
        objects = CONNECTION_BYTES if self.ssl_options is None else TLS_CONNECTION_BYTES
        return objects + self.header_bytes + READ_CHUNK_BYTES

    def _stream(self, connection):
        if self.ssl_options is None:
            return _PlainStream(connection, read_chunk_size=READ_CHUNK_BYTES)
        connection = ssl_wrap_socket(
            connection,
            self.ssl_options,
            server_side=True,
            do_handshake_on_connect=False,
        )
        return _TlsStream(connection, read_chunk_size=READ_CHUNK_BYTES)

    def _accept(self):
        for _ in range(ACCEPTS_PER_TURN):
            try:
                connection, address = self._sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                self._accept_later(error)
                return
            self.serve(connection, address)

    def _accept_later(self, error):
        """Pause after an error that would come again at once, as without descriptors."""
        ACCEPT_FAILURES.inc({"error": type(error).__name__})
        note("caller.not_accepted", reason=repr(error))
        self._loop.remove_reader(self._sock)
        self._loop.call_later(ACCEPT_RETRY_TIME, self._accept_again)

    def _accept_again(self):
        if self._sock is not None:
            self._loop.add_reader(self._sock, self._accept)

    def _refuse(self, connection):
        REFUSED.inc({"reason": "connection"})
        note("caller.refused", connections=self._budget.connections)
        with contextlib.closing(connection), contextlib.suppress(OSError):
            connection.setblocking(False)
            if self.ssl_options is None:
                with contextlib.suppress(BlockingIOError):
                    connection.recv(DRAINED_BYTES)
                connection.send(NO_ROOM)


@serve_accepted.register
def _(server: CallerServer, connection, address):
    server.serve(connection, address)
