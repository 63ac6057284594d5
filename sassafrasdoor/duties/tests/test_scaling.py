"""Which lost replicas are ordered again, replayed in virtual time."""

import unittest

from sassafrasdoor.duties.scaling import (
    DEMAND_MEMORY,
    LASTING_LOSS,
    ORDER_INTERVAL,
    DemandMemory,
    ScalingLedger,
    ScalingPolicy,
    Unreadable,
    base_record,
    interruptible_target,
    is_behind,
)
from sassafrasdoor.table.routes import Scaling

SERVICE = "engines"
A, B, CHEAP = ("a", False), ("b", False), ("a", True)
BASE = {A: 8, B: 7}


class ScalingTest(unittest.TestCase):
    def setUp(self):
        self.policy = ScalingPolicy()
        self.scaling = Scaling(1, 15)

    def replay(self, seconds, *changes, base=BASE, step=1.0):
        """Return the orders; ``changes`` are ``(time, counts)`` in order."""
        orders, at, counts = [], 0.0, dict(base)
        pending = list(changes)
        while at <= seconds:
            while pending and pending[0][0] <= at:
                counts = pending.pop(0)[1]
            self.policy.observe(SERVICE, counts, at)
            due = self.policy.due_orders(SERVICE, base, self.scaling, at)
            orders += [(at, *order) for order in due]
            at += step
        return orders

    def test_zone_that_is_lost_for_good_is_ordered_again(self):
        """Guards against a day that is served by what a loss has left."""
        orders = self.replay(9.0, (1.0, {A: 8}))
        self.assertEqual(orders, [(1.0 + LASTING_LOSS, B, 7)])

    def test_order_is_repeated_until_the_replicas_are_there(self):
        """Guards against orders that were answered and lost."""
        orders = self.replay(14.0, (1.0, {A: 8, B: 5}), (13.0, BASE))
        times = [at for at, _, _ in orders]
        first = 1.0 + LASTING_LOSS
        self.assertEqual(times, [first, first + ORDER_INTERVAL])

    def test_crashed_replicas_that_return_are_not_ordered(self):
        orders = self.replay(
            20.0, (2.0, {A: 5, B: 7}), (7.0, BASE), (9.0, {A: 8}), (14.0, BASE)
        )
        self.assertEqual(orders, [])

    def test_replacement_one_after_the_other_is_no_loss(self):
        changes = []
        for at in range(12):
            changes.append((float(at), {A: 8 + at % 2, B: 7}))
        self.assertEqual(self.replay(20.0, *changes), [])

    def test_most_replicas_are_respected(self):
        self.scaling = Scaling(1, 6)
        self.assertEqual(self.replay(20.0, (1.0, {A: 6, B: 6})), [])

    def test_list_that_was_away_shows_no_loss(self):
        """Guards against replicas ordered since their entries lapsed in an outage."""
        self.replay(4.0, (1.0, {}))
        self.policy.forget_losses()
        self.assertEqual(self.replay(LASTING_LOSS - 1, (0.0, {A: 8})), [])

    def test_interruptible_replicas_are_counted_apart(self):
        orders = self.replay(8.0, (0.0, {A: 9}), base={A: 8, CHEAP: 2})
        self.assertEqual([order[1:] for order in orders], [(CHEAP, 2)])

    def test_large_steps_add_interruptible_replicas_at_once(self):
        """Guards against trainers that never catch up after an outage.

        Four trainers submit 304 items at once to 23 replicas of six slots: the last ones
        wait for two rounds, and a step takes nearly as long as the time between two.
        """
        base = {("a", False): 8, ("b", False): 8, ("c", False): 7}
        scaling = Scaling(1, 15, 0.18)
        added = interruptible_target(base, scaling, 6, 304)
        self.assertEqual(added, {("a", True): 4, ("b", True): 4, ("c", True): 4})
        self.policy.observe(SERVICE, base, 0.0)
        orders = self.policy.due_orders(SERVICE, base, scaling, 0.0, added)
        self.assertEqual(dict(orders), added)
        orders = self.policy.due_orders(SERVICE, base, scaling, 1.0, added)
        self.assertEqual(orders, [])

    def test_reclaimed_zone_is_ordered_again(self):
        """Guards against added replicas that a reclaim takes away for good."""
        base, added = {A: 8}, {CHEAP: 4}
        self.policy.due_orders(SERVICE, base, self.scaling, 0.0, added)
        self.policy.observe(SERVICE, {A: 8, CHEAP: 4}, 5.0)
        self.assertFalse(
            self.policy.due_orders(SERVICE, base, self.scaling, 5.0, added)
        )
        self.policy.observe(SERVICE, base, 9.0)
        self.policy.due_orders(SERVICE, base, self.scaling, 9.0, added)
        at = 9.0 + LASTING_LOSS
        orders = self.policy.due_orders(SERVICE, base, self.scaling, at, added)
        self.assertEqual(orders, [(CHEAP, 4)])

    def test_bounds_of_added_replicas(self):
        """Guards against orders beyond the operator's bounds, or without a price."""
        base = {A: 8}
        for scaling, items, expected in (
            (Scaling(1, 15, None), 900, {}),
            (Scaling(1, 15, 0.2), 900, {CHEAP: 4}),
            (Scaling(1, 10, 0.2), 900, {CHEAP: 2}),
            (Scaling(1, 15, 0.2), 20, {CHEAP: 0}),
        ):
            with self.subTest(items=items, most=scaling.most):
                self.assertEqual(
                    interruptible_target(base, scaling, 6, items), expected
                )

    def test_demand_is_remembered_over_an_outage(self):
        """Guards against replicas given back while no step can be accepted."""
        memory = DemandMemory()
        self.assertEqual(memory.record(304, 0.0), 304)
        self.assertEqual(memory.record(0, 1.0), 304)
        self.assertEqual(memory.record(0, DEMAND_MEMORY - 1.0), 304)
        self.assertEqual(memory.record(0, DEMAND_MEMORY + 0.1), 0)

    def test_trainer_is_behind_once_a_step_takes_longer_than_from_step_to_step(self):
        """Guards against replicas added for trainers that are on time, or not at all."""
        on_time = [(4.0 * at, 4.0 * at + 3.4) for at in range(6)]
        self.assertFalse(is_behind(on_time, 24.0))
        outage = [*on_time, (24.0, None)]
        self.assertFalse(is_behind(outage, 27.9))
        self.assertTrue(is_behind(outage, 28.1))
        catching_up = [*on_time, (24.0, 31.0), (31.6, 35.0)]
        self.assertTrue(is_behind(catching_up, 35.5))

    def test_history_read_at_once_tells_nothing_of_the_pace(self):
        """Guards against a new holder that takes each step for late."""
        history = [(100.0, 100.0)] * 5 + [(100.3, None), (104.0, None)]
        self.assertFalse(is_behind(history, 108.0))

    def test_numbers_settle_before_they_count_as_the_first(self):
        for at, count in ((0.0, 3), (1.0, 5), (2.0, 8), (3.0, 8)):
            self.policy.observe(SERVICE, {A: count}, at)
            self.assertFalse(self.policy.has_settled(SERVICE, at))
        self.policy.observe(SERVICE, {A: 8}, 4.0)
        self.assertTrue(self.policy.has_settled(SERVICE, 4.0))

    def test_first_numbers_of_a_service_stay(self):
        """Guards against a new holder that takes a loss for what there always was."""
        ledger = ScalingLedger()
        ledger.fold(base_record(SERVICE, BASE))
        ledger.fold(base_record(SERVICE, {A: 2}))
        self.assertEqual(ledger.base, {SERVICE: BASE})

    def test_foreign_records_change_nothing(self):
        ledger = ScalingLedger()
        for data in (b"", b"[]", b"{}", b'["s",[["a",1]]]', b"[[],[]]", b"[1,2]"):
            self.assertIsInstance(ledger.fold(data), Unreadable, data)
        self.assertEqual(ledger.base, {})


if __name__ == "__main__":
    unittest.main()
