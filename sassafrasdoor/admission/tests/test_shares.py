"""Shares: sums, limits, work conservation, fairness over time."""

import unittest
from collections import Counter

from hypothesis import given, settings as hypothesis_settings, strategies

from sassafrasdoor.admission.shares import fractional_shares, hard_limit, shares
from sassafrasdoor.requests.tests.fakes import row_document, table

ROWS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from([0.5, 1.0, 2.0, 5.0]),
        strategies.integers(-1, 1),
        strategies.sampled_from([0.05, 0.3, 0.5, 1.0]),
        strategies.integers(0, 60),
    ),
    min_size=1,
    max_size=8,
)
CASES = hypothesis_settings(derandomize=True, deadline=None, max_examples=200)


def rows_and_demand(specs):
    """Return rows and their demand from drawn specifications."""
    documents = [
        row_document(f"r{number}", weight=weight, priority=priority, limit=limit)
        for number, (weight, priority, limit, _) in enumerate(specs)
    ]
    demand = {f"r{number}": spec[3] for number, spec in enumerate(specs)}
    return table(*documents).rows, demand


class SharesTest(unittest.TestCase):
    @CASES
    @given(ROWS, strategies.integers(0, 100), strategies.integers(0, 50))
    def test_sum_caps_and_work_conservation(self, specs, capacity, rotation):
        rows, demand = rows_and_demand(specs)
        given_slots = shares(rows, demand, capacity, rotation)
        wanted = 0
        for row in rows:
            bound = min(demand[row.name], hard_limit(row, capacity))
            self.assertLessEqual(given_slots[row.name], bound)
            wanted += bound
        self.assertEqual(sum(given_slots.values()), min(capacity, wanted))

    @CASES
    @given(ROWS, strategies.integers(1, 100), strategies.integers(0, 7))
    def test_more_demand_never_lowers_the_own_or_raises_another_share(
        self, specs, capacity, chosen
    ):
        rows, demand = rows_and_demand(specs)
        row = rows[chosen % len(rows)]
        more = {**demand, row.name: demand[row.name] + 5}
        before, after = (
            fractional_shares(rows, wants, capacity) for wants in (demand, more)
        )
        self.assertGreaterEqual(after[row.name], before[row.name] - 1e-6)
        for other in rows:
            if other is not row:
                self.assertLessEqual(after[other.name], before[other.name] + 1e-6)

    def test_allocation_cases(self):
        heavy = row_document("a", weight=3)
        light = row_document("b")
        urgent = row_document("c", priority=5)
        limited = row_document("d", weight=9, limit=0.25)
        cases = [
            ("by weight", [heavy, light], {"a": 99, "b": 99}, {"a": 30, "b": 10}),
            ("idle share lent", [heavy, light], {"a": 0, "b": 99}, {"a": 0, "b": 40}),
            ("hard limit", [limited, light], {"d": 99, "b": 99}, {"d": 10, "b": 30}),
            ("limit alone", [limited], {"d": 99}, {"d": 10}),
            ("priority", [urgent, light], {"c": 99, "b": 99}, {"c": 39, "b": 1}),
            ("little wanted", [urgent, light], {"c": 3, "b": 99}, {"c": 3, "b": 37}),
        ]
        for name, rows, demand, expected in cases:
            with self.subTest(name):
                self.assertEqual(shares(table(*rows).rows, demand, 40), expected)

    def test_low_priority_row_is_not_starved(self):
        """Guards against starvation of a row whose share rounds down to zero."""
        rows = table(row_document("app", priority=9), row_document("trainer")).rows
        total = Counter()
        for rotation in range(200):
            total.update(shares(rows, {"app": 99, "trainer": 99}, 8, rotation))
        self.assertGreater(total["trainer"], 30)

    def test_all_rows_are_served_when_rows_exceed_slots(self):
        rows = table(*[row_document(f"r{number}") for number in range(30)]).rows
        total = Counter()
        for rotation in range(300):
            total.update(shares(rows, {row.name: 1 for row in rows}, 10, rotation))
        self.assertGreater(min(total.values()), 60)


if __name__ == "__main__":
    unittest.main()
