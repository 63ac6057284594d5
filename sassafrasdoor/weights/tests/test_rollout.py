"""Tests of the rollout of weights to engine stand-ins, with injected faults."""

import asyncio
import unittest

from tornado.web import Application, RequestHandler

from sassafrasdoor import settings
from sassafrasdoor.backends.http import HttpEngine
from sassafrasdoor.backends.tests.fixtures import MODEL, BackendsTestCase
from sassafrasdoor.log.agreed import Agreed, fold
from sassafrasdoor.log.interface import Record
from sassafrasdoor.standin import serving
from sassafrasdoor.support import until
from sassafrasdoor.view import Backend, View
from sassafrasdoor.weights import versions
from sassafrasdoor.weights.plan import EngineState
from sassafrasdoor.weights.rollout import Rollout

FAST_SETTINGS = {
    "store_concurrency": 4,
    "order_timeout": 1.0,
    "confirm_timeout": 0.5,
    "check_interval": 0.3,
    "retry_interval": 0.05,
    "retry_limit": 0.2,
}
FAULTS = (
    # faults of the engine, number of orders until it has swapped
    ({}, 1),
    ({"fail_swaps": 2}, 3),
    ({"late_swaps": 1}, 1),
    ({"false_swaps": 2}, 3),
    ({"lost_order_replies": 1}, 1),
)


class FakeHolder:
    """A lease that the test grants and revokes."""

    def __init__(self, fence=1):
        self.fence = fence


class FrozenClient(HttpEngine):
    """Blocks between the check of the lease and the order that follows."""

    def __init__(self, configuration):
        super().__init__(configuration)
        self.frozen_at = []
        self.thawed = asyncio.Event()

    async def order(self, backend, order):
        self.frozen_at.append(order)
        await self.thawed.wait()
        return await super().order(backend, order)


class WeightStore(RequestHandler):
    """Counts concurrent reads; refuses all while ``broken``."""

    broken = False
    reading = max_reading = 0

    async def get(self):
        store = type(self)
        if store.broken:
            self.send_error(503)
            return
        store.reading += 1
        store.max_reading = max(store.max_reading, store.reading)
        await asyncio.sleep(0.05)
        store.reading -= 1
        self.finish(b"weights")


class RolloutTestCase(BackendsTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.configure()
        self.view = View()
        self.engines = []
        self.holder = FakeHolder()

    def configure(self, **weights):
        """Change the settings of the rollout."""
        document = {"weights": {**FAST_SETTINGS, **weights}}
        self.settings = settings.from_document(document)

    def add(self, count=1, **options):
        """Start engines and add them to the view."""
        backends = list(self.view.backends)
        for _ in range(count):
            name = f"engine-{len(self.engines)}"
            stand_in, backend = self.start_engine(
                name, **{"swap_seconds": 0.01, **options}
            )
            backend.models = (MODEL,)
            self.engines.append(stand_in)
            backends.append(backend)
        self.view = View(backends=backends, weights=self.view.weights)

    def announce(self, version):
        """Set the newest version in the view."""
        self.view = View(backends=self.view.backends, weights={MODEL: version})

    def run_rollout(self, holder=None, client=None, view=None):
        """Start a rollout that is stopped at the end of the test."""
        rollout = Rollout(
            self.settings,
            client or self.engine,
            holder or self.holder,
            view or (lambda: self.view),
        )
        task = asyncio.create_task(rollout.run())

        async def end():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        self.addAsyncCleanup(end)
        return rollout

    async def wait_for_version(self, version):
        """Wait until every engine has the version."""
        await until(
            lambda: all(
                engine.batch.versions[MODEL] == version for engine in self.engines
            ),
            what=f"version {version} on all engines",
        )


class RolloutTest(RolloutTestCase):
    async def test_engines_reach_the_version_whatever_the_reply(self):
        """Guards against a reply to an order taken for the engine's version."""
        self.configure(check_interval=600.0)
        for version, (faults, orders) in enumerate(FAULTS, 1):
            with self.subTest(faults=faults):
                self.view, self.engines = View(), []
                self.add(late=0.2)
                self.engines[0].set_faults(faults)
                self.announce(version)
                rollout = self.run_rollout(view=lambda v=self.view: v)
                await self.wait_for_version(version)
                await until(lambda r=rollout: r.behind == {MODEL: 0})
                truth = self.engines[0].truth()["orders"]
                self.assertEqual(len(truth), orders)
                self.assertEqual(sum(order["applied"] for order in truth), 1)

    async def test_an_order_without_reply_keeps_its_slot(self):
        """Guards against an order without a reply that counts as ended."""
        self.configure(store_concurrency=1, order_timeout=0.2)
        self.add(2, swap_seconds=1.0)
        self.announce(1)
        self.run_rollout()
        swapping_counts = []

        def done():
            swapping_counts.append(
                sum(engine.batch.swapping for engine in self.engines)
            )
            return all(engine.batch.versions[MODEL] == 1 for engine in self.engines)

        await until(done)
        self.assertEqual(max(swapping_counts), 1)
        for engine in self.engines:
            self.assertEqual(sum(o["applied"] for o in engine.orders), 1)

    async def test_no_order_without_the_lease(self):
        """Guards against orders by a holder that has lost its lease."""
        self.holder.fence = 0
        self.add()
        self.announce(1)
        idle = self.run_rollout()
        other = self.run_rollout(FakeHolder(2))
        await self.wait_for_version(1)
        await until(lambda: other.behind == {MODEL: 0})
        self.assertEqual(idle.behind, {})
        self.assertEqual({order["fence"] for order in self.engines[0].orders}, {2})

    async def test_the_lease_is_checked_right_before_each_order(self):
        """Guards against a retried order without a check of the lease."""
        self.configure(order_timeout=0.2)
        self.add(swap_seconds=600)
        self.announce(1)
        holder = FakeHolder()
        rollout = self.run_rollout(holder)
        await until(lambda: self.engines[0].orders)
        holder.fence = 0
        await until(lambda: not rollout._swapping)
        self.assertEqual(len(self.engines[0].orders), 1)

    async def test_a_holder_frozen_between_check_and_order(self):
        """Guards against an order delayed between the check and the loss of the lease."""
        for checks, reverted in ((True, False), (False, True)):
            with self.subTest(checks_fencing=checks):
                self.view, self.engines = View(), []
                self.add(checks_fencing=checks)
                self.announce(1)
                frozen_view, frozen = self.view, FrozenClient(self.settings)
                self.addCleanup(frozen.close)
                first = self.run_rollout(FakeHolder(5), frozen, lambda v=frozen_view: v)
                await until(lambda c=frozen: c.frozen_at)
                self.announce(2)
                second = self.run_rollout(FakeHolder(9), view=lambda v=self.view: v)
                await until(lambda r=second: r.behind == {MODEL: 0})
                frozen.thawed.set()
                engine = self.engines[0]
                await until(lambda e=engine: any(o["fence"] == 5 for o in e.orders))
                await until(lambda r=first: not r._tasks)
                await self.wait_for_version(2)
                applied = [o["version"] for o in engine.orders if o["applied"]]
                self.assertEqual(applied, [2, 1, 2] if reverted else [2])
                self.assertEqual(first._stale_fence, 0 if reverted else 5)

    async def test_a_holder_that_was_fenced_off_stops(self):
        """Guards against repeated orders with a stale fencing number."""
        self.add()
        await self.engines[0].execute_order(9, MODEL, 0, "")
        self.engines[0].orders.clear()
        self.announce(1)
        holder = FakeHolder(5)
        rollout = self.run_rollout(holder)
        await until(lambda: rollout._stale_fence == 5)
        await until(lambda: not rollout._tasks)
        self.assertEqual(len(self.engines[0].orders), 1)
        holder.fence = 10
        await self.wait_for_version(1)

    async def test_no_engine_reverts_for_an_older_view(self):
        """Guards against a swap to an older version due to an outdated view."""
        self.add(initial_version=5)
        self.announce(4)
        rollout = self.run_rollout()
        await until(lambda: rollout.behind == {MODEL: 0})
        self.assertEqual(self.engines[0].orders, [])

    async def test_dead_engines_delay_no_others(self):
        """Guards against a rollout that waits for dead engines."""
        self.add(4)
        dead = self.engines.pop()
        await dead.close()
        self.announce(1)
        rollout = self.run_rollout()
        await self.wait_for_version(1)
        await until(lambda: rollout.behind == {MODEL: 1})
        await self.engines.pop().close()
        await until(lambda: rollout.behind == {MODEL: 2})
        self.view = View(backends=self.view.backends[:2], weights={MODEL: 1})
        await until(lambda: rollout.behind == {MODEL: 0})

    async def test_a_restarted_engine_is_ordered_again(self):
        """Guards against a restarted engine that keeps its initial weights."""
        self.add()
        self.announce(1)
        rollout = self.run_rollout()
        await until(lambda: rollout.behind == {MODEL: 0})
        self.engines[0].batch.versions[MODEL] = 0
        await self.wait_for_version(1)

    async def test_drain_waits_for_the_order_in_flight(self):
        """Guards against a lease released with an order in flight."""
        self.add(2, swap_seconds=0.2)
        self.configure(store_concurrency=1)
        self.announce(1)
        rollout = self.run_rollout()
        await until(lambda: any(engine.batch.swapping for engine in self.engines))
        self.assertTrue(await rollout.drain())
        swapped = [engine.batch.versions[MODEL] for engine in self.engines]
        self.assertEqual(sorted(swapped), [0, 1])
        self.assertEqual(sum(len(engine.orders) for engine in self.engines), 1)
        self.assertFalse(rollout._may_act())

    async def test_a_cancelled_rollout_ends(self):
        """Guards against ``asyncio.wait_for`` of Python 3.11 losing a cancellation."""
        for turns in range(5):
            with self.subTest(turns=turns):
                rollout = Rollout(self.settings, self.engine, self.holder, View)
                task = asyncio.create_task(rollout._wait())
                await asyncio.sleep(0)
                rollout._wake.set()
                for _ in range(turns):
                    await asyncio.sleep(0)
                if task.cancel():
                    with self.assertRaises(asyncio.CancelledError):
                        await task

    async def test_a_report_that_lags_is_waited_for(self):
        """Guards against an outdated report taken for a failed swap."""
        self.configure(confirm_timeout=20.0)
        self.add(load_lag=0.8)
        self.announce(1)
        rollout = self.run_rollout()
        await until(lambda: rollout.behind == {MODEL: 0})
        self.assertEqual(len(self.engines[0].orders), 1)

    async def test_a_new_term_starts_from_fresh_reports(self):
        """Guards against reports of an earlier lease used in a new one."""
        self.configure(check_interval=600.0)
        self.add()
        self.announce(1)
        rollout = self.run_rollout()
        await until(lambda: rollout.behind == {MODEL: 0})
        self.engines[0].batch.versions[MODEL] = 0
        self.holder.fence = 2
        await self.wait_for_version(1)

    async def test_swaps_start_with_the_least_busy_by_fresh_reports(self):
        """Guards against a choice of engines by outdated load reports."""
        self.configure(check_interval=600.0, store_concurrency=1)
        self.add(2)
        self.announce(1)
        rollout = self.run_rollout()
        await until(lambda: rollout.behind == {MODEL: 0})
        busy, idle = self.engines
        busy.set_faults({"freeze": True})
        busy.admit({"stream": "s", "model": MODEL, "prompt": "", "max_tokens": 9})
        await until(lambda: busy.load_report()["running"])
        self.announce(2)
        await until(lambda: idle.orders[-1]["version"] == 2)
        self.assertNotEqual(busy.batch.versions[MODEL], 2)
        await self.wait_for_version(2)

    async def test_checks_between_rollouts_are_bounded(self):
        """Guards against a rate of report polls that grows with the engines."""
        self.configure(check_interval=15.0)
        rollout = Rollout(self.settings, self.engine, self.holder, View)
        for checks, known, shortest, longest in (
            (True, 1, 12.0, 18.0),
            (False, 1, 4.0, 6.0),
            (False, 600, 24.0, 36.0),
        ):
            with self.subTest(checks=checks, known=known):
                backend = Backend("e", "", "engine", "", checks_fencing=checks)
                rollout._engines = dict.fromkeys(range(known))
                interval = rollout._check_interval(EngineState(backend))
                self.assertTrue(shortest <= interval <= longest, interval)

    async def test_the_store_is_down_and_then_slow(self):
        """Guards against swaps abandoned or retried without delay in a store outage."""
        store = type("Store", (WeightStore,), {"broken": True})
        application = Application(
            [("/weights/.*", store)], log_function=lambda handler: None
        )
        server, address = serving.listen(application)
        self.addCleanup(server.stop)
        self.add(8, weights_url=f"http://{address}")
        self.announce(1)
        self.run_rollout()
        await until(lambda: sum(len(engine.orders) for engine in self.engines) > 8)
        store.broken = False
        await self.wait_for_version(1)
        self.assertLessEqual(store.max_reading, FAST_SETTINGS["store_concurrency"])


class VersionsTest(unittest.IsolatedAsyncioTestCase):
    async def test_repeated_or_late_announcements_are_ignored(self):
        class Log:
            bodies = []

            async def append(self, stream, body):
                self.bodies.append((stream, body))
                return len(self.bodies)

        log, state = Log(), Agreed()
        configuration = settings.from_document({})
        for version in (1, 2, 2, 1):
            await versions.announce(configuration, log, MODEL, version)
        for offset, (stream, body) in enumerate(log.bodies, 1):
            self.assertEqual(stream, configuration.platform.agreed_stream)
            state = fold(state, Record(offset, body))
        self.assertEqual(state.weights, {MODEL: 2})


if __name__ == "__main__":
    unittest.main()
