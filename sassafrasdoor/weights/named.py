"""Moving replicas to the named versions of their models, from one fenced holder.

Every replica can serve every model, but each load costs seconds of its capacity. So
the replicas of a service are shared out among its models by demand, a replica keeps
its model while it can, and only a model's own replicas follow its versions. What is
believed of a replica's versions comes from the platform's list and from answers.
"""

import asyncio

from sassafrasdoor.backends.interface import Stale
from sassafrasdoor.backends.replicas import OrderRefused, VersionOrder
from sassafrasdoor.clock import LONG_AGO, deadline_in, now, passed
from sassafrasdoor.decisions import note
from sassafrasdoor.metrics import counter, histogram
from sassafrasdoor.weights import pace

TICK = 0.1
IDLE_TICK = 1.0
"""Seconds between looks of a process that does not order loads."""
LOADS_AT_ONCE = 2
LOADS_SHARE = 0.4
"""Replicas that load together, at least, and as a share of a service's: with more, each
load takes longer."""
LOAD_TIME = 1.2
"""Seconds that a load holds its place: 0.9 s, and a little for the order's way."""
SHORTEST_LOAD = 0.9
"""Seconds that a load takes at least: items of its model sent before are refused."""
BELIEF_LAG = 3.5
"""Seconds after an accepted order before the list must show it: a load, a heartbeat
of 1.2 s and the list's own lag of 0.8 s."""
ORDER_TIMEOUT = 1.5
REFUSED_PAUSE = 0.4
"""Seconds before a refused or lost order is tried again."""

FIRST_FENCE = 1
"""The fencing number of the first holder ever: nobody ordered before it."""

ORDERS = counter("weights_named_orders_total", "Orders to replicas, by result.")
WAITED = histogram(
    "weights_named_wait_seconds",
    "Seconds from a version's name to an accepted order of it.",
    buckets=[0.1, 0.3, 0.6, 1, 1.5, 2.5, 4, 8],
)


class _Sent:
    """The last order to an incarnation of a replica: of which model and version, and
    until when it is neither repeated nor doubted (``quiet_until``); ``loads_until`` is
    when its load has ended."""

    __slots__ = ("loads_until", "model", "quiet_until", "replica", "version")

    def __init__(self, replica, model, version):
        self.replica = replica
        self.model = model
        self.version = version
        self.quiet_until = deadline_in(ORDER_TIMEOUT)
        self.loads_until = deadline_in(LOAD_TIME)


class Mover:
    """Orders loads while ``holder.fence`` is set and settled.

    ``handover()`` (seconds) is kept between a former holder's orders and our own.
    ``work`` tells of the steps that run here: ``waiting(model)`` items without a
    replica, and ``oldest_allowed(model)``, the version that open steps ask for.
    """

    __slots__ = (
        "_acts_from",
        "_assigned",
        "_client",
        "_demand",
        "_fence",
        "_handover",
        "_holder",
        "_named",
        "_named_at",
        "_replicas",
        "_routes",
        "_sent",
        "_stale_fence",
        "_tasks",
        "_wake",
        "_work",
    )

    def __init__(self, client, holder, replicas, routes, handover, work):
        self._client = client
        self._holder = holder
        self._replicas = replicas
        self._routes = routes
        self._handover = handover
        self._work = work
        self._named = {}
        self._named_at = {}
        self._demand = {}
        self._assigned = {}
        self._sent = {}
        self._fence = 0
        self._stale_fence = 0
        self._acts_from = LONG_AGO
        self._tasks = set()
        self._wake = asyncio.Event()

    def named(self, model, version):
        """Take a version that a trainer has named; older ones change nothing."""
        if version > self._named.get(model, 0):
            self._named[model] = version
            self._named_at[model] = now()
            note("weights.named", model=model, version=version)
            self._wake.set()

    def step_seen(self, step):
        """Take a step's size as its model's demand."""
        if step.spec.model:
            self._demand[step.spec.model] = sum(item.tokens for item in step.spec.items)

    def wake(self):
        """Look again at once: this process has begun to order the loads."""
        self._wake.set()

    async def run(self):
        """Order loads until cancelled."""
        while True:
            try:
                async with asyncio.timeout(TICK if self._holder.fence else IDLE_TICK):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            if self._named and self._may_act():
                self._step()

    def _may_act(self):
        fence = self._holder.fence
        if not fence or fence <= self._stale_fence:
            return False
        if fence != self._fence:
            # A former holder's last orders may be under way. Orders of two holders
            # that mix would take replicas back and forth.
            first = fence == FIRST_FENCE
            self._fence = fence
            self._acts_from = LONG_AGO if first else deadline_in(self._handover())
            self._sent.clear()
            self._assigned.clear()
        return passed(self._acts_from)

    def _step(self):
        configuration = self._routes.current
        if configuration is None:
            return
        for service, models in configuration.service_models.items():
            replicas = self._replicas.of_service(service)
            if replicas and models:
                self._assign(replicas, models)
                self._order_due(replicas)

    def _order_due(self, replicas):
        loading = sum(not passed(one.loads_until) for one in self._sent.values())
        most = max(LOADS_AT_ONCE, int(LOADS_SHARE * len(replicas)))
        for replica in sorted(replicas, key=lambda one: one.state.in_flight):
            for model in self._assigned.get(replica.identity, ()):
                if loading >= most:
                    return
                version = self._named.get(model, 0)
                if not self._is_due(replica, model, version):
                    continue
                if not self._defers(replica, model) and self._may_load(replica, model):
                    loading += 1
                    self._begin(replica, model, version)
                    break

    def _is_due(self, replica, model, version):
        if replica.versions.get(model, 0) >= version:
            return False
        sent = self._sent.get(replica.identity)
        if sent is None or sent.replica is not replica:
            return True
        if not passed(sent.loads_until):
            return False
        same = (sent.model, sent.version) == (model, version)
        return not same or passed(sent.quiet_until)

    def _may_load(self, replica, model):
        own = sum(model in models for models in self._assigned.values())
        loading = sum(
            one.model == model and not passed(one.loads_until)
            for one in self._sent.values()
        )
        return pace.may_load(own, loading, self._serves(replica, model))

    def _serves(self, replica, model):
        """Say whether the weights of a replica are new enough for all open steps."""
        return replica.versions.get(model, 0) >= self._work.oldest_allowed(model)

    def _defers(self, replica, model):
        """Say whether a load should wait because its replica is needed as it is.

        A trainer that is behind asks for a step at the moment it names a version;
        the step's items may run under the version before. Loading then takes 0.9 s
        from each replica while items wait; once the last items run, it takes it
        from replicas that have little to do.
        """
        return pace.waits(
            self._named_at[model],
            now(),
            bool(self._work.waiting(model)),
            self._serves(replica, model),
        )

    def _begin(self, replica, model, version):
        self._sent[replica.identity] = _Sent(replica, model, version)
        task = asyncio.ensure_future(self._order(replica, model, version))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _order(self, replica, model, version):
        sent = self._sent[replica.identity]
        order = VersionOrder(
            model,
            version,
            self._holder.identity,
            self._fence,
            self._finish_first(replica),
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
            seconds_since_named=round(now() - self._named_at[model], 2),
            fence=order.fence,
            outcome=outcome,
            reason="" if result is True else result.reason,
        )
        if result is True:
            sent.quiet_until = deadline_in(BELIEF_LAG)
            replica.loading_until[model] = deadline_in(SHORTEST_LOAD)
            WAITED.observe({}, now() - self._named_at[model])
            return
        sent.quiet_until = deadline_in(REFUSED_PAUSE)
        if isinstance(result, OrderRefused):
            sent.loads_until = sent.quiet_until
        if isinstance(result, Stale):
            # Somebody holds a higher number: our lease is gone although our own
            # clock does not know it yet.
            self._stale_fence = max(self._stale_fence, order.fence)

    def _finish_first(self, replica):
        """Say whether runs must end under the weights that they began with."""
        routes = self._routes.current.routes
        return any(
            route.one_version
            for route in routes
            if replica.listing.service in dict(route.services)
        )

    def _assign(self, replicas, models):
        """Share the replicas out among the models; each keeps its own if it can."""
        wanted = shares(len(replicas), models, self._demand)
        left = {one.identity: one for one in replicas}
        if len(replicas) < len(models):
            order = sorted(left)
            for number, model in enumerate(models):
                identity = order[number % len(order)]
                if number < len(order):
                    self._assigned[identity] = ()
                self._assigned[identity] += (model,)
            return
        taken = {}
        for model in models:
            mine = sorted(left.values(), key=lambda one: self._distance(one, model))
            for one in mine[: wanted[model]]:
                if self._keeps(one, model):
                    taken[one.identity] = (model,)
        for identity in taken:
            del left[identity]
        for model in models:
            have = sum(found == (model,) for found in taken.values())
            mine = sorted(left.values(), key=lambda one: self._distance(one, model))
            for one in mine[: max(0, wanted[model] - have)]:
                taken[one.identity] = (model,)
                del left[one.identity]
        if taken != {key: self._assigned.get(key) for key in taken}:
            note(
                "weights.assigned",
                replicas={key: value[0] for key, value in taken.items()},
            )
        self._assigned = {**self._assigned, **taken}

    def _keeps(self, replica, model):
        return self._assigned.get(replica.identity) == (model,)

    def _distance(self, replica, model):
        kept = 0 if self._keeps(replica, model) else 1
        return (kept, -replica.versions.get(model, 0), replica.identity)


def shares(count, models, demand):
    """Return how many of ``count`` replicas each model gets, by its demand.

    Every model gets one; each further one goes where most is missing.
    """
    if count < len(models):
        return dict.fromkeys(models, 1)
    weights = {model: max(1, demand.get(model, 1)) for model in models}
    if len(demand) < len(models):
        weights = dict.fromkeys(models, 1)
    total = sum(weights.values())
    exact = {model: count * weight / total for model, weight in weights.items()}
    found = dict.fromkeys(models, 1)
    while sum(found.values()) < count:
        least = max(exact, key=lambda model: (exact[model] - found[model], model))
        found[least] += 1
    return found
