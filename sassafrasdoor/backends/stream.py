"""Reads an engine's stream of JSON lines as chunks and a final outcome."""

import asyncio
import json

from sassafrasdoor.backends.interface import Broken, Chunk, Finished, Span
from sassafrasdoor.backends.limits import RECEIVE_BUDGET, AnswerBody
from sassafrasdoor.backends.transfer import Request
from sassafrasdoor.clock import deadline_in, passed, remaining
from sassafrasdoor.metrics import counter
from sassafrasdoor.outcomes import NotRun

TOO_MANY_REQUESTS = 429
END_OF_DATA = b""
NO_DATA = None
RETRY_AFTER = 0.5  # seconds
LINE_END = b"\n"
MAX_LINE_BYTES = 1024 * 1024  # of one line, and of lines that have no token
MAX_UNREAD_BYTES = 64 * 1024  # of lines that their reader has not taken
# After as many lines other tasks take a turn, as a piece of data may hold thousands.
LINES_PER_TURN = 64
HEADERS = {"Content-Type": "application/json"}

GIVEN_UP = counter(
    "engine_streams_given_up_total", "Streams that exceeded a bound, by bound."
)


class _ReceivedLines:
    """The bytes of a stream that its reader has not taken, whole lines at a time.

    They count in the budget of answers that are received; ``excess`` is why they were
    given up for it.
    """

    __slots__ = ("_arrival", "_data", "_has_ended", "_has_line", "_searched", "excess")

    def __init__(self):
        self._arrival = asyncio.Event()
        self._data = AnswerBody(RECEIVE_BUDGET, self._give_up)
        self._has_ended = False
        self._has_line = False
        self._searched = 0
        self.excess = ""

    @property
    def is_full(self):
        """Whether the reader must take some first."""
        limit = MAX_UNREAD_BYTES if self._has_line else MAX_LINE_BYTES
        return len(self._data) >= limit

    @property
    def incomplete_line(self):
        """The bytes behind the last whole line."""
        return bytes(self._data.data)

    def put_nowait(self, chunk):
        """Append a piece of the stream."""
        self._has_line |= LINE_END in chunk
        self._data.append(chunk)
        self._arrival.set()

    def end(self):
        """No more will be appended."""
        self._has_ended = True
        self._arrival.set()

    async def get(self):
        """Return the next whole lines with their ends, ``END_OF_DATA`` if none follow."""
        while True:
            lines = self._take_lines()
            if lines or self._has_ended or self.excess:
                return lines
            if self.is_full:
                GIVEN_UP.inc({"bound": "line"})
                self.excess = f"line too long: over {MAX_LINE_BYTES} bytes"
                return END_OF_DATA
            self._arrival.clear()
            await self._arrival.wait()

    def release(self):
        """Free the memory; no more is taken from the transfer."""
        self.excess = self.excess or "not read to its end"
        self._data.release()

    def _take_lines(self):
        data = self._data.data
        size = data.rfind(LINE_END, self._searched) + 1
        self._searched = len(data) - size
        if not size:
            return END_OF_DATA
        self._has_line = False
        with memoryview(data) as view:
            lines = bytes(view[:size])
        self._data.discard(size)
        return lines

    def _give_up(self, reason):
        GIVEN_UP.inc({"bound": "memory"})
        self.excess = reason
        self._arrival.set()


class StreamReader:
    """Reads one stream over one connection. Use it once."""

    __slots__ = (
        "_backend",
        "_client",
        "_line_count",
        "_offset",
        "_order",
        "_received",
        "_tokenless_bytes",
    )

    def __init__(self, client, backend, order):
        self._client = client
        self._backend = backend
        self._line_count = 0
        self._offset = order.offset
        self._order = order
        self._received = _ReceivedLines()
        self._tokenless_bytes = 0

    async def read(self):
        """Yield ``Chunk``s and then one ``Finished``, ``Broken`` or ``NotRun``."""
        transfer = self._client.start(self._backend, self._request(), self._received)
        transfer.add_done_callback(self._received.end)
        try:
            timeout = self._order.first_byte_timeout
            while data := await self._next_data(timeout):
                timeout = self._order.gap_timeout
                transfer.resume()
                for line in data.split(LINE_END)[:-1]:
                    item = self._parse_line(line)
                    if item is not None:
                        yield item
                    if not isinstance(item, Chunk | None):
                        return
                    await self._let_others_run()
            yield await self._failure(transfer, data)
        finally:
            transfer.abort()
            self._received.release()

    async def _let_others_run(self):
        self._line_count += 1
        if self._line_count % LINES_PER_TURN == 0:
            await asyncio.sleep(0)

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
        if self._received.excess:
            return Broken(self._received.excess, transfer.began)
        response = await transfer.response()
        if isinstance(response, Broken):
            return response
        if response.code == TOO_MANY_REQUESTS:
            return NotRun(self._refusal_reason(), RETRY_AFTER)
        if response.code != 200:
            return Broken(f"status {response.code}")
        return Broken("reply ended without its last line")

    def _parse_line(self, line):
        """Return a line's ``Chunk``, ``Finished`` or ``Broken``; None for other lines."""
        self._tokenless_bytes += len(line) + 1
        if self._tokenless_bytes > MAX_LINE_BYTES:
            GIVEN_UP.inc({"bound": "bytes without a token"})
            return Broken(f"no token in {MAX_LINE_BYTES} bytes")
        if not line:
            return None
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
        if not 0 <= chunk.tokens <= self._order.max_tokens - self._offset:
            GIVEN_UP.inc({"bound": "tokens"})
            return Broken("more tokens than ordered")
        self._offset += chunk.tokens
        if chunk.tokens:
            self._tokenless_bytes = 0
        return chunk

    def _parse_end(self, document):
        if document["length"] != self._offset:
            return Broken("end before the last token")
        spans = [Span(*span) for span in document["spans"]]
        return Finished(document["length"], spans)

    def _refusal_reason(self):
        try:
            return json.loads(self._received.incomplete_line)["reason"]
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
