"""Orders replicas to load the announced versions of their models.

Only the holder of the lease sends orders, with its fencing number. The replicas of a
service are assigned to its models by demand; a replica keeps its model where possible
and loads the versions of that model only. The versions that replicas have are known from
the platform's list and from answers. Under load control, they are assigned
such that all trainers are equally late, and a new holder of the lease takes the present
assignment from their versions.
"""

import asyncio

from sassafrasdoor.backends.interface import Stale
from sassafrasdoor.backends.replicas import OrderMisdirected, OrderRefused, VersionOrder
from sassafrasdoor.clock import LONG_AGO, deadline_in, now, passed
from sassafrasdoor.decisions import note
from sassafrasdoor.metrics import counter, gauge, histogram
from sassafrasdoor.weights import load_policy, shares

# Durations in seconds.
POLL_INTERVAL = 0.1
IDLE_POLL_INTERVAL = 1.0  # of a process that does not hold the lease
MIN_CONCURRENT_LOADS = 2
CONCURRENT_LOAD_SHARE = 0.4  # of a service's replicas
LOAD_TIME = 1.2  # from an order until its load counts as ended
MIN_LOAD_TIME = 0.9  # after an accepted order; the replica refuses items meanwhile
REPORT_LAG = 3.5  # from an accepted order until the list must show its version
ORDER_TIMEOUT = 1.5
RETRY_DELAY = 0.4  # after a refused or lost order

FIRST_FENCE = 1  # of the first holder, which has no predecessor

ORDERS = counter("weights_named_orders_total", "Orders to replicas, by result.")
MOVES = counter("weights_moves_total", "Replicas that changed their model, by model.")
ASSIGNED = gauge("weights_replicas_assigned", "Replicas assigned to each model.")
ORDER_DELAY = histogram(
    "weights_named_wait_seconds",
    "Seconds from a version's name to an accepted order of it.",
    buckets=[0.1, 0.3, 0.6, 1, 1.5, 2.5, 4, 8],
)


class _LastOrder:
    """The last order to one incarnation of a replica.

    It is not repeated before ``retry_deadline``; its load counts as ended after
    ``load_deadline``. ``is_misdirected`` says that another replica has the address: this
    one is gone, but may be listed for seconds, and gets no order before
    ``retry_deadline``.
    """

    __slots__ = (
        "is_misdirected",
        "load_deadline",
        "model",
        "replica",
        "retry_deadline",
        "version",
    )

    def __init__(self, replica, model, version):
        self.replica = replica
        self.model = model
        self.version = version
        self.is_misdirected = False
        self.retry_deadline = deadline_in(ORDER_TIMEOUT)
        self.load_deadline = deadline_in(LOAD_TIME)


class WeightsController:
    """Orders loads while ``holder.fence`` is set and the handover has passed.

    ``handover()`` returns the seconds to wait before the first order, since orders of a
    former holder may still arrive. ``work`` describes the steps run here:
    ``queued_items(model)`` returns the number of queued items, ``oldest_allowed(model)``
    the oldest version that serves all open steps. ``trainers`` are the ``Trainers``, None
    to assign by demand only.
    """

    __slots__ = (
        "_handover_deadline",
        "_assigned",
        "_adopted",
        "_client",
        "_demand",
        "_fence",
        "_handover",
        "_holder",
        "_target_versions",
        "_target_set_at",
        "_replicas",
        "_routes",
        "_last_orders",
        "_stale_fence",
        "_tasks",
        "_trainers",
        "_wake",
        "_work",
    )

    def __init__(self, client, holder, replicas, routes, handover, work, trainers=None):
        self._trainers = trainers
        self._adopted = set()
        self._client = client
        self._holder = holder
        self._replicas = replicas
        self._routes = routes
        self._handover = handover
        self._work = work
        self._target_versions = {}
        self._target_set_at = {}
        self._demand = {}
        self._assigned = {}
        self._last_orders = {}
        self._fence = 0
        self._stale_fence = 0
        self._handover_deadline = LONG_AGO
        self._tasks = set()
        self._wake = asyncio.Event()

    def set_target_version(self, model, version):
        """Record a version announced by a trainer; older ones are ignored."""
        if version > self._target_versions.get(model, 0):
            self._target_versions[model] = version
            self._target_set_at[model] = now()
            note("weights.named", model=model, version=version)
            self._wake.set()

    def record_demand(self, step):
        """Record the tokens of a step as the demand of its model."""
        if step.spec.model:
            self._demand[step.spec.model] = sum(item.tokens for item in step.spec.items)

    def wake(self):
        """Order loads at once instead of at the next poll."""
        self._wake.set()

    async def run(self):
        """Order loads until cancelled."""
        while True:
            try:
                async with asyncio.timeout(
                    POLL_INTERVAL if self._holder.fence else IDLE_POLL_INTERVAL
                ):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            if self._target_versions and self._may_act():
                self._order_loads()

    def _may_act(self):
        fence = self._holder.fence
        if not fence or fence <= self._stale_fence:
            return False
        if fence != self._fence:
            # The last orders of a former holder may still be in flight.
            is_first_holder = fence == FIRST_FENCE
            self._fence = fence
            self._handover_deadline = (
                LONG_AGO if is_first_holder else deadline_in(self._handover())
            )
            self._last_orders.clear()
            self._assigned.clear()
            self._adopted.clear()
        return passed(self._handover_deadline)

    def _order_loads(self):
        configuration = self._routes.current
        if configuration is None:
            return
        for service, models in configuration.service_models.items():
            replicas = self._replicas.of_service(service)
            if replicas and models:
                self._assign(service, replicas, models)
                self._order_due_loads(replicas)

    def _order_due_loads(self, replicas):
        loading = sum(
            not passed(order.load_deadline) for order in self._last_orders.values()
        )
        max_loads = max(
            MIN_CONCURRENT_LOADS, int(CONCURRENT_LOAD_SHARE * len(replicas))
        )
        for replica in sorted(replicas, key=self._load_order):
            for model in self._assigned.get(replica.identity, ()):
                if loading >= max_loads:
                    return
                version = self._target_versions.get(model, 0)
                if not self._is_due(replica, model, version):
                    continue
                if not self._should_defer(replica, model) and self._may_load(
                    replica, model
                ):
                    loading += 1
                    self._start_order(replica, model, version)
                    break

    def _load_order(self, replica):
        """Return the sort key of a replica for loads: those that are gone come last."""
        last_order = self._last_orders.get(replica.identity)
        is_gone = (
            last_order is not None
            and last_order.replica is replica
            and last_order.is_misdirected
        )
        return is_gone, replica.state.in_flight

    def _is_due(self, replica, model, version):
        if replica.versions.get(model, 0) >= version:
            return False
        last_order = self._last_orders.get(replica.identity)
        if last_order is None or last_order.replica is not replica:
            return True
        if not passed(last_order.load_deadline):
            return False
        # A replica that is gone refuses the orders of all models.
        is_repeated = last_order.is_misdirected or (
            (last_order.model, last_order.version) == (model, version)
        )
        return not is_repeated or passed(last_order.retry_deadline)

    def _may_load(self, replica, model):
        assigned = sum(model in models for models in self._assigned.values())
        loading = sum(
            order.model == model and not passed(order.load_deadline)
            for order in self._last_orders.values()
        )
        return load_policy.may_load(
            assigned, loading, self._serves_open_steps(replica, model)
        )

    def _serves_open_steps(self, replica, model):
        """Return whether a replica's weights are new enough for all open steps."""
        return replica.versions.get(model, 0) >= self._work.oldest_allowed(model)

    def _should_defer(self, replica, model):
        """Return whether a load is deferred so that the replica serves queued items."""
        return load_policy.should_defer(
            self._target_set_at[model],
            now(),
            bool(self._work.queued_items(model)),
            self._serves_open_steps(replica, model),
        )

    def _start_order(self, replica, model, version):
        self._last_orders[replica.identity] = _LastOrder(replica, model, version)
        task = asyncio.ensure_future(self._order(replica, model, version))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _order(self, replica, model, version):
        last_order = self._last_orders[replica.identity]
        order = VersionOrder(
            model,
            version,
            self._holder.identity,
            self._fence,
            self._must_finish_first(replica),
            deadline_in(ORDER_TIMEOUT),
        )
        result = await self._client.order(replica, order)
        outcome = "accepted" if result is True else type(result).__name__
        ORDERS.inc({"result": outcome})
        note(
            "weights.ordered",
            replica=replica.identity,
            model=model,
            version=version,
            believed=replica.versions.get(model, 0),
            seconds_since_named=round(now() - self._target_set_at[model], 2),
            fence=order.fence,
            outcome=outcome,
            reason="" if result is True else result.reason,
        )
        if result is True:
            last_order.retry_deadline = deadline_in(REPORT_LAG)
            replica.loading_deadlines[model] = deadline_in(MIN_LOAD_TIME)
            ORDER_DELAY.observe({}, now() - self._target_set_at[model])
            return
        last_order.retry_deadline = deadline_in(RETRY_DELAY)
        if isinstance(result, OrderRefused):
            last_order.load_deadline = last_order.retry_deadline
        if isinstance(result, OrderMisdirected):
            last_order.is_misdirected = True
            last_order.load_deadline = LONG_AGO
        if isinstance(result, Stale):
            # Another process already holds the lease.
            self._stale_fence = max(self._stale_fence, order.fence)

    def _must_finish_first(self, replica):
        """Return whether samples must finish with the weights that they started with."""
        routes = self._routes.current.routes
        return any(
            route.one_version
            for route in routes
            if replica.listing.service in dict(route.services)
        )

    def _allocate(self, service, replicas, models):
        """Return the number of replicas of each model."""
        if self._trainers is None or not self._trainers.is_active(service):
            return allocate_replicas(len(replicas), models, self._demand)
        self._trainers.report(models)
        self._adopt(service, replicas, models)
        joinable = {
            model
            for model in models
            if model in self._target_set_at
            and not passed(self._target_set_at[model] + shares.JOIN_WINDOW)
        }
        assigned = {}
        for replica in replicas:
            its_models = self._assigned.get(replica.identity, ())
            assigned[replica.identity] = its_models[0] if len(its_models) == 1 else None
        intervals = {
            replica.identity: replica.speed.lasting_interval for replica in replicas
        }
        loads = self._trainers.loads(models, joinable)
        return shares.allocate(assigned, intervals, loads)

    def _adopt(self, service, replicas, models):
        """Assign the replicas without an order of this holder by their versions.

        A new holder would otherwise move replicas whose model it does not know. This is
        done once, when the service is under load control and a version of each
        model is known.
        """
        if service in self._adopted or not self._target_versions.keys() >= set(models):
            return
        self._adopted.add(service)
        for replica in replicas:
            if replica.identity in self._last_orders:
                continue
            model = self._followed_model(replica, models)
            self._assigned[replica.identity] = () if model is None else (model,)

    def _followed_model(self, replica, models):
        """Return the model whose versions a replica has followed, None if unclear."""
        missing = sorted(
            (
                self._target_versions[model] - replica.versions.get(model, 0),
                model,
            )
            for model in models
        )
        if len(missing) > 1 and missing[0][0] == missing[1][0]:
            return None
        return missing[0][1]

    def _assign(self, service, replicas, models):
        """Assign the replicas to the models; each keeps its model where possible."""
        replica_counts = self._allocate(service, replicas, models)
        for model, count in replica_counts.items():
            ASSIGNED.set({"model": model}, count)
        unassigned = {replica.identity: replica for replica in replicas}
        if len(replicas) < len(models):
            identities = sorted(unassigned)
            for index, model in enumerate(models):
                identity = identities[index % len(identities)]
                if index < len(identities):
                    self._assigned[identity] = ()
                self._assigned[identity] += (model,)
            return
        assigned = {}
        for model in models:
            preferred = sorted(
                unassigned.values(),
                key=lambda replica: self._assignment_cost(replica, model),
            )
            for replica in preferred[: replica_counts[model]]:
                if self._is_assigned(replica, model):
                    assigned[replica.identity] = (model,)
        for identity in assigned:
            del unassigned[identity]
        for model in models:
            assigned_count = sum(
                assigned_models == (model,) for assigned_models in assigned.values()
            )
            preferred = sorted(
                unassigned.values(),
                key=lambda replica: self._assignment_cost(replica, model),
            )
            for replica in preferred[: max(0, replica_counts[model] - assigned_count)]:
                assigned[replica.identity] = (model,)
                del unassigned[replica.identity]
        if assigned != {key: self._assigned.get(key) for key in assigned}:
            self._record_assignment(assigned)
        self._assigned = {**self._assigned, **assigned}

    def _record_assignment(self, assigned):
        """Log a changed assignment; count the replicas that changed their model."""
        by_identity = {identity: model for identity, (model,) in assigned.items()}
        note("weights.assigned", replicas=by_identity)
        for identity, model in by_identity.items():
            if self._assigned.get(identity, (model,)) not in ((), (model,)):
                MOVES.inc({"model": model})

    def _is_assigned(self, replica, model):
        return self._assigned.get(replica.identity) == (model,)

    def _assignment_cost(self, replica, model):
        change_cost = 0 if self._is_assigned(replica, model) else 1
        return (change_cost, -replica.versions.get(model, 0), replica.identity)


def allocate_replicas(count, models, demand):
    """Return the number of replicas of each model, by demand, for ``count`` in total.

    Every model gets one; each further one goes to the model with the largest shortfall.
    """
    if count < len(models):
        return dict.fromkeys(models, 1)
    effective_demand = {model: max(1, demand.get(model, 1)) for model in models}
    if len(demand) < len(models):
        effective_demand = dict.fromkeys(models, 1)
    total = sum(effective_demand.values())
    exact = {
        model: count * tokens / total for model, tokens in effective_demand.items()
    }
    allocated = dict.fromkeys(models, 1)
    while sum(allocated.values()) < count:
        neediest = max(
            exact, key=lambda model: (exact[model] - allocated[model], model)
        )
        allocated[neediest] += 1
    return allocated
