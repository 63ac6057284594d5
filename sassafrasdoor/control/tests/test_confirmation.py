"""Confirmations of the table that requests wait for."""

import asyncio
import unittest

from sassafrasdoor.clock import deadline_in, now
from sassafrasdoor.control import confirmation as module
from sassafrasdoor.control.confirmation import Confirmation


class FakeFollower:
    """A follower whose reads last ``seconds``, and confirm unless it is ``down``."""

    def __init__(self):
        self.confirmed_at = None
        self.reads = []
        self.seconds = 0.01
        self.down = False

    async def catch_up(self, deadline):
        self.reads.append(now())
        await asyncio.sleep(self.seconds)
        if not self.down:
            self.confirmed_at = self.reads[-1]


class ConfirmationTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.follower = FakeFollower()
        self.confirmation = Confirmation(self.follower, lambda: range(10))

    async def test_one_read_confirms_all_that_wait(self):
        """Guards against a read of the log for each call with a wrong key."""
        waiting = [self.confirmation.confirm(deadline_in(5)) for _ in range(50)]
        self.assertEqual(await asyncio.gather(*waiting), [True] * 50)
        self.assertEqual(len(self.follower.reads), 1)

    async def test_reads_keep_their_interval(self):
        for _ in range(3):
            self.assertTrue(await self.confirmation.confirm(deadline_in(5)))
        gap = 10 / module.READS_PER_SECOND
        first, second, third = self.follower.reads
        self.assertGreaterEqual(min(second - first, third - second), 0.9 * gap)

    async def test_read_that_was_sent_before_does_not_confirm(self):
        """Guards against a confirmation that is older than what it confirms."""
        self.follower.seconds = 0.2
        earlier = asyncio.ensure_future(self.confirmation.confirm(deadline_in(5)))
        await asyncio.sleep(0.05)
        called_at = now()
        self.assertTrue(await self.confirmation.confirm(deadline_in(5)))
        self.assertGreaterEqual(self.follower.confirmed_at, called_at)
        self.assertTrue(await earlier)

    async def test_log_that_does_not_answer_confirms_nothing(self):
        self.follower.down = True
        self.assertFalse(await self.confirmation.confirm(deadline_in(0.1)))


if __name__ == "__main__":
    unittest.main()
