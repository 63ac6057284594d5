"""Tests of the order in which a step's items are dispatched."""

import unittest

from sassafrasdoor.security import key_hash
from sassafrasdoor.steps.durable.jobs import Job
from sassafrasdoor.steps.durable.order import (
    enqueue,
    latest_first,
    ordered,
    priority,
    requeue,
)
from sassafrasdoor.steps.durable.records import Item, StepSpec
from sassafrasdoor.steps.durable.state import Step
from sassafrasdoor.steps.durable.tests.fixtures import HOST, PREFIX, route
from sassafrasdoor.table.accounts import Account, Accounts
from sassafrasdoor.table.routes import Configuration, Limits


def spec(lengths, wanted):
    """Return a step; ``lengths`` maps a group to its samples' expected lengths."""
    items = [
        Item(f"{group}{at}", "/", {}, b"", 0, expected, group, "m")
        for group, expected_lengths in lengths.items()
        for at, expected in enumerate(expected_lengths)
    ]
    return StepSpec("s", "h", "/", 1, "m", 0, wanted, items)


def order(lengths, wanted):
    return [item.item_id for item in ordered(spec(lengths, wanted))]


class OrderTest(unittest.TestCase):
    def test_longest_samples_are_first(self):
        item_ids = order({"a": [1, 9], "b": [5, 3]}, 2)
        self.assertEqual(item_ids, ["a1", "b0", "b1", "a0"])

    def test_longest_spare_group_is_last(self):
        item_ids = order({"a": [1], "b": [2], "c": [9, 1], "d": [3]}, 3)
        self.assertEqual(item_ids, ["d0", "b0", "a0", "c0", "c1"])

    def test_resubmitted_groups_are_never_last(self):
        item_ids = order({"again": [99], "b": [2], "c": [9]}, 2)
        self.assertEqual(item_ids[0], "again0")
        self.assertEqual(item_ids[-1], "c0")

    def test_order_is_unchanged_without_hints(self):
        self.assertEqual(order({"a": [0, 0], "b": [0]}, 0), ["a0", "a1", "b0"])


class PriorityTest(unittest.TestCase):
    """Accounts with another priority than their route, one of which sends half of all."""

    def configuration(self, **priorities):
        accounts = Accounts(
            [Account(name, [key_hash(name)], rank) for name, rank in priorities.items()]
        )
        limits = Limits(1, 1, 1.0)
        return Configuration(1, [route(priority=3)], {}, limits, accounts)

    def spec(self, account):
        items = [Item("i", PREFIX, {}, b"", 0, 0, "g", "m")]
        return StepSpec("s", HOST, PREFIX, 1, "m", 0, 1, items, account)

    def test_priority_of_the_account_goes_before_that_of_the_route(self):
        configuration = self.configuration(urgent=0, plain=None)
        for account, rank in (("urgent", 0), ("plain", 3), ("unknown", 3), ("", 3)):
            with self.subTest(account):
                self.assertEqual(priority(configuration, self.spec(account)), rank)

    def test_urgent_items_do_not_wait_behind_an_account_that_sends_half_of_all(self):
        """Guards against first come, first served among accounts of other ranks."""
        queue = []
        for number in range(8):
            rank = 2 if number % 2 else number % 4
            job = Job(Step(self.spec(""), 0), self.spec("").items[0], rank)
            job.run = f"{rank}-{number}"
            enqueue(queue, job)
        self.assertEqual([job.priority for job in queue], [0, 0, 2, 2, 2, 2, 2, 2])
        again = queue.pop(4)
        requeue(queue, again)
        self.assertIs(queue[2], again)
        runs = [job.run for job in queue if job is not again]
        self.assertEqual(runs, sorted(runs))


class LatestFirstTest(unittest.TestCase):
    def test_step_that_is_furthest_behind_goes_first_within_its_priority(self):
        """Guards against a late trainer that waits behind the steps of all others."""
        due = {"late": 5.0, "on time": 9.0, "other service": None}
        queue = [
            _QueuedJob("on time", 0, 0),
            _QueuedJob("on time", 0, 1),
            _QueuedJob("other service", 0, 0),
            _QueuedJob("late", 0, 0),
            _QueuedJob("late", 0, 1),
            _QueuedJob("on time", 3, 0),
            _QueuedJob("late", 3, 0),
        ]
        result = latest_first(queue, lambda job: due[job.step])
        self.assertEqual(
            [(job.step, job.priority, job.number) for job in result],
            [
                ("late", 0, 0),
                ("late", 0, 1),
                ("other service", 0, 0),
                ("on time", 0, 0),
                ("on time", 0, 1),
                ("late", 3, 0),
                ("on time", 3, 0),
            ],
        )


class _QueuedJob:
    def __init__(self, step, priority, number):
        self.step, self.priority, self.number = step, priority, number
