"""HTTP handlers of the engine stand-in, with its connection faults."""

import asyncio
import contextlib

from tornado.iostream import StreamClosedError

from sassafrasdoor.clock import deadline_in, now
from sassafrasdoor.standin import serving
from sassafrasdoor.standin.serving import StandInHandler

HANG_UP_BEFORE, HANG_UP_AFTER, TRUNCATE = "fail_before", "fail_after", "truncate"
CONNECTION_CHECK_INTERVAL = 0.2  # seconds


def handlers(server):
    """Return the URL patterns of an engine stand-in."""
    handler_arguments = {"server": server}
    return [
        ("/streams", StreamsHandler, handler_arguments),
        ("/streams/(.+)", StreamHandler, handler_arguments),
        ("/load", serving.LoadHandler, handler_arguments),
        ("/orders", OrdersHandler, handler_arguments),
        ("/cache-events", CacheEventsHandler, handler_arguments),
        ("/kv/(export|import)", KvHandler, handler_arguments),
        ("/standin/faults", serving.FaultsHandler, handler_arguments),
        ("/standin/truth", serving.TruthHandler, handler_arguments),
    ]


class StreamsHandler(StandInHandler):
    """Starts, resumes and lists streams."""

    _is_disconnected = False

    def on_connection_close(self):
        """End the reply; the stream keeps generating."""
        self._is_disconnected = True

    def get(self):
        """List the streams whose ids start with a prefix."""
        prefix = self.get_argument("prefix", "")
        matches = [
            {"stream": name, "offset": stream.offset, "done": stream.done}
            for name, stream in self.server.batch.streams.items()
            if name.startswith(prefix)
        ]
        self.answer({"streams": matches})

    async def post(self):
        """Start or resume a stream and send its chunks from the offset."""
        document = self.document()
        if self.server.consume_fault(HANG_UP_BEFORE):
            self.hang_up()
            return
        stream = self.server.admit(document)
        if isinstance(stream, str):
            self.answer({"reason": stream}, 429)
            return
        stream.connections += 1
        stream.open_connections += 1
        self.set_header("Content-Type", "application/x-ndjson")
        try:
            await self.flush()
            flush_interval = document.get("flush_ms", 0) / 1000
            await self._send(stream, document.get("offset", 0), flush_interval)
        except StreamClosedError:
            return
        finally:
            stream.open_connections -= 1

    async def _send(self, stream, offset, flush_interval):
        fault = next(
            (
                name
                for name in (HANG_UP_AFTER, TRUNCATE)
                if self.server.consume_fault(name)
            ),
            "",
        )
        opened_at, sent_count = now(), 0
        flush_deadline = opened_at
        while not self._is_disconnected:
            update_event = stream.update_event
            is_silenced = opened_at <= self.server.silenced_at
            is_held = is_silenced or (now() < flush_deadline and not stream.done)
            new_chunks = [] if is_held else stream.chunks[sent_count:]
            sent_count += len(new_chunks)
            flush_deadline = (
                deadline_in(flush_interval) if new_chunks else flush_deadline
            )
            for chunk in merge_chunks(new_chunks) if flush_interval else new_chunks:
                line = chunk_line(chunk, offset)
                if line:
                    self.write(line)
                    await self.flush()
                    if fault:
                        self._abort_reply(fault)
                        return
            if self.server.batch.streams.get(stream.stream) is not stream:
                self.hang_up()
                return
            if stream.done and sent_count == len(stream.chunks) and not is_silenced:
                self.finish(done_line(stream))
                return
            if stream.update_event is update_event:
                await self._wait_for_update(update_event)

    async def _wait_for_update(self, update_event):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CONNECTION_CHECK_INTERVAL):
                await update_event.wait()

    def _abort_reply(self, fault):
        if fault == TRUNCATE:
            self.finish()
        else:
            self.hang_up()


def merge_chunks(chunks):
    """Merge adjacent chunks of the same version."""
    merged = []
    for first, text, tokens, version in chunks:
        if merged and merged[-1][3] == version:
            start, previous_text, count, _ = merged[-1]
            merged[-1] = (start, previous_text + text, count + tokens, version)
        else:
            merged.append((first, text, tokens, version))
    return merged


def chunk_line(chunk, offset):
    """Return the NDJSON line of a chunk from ``offset``, empty if it ends before."""
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
    """Return the last line of a complete reply."""
    return serving.json_line(
        {"done": True, "length": stream.length, "spans": stream.spans}
    )


class StreamHandler(StandInHandler):
    """Cancels a stream."""

    def delete(self, name):
        """Cancel and remove the stream."""
        self.server.batch.cancel(name)
        self.answer({})


class OrdersHandler(StandInHandler):
    """Accepts orders to change the weights version and the role."""

    async def post(self):
        """Execute the order and reply when it is done."""
        order = self.document()
        server = self.server
        try:
            accepted = await server.execute_order(
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
        if server.consume_fault("late_swaps"):
            await asyncio.sleep(server.order_reply_delay)
        if server.consume_fault("lost_order_replies"):
            self.hang_up()
            return
        ordered_version = (
            {order["model"]: order["version"]} if order.get("model") else {}
        )
        self.answer({"versions": {**server.batch.versions, **ordered_version}})


class CacheEventsHandler(StandInHandler):
    """Returns the delayed and incomplete cache events."""

    def get(self):
        """Return the events from number ``from``, and the number to read next."""
        first = int(self.get_argument("from", "0"))
        events = self.server.batch.cache.events(first)
        next_number = events[-1]["number"] + 1 if events else first
        self.answer({"events": events, "next": next_number})


class KvHandler(StandInHandler):
    """Exports and imports the KV cache of a stream."""

    def post(self, action):
        """Export the KV cache of a stream, or accept one."""
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
