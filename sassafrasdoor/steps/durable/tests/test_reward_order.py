"""Tests of the order, concurrency and timeouts of reward calls."""

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
            step.add_sample(Sample("s1", item_id, COMPLETED, "t", [1]))
        remaining = [item for item in step.spec.items if item.item_id not in listed]
        return [Job(step, item) for item in remaining]

    def test_group_missing_the_fewest_samples_is_first(self):
        jobs = reward_order.ordered(self.jobs(listed=["i1"]))
        self.assertEqual([job.item.item_id for job in jobs], ["i3", "i0", "i2"])

    def test_half_of_the_slots_is_left_to_live_callers(self):
        self.assertEqual(reward_order.free_slots(48, 0), 24)
        self.assertEqual(reward_order.free_slots(48, 24), 0)

    def test_small_service_gets_two_concurrent_calls(self):
        self.assertEqual(reward_order.free_slots(1, 0), 2)

    def test_service_that_loses_every_call_for_minutes(self):
        """Guards against a timeout that exceeds the largest number and ends the process."""
        limited = reward_route(target=0.8, timeout=10.0)
        for unanswered_calls in range(5000):
            timeout = reward_order.call_timeout(limited, unanswered_calls)
            self.assertLessEqual(timeout, limited.timeout)

    def test_timeout_follows_the_route(self):
        timeout = reward_order.call_timeout(reward_route(target=0.8, timeout=10.0))
        self.assertAlmostEqual(timeout, 2.4)
        timeout = reward_order.call_timeout(reward_route(target=0.8, timeout=10.0), 1)
        self.assertAlmostEqual(timeout, 4.8)
        timeout = reward_order.call_timeout(reward_route(target=0.8, timeout=1.0))
        self.assertEqual(timeout, 1.0)

    def test_larger_of_both_attempts_counts(self):
        allowed = reward_order.allowed_failures(route(attempts=2), reward_route())
        self.assertEqual(allowed, 3)
