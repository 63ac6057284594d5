"""Tests of the order in which a step's items are dispatched."""

import unittest

from sassafrasdoor.steps.durable.order import ordered
from sassafrasdoor.steps.durable.records import Item, StepSpec


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
