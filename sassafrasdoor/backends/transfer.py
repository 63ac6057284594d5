"""HTTP transfers by Tornado's curl client, without libcurl's own retries."""

import asyncio
import contextlib

import pycurl
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest

from sassafrasdoor.backends.interface import Broken
from sassafrasdoor.backends.limits import RECEIVE_BUDGET
from sassafrasdoor.clock import deadline_in, passed, remaining
from sassafrasdoor.curl import AnswerRefused, CurlClient

MAX_TRANSFERS = 2048  # above it the client queues calls
CONNECT_TIMEOUT = 1.0  # seconds
IDLE_TIMEOUT = 4  # whole seconds that an idle connection is kept
MIN_TIMEOUT = 0.001  # seconds; curl reads zero as "no timeout"
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
    """One request; ``deadline`` is monotonic, ``fresh`` forbids a reused connection."""

    __slots__ = ("body", "deadline", "fresh", "headers", "method", "url")

    def __init__(self, method, url, body=None, headers=None, deadline=None, fresh=True):
        self.method = method
        self.url = url
        self.body = body
        self.headers = headers or {}
        self.deadline = deadline
        self.fresh = fresh


class _ReceivedBody:
    """Counts the body that a handle collects in ``buffer``; ``excess`` is why it is given up."""

    __slots__ = ("_size", "buffer", "excess")

    def __init__(self):
        self._size = 0
        self.buffer = None
        self.excess = ""

    def __len__(self):
        return self._size

    def write(self, chunk):
        """Keep a chunk; the transfer fails if its size is not returned."""
        if not self.excess:
            self._size += len(chunk)
            RECEIVE_BUDGET.add(self, len(chunk))
        return 0 if self.excess else self.buffer.write(chunk)

    def give_up(self, reason):
        """Free the memory, and let the transfer fail."""
        self.excess = reason
        self.release()
        self.buffer.truncate(0)

    def release(self):
        """Stop counting it."""
        RECEIVE_BUDGET.remove(self)
        self._size = 0


class Transfer:
    """One transfer; ``began`` says whether bytes of the request may have been sent.

    A ``receiver`` takes the body piece by piece; without one it is collected until it is
    complete. ``receiver.put_nowait(chunk)`` is called unless ``receiver.is_full``; then no more
    is read until ``resume``. ``receiver.excess`` is why it has given up the answer.
    """

    __slots__ = (
        "_aborted",
        "_body",
        "_curl",
        "_fresh",
        "_future",
        "_is_paused",
        "_receiver",
        "began",
    )

    def __init__(self, fresh, receiver=None):
        self._fresh = fresh
        self._aborted = False
        self._body = _ReceivedBody() if receiver is None else None
        self._curl = None
        self._future = None
        self._is_paused = False
        self._receiver = receiver
        self.began = False

    @property
    def is_finished(self):
        """Whether it has ended, so that the client may reuse its handle."""
        return self._future is not None and self._future.done()

    def start(self, client, request):
        """Pass the request to the client."""
        self._future = client.fetch(request, raise_error=False)
        self._future.add_done_callback(self._end)

    def prepare(self, curl):
        """Set the options of the curl handle; called before the request is sent."""
        self._curl = curl
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        # Ignores proxies set in the environment.
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.NOPROXY, NO_PROXY)
        curl.setopt(pycurl.MAXAGE_CONN, IDLE_TIMEOUT)
        if self._fresh:
            # libcurl retries when a reused connection closes before the reply, and
            # the server may have run the request. It never retries on a new one.
            curl.setopt(pycurl.FRESH_CONNECT, 1)
            curl.setopt(pycurl.FORBID_REUSE, 1)
        curl.setopt(pycurl.NOPROGRESS, 0)
        curl.setopt(pycurl.XFERINFOFUNCTION, self._on_progress)
        curl.setopt(pycurl.PREREQFUNCTION, self._on_connected)
        if self._body is not None:
            self._body.buffer = curl.info["buffer"]
            curl.setopt(pycurl.WRITEFUNCTION, self._body.write)
        else:
            curl.setopt(pycurl.WRITEFUNCTION, self._pass_on)

    def abort(self):
        """Abort the transfer; no effect once it has finished.

        Cancelling a task that awaits ``fetch`` leaves the transfer running. curl calls
        ``_on_progress`` only when bytes are transferred or a timer expires; pausing and
        resuming makes it call at once.
        """
        self._aborted = True
        if self._curl is None or self.is_finished:
            return
        with contextlib.suppress(pycurl.error):
            self._curl.pause(pycurl.PAUSE_ALL)
            self._curl.pause(pycurl.PAUSE_CONT)

    def resume(self):
        """Read on if the receiver was full."""
        if self._is_paused and not self.is_finished:
            self._is_paused = False
            with contextlib.suppress(pycurl.error):
                self._curl.pause(pycurl.PAUSE_CONT)

    async def response(self):
        """Return the response or ``Broken`` once it has ended; abort if cancelled."""
        try:
            response = await asyncio.shield(self._future)
            return Broken(self._excess, self.began) if self._excess else response
        except AnswerRefused as error:
            return Broken(error.reason, self.began)
        except CurlError as error:
            reason = REASONS.get(error.errno, f"curl error {error.errno}")
            return Broken(self._excess or reason, self.began)
        except ValueError as error:
            return Broken(f"not sent: {error}", self.began)
        except asyncio.CancelledError:
            self.abort()
            raise

    def add_done_callback(self, callback):
        """Call ``callback()`` once the transfer has ended."""
        self._future.add_done_callback(lambda _: callback())

    @property
    def _excess(self):
        collector = self._receiver if self._body is None else self._body
        return collector.excess

    def _pass_on(self, chunk):
        if self._aborted or self._receiver.excess:
            return 0  # ends the transfer
        if self._receiver.is_full:
            self._is_paused = True
            return pycurl.WRITEFUNC_PAUSE
        self._receiver.put_nowait(chunk)
        return len(chunk)

    def _end(self, future):
        # Retrieves the error of an aborted transfer, which nobody awaits.
        future.exception()
        if self._body is not None:
            self._body.release()
            # The handle keeps the function that writes to it.
            self._body.buffer = None

    def _on_progress(self, *counts):
        return int(self._aborted)

    def _on_connected(self, *addresses):
        # Called after connecting, before the first byte of the request is sent. A
        # transfer aborted while it waited for a handle or a connection ends here.
        if self._aborted:
            return pycurl.PREREQFUNC_ABORT
        self.began = True
        return pycurl.PREREQFUNC_OK


class Client:
    """Runs transfers; bypasses the connection pool for servers that timed out."""

    __slots__ = ("_client", "_pool_bypass_deadlines")

    def __init__(self, max_transfers=MAX_TRANSFERS, max_body=100_000_000):
        self._client = CurlClient(
            force_instance=True, max_clients=max_transfers, max_body_size=max_body
        )
        self._pool_bypass_deadlines = {}

    def close(self):
        """Close the client and all its connections."""
        self._client.close()

    def start(self, backend, request, receiver=None):
        """Start a ``Transfer``; a ``receiver`` takes the body piece by piece."""
        is_fresh = request.fresh or self._bypasses_pool(backend)
        transfer = Transfer(is_fresh, receiver)
        timeout = 0 if request.deadline is None else remaining(request.deadline)
        if timeout == 0 and request.deadline is not None:
            timeout = MIN_TIMEOUT
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
                prepare_curl_callback=transfer.prepare,
            ),
        )
        return transfer

    async def fetch(self, backend, request):
        """Return the complete response, or ``Broken``."""
        if request.deadline is not None and passed(request.deadline):
            return Broken("deadline passed", began=False)
        response = await self.start(backend, request).response()
        if isinstance(response, Broken):
            if response.reason == REASONS[TIMED_OUT]:
                self.bypass_pool(backend)
            return response
        if not is_framed(response, request.method):
            return Broken("reply without length or chunks", began=True)
        return response

    def bypass_pool(self, backend):
        """Use no pooled connection to a server until its idle ones are closed.

        A pooled connection may be dead without a reset, and calls on it time out.
        """
        self._pool_bypass_deadlines[backend.address] = deadline_in(2 * IDLE_TIMEOUT)

    def _bypasses_pool(self, backend):
        deadline = self._pool_bypass_deadlines.get(backend.address)
        if deadline is None:
            return False
        if passed(deadline):
            del self._pool_bypass_deadlines[backend.address]
            return False
        return True


def is_framed(response, method):
    """Return whether a reply has a length or is chunked.

    One with neither ends with its connection, so truncation can't be detected.
    """
    return (
        method == "HEAD"
        or response.code in (204, 304)
        or "Content-Length" in response.headers
        or "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    )
