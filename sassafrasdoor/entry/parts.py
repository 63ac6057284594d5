"""The parts of an entry process, put together from the slices."""

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

REPORT_INTERVAL = 0.2


class Parts:
    """Everything the callers' server needs; ``link`` supplies the view."""

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
        work = (settings, self.view, self.admission, self.chooser)
        self.log = HttpLog(settings)
        self.requests = RequestsService(*work, self.engine, self.service, self.log)
        self.steps = StepsService(*work, self.engine, self.service)

    def view(self):
        """Return the newest view."""
        return self.link.view

    def handlers(self):
        """Return the handlers of all slices."""
        return (
            discovery.handlers(self._settings, self.view, self.requests)
            + request_handlers.handlers(self.requests)
            + step_handlers.handlers(self.steps)
        )

    def start(self):
        """Start the tasks that run beside the calls."""
        jobs = [
            self.link.run(),
            self.loads.run(),
            self.admission.run(self.view),
            self._send_report(),
        ]
        self._tasks = start_critical_tasks(jobs)

    async def close(self):
        """End all tasks and the work they hold."""
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        self.log.close()

    def unready(self):
        """Return why this instance takes no new work, or an empty string."""
        return "leaving" if self.leaving else self.without_table()

    def without_table(self):
        """Return why no table can be gone by here, or an empty string.

        An instance that reaches neither the log nor a peer may be the only one
        that still goes by a table which operators replaced long ago. While any
        peer is alive it goes on: the newest revision spreads by peers.
        """
        view = self.view()
        if view.table is None:
            return "no table known"
        if view.age <= self._settings.table.unconfirmed_grace:
            return ""
        own = self._settings.instance.name
        others = [one for one in view.members if one.name != own]
        if any(one.state is State.ALIVE for one in others):
            return ""
        return "alone with a table that nobody has confirmed for long"

    def status(self):
        """Return the system as seen from here, JSON-ready."""
        view = self.view()
        return {
            "instance": self._settings.instance.name,
            "leaving": self.leaving,
            "revision": view.revision,
            "unconfirmed_seconds": _age(view),
            "weights": view.weights,
            "members": [_member(member) for member in view.members],
            "backends": [
                _backend(backend) | self.chooser.status(backend)
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


def _age(view):
    """Return seconds since the log confirmed the view; None: it never did.

    Infinity is no JSON: strict readers failed on the page of an instance that
    started while the log was down, just when an operator looked at it.
    """
    return round(view.age, 3) if math.isfinite(view.age) else None


def _member(member):
    return {
        "name": member.name,
        "state": str(member.state),
        "availability_zone": member.availability_zone,
        "incarnation": member.incarnation,
    }


def _backend(backend):
    return {
        "name": backend.name,
        "service": backend.service,
        "state": str(backend.state),
        "availability_zone": backend.availability_zone,
    }
