"""The components of an entry process."""

import asyncio
import contextlib
import math

from sassafrasdoor.admission.queues import Admission
from sassafrasdoor.backends.http import HttpEngine, HttpService
from sassafrasdoor.log.http import HttpLog
from sassafrasdoor.requests import handlers as request_handlers
from sassafrasdoor.requests.handlers import RequestsService
from sassafrasdoor.routing import discovery
from sassafrasdoor.routing.chooser import Chooser
from sassafrasdoor.routing.loads import LoadPoller
from sassafrasdoor.steps import handlers as step_handlers
from sassafrasdoor.steps.handlers import StepsService
from sassafrasdoor.stopping import start_critical_tasks
from sassafrasdoor.view import State

REPORT_INTERVAL = 0.2  # seconds
TABLE_CONFIRM_TIMEOUT = 0.5  # seconds; a log that answers does so in milliseconds


class Components:
    """The components behind the callers' server; ``link`` supplies the view."""

    __slots__ = (
        "_settings",
        "_tasks",
        "admission",
        "chooser",
        "engine",
        "leaving",
        "link",
        "loads",
        "log",
        "requests",
        "service",
        "steps",
    )

    def __init__(self, settings, link):
        self._settings = settings
        self._tasks = []
        self.link = link
        self.leaving = False
        self.engine = HttpEngine(settings)
        self.service = HttpService(settings)
        self.admission = Admission(settings)
        self.chooser = Chooser(settings)
        self.loads = LoadPoller(settings, self.view, self.engine, self.chooser)
        shared = (settings, self.view, self.admission, self.chooser)
        self.log = HttpLog(settings)
        self.requests = RequestsService(*shared, self.engine, self.service, self.log)
        self.steps = StepsService(*shared, self.engine, self.service)

    def view(self):
        """Return the current view."""
        return self.link.view

    def handlers(self):
        """Return the HTTP handlers of discovery, requests and steps."""
        return (
            discovery.handlers(self._settings, self.view, self.requests)
            + request_handlers.handlers(self.requests)
            + step_handlers.handlers(self.steps)
        )

    def start(self):
        """Start the background tasks."""
        coroutines = [
            self.link.run(),
            self.loads.run(),
            self.admission.run(self.view),
            self._send_report(),
        ]
        self._tasks = start_critical_tasks(coroutines)

    async def close(self):
        """Cancel the background tasks and close the log."""
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        self.log.close()

    def not_ready_reason(self):
        """Return why this instance accepts no new work, or an empty string."""
        return "leaving" if self.leaving else self.table_unusable_reason()

    def table_unusable_reason(self):
        """Return why no table can be used here, or an empty string.

        An instance that reaches neither the log nor a peer may be the only one
        that still applies a table which operators replaced long ago. While any
        peer is alive it keeps serving, as peers spread the newest revision.
        """
        view = self.view()
        if view.table is None:
            return "no table known"
        if view.age <= self._settings.table.unconfirmed_grace:
            return ""
        own_name = self._settings.instance.name
        peers = [peer for peer in view.members if peer.name != own_name]
        if any(peer.state is State.ALIVE for peer in peers):
            return ""
        return "alone with a table that nobody has confirmed for long"

    async def confirm_table(self, moment):
        """Return whether the table is as new as all that were accepted before a moment.

        ``moment`` is a monotonic time. Unless the table is known to be, the log is read.
        """
        if self.view().confirmed_at < moment:
            await self.link.confirm(TABLE_CONFIRM_TIMEOUT)
        return self.view().confirmed_at >= moment

    def status(self):
        """Return the system's status as seen by this instance, JSON-ready."""
        view = self.view()
        return {
            "instance": self._settings.instance.name,
            "leaving": self.leaving,
            "revision": view.revision,
            "unconfirmed_seconds": _confirmation_age(view),
            "weights": view.weights,
            "members": [_member_status(member) for member in view.members],
            "backends": [
                _backend_status(backend) | self.chooser.status(backend)
                for backend in view.backends
            ],
            "steps": self.steps.status(),
            "requests": self.requests.status(),
            "demand": self.admission.demand(),
            "quota": self.admission.status(),
        }

    async def _send_report(self):
        while True:
            self.link.set_report(self.admission.report())
            await asyncio.sleep(REPORT_INTERVAL)


def _confirmation_age(view):
    """Return the seconds since the log confirmed the view, None if it never did.

    Infinity is not valid JSON: strict parsers rejected the status of an instance
    that had started during an outage of the log.
    """
    return round(view.age, 3) if math.isfinite(view.age) else None


def _member_status(member):
    return {
        "name": member.name,
        "state": str(member.state),
        "availability_zone": member.availability_zone,
        "incarnation": member.incarnation,
    }


def _backend_status(backend):
    return {
        "name": backend.name,
        "service": backend.service,
        "state": str(backend.state),
        "availability_zone": backend.availability_zone,
    }
