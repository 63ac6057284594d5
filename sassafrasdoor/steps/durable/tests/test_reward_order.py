"""Which reward calls go first, and how many at once."""

import unittest

from sassafrasdoor.steps.durable import reward_order
from sassafrasdoor.steps.durable.jobs import Job
from sassafrasdoor.steps.durable.records import COMPLETED, Sample
from sassafrasdoor.steps.durable.state import Step
from sassafrasdoor.steps.durable.tests.fixtures import reward_route, route, spec


class OrderTest(unittest.TestCase):
    def jobs(self, listed=()):
        step = Step(spec(items=4), 0)
        for at, item in enumerate(step.spec.items):
            item.group = "ab"[at % 2]
        step = Step(step.spec, 0)
        for item_id in listed:
            step.take(Sample("s1", item_id, COMPLETED, "t", [1]))
        left = [one for one in step.spec.items if one.item_id not in listed]
        return [Job(step, item) for item in left]

    def test_group_that_lacks_least_goes_first(self):
        found = reward_order.ordered(self.jobs(listed=["i1"]))
        self.assertEqual([job.item.item_id for job in found], ["i3", "i0", "i2"])

    def test_half_of_the_places_stays_with_live_callers(self):
        self.assertEqual(reward_order.free_slots(48, 0), 24)
        self.assertEqual(reward_order.free_slots(48, 24), 0)

    def test_a_small_service_gets_two_at_once(self):
        self.assertEqual(reward_order.free_slots(1, 0), 2)

    def test_time_follows_the_route(self):
        found = reward_order.call_timeout(reward_route(target=0.8, timeout=10.0))
        self.assertAlmostEqual(found, 2.4)
        found = reward_order.call_timeout(reward_route(target=0.8, timeout=10.0), 1)
        self.assertAlmostEqual(found, 4.8)
        found = reward_order.call_timeout(reward_route(target=0.8, timeout=1.0))
        self.assertEqual(found, 1.0)

    def test_larger_of_both_attempts_counts(self):
        found = reward_order.allowed_failures(route(attempts=2), reward_route())
        self.assertEqual(found, 3)
