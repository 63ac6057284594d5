"""HTTP handlers of requests: ``/v1/call`` and ``/v1/generate``."""

import asyncio
import contextlib
import json
from functools import singledispatchmethod
from math import ceil

import tornado.web
from tornado.iostream import StreamClosedError

from sassafrasdoor import metrics
from sassafrasdoor.backends.interface import Answer, Chunk, Finished
from sassafrasdoor.outcomes import Finding, NotRun, Rejected, Unknown
from sassafrasdoor.requests import messages, reading
from sassafrasdoor.requests.messages import Conflict
from sassafrasdoor.requests.service import (
    RequestsService,
    chunk_document,
    finished_document,
)
from sassafrasdoor.requests.streams import GenerateRequest

__all__ = ["RequestsService", "handlers"]

OUTCOMES = metrics.counter("sassafrasdoor_outcomes_total", "Outcomes by their name.")
DISCONNECTS = metrics.counter(
    "sassafrasdoor_callers_left_total", "Callers gone before their answer."
)


def handlers(requests):
    """Return the Tornado routes of requests."""
    parts = {"requests": requests}
    return [
        (r"/v1/call/([A-Za-z0-9_.-]+)(/.*)?", CallHandler, parts),
        (r"/v1/generate/([A-Za-z0-9_.-]+)", GenerateHandler, parts),
    ]


@tornado.web.stream_request_body
class RowHandler(tornado.web.RequestHandler):
    """A request of one row, authorised before its body is read.

    ``callers.requests`` limits the body and passes it on once it is complete.
    """

    def initialize(self, requests):
        self._requests = requests
        self._row = None
        self._body = b""
        self._task = None

    async def prepare(self):
        """Authorise the request."""
        authorize = self.application.settings["authorize"]
        self._row = await authorize(self, self.path_args[0])

    def data_received(self, chunk):
        """Take a piece of the body."""
        self._body += bytes(chunk)

    def on_connection_close(self):
        """Cancel the work of a caller who disconnected, to free its capacity."""
        super().on_connection_close()
        DISCONNECTS.inc({})
        if self._task is not None:
            self._task.cancel()

    def write_error(self, status_code, **kwargs):
        """Answer a failure without a traceback."""
        name = messages.UNKNOWN if status_code >= 500 else messages.REJECTED
        self._refuse(status_code, name, self._reason)

    async def serve(self, *_):
        """Run the request; ``_task`` is cancelled when the connection closes."""
        self._task = asyncio.ensure_future(self._run())
        with contextlib.suppress(asyncio.CancelledError, StreamClosedError):
            with self._requests.track_progress():
                await self._task

    async def _run(self):
        raise NotImplementedError

    @singledispatchmethod
    async def reply(self, outcome):
        """Send a complete outcome."""
        raise TypeError(f"unsupported outcome: {outcome!r}")

    @reply.register
    async def _(self, outcome: Answer):
        self._set_outcome(outcome.status, messages.ANSWERED)
        self.clear_header("Content-Type")
        for name, value in reading.returned_headers(outcome.headers):
            self.add_header(name, value)
        if outcome.status not in (204, 304):
            self.write(outcome.body)
        await self.finish()

    @reply.register
    async def _(self, outcome: NotRun):
        self.set_header("Retry-After", str(ceil(outcome.retry_after)))
        self._refuse(503, messages.NOT_RUN, outcome.reason)

    @reply.register
    async def _(self, outcome: Unknown):
        self._refuse(502, messages.UNKNOWN, outcome.reason)

    @reply.register
    async def _(self, outcome: Rejected):
        self._refuse(400, messages.REJECTED, outcome.reason, outcome.findings)

    @reply.register
    async def _(self, outcome: Conflict):
        self._refuse(409, messages.REJECTED, outcome.reason, outcome.findings)

    def _refuse(self, status, name, reason, findings=()):
        self._set_outcome(status, name)
        listed = [finding.as_dict() for finding in findings]
        self.finish({"outcome": name, "reason": reason, "findings": listed})

    def _set_outcome(self, status, name):
        OUTCOMES.inc({"outcome": name})
        self.set_status(status)
        self.set_header("X-Outcome", name)
        self.set_header("X-Table-Revision", str(self._requests.view.revision))


class CallHandler(RowHandler):
    """``ANY /v1/call/{row}/{path}``: proxies a call to a plain service."""

    async def _run(self):
        http = self.request
        path = http.path.split("/", 4)[4:]
        target = "/" + (path[0] if path else "")
        if http.connection.query:
            target += f"?{http.connection.query}"
        request = reading.request_from(
            self._requests.settings, self._row, http, self._body, path=target
        )
        if not request:
            await self.reply(request)
            return
        await self.reply(await self._requests.run(self._row, request))

    get = post = put = delete = patch = head = options = RowHandler.serve


class GenerateHandler(RowHandler):
    """``POST /v1/generate/{row}``: answers in one piece, or as an NDJSON stream."""

    post = RowHandler.serve

    async def _run(self):
        body = reading.generate_body(self._body)
        if not body:
            await self.reply(body)
            return
        request = reading.request_from(
            self._requests.settings,
            self._row,
            self.request,
            body.model_dump_json().encode(),
            path="",
            kind=messages.GENERATE,
        )
        if request and not self._row.model:
            finding = Finding("row.model", "missing")
            request = Rejected("the row names no model", [finding])
        if not request:
            await self.reply(request)
        elif body.stream and not request.is_deduplicated:
            await self._stream(request, body)
        else:
            # The answer of a keyed request is kept for repeats and therefore sent only
            # once it is complete.
            await self.reply(await self._requests.run(self._row, request))

    async def _stream(self, request, body):
        refusal = self._requests.refusal(self._row, request, is_streamed=True)
        if refusal is not None:
            await self.reply(refusal)
            return
        generate_request = GenerateRequest(
            request.request_id,
            body.prompt,
            body.max_tokens,
            repeatable=request.repeatable,
            restartable=False,
        )
        items = self._requests.generate(self._row, generate_request, request.deadline)
        async with contextlib.aclosing(items):
            await self._send_items(items)

    async def _send_items(self, items):
        started = False
        async for item in items:
            if isinstance(item, Chunk):
                started = started or self._start_stream()
                self._write_line(chunk_document(item))
                await self.flush()
            elif isinstance(item, Finished):
                started = started or self._start_stream()
                self._write_line(finished_document(item))
                OUTCOMES.inc({"outcome": messages.ANSWERED})
                await self.finish()
            elif isinstance(item, NotRun | Unknown):
                await (self._abort_stream(item) if started else self.reply(item))

    def _start_stream(self):
        self.set_header("Content-Type", "application/x-ndjson")
        self.set_header("X-Table-Revision", str(self._requests.view.revision))
        return True

    def _write_line(self, document):
        self.write(json.dumps(document) + "\n")

    async def _abort_stream(self, outcome):
        """Abort an incomplete streamed answer.

        With a regular end it would look complete to a caller that does not check the
        last line. So the outcome is written as a line, and the connection is closed
        without the end of the chunked body, which every client reports as an error.
        """
        OUTCOMES.inc({"outcome": messages.UNKNOWN})
        self._write_line({"outcome": messages.UNKNOWN, "reason": outcome.reason})
        await self.flush()
        self.detach().close()
