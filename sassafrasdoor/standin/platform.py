"""A stand-in for the platform: log, instance list and weight store, with faults.

Implements the protocol of ``docs/INTERNALS.md`` in memory, for tests and the demo
only. ``POST /standin/faults`` sets faults, ``GET /standin/truth`` returns all records
ever appended and the number of calls of each kind.
"""

import asyncio
import json
import signal
from collections import Counter, defaultdict

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, HTTPError, RequestHandler

from sassafrasdoor.clock import deadline_in, now, remaining
from sassafrasdoor.standin.streams import Stream

MAX_POLL_TIMEOUT = 30.0  # seconds
MAX_BUFFER_BYTES = 8_000_000
CHUNK_BYTES = 16_384
NEWEST = -1  # offset in a request: the next record to be appended


class Faults(BaseModel):
    """The active faults; a count applies to the next appends.

    ``lose_reply``: the append takes effect, the connection closes without a reply;
    ``then_down``: and the platform goes down with it.
    ``refuse``: the connection closes likewise, but the append has no effect; a client
    cannot tell the two apart. ``duplicate``: the record is appended twice.
    ``retain``: records kept (0: all). ``retain_seconds``: maximum age (0: unlimited).
    """

    model_config = ConfigDict(extra="forbid", validate_assignment=True)

    down: bool = False
    slow_ms: float = Field(default=0, ge=0)
    lose_reply: int = Field(default=0, ge=0)
    then_down: bool = False
    refuse: int = Field(default=0, ge=0)
    duplicate: int = Field(default=0, ge=0)
    retain: int = Field(default=0, ge=0)
    retain_seconds: float = Field(default=0, ge=0)
    list_lag: float = Field(default=0, ge=0)
    weights_bytes: int = Field(default=65_536, ge=0)
    weights_rate: float = Field(default=10_000_000, gt=0)

    def consume_fault(self, name):
        """Decrement the count of a fault; return whether it was above zero."""
        count = getattr(self, name)
        if count:
            setattr(self, name, count - 1)
        return count > 0


class Platform:
    """The state of the platform, shared by its handlers."""

    def __init__(self):
        self.faults = Faults()
        self.streams = {}
        self.instances = {}
        self.snapshots = [(now(), {})]
        self.calls = Counter()
        self.weights_served = defaultdict(int)
        self.weights_lock = asyncio.Lock()

    def stream(self, name):
        """Return the stream of that name, without its expired records."""
        stream = self.streams.setdefault(name, Stream(name))
        stream.expire(self.faults)
        return stream

    def set_instance(self, name, instance):
        """Add, replace or (``None``) remove an entry; visible after ``list_lag``."""
        if instance is None:
            self.instances.pop(name, None)
        else:
            self.instances[name] = instance
        self.snapshots.append((now(), dict(self.instances)))

    def visible_instances(self):
        """Return the instances as they were ``list_lag`` seconds ago."""
        cutoff = now() - self.faults.list_lag
        while len(self.snapshots) > 1 and self.snapshots[1][0] <= cutoff:
            self.snapshots.pop(0)
        return list(self.snapshots[0][1].values())


class PlatformHandler(RequestHandler):
    """Base of handlers; applies the faults that affect all calls."""

    def initialize(self, platform):
        self.platform = platform

    async def prepare(self):
        self.platform.calls[f"{self.request.method} {type(self).__name__}"] += 1
        if self.platform.faults.slow_ms:
            await asyncio.sleep(self.platform.faults.slow_ms / 1000)
        if self.platform.faults.down:
            raise HTTPError(503)

    def body(self):
        """Return the JSON object of the request; raise ``HTTPError(400)`` for others."""
        try:
            document = json.loads(self.request.body)
        except ValueError as error:
            raise HTTPError(400) from error
        if not isinstance(document, dict):
            raise HTTPError(400)
        return document

    def hang_up(self):
        """Close the connection without a reply."""
        self.request.connection.stream.close()

    def log_exception(self, *exception):
        """Log nothing: errors are injected on purpose."""


class LogHandler(PlatformHandler):
    """``/log/{stream}``."""

    async def post(self, name):
        faults = self.platform.faults
        body = self.body()
        if faults.consume_fault("refuse"):
            return self.hang_up()
        stream = self.platform.stream(name)
        offset = stream.append(body)
        if faults.consume_fault("duplicate"):
            stream.append(body)
        if faults.consume_fault("lose_reply"):
            faults.down = faults.then_down
            return self.hang_up()
        return self.finish({"offset": offset})

    async def get(self, name):
        offset = int(self.get_argument("from"))
        limit = int(self.get_argument("limit", "500"))
        wait_seconds = int(self.get_argument("wait_ms", "0")) / 1000
        deadline = deadline_in(min(wait_seconds, MAX_POLL_TIMEOUT))
        stream = self.platform.stream(name)
        if offset == NEWEST:
            offset = stream.next_offset
        while True:
            if self.platform.faults.down:
                raise HTTPError(503)
            stream = self.platform.stream(name)
            if offset < stream.first_offset:
                self.set_status(410)
                return self.finish({"first": stream.first_offset})
            page, next_offset = stream.read(offset, limit)
            if page or not remaining(deadline):
                return self.answer(stream, page, next_offset)
            await self.wait_for_append(stream, remaining(deadline))

    def answer(self, stream, page, next_offset):
        """Send a page of records."""
        records = [{"offset": offset, "body": body} for offset, _, body in page]
        return self.finish(
            {"records": records, "next": next_offset, "first": stream.first_offset}
        )

    async def wait_for_append(self, stream, seconds):
        """Wait for an append, at most that many seconds."""
        try:
            async with asyncio.timeout(seconds):
                await stream.append_event.wait()
        except TimeoutError:
            pass


class InstancesHandler(PlatformHandler):
    """``/instances`` and ``/instances/{name}``."""

    async def get(self, name=None):
        await self.finish({"instances": self.platform.visible_instances()})

    async def put(self, name):
        self.platform.set_instance(name, {**self.body(), "name": name})
        await self.finish({})

    async def delete(self, name):
        self.platform.set_instance(name, None)
        await self.finish({})


class WeightsHandler(PlatformHandler):
    """``/weights/{model}/{version}``: all readers share one rate."""

    async def get(self, model, version):
        unsent_bytes = self.platform.faults.weights_bytes
        self.platform.weights_served[f"{model}/{version}"] += 1
        while unsent_bytes > 0:
            size = min(CHUNK_BYTES, unsent_bytes)
            async with self.platform.weights_lock:
                await asyncio.sleep(size / self.platform.faults.weights_rate)
            self.write(b"w" * size)
            await self.flush()
            unsent_bytes -= size
        await self.finish()


class StandinHandler(RequestHandler):
    """``/standin/faults`` and ``/standin/truth``; exempt from faults."""

    def initialize(self, platform):
        self.platform = platform

    async def post(self, resource):
        changes = json.loads(self.request.body)
        merged = {**self.platform.faults.model_dump(), **changes}
        try:
            self.platform.faults = Faults.model_validate(merged)
        except ValidationError as error:
            self.set_status(400)
            return await self.finish({"error": str(error)})
        # Open polls must see a new fault immediately, not at their timeout.
        for stream in self.platform.streams.values():
            stream.notify_readers()
        return await self.finish(self.platform.faults.model_dump())

    async def get(self, resource):
        streams = {
            name: [
                {"offset": offset, "body": body} for offset, _, body in stream.records
            ]
            for name, stream in self.platform.streams.items()
        }
        await self.finish(
            {
                "streams": streams,
                "instances": self.platform.instances,
                "weights_served": self.platform.weights_served,
                "calls": self.platform.calls,
            }
        )


def application(platform):
    """Return the Tornado application of a ``Platform``."""
    handler_arguments = {"platform": platform}
    return Application(
        [
            (r"/log/([^/]+)", LogHandler, handler_arguments),
            (r"/instances", InstancesHandler, handler_arguments),
            (r"/instances/([^/]+)", InstancesHandler, handler_arguments),
            (r"/weights/([^/]+)/([^/]+)", WeightsHandler, handler_arguments),
            (r"/standin/(faults|truth)", StandinHandler, handler_arguments),
        ],
        log_function=lambda handler: None,
    )


def start(port=0, host="127.0.0.1"):
    """Serve in the running loop; return ``(server, url, platform)``."""
    platform = Platform()
    server = HTTPServer(application(platform), max_buffer_size=MAX_BUFFER_BYTES)
    sockets = bind_sockets(port, host)
    server.add_sockets(sockets)
    return server, f"http://{host}:{sockets[0].getsockname()[1]}", platform


async def serve(port):
    """Serve until SIGTERM or SIGINT."""
    server, url, _ = start(port)
    print(json.dumps({"ready": True, "name": "platform", "url": url}), flush=True)
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop_requested.set)
    await stop_requested.wait()
    server.stop()
    await server.close_all_connections()


def command(port: int = 0):
    """Serve the platform's log, instance list and weight store."""
    asyncio.run(serve(port))
