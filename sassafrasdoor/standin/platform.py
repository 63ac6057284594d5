"""A stand-in for the platform: log, instance list and weight store, with faults.

Speaks the wire of ``docs/INTERNALS.md``. Holds everything in memory; for tests and
the demo only. ``POST /standin/faults`` sets faults, ``GET /standin/truth`` returns
every record ever appended and how often each kind of call came.
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

LONGEST_POLL = 30.0
BODY_LIMIT = 8_000_000
CHUNK = 16_384
NEWEST = -1


class Faults(BaseModel):
    """What goes wrong now; counts are of the next appends, times in their unit.

    ``lose_reply``: takes effect, the connection closes without a reply;
    ``then_down``: and with that the platform goes down.
    ``refuse``: closes likewise but without effect, so a client can't tell.
    ``duplicate``: written twice. ``retain``: records kept (0: all).
    ``retain_seconds``: age kept (0: any).
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

    def take(self, name):
        """Use up one of the counted faults; say whether there was one."""
        left = getattr(self, name)
        if left:
            setattr(self, name, left - 1)
        return left > 0


class Platform:
    """The state behind the handlers."""

    def __init__(self):
        self.faults = Faults()
        self.streams = {}
        self.instances = {}
        self.lists = [(now(), {})]
        self.calls = Counter()
        self.weights_served = defaultdict(int)
        self.store = asyncio.Lock()

    def stream(self, name):
        """Return the stream of that name, expired up to now."""
        stream = self.streams.setdefault(name, Stream(name))
        stream.expire(self.faults)
        return stream

    def registered(self, name, instance):
        """Change the list; readers see it after its lag."""
        if instance is None:
            self.instances.pop(name, None)
        else:
            self.instances[name] = instance
        self.lists.append((now(), dict(self.instances)))

    def listed(self):
        """Return the instances as they stood ``list_lag`` seconds ago."""
        seen = now() - self.faults.list_lag
        while len(self.lists) > 1 and self.lists[1][0] <= seen:
            self.lists.pop(0)
        return list(self.lists[0][1].values())


class PlatformHandler(RequestHandler):
    """Applies the faults that meet every call of the platform."""

    def initialize(self, platform):
        self.platform = platform

    async def prepare(self):
        self.platform.calls[f"{self.request.method} {type(self).__name__}"] += 1
        if self.platform.faults.slow_ms:
            await asyncio.sleep(self.platform.faults.slow_ms / 1000)
        if self.platform.faults.down:
            raise HTTPError(503)

    def body(self):
        """Return the JSON object sent, or answer 400."""
        try:
            document = json.loads(self.request.body)
        except ValueError as error:
            raise HTTPError(400) from error
        if not isinstance(document, dict):
            raise HTTPError(400)
        return document

    def hang_up(self):
        """Close the connection with no reply."""
        self.request.connection.stream.close()

    def log_exception(self, *exception):
        """Faults are wanted here: no traceback."""


class LogHandler(PlatformHandler):
    """``/log/{stream}``."""

    async def post(self, name):
        faults = self.platform.faults
        body = self.body()
        if faults.take("refuse"):
            return self.hang_up()
        stream = self.platform.stream(name)
        offset = stream.append(body)
        if faults.take("duplicate"):
            stream.append(body)
        if faults.take("lose_reply"):
            faults.down = faults.then_down
            return self.hang_up()
        return self.finish({"offset": offset})

    async def get(self, name):
        offset = int(self.get_argument("from"))
        limit = int(self.get_argument("limit", "500"))
        wait = int(self.get_argument("wait_ms", "0")) / 1000
        deadline = deadline_in(min(wait, LONGEST_POLL))
        stream = self.platform.stream(name)
        if offset == NEWEST:
            offset = stream.following
        while True:
            if self.platform.faults.down:
                raise HTTPError(503)
            stream = self.platform.stream(name)
            if offset < stream.first:
                self.set_status(410)
                return self.finish({"first": stream.first})
            found, following = stream.since(offset, limit)
            if found or not remaining(deadline):
                return self.answer(stream, found, following)
            await self.appended(stream, remaining(deadline))

    def answer(self, stream, found, following):
        """Send the records found."""
        records = [{"offset": offset, "body": body} for offset, _, body in found]
        return self.finish(
            {"records": records, "next": following, "first": stream.first}
        )

    async def appended(self, stream, seconds):
        """Wait until something is appended, at most that many seconds."""
        try:
            async with asyncio.timeout(seconds):
                await stream.appended.wait()
        except TimeoutError:
            pass


class InstancesHandler(PlatformHandler):
    """``/instances`` and ``/instances/{name}``."""

    async def get(self, name=None):
        await self.finish({"instances": self.platform.listed()})

    async def put(self, name):
        self.platform.registered(name, {**self.body(), "name": name})
        await self.finish({})

    async def delete(self, name):
        self.platform.registered(name, None)
        await self.finish({})


class WeightsHandler(PlatformHandler):
    """``/weights/{model}/{version}``: one rate for all readers together."""

    async def get(self, model, version):
        left = self.platform.faults.weights_bytes
        self.platform.weights_served[f"{model}/{version}"] += 1
        while left > 0:
            size = min(CHUNK, left)
            async with self.platform.store:
                await asyncio.sleep(size / self.platform.faults.weights_rate)
            self.write(b"w" * size)
            await self.flush()
            left -= size
        await self.finish()


class StandinHandler(RequestHandler):
    """``/standin/faults`` and ``/standin/truth``; never faulty themselves."""

    def initialize(self, platform):
        self.platform = platform

    async def post(self, what):
        changes = json.loads(self.request.body)
        merged = {**self.platform.faults.model_dump(), **changes}
        try:
            self.platform.faults = Faults.model_validate(merged)
        except ValidationError as error:
            self.set_status(400)
            return await self.finish({"error": str(error)})
        # Polls held open meet a new fault now, not when they would have ended.
        for stream in self.platform.streams.values():
            stream.wake()
        return await self.finish(self.platform.faults.model_dump())

    async def get(self, what):
        streams = {
            name: [{"offset": offset, "body": body} for offset, _, body in item.records]
            for name, item in self.platform.streams.items()
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
    """Return the Tornado application over a ``Platform``."""
    state = {"platform": platform}
    return Application(
        [
            (r"/log/([^/]+)", LogHandler, state),
            (r"/instances", InstancesHandler, state),
            (r"/instances/([^/]+)", InstancesHandler, state),
            (r"/weights/([^/]+)/([^/]+)", WeightsHandler, state),
            (r"/standin/(faults|truth)", StandinHandler, state),
        ],
        log_function=lambda handler: None,
    )


def start(port=0, host="127.0.0.1"):
    """Serve in the running loop; return ``(server, url, platform)``."""
    platform = Platform()
    server = HTTPServer(application(platform), max_buffer_size=BODY_LIMIT)
    sockets = bind_sockets(port, host)
    server.add_sockets(sockets)
    return server, f"http://{host}:{sockets[0].getsockname()[1]}", platform


async def serve(port):
    """Serve until SIGTERM."""
    server, url, _ = start(port)
    print(json.dumps({"ready": True, "name": "platform", "url": url}), flush=True)
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    await stopped.wait()
    server.stop()
    await server.close_all_connections()


def command(port: int = 0):
    """Serve the platform's log, instance list and weight store."""
    asyncio.run(serve(port))
