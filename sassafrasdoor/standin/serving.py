"""What the stand-ins of backend servers share: listening, registering, ending."""

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

HOST = "127.0.0.1"
REGISTER_RETRY = 0.2
REGISTER_EVERY = 2.0


class StandInHandler(RequestHandler):
    """A handler with ``self.server`` (the stand-in) and JSON both ways."""

    def initialize(self, server):
        """Keep the stand-in that this handler serves."""
        self.server = server

    def document(self):
        """Return the JSON body of the request."""
        return json_decode(self.request.body or b"{}")

    def answer(self, document, status=200):
        """Send a JSON reply and end it."""
        self.set_status(status)
        self.finish(document)

    def hang_up(self):
        """Close the connection without a further byte."""
        if not self._finished:
            self.detach().close()


class FaultsHandler(StandInHandler):
    """``POST /standin/faults`` sets the faults named in its body."""

    def post(self):
        """Hand each fault to the stand-in."""
        self.answer(self.server.set_faults(self.document()))


class TruthHandler(StandInHandler):
    """``GET /standin/truth``: what truly happened."""

    def get(self):
        """Return the stand-in's own record."""
        self.answer(self.server.truth())


def json_line(document):
    """Return a document as a line of NDJSON."""
    return json.dumps(document, separators=(",", ":")) + "\n"


def listen(application, port=0, max_body=100_000_000):
    """Serve on a free port of the loopback; return ``(server, address)``."""
    sockets = bind_sockets(port, HOST)
    server = HTTPServer(application, max_body_size=max_body)
    server.add_sockets(sockets)
    return server, f"{HOST}:{sockets[0].getsockname()[1]}"


async def put_instance(platform, document):
    """Register once at the platform's instance list; say whether it took it."""
    return await _instances(platform, document["name"], "PUT", json.dumps(document))


async def delete_instance(platform, name):
    """Leave the platform's instance list; say whether it took it."""
    return await _instances(platform, name, "DELETE", None)


async def _instances(platform, name, method, body):
    request = HTTPRequest(
        f"{platform}/instances/{name}", method=method, body=body, request_timeout=2.0
    )
    try:
        await SimpleAsyncHTTPClient().fetch(request)
    except Exception:
        return False
    return True


async def stay_registered(platform, describe):
    """Register again and again: the list may have been down or replaced."""
    while True:
        done = await put_instance(platform, describe())
        await asyncio.sleep(REGISTER_EVERY if done else REGISTER_RETRY)


def print_ready(name, address, **more):
    """Print the line by which the starter knows that we serve."""
    line = {"ready": True, "name": name, "address": address, **more}
    print(json.dumps(line), flush=True)


async def until_asked_to_stop():
    """Wait for SIGTERM or SIGINT; a second one ends the process at once."""
    asked = asyncio.Event()

    def stop():
        if asked.is_set():
            os._exit(1)
        asked.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    await asked.wait()
