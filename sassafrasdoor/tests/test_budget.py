"""Retries as a share of first attempts."""

import unittest

from sassafrasdoor.budget import Budget


class BudgetTest(unittest.TestCase):
    def test_burst_is_allowed_at_once(self):
        budget = Budget(share=0.1, burst=3)
        self.assertEqual([budget.take() for _ in range(5)], [True] * 3 + [False] * 2)

    def test_retries_stay_a_share_of_first_attempts(self):
        """Guards against a slow server that is kept slow by retries."""
        budget = Budget(share=0.1, burst=3)
        allowed = 0
        for _ in range(1000):
            budget.record_attempt()
            allowed += budget.take()
        self.assertLessEqual(allowed, 3 + 100)
        self.assertGreater(allowed, 95)

    def test_tokens_are_capped_at_the_burst(self):
        budget = Budget(share=0.5, burst=2)
        for _ in range(100):
            budget.record_attempt()
        self.assertEqual(sum(budget.take() for _ in range(10)), 2)


if __name__ == "__main__":
    unittest.main()
