"""A TCP proxy that injects faults between two processes.

Faults also apply to open connections: ``delay`` (seconds for each chunk), ``freeze``
(nothing is forwarded, connections stay open), ``blackhole`` (``up`` or ``down``: that
direction is read and discarded), ``truncate`` (connection closed after that many bytes
towards the client), ``refuse`` (new connections are closed).
"""

import asyncio
import contextlib
import json

import tornado.httpserver
import tornado.netutil
import tornado.web
import typer

CHUNK_BYTES = 65536
UP, DOWN = "up", "down"


class Faults:
    """The active faults; by default none."""

    __slots__ = ("blackhole", "delay", "freeze", "refuse", "truncate")

    def __init__(self):
        self.clear()

    def clear(self):
        """Clear all faults."""
        self.blackhole = ""
        self.delay = 0.0
        self.freeze = False
        self.refuse = False
        self.truncate = None


class Proxy:
    """Listens on its own port and forwards bytes to and from ``target`` (host:port).

    ``accepted`` counts the connections, ``clients`` are the addresses they came from.
    """

    __slots__ = (
        "_open_writers",
        "_server",
        "_tasks",
        "_thawed",
        "accepted",
        "clients",
        "faults",
        "target",
    )

    def __init__(self, target):
        self.target = target
        self.faults = Faults()
        self.accepted = 0
        self.clients = set()
        self._open_writers = set()
        self._tasks = set()
        self._server = None
        self._thawed = asyncio.Event()
        self._thawed.set()

    @property
    def address(self):
        """The ``host:port`` that the proxy listens on."""
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def open(self, port=0):
        """Start listening; return the proxy."""
        self._server = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", port
        )
        return self

    async def close(self):
        """Stop listening and reset all connections."""
        self._server.close()
        self.cut()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def cut(self):
        """Reset all open connections."""
        for writer in list(self._open_writers):
            writer.transport.abort()

    def freeze(self):
        """Stop forwarding in both directions; connections stay open."""
        self.faults.freeze = True
        self._thawed.clear()

    def thaw(self):
        """Forward again, the bytes held back first."""
        self.faults.freeze = False
        self._thawed.set()

    def set(self, document):
        """Apply a mapping of faults, as received on the command port."""
        if document.get("clear"):
            self.faults.clear()
            self.thaw()
        for name in ("blackhole", "delay", "refuse", "truncate"):
            if name in document:
                setattr(self.faults, name, document[name])
        if "freeze" in document:
            self.freeze() if document["freeze"] else self.thaw()
        if document.get("cut"):
            self.cut()

    async def _handle_connection(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        self.accepted += 1
        self.clients.add(writer.get_extra_info("peername"))
        self._open_writers.add(writer)
        try:
            if not self.faults.refuse:
                await self._relay(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass  # An end disconnected or the proxy closed, as tests provoke.
        finally:
            self._open_writers.discard(writer)
            writer.transport.abort()
            self._tasks.discard(asyncio.current_task())

    async def _relay(self, reader, writer):
        host, port = self.target.rsplit(":", 1)
        target_reader, target_writer = await asyncio.open_connection(host, int(port))
        self._open_writers.add(target_writer)
        forwarders = [
            asyncio.ensure_future(self._forward(reader, target_writer, UP)),
            asyncio.ensure_future(self._forward(target_reader, writer, DOWN)),
        ]
        try:
            await asyncio.wait(forwarders, return_when=asyncio.FIRST_EXCEPTION)
        finally:
            for forwarder in forwarders:
                forwarder.cancel()
            self._open_writers.discard(target_writer)
            target_writer.transport.abort()

    async def _forward(self, reader, writer, direction):
        forwarded_bytes = 0
        while chunk := await reader.read(CHUNK_BYTES):
            if self.faults.delay:
                await asyncio.sleep(self.faults.delay)
            await self._thawed.wait()
            if self.faults.blackhole == direction:
                continue
            limit = self.faults.truncate if direction == DOWN else None
            if limit is not None and forwarded_bytes + len(chunk) > limit:
                writer.write(chunk[: limit - forwarded_bytes])
                await writer.drain()
                raise ConnectionAbortedError("truncated on purpose")
            forwarded_bytes += len(chunk)
            writer.write(chunk)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()


class FaultsHandler(tornado.web.RequestHandler):
    """``POST /standin/faults``: changes the proxy's faults."""

    def initialize(self, proxy):
        self._proxy = proxy

    def post(self):
        self._proxy.set(json.loads(self.request.body or b"{}"))
        self.write({"accepted": self._proxy.accepted})


async def serve(target, port=0):
    """Run a proxy and its command port until cancelled."""
    proxy = await Proxy(target).open(port)
    sockets = tornado.netutil.bind_sockets(0, "127.0.0.1")
    pattern = ("/standin/faults", FaultsHandler, {"proxy": proxy})
    application = tornado.web.Application([pattern])
    server = tornado.httpserver.HTTPServer(application)
    server.add_sockets(sockets)
    command_address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
    print(
        json.dumps(
            {"ready": True, "address": proxy.address, "commands": command_address}
        ),
        flush=True,
    )
    await asyncio.Event().wait()


def run(target: str = typer.Option(..., help="host:port"), port: int = 0):
    """Run the fault-injecting proxy in front of a TCP address."""
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(target, port))
