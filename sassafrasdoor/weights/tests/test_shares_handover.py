"""The division of the engines after the holder of the lease has changed."""

import asyncio
import unittest
from collections import Counter
from unittest import mock

from sassafrasdoor.clock import deadline_in, passed
from sassafrasdoor.routing.replicas import Listing, Replicas
from sassafrasdoor.steps.durable.records import encode_step
from sassafrasdoor.steps.durable.state import Steps
from sassafrasdoor.steps.durable.tests.fixtures import SERVICE, route, spec
from sassafrasdoor.steps.durable.trainers import Trainers
from sassafrasdoor.table.routes import Configuration, Limits, RoutesInForce
from sassafrasdoor.weights import shares
from sassafrasdoor.weights.controller import WeightsController
from sassafrasdoor.weights.tests.test_controller import Holder, RecordingClient, Work

MODELS = ["a", "b"]
# By versions five engines follow a. A division from nothing would give it four.
FOLLOWED = {f"e{at}": "a" if at < 5 else "b" for at in range(8)}


class Settings:
    disabled_parts = frozenset()


class HandoverTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        # A slow test process must not miss the window after a version was named.
        window = mock.patch.object(shares, "JOIN_WINDOW", 1000.0)
        window.start()
        self.addCleanup(window.stop)
        self.replicas, self.steps = Replicas("z"), Steps()
        for identity, model in FOLLOWED.items():
            versions = {**dict.fromkeys(MODELS, 3), model: 5}
            listing = Listing(SERVICE, f"{identity}:1", "z", 4, False, versions)
            self.replicas.update_listing(identity, listing)
            self.replicas.get(identity).record_load(0, 0, 1.0)
        routes = RoutesInForce()
        limits = Limits(1, 1, 1)
        routes.take(Configuration(1, [route()], {SERVICE: MODELS}, limits))
        trainers = Trainers(Settings(), self.steps, self.replicas, routes)
        self.holder, self.client = Holder(), RecordingClient()
        self.holder.fence = 7
        self.controller = WeightsController(
            self.client,
            self.holder,
            self.replicas,
            routes,
            lambda: 0.0,
            Work(),
            trainers,
        )
        self.steps.on_change(self.controller.record_demand)

    def submit(self, number, **items):
        for model, count in items.items():
            step = spec(f"{model}{number}", count, model=model)
            for data in encode_step(step, 100_000):
                self.steps.fold(0, 0, data)

    def name(self, version):
        for model in MODELS:
            self.controller.set_target_version(model, version)

    async def until(self, condition):
        deadline = deadline_in(20)
        while not condition():
            self.assertFalse(passed(deadline), "condition never came true")
            await asyncio.sleep(0.01)

    def at(self, version):
        versions = [replica.versions for replica in self.replicas.of_service(SERVICE)]
        return sum(version in known.values() for known in versions)

    async def test_new_holder_keeps_the_engines_and_follows_the_steps(self):
        """Guards against a wave of loads as each new holder divides the engines anew."""
        self.submit(1, a=25, b=20)
        self.name(6)
        task = asyncio.ensure_future(self.controller.run())
        self.addCleanup(task.cancel)
        await self.until(lambda: self.at(6) == len(FOLLOWED))
        ordered = {identity: model for identity, model, _ in self.client.orders}
        self.assertEqual(ordered, FOLLOWED)
        for number in range(2, 6):
            self.submit(number, a=25, b=60)
        self.client.orders.clear()
        self.name(7)
        await self.until(lambda: self.at(7) == len(FOLLOWED))
        ordered = {identity: model for identity, model, _ in self.client.orders}
        self.assertEqual(Counter(ordered.values()), {"a": 3, "b": 5})
        moved = [one for one, model in ordered.items() if model != FOLLOWED[one]]
        self.assertEqual(len(moved), 2)


if __name__ == "__main__":
    unittest.main()
