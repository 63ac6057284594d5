"""The callers' HTTP server: one application with all handlers."""

import json

import tornado.netutil
import tornado.web

from sassafrasdoor import __version__, metrics
from sassafrasdoor.callers.accounting import process_budget
from sassafrasdoor.callers.budget import CallerLimits
from sassafrasdoor.callers.queries import query_value
from sassafrasdoor.callers.requests import CountedRequests
from sassafrasdoor.callers.server import CallerServer
from sassafrasdoor.clock import now
from sassafrasdoor.events import EVENTS
from sassafrasdoor.outcomes import Finding
from sassafrasdoor.security import key_matches, server_context
from sassafrasdoor.stopping import stop_listening

BEARER = "Bearer "
MB, KIB = 1_000_000, 1024
MAX_HEADER_BYTES = 16_384
MAX_KEY_LENGTH = 256
MAX_EVENTS_PER_REPLY = 1000
MAX_STAMP_DIGITS = 20
REFUSED_KEYS = metrics.counter(
    "sassafrasdoor_refused_keys_total", "Calls whose key did not match their row."
)


class EntryServer:
    """Serves callers; ``components`` are created by ``entry.process``."""

    __slots__ = ("_budget", "_listeners", "_settings", "address", "components")

    def __init__(self, settings, components):
        self._budget = process_budget(caller_limits(settings.limits))
        self._settings = settings
        self.components = components
        self._listeners = []
        self.address = ""

    def listen(self):
        """Bind the callers' port and return ``host:port``."""
        instance = self._settings.instance
        # A host name may stand for several addresses.
        sockets = tornado.netutil.bind_sockets(instance.entry_port, instance.host)
        # A caller without its row's key is refused before its body is read.
        requests = CountedRequests(
            self.application(), self._budget, awaits_body=False, render=_render
        )
        requests.max_body_bytes = self._settings.requests.body_limit
        ssl_options = server_context(self._settings.tls)
        for sock in sockets:
            server = CallerServer(requests, ssl_options, MAX_HEADER_BYTES)
            server.start(sock)
            self._listeners.append((server, sock))
        self.address = f"{instance.host}:{sockets[0].getsockname()[1]}"
        return self.address

    async def close(self):
        """Close the listeners and the idle connections."""
        await stop_listening(self._listeners)
        for server, _ in self._listeners:
            await server.close_all_connections()

    def application(self):
        """Return the Tornado application with all handlers."""
        arguments = {"parts": self.components}
        routes = [
            ("/healthz", HealthHandler, arguments),
            ("/readyz", ReadyHandler, arguments),
            ("/metrics", MetricsHandler, arguments),
            ("/metrics/control", ControlMetricsHandler, arguments),
            ("/v1/status", StatusHandler, arguments),
            ("/v1/events", EventsHandler, arguments),
        ]
        return tornado.web.Application(
            routes + self.components.handlers(),
            default_handler_class=NotFoundHandler,
            authorize=Authorization(self.components),
            log_function=count_request,
        )


def caller_limits(limits):
    """Return the ``CallerLimits`` of the entry process, by its section of the settings."""
    fields = limits.model_dump()
    return CallerLimits(
        memory_bytes=fields.pop("memory_mb") * MB,
        process_bytes=fields.pop("process_mb") * MB,
        progress_bytes=fields.pop("progress_kb") * KIB,
        **fields,
    )


def _render(refusal):
    """Return the further headers and the body of a refusal, as ``refuse`` writes them."""
    outcome = "not-run" if refusal.may_be_repeated else "rejected"
    document = {"outcome": outcome, "reason": refusal.reason, "findings": []}
    headers = {"Content-Type": "application/json", "X-Outcome": outcome}
    return headers, json.dumps(document).encode()


def count_request(handler):
    """Count a finished call, in place of Tornado's access log."""
    CALLS.inc({"handler": type(handler).__name__, "status": str(handler.get_status())})


CALLS = metrics.counter("sassafrasdoor_calls_total", "Finished calls of callers.")


class Authorization:
    """Checks a caller's key against the row; writes the refusal itself.

    A missing row and a wrong key give the same reply, so that callers cannot
    enumerate rows by trying names. Both are refused only by a table that is as new as
    the call, since callers do not repeat it.
    """

    __slots__ = ("_components",)

    def __init__(self, components):
        self._components = components

    async def __call__(self, handler, row_name):
        """Return the row if the caller has sent its key, else None."""
        arrived_at = now()
        reason = self._components.table_unusable_reason()
        if reason:
            refuse(handler, 503, "not-run", reason, retry=1)
            return None
        row = self._find_row(handler, row_name)
        if row is not None:
            return row
        is_confirmed = await self._components.confirm_table(arrived_at)
        row = self._find_row(handler, row_name)
        if row is not None:
            return row
        if is_confirmed:
            REFUSED_KEYS.inc({})
            refuse(handler, 401, "rejected", "no such row, or the key is not its own")
        else:
            refuse(handler, 503, "not-run", "the table may be old", retry=1)
        return None

    def _find_row(self, handler, row_name):
        header = handler.request.headers.get("Authorization", "")
        key = header.removeprefix(BEARER)[:MAX_KEY_LENGTH]
        row = self._components.view().row(row_name)
        return row if row is not None and key_matches(key, row.key_hashes) else None


def refuse(handler, status, outcome, reason, retry=None, findings=()):
    """Finish a call that did not run, with its reason."""
    handler.set_status(status)
    handler.set_header("X-Outcome", outcome)
    if retry is not None:
        handler.set_header("Retry-After", str(retry))
    documents = [finding.as_dict() for finding in findings]
    handler.finish({"outcome": outcome, "reason": reason, "findings": documents})


# Tornado would decode a form.
@tornado.web.stream_request_body
class PageHandler(tornado.web.RequestHandler):
    """Base of the pages about the instance itself, which take no bodies."""

    def initialize(self, parts):
        self._components = parts

    def data_received(self, chunk):
        """Discard a piece of a body."""

    def write_error(self, status_code, **kwargs):
        """Report a failure without a traceback."""
        refuse(self, status_code, "rejected", self._reason)


class NotFoundHandler(PageHandler):
    """Answers paths that do not exist."""

    def initialize(self):
        """Takes no arguments, unlike its base."""

    def get(self):
        refuse(self, 404, "rejected", "no such path")

    head = post = put = patch = delete = options = get


class HealthHandler(PageHandler):
    """``GET /healthz``: the process runs."""

    def get(self):
        self.write({"ok": True, "version": __version__})


class ReadyHandler(PageHandler):
    """``GET /readyz``: a table is known and the instance is not leaving."""

    def get(self):
        reason = self._components.not_ready_reason()
        if reason:
            self.set_status(503)
        self.write({"ready": not reason, "reason": reason})


class MetricsHandler(PageHandler):
    """``GET /metrics``: counters, gauges and histograms."""

    def get(self):
        body, headers = metrics.exposition(self.request.headers.get_list("Accept"))
        for name, value in headers.items():
            self.set_header(name, value)
        self.write(body)


class ControlMetricsHandler(PageHandler):
    """``GET /metrics/control``: metrics of this instance's control process.

    That process serves no HTTP, so its metrics of the lease, the log and the rollout
    of weights could not be scraped otherwise.
    """

    async def get(self):
        text = await self._components.link.metrics()
        if not text:
            refuse(self, 503, "not-run", f"control: {text.reason}", retry=1)
            return
        self.set_header("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
        self.write(text)


class StatusHandler(PageHandler):
    """``GET /v1/status``: the whole system as this instance sees it."""

    def get(self):
        self.set_header("Content-Type", "application/json")
        self.write(json.dumps(self._components.status()))


class EventsHandler(PageHandler):
    """``GET /v1/events?since=STAMP``: recent events for the timeline."""

    def get(self):
        since = query_value(self.request.connection.query, "since", "0")
        if not since.isdecimal() or len(since) > MAX_STAMP_DIGITS:
            findings = [Finding("since", "not a stamp")]
            refuse(self, 400, "rejected", "the query is invalid", findings=findings)
            return
        events = EVENTS.since(int(since))[:MAX_EVENTS_PER_REPLY]
        self.write({"events": [event.as_dict() for event in events]})
