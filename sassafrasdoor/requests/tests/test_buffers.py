"""Tests of the bound on what a replica holds."""

import unittest

from sassafrasdoor.requests.buffers import BufferBudget

MEMORY = 160_000_000  # bytes
MB = 1_000_000


class BufferBudgetTest(unittest.TestCase):
    def test_replica_gets_a_bounded_number_of_bytes(self):
        """Guards against a replica that crashes under the requests that it holds."""
        budget = BufferBudget(MEMORY)
        self.assertTrue(budget.may_send("i-1", 30 * MB))
        budget.add_sent("i-1", 7 * MB)
        self.assertFalse(budget.may_send("i-1", 4 * MB))
        self.assertTrue(budget.may_send("i-2", 4 * MB))
        budget.add_sent("i-1", -7 * MB)
        self.assertTrue(budget.may_send("i-1", 4 * MB))

    def test_no_bound_without_a_stated_memory(self):
        budget = BufferBudget()
        budget.add_sent("i-1", 500 * MB)
        self.assertTrue(budget.may_send("i-1", 50 * MB))


if __name__ == "__main__":
    unittest.main()
