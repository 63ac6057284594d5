"""Rollout of the newest announced weights to all engines, based on their reports.

The plan is recomputed continuously from the engines' reports and keeps no state, so a new
holder of the lease needs no handover. Orders are idempotent ("be at version v") and carry
the fencing number. Replies to orders do not change an engine's known version; only
``load`` reports do.

Some engines refuse orders with a stale fencing number. Others accept them: if a frozen
holder resumes and sends one, the next report shows an older version, and the current
holder orders the newest version again.
"""

import asyncio
import contextlib
import random

from sassafrasdoor import clock
from sassafrasdoor.backends.interface import Order, Stale
from sassafrasdoor.events import EVENTS
from sassafrasdoor.logs import changed
from sassafrasdoor.metrics import counter, gauge
from sassafrasdoor.outcomes import ReplyLost, Unavailable
from sassafrasdoor.view import BackendKind, State
from sassafrasdoor.weights.plan import EngineState, Phase, next_swaps

POLL_INTERVAL = 0.1  # seconds
MIN_POLL_INTERVAL = 0.05  # seconds
CONFIRM_INTERVAL = 0.25  # seconds; reports lag, an earlier one shows the old version
MAX_CONCURRENT_READS = 32
MAX_ORDER_ATTEMPTS = 3
MAX_BACKOFF_DOUBLINGS = 16
MAX_CHECKS_PER_SECOND = 20  # bounds processor time for any number of engines
UNFENCED_CHECK_FACTOR = 3  # by which engines that ignore the fence are read more often

ORDERS = counter("weights_orders_total", "Orders to engines, by result.")
BEHIND = gauge("weights_engines_behind", "Engines reported behind, by model.")


def backoff(weights, failures):
    """Return the seconds to wait after ``failures`` in a row, with jitter."""
    doublings = min(failures - 1, MAX_BACKOFF_DOUBLINGS)
    longest = min(weights.retry_limit, weights.retry_interval * 2**doublings)
    return longest * random.uniform(0.5, 1.0)


class Rollout:
    """Orders swaps while ``holder.fence`` is set; ``view_getter()`` returns the view."""

    __slots__ = (
        "_backends",
        "_behind",
        "_client",
        "_draining",
        "_engines",
        "_fence",
        "_holder",
        "_reads",
        "_settings",
        "_stale_fence",
        "_targets",
        "_tasks",
        "_view",
        "_wake",
    )

    def __init__(self, settings, engine_client, holder, view_getter):
        self._settings = settings
        self._client = engine_client
        self._holder = holder
        self._view = view_getter
        self._engines = {}
        self._targets = {}
        self._backends = None
        self._behind = {}
        self._draining = False
        self._fence = 0
        self._stale_fence = 0
        self._tasks = set()
        self._reads = asyncio.Semaphore(MAX_CONCURRENT_READS)
        self._wake = asyncio.Event()

    @property
    def behind(self):
        """Number of engines behind the announced version, by model."""
        return dict(self._behind)

    async def run(self):
        """Bring engines to the announced versions until cancelled."""
        try:
            while True:
                if self._may_act():
                    self._run_iteration()
                await self._wait()
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

    async def drain(self):
        """Stop sending orders; return whether none is in flight any more.

        If the lease were handed over with an order in flight, it could conflict with one
        of the successor at an engine that ignores fencing numbers.
        """
        self._draining = True
        deadline = clock.deadline_in(self._settings.weights.order_timeout)
        while self._swapping and not clock.passed(deadline):  # noqa: ASYNC110
            await asyncio.sleep(POLL_INTERVAL)
        return not self._swapping

    @property
    def _swapping(self):
        return any(engine.phase is Phase.SWAPPING for engine in self._engines.values())

    def _may_act(self):
        """Return whether the lease is held; expire all reports if it is newly held."""
        fence = self._holder.fence
        if self._draining or not fence or fence <= self._stale_fence:
            return False
        if fence != self._fence:
            # Another holder may have sent orders since the last own term, and at engines
            # that ignore the fence an old order may still take effect: reports from
            # before are outdated.
            self._fence = fence
            self._expire_reports()
        return True

    def _run_iteration(self):
        view = self._view()
        self._apply_view(view)
        engines = list(self._engines.values())
        for engine in engines:
            if clock.passed(engine.check_deadline) and not engine.reading:
                self._start_task(self._read(engine))
        for swap in next_swaps(self._settings, view, engines):
            self._start_swap(swap)
        self._update_metrics(view, engines)

    def _apply_view(self, view):
        """Apply the engines and the newest versions of the view."""
        if view.backends is not self._backends:
            self._backends = view.backends
            self._update_engines(view)
        if self._targets != view.weights:
            self._targets = dict(view.weights)
            # Swaps start with the least busy engines, which requires fresh reports.
            self._expire_reports()

    def _update_engines(self, view):
        present = {}
        for backend in view.backends:
            if backend.kind is BackendKind.ENGINE and backend.state is State.ALIVE:
                known = self._engines.get(backend.name)
                if known is None or known.backend.address != backend.address:
                    known = EngineState(backend)
                known.backend = backend
                present[backend.name] = known
        self._engines = present

    def _expire_reports(self):
        for engine in self._engines.values():
            engine.check_deadline = clock.LONG_AGO

    async def _read(self, engine):
        """Read the engine's report and update its state."""
        weights = self._settings.weights
        engine.reading = True
        try:
            async with self._reads:
                load = await self._client.load(engine.backend)
        finally:
            engine.reading = False
        if not load:
            engine.versions = None
            engine.failed_reads += 1
            wait = backoff(weights, engine.failed_reads)
            engine.check_deadline = clock.deadline_in(wait)
            return
        engine.versions = load.versions
        engine.failed_reads = 0
        engine.in_flight = load.running + load.queued
        engine.check_deadline = clock.deadline_in(self._check_interval(engine))
        self._wake.set()

    def _check_interval(self, engine):
        """Return the seconds until the engine's next periodic report, with jitter."""
        interval = self._settings.weights.check_interval
        if not engine.backend.checks_fencing:
            interval /= UNFENCED_CHECK_FACTOR
        interval = max(interval, len(self._engines) / MAX_CHECKS_PER_SECOND)
        return interval * random.uniform(0.8, 1.2)

    def _start_swap(self, swap):
        swap.engine.phase = Phase.SWAPPING
        self._start_task(self._swap(swap))

    async def _swap(self, swap):
        """Order one swap and confirm it; the engine is idle afterwards."""
        engine = swap.engine
        confirmed = False
        try:
            outcome = await self._order(swap)
            if outcome:
                engine.phase = Phase.CONFIRMING
                self._wake.set()
                deadline = clock.deadline_in(self._settings.weights.confirm_timeout)
                confirmed = await self._confirm(swap, deadline)
            elif isinstance(outcome, ReplyLost):
                confirmed = await self._confirm(swap, clock.LONG_AGO)
            self._record_swap_result(swap, confirmed)
        finally:
            engine.phase = Phase.IDLE
            self._wake.set()

    async def _order(self, swap):
        """Send the order; repeat it while replies are lost and the engine is behind.

        With a slow store the engine may still be fetching when the order times out. If
        its slot of the window were freed, further engines would share the store and slow
        it down more. A repeated order waits for the running swap.
        """
        for _ in range(MAX_ORDER_ATTEMPTS):
            # Checked here too, not only in planning: the lease may have lapsed since, and
            # a successor may send other orders.
            if not self._may_act():
                return Unavailable("lease lost before the order was sent")
            deadline = clock.deadline_in(self._settings.weights.order_timeout)
            order = Order(self._fence, swap.model, swap.version, "", deadline)
            outcome = await self._client.order(swap.engine.backend, order)
            self._record_order(swap, order, outcome)
            if not isinstance(outcome, ReplyLost):
                return outcome
            if await self._confirm(swap, clock.LONG_AGO):
                return outcome
            if swap.engine.versions is None:
                return outcome
        return outcome

    async def _confirm(self, swap, deadline):
        """Read reports, at least one, until the version shows or ``deadline`` passes."""
        while True:
            await asyncio.sleep(CONFIRM_INTERVAL)
            if not swap.engine.reading:
                await self._read(swap.engine)
            if swap.engine.versions and not swap.engine.is_behind(
                swap.model, swap.version
            ):
                return True
            if clock.passed(deadline):
                return False

    def _record_swap_result(self, swap, confirmed):
        engine, weights = swap.engine, self._settings.weights
        if confirmed:
            engine.attempts = 0
            return
        ORDERS.inc({"result": "unconfirmed"})
        engine.attempts += 1
        wait = backoff(weights, engine.attempts)
        engine.retry_deadline = clock.deadline_in(wait)
        engine.check_deadline = clock.LONG_AGO

    def _record_order(self, swap, order, outcome):
        result = "done" if outcome else type(outcome).__name__
        ORDERS.inc({"result": result})
        EVENTS.add(
            "weights-order",
            engine=swap.engine.backend.name,
            model=swap.model,
            version=swap.version,
            fence=order.fence,
            result=result,
        )
        if isinstance(outcome, Stale):
            # A newer fencing number exists: the lease is lost, though it has not expired by
            # the local clock.
            self._stale_fence = max(self._stale_fence, order.fence)
            changed("weights.fenced_off", fence=order.fence, newest=outcome.fence)

    def _update_metrics(self, view, engines):
        for model, version in view.weights.items():
            behind = sum(
                model in engine.backend.models
                and (engine.versions is None or engine.is_behind(model, version))
                for engine in engines
            )
            if bool(behind) != bool(self._behind.get(model)):
                changed("weights.rollout", model=model, version=version, behind=behind)
            self._behind[model] = behind
            BEHIND.set({"model": model}, behind)

    def _start_task(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _wait(self):
        """Wait for ``POLL_INTERVAL``, or less if an engine's state changed."""
        # Not ``asyncio.wait_for``: on Python 3.11 it loses a cancellation that coincides
        # with the event, and the task would never end.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(POLL_INTERVAL):
                await self._wake.wait()
        await asyncio.sleep(MIN_POLL_INTERVAL)
        self._wake.clear()
