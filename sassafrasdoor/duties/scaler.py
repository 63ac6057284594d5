"""Orders replicas again that were lost, while this process holds the lease."""

import asyncio
from collections import Counter

from sassafrasdoor.clock import LONG_AGO, deadline_in, now, passed
from sassafrasdoor.decisions import note
from sassafrasdoor.duties.scaling import (
    DemandMemory,
    ScalingLedger,
    ScalingPolicy,
    base_record,
    interruptible_target,
    is_behind,
)
from sassafrasdoor.log.tail import Tail
from sassafrasdoor.metrics import counter
from sassafrasdoor.outcomes import Outcome

TOPIC = "scale"
CHECK_INTERVAL = 1.0  # seconds
READ_INTERVAL = 2.0  # seconds between reads of a topic of a few records
APPEND_TIMEOUT = 1.0  # seconds; a slow log answers within 0.25 s
# Seconds between repeats of the first numbers, whose records the log keeps for minutes.
BASE_REPEAT_INTERVAL = 60.0
RECENT_STEPS = 8  # of a trainer, to see how often it submits one
CALL_TIMEOUT = 1.5  # seconds for the platform to answer an order
# Seconds after the list of replicas answers again in which lapsed entries return.
LIST_RETURN_TIME = 5.0

ORDERS = counter("scaling_orders_total", "Orders of replicas, by result.")


class ReplicaScaler:
    """Keeps the replicas with which the operator began, and adds some for large steps.

    ``turn`` is the ``Turn`` of the duty, ``client`` a ``DutyClient``.
    ``recent_steps(model, count)`` returns the last steps of a model.
    """

    __slots__ = (
        "_base_deadlines",
        "_client",
        "_demand_memories",
        "_ledger",
        "_log",
        "_policy",
        "_recent_steps",
        "_replicas",
        "_routes",
        "_turn",
        "tail",
    )

    def __init__(self, log, client, turn, replicas, routes, recent_steps):
        self._recent_steps = recent_steps
        self._base_deadlines = {}
        self._demand_memories = {}
        self._log = log
        self._client = client
        self._turn = turn
        self._replicas = replicas
        self._routes = routes
        self._ledger = ScalingLedger()
        self._policy = ScalingPolicy()
        self.tail = Tail(log, TOPIC, 0, self._fold, self._pause, asyncio.Event())

    def _pause(self):
        return READ_INTERVAL

    def _fold(self, offset, data):
        problem = self._ledger.fold(data)
        if problem is not None:
            note("scaling.record_unreadable", offset=offset, reason=problem.reason)

    async def run(self):
        """Order what is missing while this process holds the lease, until cancelled."""
        while True:
            if self._turn.is_held:
                self.tail.wanted.set()
            else:
                self.tail.wanted.clear()
                self._policy.forget_losses()
            if self._turn.fence and self.tail.has_caught_up:
                await self._check_services()
            await asyncio.sleep(CHECK_INTERVAL)

    @property
    def _is_list_reliable(self):
        tail = self._replicas.list_tail
        if tail.confirmed_at is None or tail.failing_since is not None:
            return False
        return tail.restored_at is None or passed(tail.restored_at + LIST_RETURN_TIME)

    async def _check_services(self):
        configuration = self._routes.current
        if configuration is None or not self._is_list_reliable:
            self._policy.forget_losses()
            return
        for service, scaling in configuration.scaling.items():
            listings = [one.listing for one in self._replicas.of_service(service)]
            counts = Counter((one.zone, one.interruptible) for one in listings)
            self._policy.observe(service, counts, now())
            base = self._ledger.base.get(service)
            if base is None and counts and self._policy.has_settled(service, now()):
                await self._append_base(service, counts)
            elif base is not None:
                if passed(self._base_deadlines.get(service, LONG_AGO)):
                    await self._append_base(service, base)
                added = self._added_replicas(service, base, scaling)
                for place, count in self._policy.due_orders(
                    service, base, scaling, now(), added
                ):
                    await self._order(service, place, count, counts[place])

    def _added_replicas(self, service, base, scaling):
        models = self._routes.current.service_models.get(service, ())
        memory = self._demand_memories.setdefault(service, DemandMemory())
        items = memory.record(self._demand(models), now())
        slots = min(
            (one.listing.slots for one in self._replicas.of_service(service)), default=0
        )
        return interruptible_target(base, scaling, slots, items)

    def _demand(self, models):
        """Return the items of one step of each trainer, 0 while none is behind."""
        steps = [self._recent_steps(model, RECENT_STEPS) for model in models]
        is_any_behind = any(
            is_behind([(one.seen_at, one.ended_at) for one in of_model], now())
            for of_model in steps
        )
        if not is_any_behind:
            return 0
        return sum(len(of_model[-1].items) for of_model in steps if of_model)

    async def _append_base(self, service, counts):
        self._base_deadlines[service] = deadline_in(BASE_REPEAT_INTERVAL)
        record = base_record(service, counts)
        deadline = deadline_in(APPEND_TIMEOUT)
        result = await self._log.append(TOPIC, 0, [record], deadline)
        if isinstance(result, Outcome):
            note("scaling.base_not_kept", service=service, reason=result.reason)

    async def _order(self, service, place, count, present):
        fence = self._turn.fence
        if not fence:
            return
        result = await self._client.order_replicas(
            self._turn.identity,
            fence,
            service,
            place,
            count,
            deadline_in(CALL_TIMEOUT),
        )
        label = "accepted" if result is True else type(result).__name__
        ORDERS.inc({"result": label})
        note(
            "scaling.ordered",
            service=service,
            zone=place[0],
            interruptible=place[1],
            wanted=count,
            present=present,
            fence=fence,
            result=label,
            reason="" if result is True else result.reason,
        )
