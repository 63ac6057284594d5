"""Admits the bodies of callers' requests to an HTTP server by a ``BufferBudget``.

The body of a request that is not admitted is discarded as it arrives, and the request is
then answered 503: it has not run. Closing the connection instead would reset it, and the
caller could not tell whether the request has run.
"""

from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    ResponseStartLine,
)

from sassafrasdoor.decisions import note
from sassafrasdoor.metrics import counter

RETRY_AFTER = 0.5  # seconds, in which most bodies and answers in progress end
REFUSAL = ResponseStartLine("HTTP/1.1", 503, "Service Unavailable")
REASON = b"the body does not fit into the memory for requests\n"

REFUSED = counter("buffers_refused_total", "Requests refused for the size of the body.")


class BoundedBodies(HTTPServerConnectionDelegate):
    """Passes on to ``application`` the requests whose bodies fit into ``budget``."""

    def __init__(self, application, budget):
        self._application = application
        self._budget = budget

    def start_request(self, server_conn, request_conn):
        delegate = self._application.start_request(server_conn, request_conn)
        return _BoundedBody(delegate, request_conn, self._budget)

    def on_close(self, server_conn):
        self._application.on_close(server_conn)


class _BoundedBody(HTTPMessageDelegate):
    """One request, whose body is kept and counts here until it is complete."""

    def __init__(self, delegate, connection, budget):
        self._delegate = delegate
        self._connection = connection
        self._budget = budget
        self._counted = 0
        self._received = bytearray()
        self._is_refused = False
        self._is_head = False

    def headers_received(self, start_line, headers):
        self._is_head = start_line.method == "HEAD"
        length = headers.get("Content-Length", "")
        self._reserve(int(length) if length.isdecimal() else 0)
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk):
        if self._is_refused:
            return
        # Kept here: the application would hold the chunks beside the joined body.
        self._received += chunk
        if len(self._received) > self._counted:
            # A chunked body states no length in advance.
            self._reserve(len(self._received) - self._counted)
            if self._is_refused:
                self._delegate.on_connection_close()

    def finish(self):
        self._release()
        if self._is_refused:
            self._answer_refusal()
            return
        body = bytes(self._received)
        self._received = bytearray()
        if body:
            self._delegate.data_received(body)
        self._delegate.finish()

    def on_connection_close(self):
        self._received = bytearray()
        self._release()
        self._delegate.on_connection_close()

    def _reserve(self, size):
        if self._budget.may_read_body(self._counted + size, self._counted):
            self._counted += size
            self._budget.add_body(size)
            return
        self._is_refused = True
        self._received = bytearray()
        self._release()
        REFUSED.inc({})
        note("request.body_refused", held_bytes=self._budget.held_bytes)

    def _release(self):
        self._budget.add_body(-self._counted)
        self._counted = 0

    def _answer_refusal(self):
        headers = HTTPHeaders(
            {"Retry-After": f"{RETRY_AFTER:g}", "Content-Length": str(len(REASON))}
        )
        # Tornado closes the connection if a body follows the head of such an answer.
        body = None if self._is_head else REASON
        self._connection.write_headers(REFUSAL, headers, body)
        self._connection.finish()
