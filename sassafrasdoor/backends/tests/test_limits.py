"""Tests of the bounds on answers of servers that arrive."""

import gc
import unittest
import weakref

from sassafrasdoor.backends.limits import AnswerBody, ReceiveBudget

MB = 1_000_000


class _Owner:
    def __init__(self, budget):
        self.body = AnswerBody(budget, self.refuse)
        self.reason = None

    def refuse(self, reason):
        self.reason = reason


class ReceiveBudgetTest(unittest.TestCase):
    def setUp(self):
        self.counted = 0
        self.budget = ReceiveBudget(answer_limit=16 * MB, total_limit=10 * MB)
        self.budget.on_change = self.count
        self.given_up = []

    def count(self, size):
        self.counted += size

    def body(self, size):
        body = AnswerBody(self.budget, lambda reason: self.given_up.append(size))
        body.append(bytes(size))
        return body

    def test_answers_wait_until_complete_ones_are_being_sent(self):
        """Guards against complete answers that gather before they reach their callers."""
        self.budget.hand_over(8 * MB, 1.0)
        self.assertFalse(self.budget.must_wait(0.5))
        body = self.body(4 * MB)
        self.assertTrue(self.budget.must_wait(0.5))
        self.assertFalse(self.budget.must_wait(1.0))
        self.assertEqual((self.counted, self.given_up), (4 * MB, []))
        body.release()
        self.assertEqual(self.counted, 0)

    def test_incomplete_answers_do_not_wait_for_each_other(self):
        """Guards against answers without end that hold up the sound ones."""
        bodies = [self.body(3 * MB) for _ in range(3)]
        self.assertFalse(self.budget.must_wait(0.0))
        self.body(2 * MB)
        self.assertEqual(self.given_up, [3 * MB])
        self.assertEqual(self.counted, sum(map(len, bodies)) + 2 * MB)

    def test_single_answer_may_exceed_the_limit_of_all(self):
        """Guards against a legal answer that a small process never gets."""
        self.body(15 * MB)
        self.assertEqual(self.given_up, [])
        self.body(2 * MB)
        self.assertEqual(self.given_up, [15 * MB])

    def test_owner_is_freed_at_once(self):
        """Guards against answers that stay in memory until garbage is collected."""
        gc.disable()
        self.addCleanup(gc.enable)
        for size, reason in (
            (MB, None),
            (17 * MB, "answer too long: over 16000000 bytes"),
        ):
            owner = _Owner(self.budget)
            owner.body.append(bytes(size))
            owner.body.take()
            self.assertEqual(owner.reason, reason)
            freed = weakref.ref(owner)
            del owner
            self.assertIsNone(freed(), f"{size} bytes")


if __name__ == "__main__":
    unittest.main()
