"""Reads an engine's stream of JSON lines as chunks and a final outcome."""

import asyncio
import json

from sassafrasdoor.backends.interface import Broken, Chunk, Finished, Span
from sassafrasdoor.backends.transfer import Request
from sassafrasdoor.clock import deadline_in, passed, remaining
from sassafrasdoor.outcomes import NotRun

TOO_MANY_REQUESTS = 429
END_OF_DATA = b""
NO_DATA = None
RETRY_AFTER = 0.5  # seconds
HEADERS = {"Content-Type": "application/json"}


class StreamReader:
    """Reads one stream over one connection. Use it once."""

    __slots__ = (
        "_backend",
        "_client",
        "_received",
        "_offset",
        "_order",
        "_incomplete_line",
    )

    def __init__(self, client, backend, order):
        self._client = client
        self._backend = backend
        self._order = order
        self._received = asyncio.Queue()
        self._offset = order.offset
        self._incomplete_line = b""

    async def read(self):
        """Yield ``Chunk``s and then one ``Finished``, ``Broken`` or ``NotRun``."""
        transfer = self._client.start(
            self._backend, self._request(), on_data=self._received.put_nowait
        )
        transfer.add_done_callback(lambda: self._received.put_nowait(END_OF_DATA))
        try:
            timeout = self._order.first_byte_timeout
            while data := await self._next_data(timeout):
                timeout = self._order.gap_timeout
                for line in self._split_lines(data):
                    item = self._parse_line(line)
                    if item is not None:
                        yield item
                    if not isinstance(item, Chunk | None):
                        return
            yield await self._failure(transfer, data)
        finally:
            transfer.abort()

    async def _next_data(self, timeout):
        """Return the next bytes, ``END_OF_DATA``, or ``NO_DATA`` after the timeout."""
        deadline = deadline_in(timeout)
        if self._order.deadline is not None:
            deadline = min(deadline, self._order.deadline)
        # Python 3.11's ``wait_for`` loses a cancellation that coincides with a chunk.
        try:
            async with asyncio.timeout(remaining(deadline)):
                return await self._received.get()
        except TimeoutError:
            return NO_DATA

    async def _failure(self, transfer, data):
        """Return the outcome of a stream that was refused or broke off."""
        if data is NO_DATA:
            self._client.bypass_pool(self._backend)
            deadline_passed = self._order.deadline is not None and passed(
                self._order.deadline
            )
            return Broken(
                "deadline passed" if deadline_passed else "silent", transfer.began
            )
        response = await transfer.response()
        if isinstance(response, Broken):
            return response
        if response.code == TOO_MANY_REQUESTS:
            return NotRun(self._refusal_reason(), RETRY_AFTER)
        if response.code != 200:
            return Broken(f"status {response.code}")
        return Broken("reply ended without its last line")

    def _split_lines(self, data):
        *lines, self._incomplete_line = (self._incomplete_line + data).split(b"\n")
        return [line for line in lines if line]

    def _parse_line(self, line):
        """Return a line's ``Chunk``, ``Finished`` or ``Broken``; None for other lines."""
        try:
            document = json.loads(line)
            if document.get("done"):
                return self._parse_end(document)
            if "offset" in document:
                return self._parse_chunk(document)
        except (ValueError, TypeError, KeyError, AttributeError):
            return Broken("line not understood")
        return None

    def _parse_chunk(self, document):
        chunk = Chunk(
            document["offset"],
            document["text"],
            document["tokens"],
            document["version"],
        )
        # Chunks are contiguous: no token is lost or repeated.
        if chunk.offset != self._offset:
            return Broken("gap in the stream")
        self._offset += chunk.tokens
        return chunk

    def _parse_end(self, document):
        if document["length"] != self._offset:
            return Broken("end before the last token")
        spans = [Span(*span) for span in document["spans"]]
        return Finished(document["length"], spans)

    def _refusal_reason(self):
        try:
            return json.loads(self._incomplete_line)["reason"]
        except (ValueError, TypeError, KeyError):
            return "not admitted"

    def _request(self):
        order = self._order
        body = {
            "stream": order.stream,
            "model": order.model,
            "prompt": order.prompt,
            "max_tokens": order.max_tokens,
            "priority": order.priority,
            "offset": order.offset,
            "seed": order.seed,
            "prefix_tokens": order.prefix_tokens,
            "flush_ms": int(order.flush_interval * 1000),
        }
        # On a fresh connection: libcurl may send a request twice on a reused one.
        url = f"http://{self._backend.address}/streams"
        return Request("POST", url, json.dumps(body), HEADERS, fresh=True)
