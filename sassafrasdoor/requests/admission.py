"""Admission of callers' requests to services under load control.

Applies the decisions of ``routing.overload`` to the requests of ``DirectService``. The
state is kept by service, in this process only; callers of an instance that ends retry.
"""

import asyncio
import contextlib
import random

from sassafrasdoor.admission.retries import RetryBudget
from sassafrasdoor.backends.interface import Answer
from sassafrasdoor.backends.replicas import WrongReplica
from sassafrasdoor.clock import LONG_AGO, now
from sassafrasdoor.decisions import note
from sassafrasdoor.metrics import counter, gauge
from sassafrasdoor.outcomes import NotRun
from sassafrasdoor.requests.attempts import SERVER_ERROR
from sassafrasdoor.routing.overload import (
    AdmissionControl,
    Call,
    FirstAttempts,
    Refuse,
    ReplicaLoad,
    Send,
    Wait,
)

PART = "overload"  # name by which an operator disables this
RETRY_RATIO = 0.1  # second sends for each first send while calls queue
# Seconds without a refusal or a wait after which an overload counts as ended. A burst of
# calls is one overload, although single calls are admitted in between.
CALM_PERIOD = 1.0
# Seconds after the deadline of a wait at which it is ended. The event loop may call
# earlier than asked, by the resolution of its clock.
TIMER_SLACK = 0.001

DECISIONS = counter(
    "overload_decisions_total", "Requests subject to admission, by decision."
)
RELEASED = counter(
    "overload_released_total", "Requests that waited, by how they ended."
)
FURTHER_SENDS = counter(
    "overload_further_sends_total", "Sends after the first, by why and whether allowed."
)
WAITING = gauge("overload_waiting_calls", "Requests that wait here, by service.")


class Ticket:
    """A request's admission: its ``Call`` and the state of its service.

    ``future`` gets the decision for a call that waits. ``replica`` and ``sent`` are the
    replica and the counted send of an admitted call that has not been sent yet.
    ``refusals`` counts the replicas that refused it.
    """

    __slots__ = ("call", "future", "refusals", "replica", "sent", "service")

    def __init__(self, service, call):
        self.service = service
        self.call = call
        self.future = None
        self.refusals = 0
        self.replica = None
        self.sent = None


class ServiceState:
    """What admission knows of one service; ``tickets`` are those of waiting calls."""

    __slots__ = (
        "_last_overload_at",
        "_overload_since",
        "_refused",
        "_waited",
        "budget",
        "control",
        "first_attempts",
        "name",
        "tickets",
    )

    def __init__(self, name):
        self.name = name
        self.control = AdmissionControl(random.random)
        self.budget = RetryBudget(ratio=RETRY_RATIO)
        self.first_attempts = {}
        self.tickets = {}
        self._overload_since = None
        self._last_overload_at = LONG_AGO
        self._refused = 0
        self._waited = 0

    def record_decision(self, decision):
        """Count a decision; log when an overload begins or has ended."""
        current = now()
        DECISIONS.inc({"decision": type(decision).__name__.lower()})
        is_over = not isinstance(decision, Send)
        is_past = current - self._last_overload_at > CALM_PERIOD
        if self._overload_since is not None and is_past:
            note(
                "overload.ended",
                service=self.name,
                seconds=round(self._last_overload_at - self._overload_since, 3),
                refused=self._refused,
                waited=self._waited,
            )
            self._overload_since = None
        if not is_over:
            return
        if self._overload_since is None:
            self._overload_since = current
            self._refused = self._waited = 0
            note("overload.began", service=self.name)
        self._last_overload_at = current
        self._refused += isinstance(decision, Refuse)
        self._waited += isinstance(decision, Wait)


class CallAdmission:
    """Decides which requests are sent now, wait or are refused."""

    __slots__ = ("_replicas", "_services", "_settings")

    def __init__(self, replicas, settings):
        self._replicas = replicas
        self._settings = settings
        self._services = {}
        replicas.on_change(self._replicas_changed)

    def governs(self, service):
        """Return whether requests of a service are subject to admission."""
        return PART not in self._settings.disabled_parts and any(
            replica.uses_load_control for replica in self._replicas.of_service(service)
        )

    async def admit(self, attempts):
        """Wait until a request may be sent; return ``NotRun`` if it is refused."""
        if not self.governs(attempts.service):
            return None
        service = self._services.get(attempts.service)
        if service is None:
            service = self._services[attempts.service] = ServiceState(attempts.service)
        ticket = attempts.ticket = Ticket(service, _call(service, attempts.request))
        usual = self._replicas.choose(service.name)
        decision = service.control.decide(
            ticket.call, usual.identity, self._loads(service), now()
        )
        service.record_decision(decision)
        if isinstance(decision, Wait):
            decision = await self._wait(ticket, decision)
        elif isinstance(decision, Send):
            self._reserve(ticket, decision)
        if isinstance(decision, Refuse):
            return NotRun("the service is over capacity", decision.retry_after)
        return None

    def choose(self, attempts, why):
        """Return the replica for the next send of an admitted request, or None."""
        if why == "first":
            return self._take_reserved(attempts)
        ticket, service = attempts.ticket, attempts.ticket.service
        others = self._loads(service, attempts.tried)
        if why == "slow" or attempts.may_have_run:
            decision = service.control.decide_second(
                ticket.call, self._loads(service), others, service.budget, now()
            )
        else:
            decision = service.control.decide_again(
                ticket.call, others, ticket.refusals, now()
            )
        is_allowed = isinstance(decision, Send)
        FURTHER_SENDS.inc({"why": why, "allowed": str(is_allowed).lower()})
        if isinstance(decision, Refuse):
            attempts.retry_after = decision.retry_after
        return self._replica(service, decision, attempts.tried) if is_allowed else None

    def track(self, ticket, replica, task):
        """Count a send until its task has ended."""
        sent, ticket.sent = ticket.sent, None
        if sent is None:
            sent = self._record_send(ticket, replica)
        task.add_done_callback(
            lambda task: self._record_end(ticket, replica, sent, _result(task))
        )

    def close(self, ticket):
        """Release what a request still holds when it ends, also if its caller left."""
        service = ticket.service
        if service.tickets.pop(ticket.call, None) is not None:
            service.control.waiting.remove(ticket.call)
            WAITING.set({"service": service.name}, len(service.tickets))
        self._cancel_reservation(ticket)

    async def _wait(self, ticket, wait):
        loop = asyncio.get_running_loop()
        service = ticket.service
        ticket.future = loop.create_future()
        service.tickets[ticket.call] = ticket
        WAITING.set({"service": service.name}, len(service.tickets))
        timer = loop.call_at(wait.deadline + TIMER_SLACK, self._release, service)
        try:
            return await ticket.future
        finally:
            timer.cancel()

    def _release(self, service):
        """Let waiting calls go on as far as there is room."""
        if not service.tickets:
            return
        while released := service.control.release(self._loads(service), now()):
            call, decision = released
            ticket = service.tickets.pop(call)
            RELEASED.inc({"result": type(decision).__name__.lower()})
            if isinstance(decision, Send):
                self._reserve(ticket, decision)
            # Cancelled if its caller has just left; ``close`` gives the place back.
            with contextlib.suppress(asyncio.InvalidStateError):
                ticket.future.set_result(decision)
        WAITING.set({"service": service.name}, len(service.tickets))

    def _reserve(self, ticket, decision):
        ticket.service.budget.deposit()
        ticket.replica = self._replica(ticket.service, decision)
        ticket.sent = self._record_send(ticket, ticket.replica)

    def _take_reserved(self, attempts):
        ticket, replica = attempts.ticket, attempts.ticket.replica
        is_current = self._replicas.get(replica.identity) is replica
        if is_current and replica.is_usable:
            return replica
        # It has left while the call waited.
        self._cancel_reservation(ticket)
        return self._replicas.choose(attempts.service, attempts.tried)

    def _cancel_reservation(self, ticket):
        if ticket.sent is not None:
            sent, ticket.sent = ticket.sent, None
            ticket.service.control.record_end(sent, now())
            self._release(ticket.service)

    def _record_send(self, ticket, replica):
        return ticket.service.control.record_send(ticket.call, _load(replica), now())

    def _record_end(self, ticket, replica, sent, result):
        control = ticket.service.control
        is_answer = isinstance(result, Answer) and result.status < SERVER_ERROR
        control.record_end(sent, now(), _load(replica) if is_answer else None)
        if isinstance(result, NotRun) and not isinstance(result, WrongReplica):
            ticket.refusals += 1
            report = replica.load_report
            # A call that was not sent, for lack of memory, has no report of its own.
            if report is not None and report.at > sent.at:
                control.record_refusal(_load(replica), now())
        self._release(ticket.service)

    def _replica(self, service, decision, avoid=()):
        if decision.identity is None:
            return self._replicas.choose(service.name, avoid)
        return self._replicas.get(decision.identity)

    def _loads(self, service, avoid=()):
        """Return the ``ReplicaLoad`` of the replicas among which calls are placed."""
        candidates = [
            replica
            for replica in self._replicas.of_service(service.name)
            if replica.identity not in avoid
        ]
        healthy = [replica for replica in candidates if not replica.state.is_suspect]
        return [_load(replica) for replica in healthy or candidates]

    def _replicas_changed(self):
        for service in self._services.values():
            usable = self._replicas.of_service(service.name)
            service.control.retain({replica.identity for replica in usable})
            self._release(service)


def _load(replica):
    return ReplicaLoad(replica.identity, replica.listing.slots, replica.load_report)


def _result(task):
    """Return the result of a send that has ended, None if it was cancelled or failed."""
    return None if task.cancelled() or task.exception() else task.result()


def _call(service, request):
    """Return the ``Call`` of a request; its target counts from the first attempt."""
    route, current = request.route, now()
    attempts = service.first_attempts.setdefault(route.name, FirstAttempts())
    left = request.deadline - current
    elapsed = attempts.elapsed(left, route.target, current)
    return Call(
        request.grant.account,
        route.target,
        current - elapsed + route.target,
        request.deadline,
        returned=elapsed > 0,
    )
