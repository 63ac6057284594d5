"""Access to the platform's log over HTTP, with Tornado's curl client."""

import json

import pycurl
from tornado.httpclient import HTTPError, HTTPRequest

from sassafrasdoor.curl import CurlClient
from sassafrasdoor.log.interface import Batch, PlatformLog, Record
from sassafrasdoor.metrics import counter
from sassafrasdoor.outcomes import Expired, ReplyLost, Unavailable

MAX_CLIENTS = 20
# A batch of tables of many rows may have tens of MB; a smaller bound would stop its reader.
MAX_BATCH_BYTES = 100 * 1024 * 1024
MAX_TIMEOUT_FACTOR = 16
END_OFFSET = -1  # requests the end of the stream
SERVICE_UNAVAILABLE = 503
GONE = 410

CALLS = counter("log_calls_total", "Calls to the platform's log, by kind and result.")
BYTES = counter("log_bytes_read_total", "Bytes read from the platform's log.")

# Errors that prove that no byte of the request reached the log.
NOT_SENT_ERRNOS = {pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST}


class Client(CurlClient):
    """The curl client; ``close()`` may be called twice or during a long poll."""

    def close(self):
        """Abort all transfers and close the connections."""
        if self._multi is not None:
            super().close()

    def _handle_timeout(self):
        # libcurl sets a timer when it aborts transfers during close; Tornado would then
        # use the closed handle and log a traceback on each planned stop.
        if self._multi is not None:
            super()._handle_timeout()


class HttpLog(PlatformLog):
    """The platform's log; ``docs/INTERNALS.md`` describes the protocol."""

    __slots__ = ("_client", "_timeout_factor", "_settings")

    def __init__(self, settings):
        self._settings = settings.platform
        self._timeout_factor = 1
        self._client = Client(
            force_instance=True,
            max_clients=MAX_CLIENTS,
            max_body_size=MAX_BATCH_BYTES,
        )

    async def append(self, stream, body):
        """Append once; return the offset, ``Unavailable`` or ``ReplyLost``."""
        result = await self._append(stream, body)
        CALLS.inc({"call": "append", "result": type(result).__name__})
        return result

    async def read(self, stream, offset, limit, wait):
        """Return a ``Batch``, ``Expired`` or ``Unavailable``."""
        result = await self._read(stream, offset, limit, wait)
        CALLS.inc({"call": "read", "result": type(result).__name__})
        return result

    async def end(self, stream):
        """Return the offset of the next append, or ``Unavailable``."""
        batch = await self.read(stream, END_OFFSET, 1, 0)
        if isinstance(batch, Expired):
            # This log does not support END_OFFSET. Its first kept offset is not after
            # the end, so readers can start there.
            return batch.first
        return batch.next_offset if batch else Unavailable(batch.reason)

    def close(self):
        """Close the client and its connections."""
        self._client.close()

    async def _append(self, stream, body):
        request = HTTPRequest(
            self._url(stream),
            method="POST",
            body=json.dumps(body),
            headers={"Content-Type": "application/json"},
            follow_redirects=False,
            connect_timeout=self._settings.call_timeout,
            request_timeout=self._settings.call_timeout,
            prepare_curl_callback=_use_fresh_connection,
        )
        try:
            response = await self._client.fetch(request)
            return int(json.loads(response.body)["offset"])
        except HTTPError as error:
            return _append_failed(error)
        except (ValueError, KeyError, TypeError) as error:
            return ReplyLost(f"append reply not understood: {error}")

    async def _read(self, stream, offset, limit, wait):
        query = f"?from={offset}&limit={limit}&wait_ms={int(wait * 1000)}"
        request = HTTPRequest(
            self._url(stream) + query,
            follow_redirects=False,
            connect_timeout=self._settings.call_timeout,
            request_timeout=wait + self._timeout_factor * self._settings.call_timeout,
            prepare_curl_callback=_allow_connection_reuse,
        )
        try:
            response = await self._client.fetch(request)
            self._timeout_factor = max(1, self._timeout_factor // 2)
            BYTES.add({}, len(response.body))
            return _batch(json.loads(response.body))
        except HTTPError as error:
            if _timed_out(error):
                # With a constant timeout a log that is slower than it could never be
                # read. Repeated reads are harmless.
                self._timeout_factor = min(MAX_TIMEOUT_FACTOR, 2 * self._timeout_factor)
            return _read_failed(error)
        except (ValueError, KeyError, TypeError) as error:
            return Unavailable(f"read reply not understood: {error}")

    def _url(self, stream):
        return f"{self._settings.log_url}/log/{stream}"


def _bypass_proxy(curl):
    # A proxy configured in the environment would answer in place of the log, for example
    # with 502.
    curl.setopt(pycurl.NOPROXY, "*")


def _use_fresh_connection(curl):
    # libcurl repeats a POST if a reused connection closes before the first byte of the
    # reply, so one append could store two records. It never does so on a new connection.
    _bypass_proxy(curl)
    curl.setopt(pycurl.FRESH_CONNECT, 1)


def _allow_connection_reuse(curl):
    # Pooled handles keep their options: reset the one that an append has set.
    _bypass_proxy(curl)
    curl.setopt(pycurl.FRESH_CONNECT, 0)


def _batch(document):
    records = [
        Record(int(item["offset"]), item["body"]) for item in document["records"]
    ]
    return Batch(records, int(document["next"]), int(document["first"]))


def _append_failed(error):
    if error.code == SERVICE_UNAVAILABLE or 400 <= error.code < 500:
        return Unavailable(f"log answered {error.code}")
    if getattr(error, "errno", None) in NOT_SENT_ERRNOS:
        return Unavailable(str(error))
    return ReplyLost(str(error))


def _timed_out(error):
    return getattr(error, "errno", None) == pycurl.E_OPERATION_TIMEDOUT


def _read_failed(error):
    if error.code != GONE:
        return Unavailable(str(error))
    try:
        return Expired("offset no longer kept", int(_document(error)["first"]))
    except (ValueError, KeyError, TypeError):
        return Unavailable("log answered 410 without its first offset")


def _document(error):
    return json.loads(error.response.body)
