"""Tests of the orders to replicas: which version, by which holder, when."""

import asyncio
import unittest

from sassafrasdoor.backends.interface import Stale
from sassafrasdoor.backends.replicas import OrderMisdirected, OrderRefused
from sassafrasdoor.clock import LONG_AGO, deadline_in, passed
from sassafrasdoor.outcomes import ReplyLost
from sassafrasdoor.routing.replicas import Listing, Replicas
from sassafrasdoor.steps.durable.tests.fixtures import SERVICE, route
from sassafrasdoor.table.routes import Configuration, Limits, RoutesInForce
from sassafrasdoor.weights import controller as module
from sassafrasdoor.weights.controller import WeightsController, allocate_replicas


class Holder:
    identity = "me"
    fence = 1


class Work:
    """Stand-in for the steps; no items are queued by default."""

    def __init__(self):
        self.queue = 0
        self.oldest = 0

    def queued_items(self, model):
        return self.queue

    def oldest_allowed(self, model):
        return self.oldest


class RecordingClient:
    """Carries out orders at once, unless ``answers`` holds other results."""

    def __init__(self):
        self.orders = []
        self.answers = []
        self.gone = set()

    async def order(self, replica, order):
        self.orders.append((replica.identity, order.model, order.version))
        if replica.identity in self.gone:
            return OrderMisdirected("status 421")
        self.fences = [order.fence]
        answer = self.answers.pop(0) if self.answers else True
        if answer is True:
            replica.record_version(order.model, order.version)
        return answer


class WeightsControllerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.models = ["a", "b"]
        self.replicas = Replicas("z")
        for at in range(5):
            versions = dict.fromkeys(self.models, 1)
            listing = Listing(SERVICE, f"h{at}:1", "z", 4, False, versions)
            self.replicas.update_listing(f"e{at}", listing)
        self.routes = RoutesInForce()
        self.configure()
        self.client, self.holder, self.work = RecordingClient(), Holder(), Work()
        self.controller = self.make(0.0)
        load_time, module.LOAD_TIME = module.LOAD_TIME, 0.05
        self.addCleanup(setattr, module, "LOAD_TIME", load_time)
        retry_delay, module.RETRY_DELAY = module.RETRY_DELAY, 0.05
        self.addCleanup(setattr, module, "RETRY_DELAY", retry_delay)

    def configure(self, version=1, **fields):
        limits = Limits(1, 1, 1)
        rows = [route(**fields)]
        configuration = Configuration(version, rows, {SERVICE: self.models}, limits)
        self.routes.take(configuration)

    def make(self, handover):
        return WeightsController(
            self.client,
            self.holder,
            self.replicas,
            self.routes,
            lambda: handover,
            self.work,
        )

    def run_controller(self):
        task = asyncio.ensure_future(self.controller.run())
        self.addCleanup(task.cancel)

    async def until(self, condition):
        deadline = deadline_in(20)
        while not condition():
            self.assertFalse(passed(deadline), "condition never came true")
            await asyncio.sleep(0.01)

    def at(self, model, version):
        return [
            replica.identity
            for replica in self.replicas.of_service(SERVICE)
            if replica.versions.get(model) == version
        ]

    async def test_half_of_a_models_replicas_keep_serving_while_the_others_load(self):
        """Guards against loads by all replicas of a model at once."""
        self.models = ["a"]
        self.configure(2)
        module.LOAD_TIME = 1000.0
        share, module.CONCURRENT_LOAD_SHARE = module.CONCURRENT_LOAD_SHARE, 1.0
        self.addCleanup(setattr, module, "CONCURRENT_LOAD_SHARE", share)
        self.run_controller()
        self.controller.set_target_version("a", 2)
        await self.until(lambda: len(self.client.orders) == 2)
        await asyncio.sleep(3 * module.POLL_INTERVAL)
        self.assertEqual(len(self.client.orders), 2)
        self.work.oldest = 2
        await self.until(lambda: len(self.client.orders) == 5)

    async def test_only_replicas_assigned_to_a_model_load_it(self):
        """Guards against loads by replicas of other models."""
        self.run_controller()
        self.controller.set_target_version("a", 2)
        self.controller.set_target_version("b", 2)
        await self.until(lambda: len(self.client.orders) == 5)
        await asyncio.sleep(0.3)
        self.assertEqual(len(self.client.orders), 5)
        self.assertFalse(set(self.at("a", 2)) & set(self.at("b", 2)))

    async def test_replicas_keep_their_model(self):
        self.run_controller()
        self.controller.set_target_version("a", 2)
        await self.until(lambda: len(self.at("a", 2)) >= 2)
        before = self.at("a", 2)
        self.controller.set_target_version("a", 3)
        await self.until(lambda: self.at("a", 3) == before)

    async def test_restarted_replica_is_ordered_at_once(self):
        """Guards against a retry deadline kept from an earlier incarnation."""
        lag, module.REPORT_LAG = module.REPORT_LAG, 1000.0
        self.addCleanup(setattr, module, "REPORT_LAG", lag)
        self.models = ["a"]
        self.configure(version=2)
        self.run_controller()
        self.controller.set_target_version("a", 2)
        await self.until(lambda: len(self.at("a", 2)) == 5)
        reborn = Listing(SERVICE, "h0:1", "z", 4, False, {"a": 1}, born=5)
        self.replicas.update_listing("e0", reborn)
        await self.until(lambda: len(self.at("a", 2)) == 5)
        self.assertEqual(self.client.orders.count(("e0", "a", 2)), 2)

    async def test_no_orders_without_the_lease(self):
        self.holder.fence = 0
        self.run_controller()
        self.controller.set_target_version("a", 2)
        await asyncio.sleep(0.3)
        self.assertEqual(self.client.orders, [])

    async def test_new_holder_waits_for_orders_of_the_former_holder(self):
        self.holder.fence = 7
        self.controller = self.make(1000.0)
        self.run_controller()
        self.controller.set_target_version("a", 2)
        await asyncio.sleep(0.3)
        self.assertEqual(self.client.orders, [])

    async def test_fenced_off_holder_orders_nothing_more(self):
        """Guards against a stale fencing number taken for a busy replica."""
        self.client.answers = [Stale("old", 9)] * 2
        self.work.oldest = 2
        self.run_controller()
        self.controller.set_target_version("a", 2)
        await self.until(lambda: len(self.client.orders) == 2)
        await asyncio.sleep(0.4)
        self.assertEqual(len(self.client.orders), 2)
        self.holder.fence = 10
        await self.until(lambda: len(self.client.orders) > 2)

    async def test_refused_and_lost_orders_are_sent_again(self):
        self.client.answers = [OrderRefused("busy"), ReplyLost("lost")]
        self.run_controller()
        self.controller.set_target_version("a", 2)
        await self.until(lambda: len(self.at("a", 2)) >= 2)

    async def test_crashed_replicas_leave_the_loads_to_others(self):
        """Guards against loads held up by replicas whose addresses others have."""
        self.client.gone = {"e0", "e1"}
        self.work.oldest = 2
        self.run_controller()
        for model in self.models:
            self.controller.set_target_version(model, 2)
        await self.until(lambda: len(self.at("a", 2) + self.at("b", 2)) == 3)

    async def test_replica_of_two_models_that_is_gone(self):
        """Guards against orders at each poll, which the retry delay should space."""
        module.RETRY_DELAY = 0.4
        for number in range(1, 5):
            self.replicas.discard(f"e{number}")
        self.client.gone = {"e0"}
        self.work.oldest = 2
        self.run_controller()
        for model in self.models:
            self.controller.set_target_version(model, 2)
        await asyncio.sleep(2)
        # One at once, then one in each delay, as for other refusals.
        self.assertLessEqual(len(self.client.orders), 1 + 2 / module.RETRY_DELAY)
        self.assertGreater(len(self.client.orders), 1)

    async def test_replica_that_reverted_is_ordered_again(self):
        """Guards against a replica that silently reverted to an older version."""
        self.run_controller()
        self.controller.set_target_version("a", 2)
        await self.until(lambda: self.at("a", 2))
        (replica, *_) = self.at("a", 2)
        for sent in self.controller._last_orders.values():
            sent.retry_deadline = sent.load_deadline = LONG_AGO
        self.replicas.get(replica).record_version("a", 1)
        await self.until(lambda: replica in self.at("a", 2))

    async def test_load_is_deferred_while_items_are_queued(self):
        self.work.queue, self.work.oldest = 3, 1
        self.run_controller()
        self.controller.set_target_version("a", 2)
        await asyncio.sleep(0.3)
        self.assertEqual(self.client.orders, [])
        self.work.queue = 0
        await self.until(lambda: self.client.orders)

    async def test_load_is_not_deferred_where_queued_items_need_it(self):
        self.work.queue, self.work.oldest = 3, 2
        self.run_controller()
        self.controller.set_target_version("a", 2)
        await self.until(lambda: self.client.orders)

    async def test_concurrent_loads_are_bounded(self):
        module.LOAD_TIME = 1000.0
        self.run_controller()
        self.controller.set_target_version("a", 2)
        self.controller.set_target_version("b", 2)
        await self.until(lambda: len(self.client.orders) == module.MIN_CONCURRENT_LOADS)
        await asyncio.sleep(0.3)
        self.assertEqual(len(self.client.orders), module.MIN_CONCURRENT_LOADS)

    async def test_bound_on_loads_grows_with_the_service(self):
        """Guards against a bound on loads that ignores the size of the service."""
        for at in range(5, 20):
            listing = Listing(SERVICE, f"h{at}:1", "z", 4, False, {"a": 1, "b": 1})
            self.replicas.update_listing(f"e{at}", listing)
        module.LOAD_TIME = 1000.0
        self.run_controller()
        self.controller.set_target_version("a", 2)
        self.controller.set_target_version("b", 2)
        await self.until(lambda: len(self.client.orders) == 8)
        await asyncio.sleep(0.3)
        self.assertEqual(len(self.client.orders), 8)


class AllocateReplicasTest(unittest.TestCase):
    def test_allocation_follows_demand_and_includes_every_model(self):
        cases = [
            (5, {"a": 60, "b": 40}, {"a": 3, "b": 2}),
            (5, {"a": 100, "b": 1, "c": 1}, {"a": 3, "b": 1, "c": 1}),
            (3, {"a": 1, "b": 1, "c": 100}, {"a": 1, "b": 1, "c": 1}),
            (2, {"a": 1, "b": 1, "c": 1}, {"a": 1, "b": 1, "c": 1}),
            (4, {}, {"a": 2, "b": 2}),
        ]
        for count, demand, expected in cases:
            with self.subTest(count=count, demand=demand):
                self.assertEqual(
                    allocate_replicas(count, list(expected), demand), expected
                )
