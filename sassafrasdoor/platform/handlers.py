"""Base class of the HTTP handlers, and the readiness and directory handlers."""

import asyncio
import json
import sys
import traceback
from functools import singledispatch

from tornado.web import RequestHandler, stream_request_body

from sassafrasdoor.backends.connections import Connections
from sassafrasdoor.callers.budget import CallerBudget
from sassafrasdoor.callers.queries import query_value
from sassafrasdoor.clock import now
from sassafrasdoor.decisions import note
from sassafrasdoor.metrics import counter, exposition, gauge, histogram
from sassafrasdoor.outcomes import NotRun, Rejected, Unknown
from sassafrasdoor.platform import wire
from sassafrasdoor.requests.access import Unauthorized
from sassafrasdoor.requests.crash_watch import Quarantined
from sassafrasdoor.requests.stop_admission import InstanceStopping, StopAdmission
from sassafrasdoor.steps.durable.service import NotFound

# Seconds. Some callers cache an answer of the directory for three times as long; a
# stopping instance still serves them within the 8 s of its planned stop.
DIRECTORY_TTL = 2
MAX_LOGGED_FRAMES = 2
MAX_LOGGED_PATH = 120  # characters

HELD_BYTES = gauge("buffers_held_bytes", "Bytes held for callers, by kind.")
ANSWERS = counter("front_answers_total", "Answers to callers, by kind and status.")
CUT_REQUESTS = counter(
    "front_cut_by_stop_total", "Requests cut off by a planned stop, by when they came."
)
ANSWER_SECONDS = histogram(
    "front_seconds",
    "Seconds from a request's head to its answer.",
    buckets=[0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12],
)


class Parts:
    """The objects that the handlers use.

    ``process`` has the state of this process. ``store`` is the platform's store, called
    directly and never through another instance. ``lists`` maps each keyed topic to the
    tail that follows it. ``budget`` counts what is held for callers. ``stop_admission``
    decides what is still served during a planned stop.
    """

    __slots__ = (
        "access",
        "budget",
        "connections",
        "direct",
        "instances",
        "lists",
        "process",
        "routes",
        "steps",
        "stop_admission",
        "store",
        "streams",
    )

    def __init__(
        self,
        direct,
        streams,
        instances,
        process,
        routes,
        steps,
        store,
        access,
        budget=None,
        stop_admission=None,
    ):
        self.access = access
        self.budget = budget or CallerBudget()
        self.stop_admission = stop_admission or StopAdmission(lambda: True)
        self.connections = Connections()
        self.direct = direct
        self.streams = streams
        self.instances = instances
        self.process = process
        self.routes = routes
        self.steps = steps
        self.store = store
        self.lists = {}


# Tornado would decode forms, which are only passed on.
@stream_request_body
class WireHandler(RequestHandler):
    """Adds no default headers, and cancels a request whose caller disconnects.

    It handles requests that ``callers.requests`` passes on once they are complete.
    """

    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS")

    def initialize(self, parts):
        self._parts = parts
        self._task = None
        self._caller_left = False
        self._body = b""
        self._run = None
        self._is_sending = False
        self._started_at = now()

    def data_received(self, chunk):
        self._body = chunk

    def prepare(self):
        self._parts.process.in_flight.add(self)

    def on_finish(self):
        # Called before a slow reader has read the answer; until then a planned stop
        # must not end the process, and Tornado keeps the body.
        if not self._is_sending:
            self._end()

    def set_default_headers(self):
        self.clear_header("Server")
        self.clear_header("Content-Type")
        self.clear_header("Date")

    def compute_etag(self):
        return None

    def on_connection_close(self):
        super().on_connection_close()
        self._caller_left = True
        if self._run is not None:
            self._run.is_whole = False
        self._end()
        if self._task is not None:
            self._task.cancel()

    async def _while_connected(self, coroutine):
        """Return the coroutine's result, or None if the caller disconnected.

        If the process ends, the cancellation must propagate: Tornado finishes a handler
        that returns with an empty answer of status 200, which a caller would take for
        an accepted step or an answered call.
        """
        self._task = asyncio.ensure_future(coroutine)
        try:
            return await self._task
        except asyncio.CancelledError:
            if not self._caller_left:
                self._record_cut()
                raise
            note("request.caller_left", request=self._request_id)
            return None
        finally:
            # It would hold its result, which may be large, until the answer is sent.
            self._task = None

    def _record_cut(self):
        """Count and log that the end of the process cuts this request off."""
        stopping_since = self._parts.process.stopping_since
        came = "before" if self._started_at < stopping_since else "during"
        CUT_REQUESTS.inc({"came": came})
        note(
            "request.cut_by_stop",
            request=self._request_id,
            came=came,
            seconds_after_signal=round(self._started_at - stopping_since, 3),
            seconds=round(now() - self._started_at, 3),
            answer_begun=self._headers_written,
        )

    def _query_value(self, name, default=""):
        """Return the value of an argument in the query."""
        return query_value(self.request.connection.query, name, default)

    @property
    def _request_id(self):
        return self.request.headers.get(wire.REQUEST_ID, "")

    def _end(self):
        """Release what a request holds once its answer is sent or its caller has left."""
        self._parts.process.in_flight.discard(self)
        if self._run is not None:
            self._parts.stop_admission.end(self._run)

    def _reply(self, status, headers=(), body=b""):
        self._write_head(status, headers)
        self._is_sending = True
        # Done once the caller's system has taken the answer or the connection ended.
        self.finish(body).add_done_callback(self._handle_sent_answer)

    def _handle_sent_answer(self, sent):
        self._end()
        # Marks the error of a connection that ended as handled: nobody awaits it.
        if not sent.cancelled():
            sent.exception()

    def _write_head(self, status, headers=()):
        self.set_status(status)
        for name, value in headers:
            self.add_header(name, value)
        if self._parts.process.closing:
            self.set_header("Connection", "close")
        ANSWERS.inc({"kind": type(self).__name__, "status": str(status)})
        ANSWER_SECONDS.observe({"kind": type(self).__name__}, now() - self._started_at)

    def _abort_connection(self):
        """Close the connection without ending the answer."""
        self._auto_finish = False
        self.request.connection.stream.close()

    def send_error(self, status_code=500, **kwargs):
        # Tornado would end a partially sent answer like a complete one.
        if self._headers_written:
            self._abort_connection()
        else:
            super().send_error(status_code, **kwargs)

    def _reply_json(self, status, document):
        body = (
            document if isinstance(document, bytes) else json.dumps(document).encode()
        )
        self._reply(status, [("Content-Type", wire.JSON_TYPE)], body)

    def _reply_failure(self, outcome):
        status, headers = failure(outcome)
        note(
            "request.not_served",
            request=self._request_id,
            path=self.request.path[:MAX_LOGGED_PATH],
            status=status,
            reason=outcome.reason,
            seconds=round(now() - self._started_at, 3),
        )
        self._reply(status, headers, (outcome.reason + "\n").encode())

    def log_exception(self, kind, value, trace):
        frames = traceback.format_tb(trace)[-MAX_LOGGED_FRAMES:]
        where = "".join(frames)
        reason = repr(value)
        note("request.failed", request=self._request_id, reason=reason, where=where)

    def write_error(self, status_code, **kwargs):
        if isinstance(sys.exception(), asyncio.CancelledError):
            # A replica may have run it, which a 500 would not say.
            self._reply_failure(Unknown("cut by the end of the instance"))
        else:
            self._reply(status_code)


class ReadyHandler(WireHandler):
    """Answers whether this instance serves, and returns its metrics."""

    def get(self):
        if self.request.path == "/metrics":
            for kind, size in self._parts.budget.held_by_kind().items():
                HELD_BYTES.set({"kind": kind.value}, size)
            body, headers = exposition()
            self._reply(200, list(headers.items()), body)
        else:
            serves = self._parts.process.ready and not self._parts.access.is_expired
            self._reply(200 if serves else 503)


class DirectoryHandler(WireHandler):
    """Returns the addresses that a caller should use."""

    def get(self):
        zone = self._query_value("Zone")
        addresses = self._parts.instances.addresses(
            zone, serves=not self._parts.access.is_expired
        )
        if not addresses:
            self._reply_failure(NotRun("no instance known", 1.0))
            return
        self._reply_json(200, {"Addresses": addresses, "TtlS": DIRECTORY_TTL})


@singledispatch
def failure(outcome):
    """Return the ``(status, headers)`` for an unsuccessful outcome."""
    raise TypeError(f"no HTTP status for an outcome {type(outcome).__name__}")


@failure.register
def _(outcome: NotRun):
    return 503, [("Retry-After", f"{outcome.retry_after:g}")]


@failure.register
def _(outcome: InstanceStopping):
    # The next request on this connection would be refused too.
    return 503, [("Retry-After", f"{outcome.retry_after:g}"), ("Connection", "close")]


@failure.register
def _(outcome: Unknown):
    return 504, []


@failure.register
def _(outcome: Quarantined):
    return 502, []


@failure.register
def _(outcome: Rejected):
    return 400, []


@failure.register
def _(outcome: Unauthorized):
    return 401, []


@failure.register
def _(outcome: NotFound):
    return 404, []
