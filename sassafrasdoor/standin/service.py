"""A stand-in for a plain service: it records every execution and injects faults.

``POST /standin/faults`` sets how often each of these faults is injected next:
``hang_up_before`` (before the request is read), ``hang_up`` (after the execution),
``hang_up_middle`` and ``cut_without_length`` (within the reply), ``fail``, ``silent``,
``redirect`` and ``interim``. It sets values for ``refuse``, ``delay`` (seconds) and
``leaving``.
"""

import asyncio

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from sassafrasdoor.clock import now
from sassafrasdoor.standin import serving
from sassafrasdoor.standin.serving import StandInHandler

PARTIAL_REPLY_WITH_LENGTH = b'HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n{"half":'
PARTIAL_REPLY_WITHOUT_LENGTH = b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{"half":'
INTERIM_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
REDIRECT_LOCATION = "/redirected"


OPTIONS = {
    "capacity": 64,
    "delay": 0.0,
    "load_lag": 0.2,
    "platform": "",
    "region": "region-1",
    "service": "service",
    "zone": "zone-a",
}


class ServiceOptions:
    """All options of a service stand-in with their defaults; times in seconds."""

    __slots__ = tuple(OPTIONS)

    def __init__(self, **options):
        for name, value in {**OPTIONS, **options}.items():
            setattr(self, name, value)


class ServiceServer(HTTPServer):
    """An HTTP server that can close a new connection before it reads from it."""

    stand_in = None

    def handle_stream(self, stream, address):
        """Serve the connection, or close it as a fault."""
        if self.stand_in is not None and self.stand_in.consume_fault("hang_up_before"):
            stream.close()
            return
        super().handle_stream(stream, address)


class ServiceStandIn(serving.StandIn):
    """One plain service: its executions and its injected faults."""

    KIND = "service"
    COUNTED_FAULTS = (
        "hang_up_before",
        "hang_up",
        "hang_up_middle",
        "cut_without_length",
        "fail",
        "silent",
        "redirect",
        "interim",
    )

    def __init__(self, options, name):
        super().__init__(options, name)
        self._slots = asyncio.Semaphore(options.capacity)
        self.delay = options.delay
        self.executions = []
        self.abandoned = 0
        self.running = 0
        self._load_report = (now(), self.current_load())
        self._listen(0)

    def current_load(self):
        """Return the current load as a JSON-serializable mapping."""
        return {
            "running": self.running,
            "queued": 0,
            "capacity": self._options.capacity,
            "versions": {},
            "role": "",
            "leaving": self.leaving,
        }

    def truth(self):
        """Return all executions in order, and their number for each request."""
        by_request = {}
        for request_id in self.executions:
            by_request[request_id] = by_request.get(request_id, 0) + 1
        return {
            "total": len(self.executions),
            "abandoned": self.abandoned,
            "by_request": by_request,
            "executions": self.executions,
        }

    async def execute(self, request):
        """Execute a request and return the body of the reply."""
        self.running += 1
        try:
            async with self._slots:
                if self.delay:
                    await asyncio.sleep(self.delay)
        finally:
            self.running -= 1
        request_id = request.headers.get("X-Request-Id", "")
        self.executions.append(request_id)
        return {
            "request_id": request_id,
            "method": request.method,
            "path": request.uri,
            "headers": dict(request.headers),
            "body": request.body.decode("utf-8", "replace"),
            "service": self.name,
        }

    def _listen(self, port):
        sockets = bind_sockets(port, serving.HOST)
        self.server = ServiceServer(self._application())
        self.server.stand_in = self
        self.server.add_sockets(sockets)
        self.address = f"{serving.HOST}:{sockets[0].getsockname()[1]}"

    def _application(self):
        handler_arguments = {"server": self}
        return Application(
            [
                ("/standin/faults", serving.FaultsHandler, handler_arguments),
                ("/standin/truth", serving.TruthHandler, handler_arguments),
                ("/load", serving.LoadHandler, handler_arguments),
                ("/.*", CallHandler, handler_arguments),
            ],
            log_function=lambda handler: None,
        )

    def _fault_refuse(self, value):
        if value:
            self.server.stop()
        else:
            self._listen(int(self.address.rpartition(":")[2]))

    def _fault_delay(self, value):
        self.delay = float(value)


class CallHandler(StandInHandler):
    """Any method and path: executes once, then replies or injects a fault."""

    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")

    def on_connection_close(self):
        """Count the requests whose caller disconnected before the reply."""
        self.server.abandoned += 1

    async def prepare(self):
        """Execute the request and reply, before a method handler would run."""
        self.set_header("X-Request-Id", self.request.headers.get("X-Request-Id", ""))
        reply = await self.server.execute(self.request)
        for fault, inject in self.FAULTS.items():
            if self.server.consume_fault(fault):
                await inject(self)
                return
        self.answer(reply)

    async def _hang_up(self):
        self.hang_up()

    async def _send_raw(self, reply):
        stream = self.detach()
        await stream.write(reply)
        stream.close()

    async def _hang_up_middle(self):
        await self._send_raw(PARTIAL_REPLY_WITH_LENGTH)

    async def _cut_without_length(self):
        await self._send_raw(PARTIAL_REPLY_WITHOUT_LENGTH)

    async def _interim(self):
        await self._send_raw(INTERIM_RESPONSE)

    async def _fail(self):
        self.answer({"reason": "failed"}, 500)

    async def _redirect(self):
        self.redirect(REDIRECT_LOCATION, status=307)

    async def _silent(self):
        self._auto_finish = False
        await asyncio.Event().wait()

    FAULTS = {
        "hang_up": _hang_up,
        "hang_up_middle": _hang_up_middle,
        "cut_without_length": _cut_without_length,
        "fail": _fail,
        "silent": _silent,
        "redirect": _redirect,
        "interim": _interim,
    }


async def serve(options, name):
    """Serve one service in this process until a stop signal."""
    service = ServiceStandIn(options, name)
    service.start()
    serving.print_ready(name, service.address)
    await serving.wait_for_stop_signal()
    await service.leave()
    await service.close()
