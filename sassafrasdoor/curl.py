"""Tornado's curl client, which accepts only answers with a complete and valid head.

libcurl reports success if the server closes the connection behind any line of the head, and
it accepts invalid statuses and fields. It passes on each line as received, so that
``answer_heads`` decides here as it does for all other clients.
"""

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPResponse

from sassafrasdoor.answer_heads import MAX_HEAD_BYTES, Flaw, RefusedHead
from sassafrasdoor.answers import checked_head, count_refused

MAX_CLIENTS = 10  # transfers at a time; others wait
MAX_BODY_BYTES = 16 * 1024 * 1024  # of one answer
NO_ANSWER = 599  # status of a response without an answer
PROTOCOL = b"HTTP/"
EMPTY_LINE = b"\r\n"
WEIRD_SERVER_REPLY = pycurl.E_FTP_WEIRD_SERVER_REPLY  # its former name
# What the errors of libcurl say about the head of an answer.
FLAWS_BY_ERROR = {
    pycurl.E_UNSUPPORTED_PROTOCOL: Flaw.UNREADABLE,
    pycurl.E_BAD_CONTENT_ENCODING: Flaw.UNREADABLE,
    WEIRD_SERVER_REPLY: Flaw.UNREADABLE,
    pycurl.E_PARTIAL_FILE: Flaw.CUT,
}
ABORT = -1  # returned to libcurl by the function that receives the head


class AnswerRefused(CurlError):
    """The head of the answer is incomplete or invalid; ``reason`` says why."""

    def __init__(self, reason):
        super().__init__(WEIRD_SERVER_REPLY, reason)
        self.reason = reason


class CurlClient(CurlAsyncHTTPClient):
    """The client; ``fetch`` fails with ``AnswerRefused`` for an invalid answer.

    ``max_clients`` transfers run at a time. Bodies of more than ``max_body_size`` bytes
    fail too. Answers over other versions of the protocol than 1.x are not requested, and
    trailer fields are dropped. ``header_callback`` of a request is not called.
    """

    def initialize(
        self, max_clients=MAX_CLIENTS, defaults=None, max_body_size=MAX_BODY_BYTES
    ):
        super().initialize(
            max_clients=max_clients, defaults=defaults, max_body_size=max_body_size
        )

    def fetch_impl(self, request, callback):
        """Start a transfer whose head is received by a ``_HeadReceiver``."""
        receiver = _HeadReceiver()
        prepare = request.prepare_curl_callback

        def prepare_curl(curl):
            receiver.headers = curl.info["headers"]
            curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
            curl.setopt(pycurl.HEADERFUNCTION, receiver.receive_line)
            if prepare is not None:
                prepare(curl)

        request.prepare_curl_callback = prepare_curl
        super().fetch_impl(
            request, lambda response: callback(receiver.checked(response))
        )


class _HeadReceiver:
    """Receives the lines of the heads of one transfer, interim answers among them.

    ``headers`` gets the fields of the final head once that is complete.
    """

    __slots__ = ("_is_complete", "_lines", "_refused", "_size", "headers")

    def __init__(self):
        self._is_complete = False
        self._lines = []
        self._refused = None
        self._size = 0
        self.headers = None

    def receive_line(self, line):
        """Receive a line with its end; return ``ABORT`` to end the transfer."""
        if self._is_complete and not line.startswith(PROTOCOL):
            return None  # a trailer field, or the empty line behind them
        if self._is_complete:
            self._is_complete = False
            self.headers.clear()
        self._lines.append(line)
        self._size += len(line)
        if self._size > MAX_HEAD_BYTES:
            self._refuse(Flaw.TOO_LONG)
        elif line == EMPTY_LINE:
            self._end_head()
        return None if self._refused is None else ABORT

    def checked(self, response):
        """Return the response, or one that failed if it has no whole head."""
        flaw = self._flaw_at_end(response)
        if self._refused is None and flaw is not None:
            self._refuse(flaw)
        if self._refused is None:
            return response
        return HTTPResponse(
            response.request,
            NO_ANSWER,
            error=AnswerRefused(self._refused.reason),
            request_time=response.request_time,
        )

    def _flaw_at_end(self, response):
        """Return the ``Flaw`` of an answer that ended, None if there is none."""
        if isinstance(response.error, CurlError):
            flaw = FLAWS_BY_ERROR.get(response.error.errno)
        else:
            # Nothing is received if the request could not be sent.
            flaw = Flaw.CUT if self._size else None
        # A complete head was not cut; its body may have been, which is an error.
        return None if flaw is Flaw.CUT and self._is_complete else flaw

    def _end_head(self):
        data = b"".join(self._lines)
        self._lines.clear()
        head = checked_head(data)
        if not head:
            self._refused = head
        elif not head.is_interim:
            self._is_complete = True
            for name, value in head.fields:
                self.headers.add(name, value)

    def _refuse(self, flaw):
        count_refused(flaw)
        self._refused = RefusedHead(flaw)
