"""Counts callers' requests and answers, between an HTTP server and an application.

The application gets each request from here, and writes its answer through here. A query
is kept apart: Tornado would decode its arguments, which a gateway only passes on.
"""

import asyncio
import sys

from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    ResponseStartLine,
    responses,
)

from sassafrasdoor.callers import refusals
from sassafrasdoor.callers.budget import SMALL_BODY_BYTES, Caller, Kind, Phase
from sassafrasdoor.clock import now
from sassafrasdoor.decisions import note
from sassafrasdoor.metrics import counter

LARGE_ANSWER_BYTES = 64 * 1024  # from which on an answer is not copied
MAX_LENGTH_DIGITS = 18  # of a body's length; converting very many raises ``ValueError``
# Seconds for which the rest of a refused request is read, so that its sender gets to
# read the refusal: a connection that is closed with unread bytes is reset.
LINGER_TIME = 1.0

REFUSED = counter(
    "callers_refused_total", "Requests and connections refused as not run, by reason."
)


class CountedRequests(HTTPServerConnectionDelegate):
    """Passes requests on to ``application``, within a ``CallerBudget``.

    ``max_body_bytes`` is the limit of a body. If ``awaits_body``, the application gets a
    request once its body is complete; unless ``keeps_bodies``, it gets none of them.
    ``render`` writes the body of a refusal.
    """

    def __init__(
        self, application, budget, awaits_body=True, render=refusals.text_refusal
    ):
        self.application = application
        self.awaits_body = awaits_body
        self.budget = budget
        self.keeps_bodies = True
        self.max_body_bytes = None
        self.render = render

    def start_request(self, server_conn, request_conn):
        stream = request_conn.stream
        caller = getattr(stream, "caller", None)
        if caller is None:
            caller = self._count_stream(stream)
        self.budget.end_request(caller, now())
        stream.request = _CountedRequest(self, server_conn, request_conn, caller)
        return stream.request

    def _count_stream(self, stream):
        """Count the requests on a stream that no ``CallerServer`` has accepted."""
        caller = stream.caller = Caller(lambda phase: stream.close())
        self.budget.connect(caller, 0, now())
        return caller


class _CountedRequest(HTTPMessageDelegate):
    """One request; its body is collected here until it is complete."""

    def __init__(self, server, server_conn, request_conn, caller):
        self._server = server
        self._budget = server.budget
        self._server_conn = server_conn
        self._answer = CountedConnection(request_conn, server.budget, caller)
        self._caller = caller
        self._delegate = None
        self._body = bytearray()
        self._head = None
        self._received_bytes = 0

    @property
    def is_answered_early(self):
        """Whether it has been answered, but not read whole."""
        return self._answer.awaits_end

    def headers_received(self, start_line, headers):
        self._head = (start_line, headers)
        self._answer.set_request(start_line, headers)
        length = _stated_length(headers)
        limit = self._server.max_body_bytes
        if limit is not None and length > limit:
            return self._refuse(refusals.BODY_TOO_LONG)
        if length or "Transfer-Encoding" in headers:
            self._caller.announced_bytes = length
            self._budget.enter(self._caller, Phase.READING, now())
        is_large = self._server.keeps_bodies and length > SMALL_BODY_BYTES
        if is_large and not self._budget.may_announce(self._caller, length, now()):
            return self._refuse(refusals.BODY_REFUSED)
        return None if self._server.awaits_body else self._begin()

    def data_received(self, chunk):
        limit = self._server.max_body_bytes
        self._received_bytes += len(chunk)
        is_too_long = limit is not None and self._received_bytes > limit
        if self._answer.is_finished:
            # The rest is read so that the caller gets to read its answer.
            if is_too_long:
                self._answer.stream.close()
        elif is_too_long:
            self._refuse(refusals.BODY_TOO_LONG)
        elif not self._server.keeps_bodies:
            self._budget.record_progress(self._caller, len(chunk), now())
        elif self._budget.hold(self._caller, Kind.BODY, len(chunk), now()):
            self._budget.record_progress(self._caller, len(chunk), now())
            # Kept here: the application would hold the chunks beside the joined body.
            self._body += chunk
        else:
            self._refuse(refusals.BODY_REFUSED)

    def finish(self):
        is_answered = self._answer.is_finished
        self._answer.end_reading()
        if is_answered:
            return
        self._budget.enter(self._caller, Phase.SERVING, now())
        if self._delegate is None:
            self._begin()
        body, self._body = self._body, bytearray()
        if body:
            self._delegate.data_received(body)
        self._delegate.finish()

    def on_connection_close(self):
        self._body = bytearray()
        self._budget.end_request(self._caller, now())
        if self._delegate is not None:
            self._delegate.on_connection_close()

    def give_up(self):
        """Refuse a request that has not been read whole, and close its connection."""
        if not self._answer.is_finished:
            self._refuse(refusals.YIELDED)
        self._answer.stream.close()

    def _begin(self):
        """Hand the head over to the application."""
        start_line, headers = self._head
        start_line = start_line._replace(path=self._answer.path)
        self._delegate = self._server.application.start_request(
            self._server_conn, self._answer
        )
        return self._delegate.headers_received(start_line, headers)

    def _refuse(self, refusal):
        self._body = bytearray()
        size = self._caller.held[Kind.BODY]
        self._budget.free(self._caller, Kind.BODY, size, now())
        REFUSED.inc({"reason": refusal.counted_as})
        note(
            "request.refused",
            reason=refusal.counted_as,
            held_bytes=self._budget.held_bytes,
            connections=self._budget.connections,
        )
        delegate, self._delegate = self._delegate, None
        if delegate is not None:
            delegate.on_connection_close()
        fields, body = self._server.render(refusal)
        self._answer.refuse(refusal, fields, body)


class CountedConnection(HTTPConnection):
    """Writes the answer to one request.

    ``target`` is the request's, with its ``path`` and ``query``. ``is_finished`` says
    whether the answer has been handed over whole.
    """

    def __init__(self, connection, budget, caller):
        self._awaits_continue = False
        self._budget = budget
        self._caller = caller
        self._connection = connection
        self._has_begun = False
        self._has_length = False
        self._is_head = False
        self._is_read = False
        self.is_finished = False
        self.path = self.query = self.target = ""

    @property
    def awaits_end(self):
        """Whether the answer is whole and the request is not."""
        return self.is_finished and not self._is_read

    @property
    def stream(self):
        """The connection's stream."""
        return self._connection.stream

    @property
    def context(self):
        """Addresses and protocol of the connection."""
        return self._connection.context

    def set_request(self, start_line, headers):
        """Set what is answered."""
        self._awaits_continue = "Expect" in headers
        self._is_head = start_line.method == "HEAD"
        self.target = start_line.path
        self.path, _, self.query = start_line.path.partition("?")

    def hold_decoded(self, size):
        """Count ``size`` bytes that decoding takes until the request has ended.

        Returns whether they fit.
        """
        return self._budget.hold(self._caller, Kind.DECODED, size, now())

    def write_headers(self, start_line, headers, chunk=None):
        self._has_begun = True
        self._has_length = "Content-Length" in headers
        if chunk and len(chunk) > LARGE_ANSWER_BYTES:
            # Written with its head, it is copied.
            self._connection.write_headers(start_line, headers)
            return self.write(chunk)
        self._count(len(chunk or b""))
        return self._counted(
            self._connection.write_headers(start_line, headers, chunk),
            len(chunk or b""),
        )

    def write(self, chunk):
        # A chunk is copied with its length, and the application awaits that it is taken.
        copies = 1 if self._has_length else 2
        self._count(copies * len(chunk))
        written = self._connection.write(chunk)
        if not self.stream.closed():
            # Done once all that was written before has been sent, unlike ``written``.
            written = self.stream.write(b"")
        return self._counted(written, copies * len(chunk))

    def finish(self):
        self.is_finished = True
        # Tornado closes a connection whose answer ends before its request. A caller that
        # waits for the server's word sends no body after the answer.
        if self._is_read or self._awaits_continue:
            self._connection.finish()

    def end_reading(self):
        """Go on after the request has been read whole."""
        self._is_read = True
        if self.is_finished:
            self._connection.finish()

    def refuse(self, refusal, fields, body):
        """Write a refusal with further header ``fields``, unless an answer has begun."""
        if self._has_begun:
            self.stream.close()
            return
        headers = HTTPHeaders(fields)
        headers["Content-Length"] = str(len(body))
        if refusal.may_be_repeated:
            headers["Retry-After"] = f"{refusals.RETRY_AFTER:g}"
        if refusal.ends_connection:
            headers["Connection"] = "close"
            loop = asyncio.get_running_loop()
            loop.call_later(LINGER_TIME, self.stream.close)
        reason = responses[refusal.status]
        start_line = ResponseStartLine("HTTP/1.1", refusal.status, reason)
        # Tornado closes the connection if a body follows the head of such an answer.
        self.write_headers(start_line, headers, None if self._is_head else body)
        self.finish()

    def set_close_callback(self, callback):
        """Call ``callback()`` if the connection ends before the answer."""
        self._connection.set_close_callback(callback)

    def detach(self):
        """Return the stream, which is no longer used for HTTP."""
        return self._connection.detach()

    def _count(self, size):
        """Count ``size`` bytes before they are written."""
        self._budget.hold_answer(self._caller, size, now())

    def _counted(self, sent, size):
        """Stop counting ``size`` bytes once the future ``sent`` is done; return it."""
        sent.add_done_callback(lambda _: self._free_answer(size))
        return sent

    def _free_answer(self, size):
        self._budget.free(self._caller, Kind.ANSWER, size, now())


def _stated_length(headers):
    """Return the length that a request states for its body, 0 if none or an invalid one.

    It may be stated more than once; the HTTP library refuses different ones.
    """
    digits = headers.get("Content-Length", "").partition(",")[0]
    if not digits.isascii() or not digits.isdecimal():
        return 0
    return int(digits) if len(digits) <= MAX_LENGTH_DIGITS else sys.maxsize
