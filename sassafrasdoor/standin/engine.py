"""A stand-in for a model engine: the wire of ``docs/INTERNALS.md``, with faults."""

import asyncio
import contextlib
import os

from tornado.httpclient import HTTPRequest
from tornado.iostream import StreamClosedError
from tornado.simple_httpclient import SimpleAsyncHTTPClient
from tornado.web import Application

from sassafrasdoor.clock import now
from sassafrasdoor.standin import serving
from sassafrasdoor.standin.batch import Batch
from sassafrasdoor.standin.serving import StandInHandler

WAKE_AT_LEAST_EVERY = 0.2
WEIGHTS_TIMEOUT = 600.0
HANG_UP_BEFORE, HANG_UP_AFTER, TRUNCATE = "fail_before", "fail_after", "truncate"


class EngineOptions:
    """All options of an engine stand-in; times are in seconds."""

    __slots__ = (
        "cache_delay",
        "cache_loss",
        "cache_prefixes",
        "capacity",
        "checks_fencing",
        "initial_version",
        "install_seconds",
        "keep_done",
        "late",
        "load_lag",
        "models",
        "platform",
        "prefill_per_token",
        "queue_size",
        "region",
        "service",
        "swap_seconds",
        "tail",
        "tick",
        "token_rate",
        "weights_url",
        "zone",
    )

    def __init__(self, **options):
        self.capacity = 16
        self.queue_size = 64
        self.token_rate = 200.0
        self.tail = 0.8
        self.tick = 0.02
        self.prefill_per_token = 0.0005
        self.load_lag = 0.2
        self.cache_prefixes = 32
        self.cache_delay = 0.2
        self.cache_loss = 0.1
        self.keep_done = 60.0
        self.swap_seconds = 0.5
        self.install_seconds = 0.0
        self.late = 2.0
        self.weights_url = ""
        self.checks_fencing = True
        self.models = ("model",)
        self.initial_version = 0
        self.platform = ""
        self.service = "engines"
        self.zone = "zone-a"
        self.region = "region-1"
        for name, value in options.items():
            setattr(self, name, value)


class EngineStandIn:
    """One engine: its batch, the orders it was given and the faults it plays."""

    __slots__ = (
        "_options",
        "_report",
        "_swap",
        "_tasks",
        "address",
        "batch",
        "counts",
        "fence",
        "leaving",
        "name",
        "orders",
        "role",
        "server",
        "silent_before",
    )

    COUNTED_FAULTS = (
        HANG_UP_BEFORE,
        HANG_UP_AFTER,
        TRUNCATE,
        "fail_swaps",
        "late_swaps",
        "false_swaps",
        "lost_order_replies",
    )

    def __init__(self, options, name):
        self._options = options
        self._swap = asyncio.Lock()
        self._tasks = []
        self.name = name
        self.batch = Batch(options, name)
        self.counts = dict.fromkeys(self.COUNTED_FAULTS, 0)
        self.fence = 0
        self.role = ""
        self.leaving = False
        self.orders = []
        self.silent_before = 0.0
        self.server, self.address = serving.listen(self._application())
        self._report = (now(), self._current_load())

    def start(self):
        """Start generating, reporting and registering."""
        work = [self.batch.run(), self._report_load()]
        if self._options.platform:
            work.append(serving.stay_registered(self._options.platform, self.describe))
        self._tasks = [asyncio.ensure_future(coroutine) for coroutine in work]

    async def close(self):
        """Stop at once."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.server.stop()
        await self.server.close_all_connections()

    async def leave(self):
        """Take no new stream, finish those that run, leave the instance list."""
        self.leaving = True
        if self._options.platform:
            await serving.put_instance(self._options.platform, self.describe())
        while self.batch.running or self.batch.queued:  # noqa: ASYNC110
            await asyncio.sleep(self._options.tick)
        if self._options.platform:
            self._tasks[-1].cancel()
            await serving.delete_instance(self._options.platform, self.name)

    def describe(self):
        """Return this engine as the instance list holds it."""
        return {
            "name": self.name,
            "kind": "engine",
            "service": self._options.service,
            "address": self.address,
            "availability_zone": self._options.zone,
            "region": self._options.region,
            "capacity": self._options.capacity,
            "checks_fencing": self._options.checks_fencing,
            "models": list(self.batch.versions),
            "state": "leaving" if self.leaving else "alive",
        }

    def load(self):
        """Return the lagging load report with its age."""
        made, report = self._report
        return {**report, "age_ms": round((now() - made) * 1000)}

    def admit(self, document):
        """Return the stream of that id, a new one, or the reason for a refusal."""
        stream = self.batch.streams.get(document["stream"])
        if stream is not None:
            return stream
        refusals = {
            "leaving": self.leaving,
            "model not loaded": document["model"] not in self.batch.versions,
            "queue full": self.batch.full,
        }
        for reason, refused in refusals.items():
            if refused:
                return reason
        return self.batch.start(document)

    def take(self, fault):
        """Use up one of a counted fault; say whether there was one."""
        if not self.counts[fault]:
            return False
        self.counts[fault] -= 1
        return True

    def set_faults(self, faults):
        """Set the faults named; counted ones are numbers of times to come."""
        for name, value in faults.items():
            if name in self.counts:
                self.counts[name] = value
            else:
                getattr(self, f"_fault_{name}")(value)
        return {"faults": faults}

    def truth(self):
        """Return which versions made which tokens, and how often streams started."""
        streams = {
            name: {
                **executions[-1].record(),
                "starts": len(executions),
                "executions": [one.record() for one in executions],
            }
            for name, executions in self.batch.history.items()
        }
        return {
            "streams": streams,
            "versions": self.batch.versions,
            "orders": self.orders,
            "fence": self.fence,
        }

    async def order(self, fence, model, version, role):
        """Carry out an order; return whether its fencing number was accepted."""
        record = {"fence": fence, "model": model, "version": version, "applied": False}
        self.orders.append(record)
        if self._options.checks_fencing and fence < self.fence:
            return False
        self.fence = max(self.fence, fence)
        self.role = role or self.role
        async with self._swap:
            if self._options.checks_fencing and fence < self.fence:
                return False
            if model and self.batch.versions.get(model) != version:
                record["applied"] = await self._change(model, version)
        return True

    async def _change(self, model, version):
        if self.take("false_swaps"):
            return False
        self.batch.swapping = True
        try:
            await self._fetch_weights(model, version)
            if self.take("fail_swaps"):
                raise RuntimeError("swap failed")
            self.batch.versions[model] = version
        finally:
            self.batch.swapping = False
        return True

    async def _fetch_weights(self, model, version):
        if not self._options.weights_url:
            await asyncio.sleep(self._options.swap_seconds)
            return
        url = f"{self._options.weights_url}/weights/{model}/{version}"
        request = HTTPRequest(url, connect_timeout=5.0, request_timeout=WEIGHTS_TIMEOUT)
        # An instance of its own: the shared one fetches ten at once at most, for
        # all the engines of this process together.
        client = SimpleAsyncHTTPClient(force_instance=True)
        try:
            await client.fetch(request)
        finally:
            client.close()
        await asyncio.sleep(self._options.install_seconds)

    async def _report_load(self):
        while True:
            self._report = (now(), self._current_load())
            await asyncio.sleep(self._options.load_lag)

    def _current_load(self):
        return {
            "running": len(self.batch.running),
            "queued": self.batch.queued,
            "capacity": self._options.capacity,
            "versions": dict(self.batch.versions),
            "role": self.role,
            "leaving": self.leaving,
        }

    def _application(self):
        mine = {"server": self}
        return Application(
            [
                ("/streams", StreamsHandler, mine),
                ("/streams/(.+)", StreamHandler, mine),
                ("/load", LoadHandler, mine),
                ("/orders", OrdersHandler, mine),
                ("/cache-events", CacheEventsHandler, mine),
                ("/kv/(export|import)", KvHandler, mine),
                ("/standin/faults", serving.FaultsHandler, mine),
                ("/standin/truth", serving.TruthHandler, mine),
            ],
            log_function=lambda handler: None,
        )

    def _fault_crash(self, value):
        os._exit(1)

    def _fault_freeze(self, value):
        self.batch.frozen = bool(value)

    def _fault_slow(self, value):
        self.batch.slow = float(value)

    def _fault_leaving(self, value):
        self.leaving = bool(value)

    def _fault_silence(self, value):
        """Connections open now go silent for good; new ones work."""
        self.silent_before = now()

    @property
    def late(self):
        """Seconds by which a late order reply is late."""
        return self._options.late


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
            await self._send(stream, document.get("offset", 0))
        except StreamClosedError:
            return
        finally:
            stream.open -= 1

    async def _send(self, stream, offset):
        fault = next(
            (name for name in (HANG_UP_AFTER, TRUNCATE) if self.server.take(name)), ""
        )
        opened, sent = now(), 0
        while not self._gone:
            wake = stream.wake
            fresh = stream.chunks[sent:]
            silent = opened <= self.server.silent_before
            for chunk in [] if silent else fresh:
                sent += 1
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


class LoadHandler(StandInHandler):
    """Reports the load of a moment ago."""

    def get(self):
        """Return the lagging report."""
        self.answer(self.server.load())


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


async def serve(options, name, count):
    """Serve ``count`` engines in this process until asked to stop."""
    names = [name] if count == 1 else [f"{name}-{number}" for number in range(count)]
    engines = [EngineStandIn(options, each) for each in names]
    for engine in engines:
        engine.start()
    addresses = {engine.name: engine.address for engine in engines}
    serving.print_ready(name, engines[0].address, addresses=addresses)
    await serving.until_asked_to_stop()
    await asyncio.gather(*[engine.leave() for engine in engines])
    await asyncio.gather(*[engine.close() for engine in engines])
