"""HTTP transfers by Tornado's curl client, without its hidden second attempts.

Each option below was chosen after watching what a server truly receives; the
contract tests in ``tests/test_transfer.py`` keep it so.
"""

import asyncio
import contextlib

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest

from sassafrasdoor.backends.interface import Broken
from sassafrasdoor.clock import deadline_in, passed, remaining

MAX_TRANSFERS = 2048
"""Handles of the client. Its default of ten would queue calls unseen."""
CONNECT_TIMEOUT = 1.0
IDLE_LIMIT = 4
"""Seconds (whole) that an idle connection is kept."""
MINIMUM_TIMEOUT = 0.001
"""Seconds; curl takes zero for "no timeout"."""
NO_PROXY = "*"

TIMED_OUT = pycurl.E_OPERATION_TIMEDOUT
REASONS = {
    pycurl.E_COULDNT_CONNECT: "connection refused",
    pycurl.E_OPERATION_TIMEDOUT: "timeout",
    pycurl.E_GOT_NOTHING: "connection closed without a reply",
    pycurl.E_PARTIAL_FILE: "reply cut",
    pycurl.E_RECV_ERROR: "connection lost",
    pycurl.E_SEND_ERROR: "connection lost",
    pycurl.E_ABORTED_BY_CALLBACK: "cancelled",
}


class Request:
    """What to send; ``fresh`` forbids a connection that was used before."""

    __slots__ = ("body", "deadline", "fresh", "headers", "method", "url")

    def __init__(self, method, url, body=None, headers=None, deadline=None, fresh=True):
        self.method = method
        self.url = url
        self.body = body
        self.headers = headers or {}
        self.deadline = deadline
        self.fresh = fresh


class Transfer:
    """One transfer in flight: whether it began, and the means to end it."""

    __slots__ = ("_aborted", "_curl", "_fresh", "_future", "began")

    def __init__(self, fresh):
        self._fresh = fresh
        self._aborted = False
        self._curl = None
        self._future = None
        self.began = False

    @property
    def finished(self):
        """Whether the client is done with it and may reuse its handle."""
        return self._future is not None and self._future.done()

    def start(self, client, request):
        """Hand the request to the client."""
        self._future = client.fetch(request, raise_error=False)
        # An aborted transfer ends in an error that nobody waits for any more.
        self._future.add_done_callback(lambda future: future.exception())

    def prepare(self, curl):
        """Set the options of the handle; called by the client before it sends."""
        self._curl = curl
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        # Proxies named in the environment would get our callers' requests, and
        # might repeat them. One would notice requests that no backend server
        # has seen. An empty proxy and a full exception list keep them out.
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.NOPROXY, NO_PROXY)
        curl.setopt(pycurl.MAXAGE_CONN, IDLE_LIMIT)
        if self._fresh:
            # libcurl sends a request again by itself when a reused connection
            # closes before any byte of the reply. The server may have run it:
            # one would notice two executions of one call. A connection that
            # nobody used before is never tried twice.
            curl.setopt(pycurl.FRESH_CONNECT, 1)
            curl.setopt(pycurl.FORBID_REUSE, 1)
        curl.setopt(pycurl.NOPROGRESS, 0)
        curl.setopt(pycurl.XFERINFOFUNCTION, self._progress)
        curl.setopt(pycurl.PREREQFUNCTION, self._connected)

    def abort(self):
        """End the transfer now; without effect on a finished one.

        Cancelling a task that awaits ``fetch`` leaves the transfer running: the
        server goes on sending and its stream stays open, which steals capacity.
        curl asks ``_progress`` whether to go on, but only when bytes move or one
        of its timers ends; on a silent connection without a deadline that may be
        never. Pausing and continuing makes it ask at once.
        """
        self._aborted = True
        if self._curl is None or self.finished:
            return
        with contextlib.suppress(pycurl.error):
            self._curl.pause(pycurl.PAUSE_ALL)
            self._curl.pause(pycurl.PAUSE_CONT)

    async def response(self):
        """Wait for the end; return the response or ``Broken``. Abort if cancelled."""
        try:
            return await asyncio.shield(self._future)
        except CurlError as error:
            reason = REASONS.get(error.errno, f"curl error {error.errno}")
            return Broken(reason, self.began)
        except ValueError as error:
            return Broken(f"not sent: {error}", self.began)
        except asyncio.CancelledError:
            self.abort()
            raise

    def add_done_callback(self, callback):
        """Call ``callback()`` once the transfer has ended."""
        self._future.add_done_callback(lambda _: callback())

    def _progress(self, *counts):
        return int(self._aborted)

    def _connected(self, *ends):
        # Called between the connection's readiness and the first byte of the
        # request: the one place where "not run" turns into "may have run". A call
        # cancelled while it waited for a handle or a connection ends here.
        if self._aborted:
            return pycurl.PREREQFUNC_ABORT
        self.began = True
        return pycurl.PREREQFUNC_OK


class Client:
    """Makes transfers; distrusts the pool of a server that went silent."""

    __slots__ = ("_client", "_distrusted")

    def __init__(self, max_transfers=MAX_TRANSFERS, max_body=100_000_000):
        self._client = CurlAsyncHTTPClient(
            force_instance=True, max_clients=max_transfers, max_body_size=max_body
        )
        self._distrusted = {}

    def close(self):
        """Close the client and all its connections."""
        self._client.close()

    def start(self, backend, request, on_header=None, on_data=None):
        """Start a transfer; ``on_data`` gets the body piece by piece."""
        transfer = Transfer(request.fresh or self._is_distrusted(backend))
        timeout = 0 if request.deadline is None else remaining(request.deadline)
        if timeout == 0 and request.deadline is not None:
            timeout = MINIMUM_TIMEOUT
        transfer.start(
            self._client,
            HTTPRequest(
                request.url,
                method=request.method,
                headers=request.headers,
                body=request.body,
                allow_nonstandard_methods=True,
                follow_redirects=False,
                decompress_response=False,
                connect_timeout=CONNECT_TIMEOUT,
                request_timeout=timeout,
                header_callback=on_header,
                streaming_callback=on_data,
                prepare_curl_callback=transfer.prepare,
            ),
        )
        return transfer

    async def fetch(self, backend, request):
        """Return the whole response, or ``Broken``."""
        if request.deadline is not None and passed(request.deadline):
            return Broken("deadline passed", began=False)
        response = await self.start(backend, request).response()
        if isinstance(response, Broken):
            if response.reason == REASONS[TIMED_OUT]:
                self.distrust(backend)
            return response
        if not framed(response, request.method):
            return Broken("reply without length or chunks", began=True)
        return response

    def distrust(self, backend):
        """Use no pooled connection to that server until its idle ones are closed.

        A connection may go silent for good while new ones work. Each call that
        takes such a one from the pool would wait for its whole deadline.
        """
        self._distrusted[backend.address] = deadline_in(2 * IDLE_LIMIT)

    def _is_distrusted(self, backend):
        limit = self._distrusted.get(backend.address)
        if limit is None:
            return False
        if passed(limit):
            del self._distrusted[backend.address]
            return False
        return True


def framed(response, method):
    """Say whether a reply could be known to be whole.

    One with neither length nor chunks ends where its connection ends, and a
    cut one looks the same: 200 with half a body.
    """
    return (
        method == "HEAD"
        or response.code in (204, 304)
        or "Content-Length" in response.headers
        or "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    )
