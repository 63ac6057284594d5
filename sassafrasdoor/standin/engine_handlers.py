"""The HTTP side of the engine stand-in, with the faults of its connections."""

import asyncio
import contextlib

from tornado.iostream import StreamClosedError

from sassafrasdoor.clock import deadline_in, now
from sassafrasdoor.standin import serving
from sassafrasdoor.standin.serving import StandInHandler

HANG_UP_BEFORE, HANG_UP_AFTER, TRUNCATE = "fail_before", "fail_after", "truncate"
WAKE_AT_LEAST_EVERY = 0.2


def handlers(server):
    """Return the routes of an engine stand-in."""
    mine = {"server": server}
    return [
        ("/streams", StreamsHandler, mine),
        ("/streams/(.+)", StreamHandler, mine),
        ("/load", serving.LoadHandler, mine),
        ("/orders", OrdersHandler, mine),
        ("/cache-events", CacheEventsHandler, mine),
        ("/kv/(export|import)", KvHandler, mine),
        ("/standin/faults", serving.FaultsHandler, mine),
        ("/standin/truth", serving.TruthHandler, mine),
    ]


class StreamsHandler(StandInHandler):
    """Starts, resumes and lists streams."""

    _gone = False

    def on_connection_close(self):
        """End the reply; the stream itself goes on."""
        self._gone = True

    def get(self):
        """List the streams under a prefix."""
        prefix = self.get_argument("prefix", "")
        found = [
            {"stream": name, "offset": stream.offset, "done": stream.done}
            for name, stream in self.server.batch.streams.items()
            if name.startswith(prefix)
        ]
        self.answer({"streams": found})

    async def post(self):
        """Start or resume a stream and send its chunks from the offset on."""
        document = self.document()
        if self.server.take(HANG_UP_BEFORE):
            self.hang_up()
            return
        stream = self.server.admit(document)
        if isinstance(stream, str):
            self.answer({"reason": stream}, 429)
            return
        stream.connections += 1
        stream.open += 1
        self.set_header("Content-Type", "application/x-ndjson")
        try:
            await self.flush()
            flush = document.get("flush_ms", 0) / 1000
            await self._send(stream, document.get("offset", 0), flush)
        except StreamClosedError:
            return
        finally:
            stream.open -= 1

    async def _send(self, stream, offset, flush):
        fault = next(
            (name for name in (HANG_UP_AFTER, TRUNCATE) if self.server.take(name)), ""
        )
        opened, sent = now(), 0
        due = opened
        while not self._gone:
            wake = stream.wake
            silent = opened <= self.server.silent_before
            held = silent or (now() < due and not stream.done)
            fresh = [] if held else stream.chunks[sent:]
            sent += len(fresh)
            due = deadline_in(flush) if fresh else due
            for chunk in joined(fresh) if flush else fresh:
                line = chunk_line(chunk, offset)
                if line:
                    self.write(line)
                    await self.flush()
                    if fault:
                        self._cut(fault)
                        return
            if self.server.batch.streams.get(stream.stream) is not stream:
                self.hang_up()
                return
            if stream.done and sent == len(stream.chunks) and not silent:
                self.finish(done_line(stream))
                return
            if stream.wake is wake:
                await self._wait(wake)

    async def _wait(self, wake):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(WAKE_AT_LEAST_EVERY):
                await wake.wait()

    def _cut(self, fault):
        if fault == TRUNCATE:
            self.finish()
        else:
            self.hang_up()


def joined(chunks):
    """Join neighbouring chunks of one version into one."""
    whole = []
    for first, text, tokens, version in chunks:
        if whole and whole[-1][3] == version:
            start, before, count, _ = whole[-1]
            whole[-1] = (start, before + text, count + tokens, version)
        else:
            whole.append((first, text, tokens, version))
    return whole


def chunk_line(chunk, offset):
    """Return the wire line of a chunk from ``offset`` on, empty if all before."""
    first, text, tokens, version = chunk
    skipped = max(0, offset - first)
    if skipped >= tokens:
        return ""
    words = text.split(" ")[skipped:]
    line = {
        "offset": first + skipped,
        "text": " ".join(words),
        "tokens": tokens - skipped,
        "version": version,
    }
    return serving.json_line(line)


def done_line(stream):
    """Return the last line of a whole reply."""
    return serving.json_line(
        {"done": True, "length": stream.length, "spans": stream.spans}
    )


class StreamHandler(StandInHandler):
    """Cancels a stream."""

    def delete(self, name):
        """Cancel and forget the stream."""
        self.server.batch.cancel(name)
        self.answer({})


class OrdersHandler(StandInHandler):
    """Takes orders to be at a version and in a role."""

    async def post(self):
        """Carry out the order; reply when done."""
        order = self.document()
        server = self.server
        try:
            accepted = await server.order(
                order["fence"],
                order.get("model", ""),
                order.get("version", 0),
                order.get("role", ""),
            )
        except Exception as error:
            self.answer({"reason": str(error)}, 500)
            return
        if not accepted:
            self.answer({"fence": server.fence}, 409)
            return
        if server.take("late_swaps"):
            await asyncio.sleep(server.late)
        if server.take("lost_order_replies"):
            self.hang_up()
            return
        claimed = {order["model"]: order["version"]} if order.get("model") else {}
        self.answer({"versions": {**server.batch.versions, **claimed}})


class CacheEventsHandler(StandInHandler):
    """Publishes cache events late and with gaps."""

    def get(self):
        """Return the events from a number on."""
        first = int(self.get_argument("from", "0"))
        events = self.server.batch.cache.events(first)
        following = events[-1]["number"] + 1 if events else first
        self.answer({"events": events, "next": following})


class KvHandler(StandInHandler):
    """Exports and imports the KV cache of a stream."""

    def post(self, action):
        """Export or import."""
        document = self.document()
        if action == "import":
            self.server.batch.imported.add(document["stream"])
            self.answer({})
            return
        kv = self.server.batch.export_kv(document["stream"])
        if kv is None:
            self.answer({"reason": "no such stream"}, 404)
        else:
            self.answer({"kv": kv})
