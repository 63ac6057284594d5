"""Shared parts of the backend servers' stand-ins: serving, registration, shutdown."""

import asyncio
import json
import os
import signal

from tornado.escape import json_decode
from tornado.httpclient import HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.simple_httpclient import SimpleAsyncHTTPClient
from tornado.web import RequestHandler

from sassafrasdoor.clock import now

HOST = "127.0.0.1"
REGISTER_RETRY_INTERVAL = 0.2  # seconds
REGISTER_INTERVAL = 2.0  # seconds
DRAIN_POLL_INTERVAL = 0.02  # seconds


class StandInHandler(RequestHandler):
    """Base of handlers with JSON bodies; ``self.server`` is the stand-in."""

    def initialize(self, server):
        """Store the stand-in that this handler serves."""
        self.server = server

    def document(self):
        """Return the decoded JSON body of the request."""
        return json_decode(self.request.body or b"{}")

    def answer(self, document, status=200):
        """Send a JSON reply and finish the request."""
        self.set_status(status)
        self.finish(document)

    def hang_up(self):
        """Close the connection without sending more bytes."""
        if not self._finished:
            self.detach().close()


class LoadHandler(StandInHandler):
    """``GET /load``: the last load report."""

    def get(self):
        """Return the last load report, with its age."""
        self.answer(self.server.load_report())


class FaultsHandler(StandInHandler):
    """``POST /standin/faults``: sets the faults named in its body."""

    def post(self):
        """Set the faults on the stand-in."""
        self.answer(self.server.set_faults(self.document()))


class TruthHandler(StandInHandler):
    """``GET /standin/truth``: the actual history, for tests."""

    def get(self):
        """Return the history that the stand-in recorded."""
        self.answer(self.server.truth())


class StandIn:
    """A backend server that registers, reports its load and injects faults.

    ``counts`` holds how many more times each of ``COUNTED_FAULTS`` is injected; any
    other fault ``x`` is set by ``_fault_x``.
    """

    KIND = ""
    COUNTED_FAULTS = ()

    def __init__(self, options, name):
        self._options = options
        self._tasks = []
        self._load_report = (now(), {})
        self.name = name
        self.address = ""
        self.server = None
        self.leaving = False
        self.counts = dict.fromkeys(self.COUNTED_FAULTS, 0)

    def start(self, *coroutines):
        """Start load reports, registration and ``coroutines``."""
        jobs = [*coroutines, self._report_load()]
        if self._options.platform:
            jobs.append(keep_registered(self._options.platform, self.describe))
        self._tasks = [asyncio.ensure_future(job) for job in jobs]

    async def close(self):
        """Stop immediately, with all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.server.stop()
        await self.server.close_all_connections()

    async def leave(self):
        """Announce the departure, finish the accepted work and deregister."""
        self.leaving = True
        if self._options.platform:
            await put_instance(self._options.platform, self.describe())
        while self.is_busy():  # noqa: ASYNC110
            await asyncio.sleep(DRAIN_POLL_INTERVAL)
        if self._options.platform:
            self._tasks[-1].cancel()
            await delete_instance(self._options.platform, self.name)

    def describe(self):
        """Return the entry of this server in the instance list."""
        return {
            "name": self.name,
            "kind": self.KIND,
            "service": self._options.service,
            "address": self.address,
            "availability_zone": self._options.zone,
            "region": self._options.region,
            "capacity": self._options.capacity,
            "checks_fencing": getattr(self._options, "checks_fencing", False),
            "models": self.models(),
            "state": "leaving" if self.leaving else "alive",
        }

    def is_busy(self):
        """Whether work is running or queued."""
        load = self.current_load()
        return bool(load["running"] or load["queued"])

    def models(self):
        """Return the names of the loaded models."""
        return []

    def current_load(self):
        """Return the current load as a JSON-serializable mapping."""
        raise NotImplementedError

    def load_report(self):
        """Return the last load report with its age."""
        created_at, report = self._load_report
        return {**report, "age_ms": round((now() - created_at) * 1000)}

    def consume_fault(self, fault):
        """Decrement the count of a fault; return whether it was above zero."""
        if not self.counts[fault]:
            return False
        self.counts[fault] -= 1
        return True

    def set_faults(self, faults):
        """Set the named faults; for a counted one, how often it is injected next."""
        for name, value in faults.items():
            if name in self.counts:
                self.counts[name] = value
            else:
                getattr(self, f"_fault_{name}")(value)
        return {"faults": faults}

    async def _report_load(self):
        while True:
            self._load_report = (now(), self.current_load())
            await asyncio.sleep(self._options.load_lag)

    def _fault_leaving(self, value):
        self.leaving = bool(value)


def json_line(document):
    """Return a document as an NDJSON line."""
    return json.dumps(document, separators=(",", ":")) + "\n"


def listen(application, port=0, max_body_bytes=100_000_000):
    """Serve on the loopback (port 0: a free one); return ``(server, address)``."""
    sockets = bind_sockets(port, HOST)
    server = HTTPServer(application, max_body_size=max_body_bytes)
    server.add_sockets(sockets)
    return server, f"{HOST}:{sockets[0].getsockname()[1]}"


async def put_instance(platform, document):
    """Put an entry into the platform's instance list; return whether it succeeded."""
    return await _send_registration(
        platform, document["name"], "PUT", json.dumps(document)
    )


async def delete_instance(platform, name):
    """Delete an entry of the platform's instance list; return whether it succeeded."""
    return await _send_registration(platform, name, "DELETE", None)


async def _send_registration(platform, name, method, body):
    request = HTTPRequest(
        f"{platform}/instances/{name}", method=method, body=body, request_timeout=2.0
    )
    try:
        await SimpleAsyncHTTPClient().fetch(request)
    except Exception:
        return False
    return True


async def keep_registered(platform, describe):
    """Register periodically: the list may have been down or replaced."""
    while True:
        is_registered = await put_instance(platform, describe())
        await asyncio.sleep(
            REGISTER_INTERVAL if is_registered else REGISTER_RETRY_INTERVAL
        )


def print_ready(name, address, **fields):
    """Print the line that tells the parent process that the server is ready."""
    line = {"ready": True, "name": name, "address": address, **fields}
    print(json.dumps(line), flush=True)


async def wait_for_stop_signal():
    """Wait for SIGTERM or SIGINT; a second one ends the process at once."""
    stop_requested = asyncio.Event()

    def stop():
        if stop_requested.is_set():
            os._exit(1)
        stop_requested.set()

    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop)
    await stop_requested.wait()
