"""Calls that are handed on to several instances."""

import asyncio
import unittest

from sassafrasdoor.clock import deadline_in, now
from sassafrasdoor.steps.durable.handing_on import first_answer

HANG = "hang"


class FirstAnswerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.asked = []
        self.cancelled = 0

    async def play(self, seconds, *script, hedge_after=0.1):
        """Hand a call on to peers that answer by the script."""

        async def ask(peer, deadline):
            self.asked.append(peer)
            if script[peer] != HANG:
                return script[peer]
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                self.cancelled += 1
                raise

        return await first_answer(
            range(len(script)), ask, bool, hedge_after, deadline_in(seconds)
        )

    async def test_next_one_is_asked_at_once_after_a_failure(self):
        self.assertEqual(await self.play(10, "", "", "yes", hedge_after=10), "yes")
        self.assertEqual(self.asked, [0, 1, 2])

    async def test_nobody_else_is_asked_after_an_answer(self):
        self.assertEqual(await self.play(10, "yes", "no"), "yes")
        self.assertEqual(self.asked, [0])

    async def test_peer_that_stands_still_is_not_waited_for(self):
        """Guards against readers who leave before a frozen instance is given up."""
        self.assertEqual(await self.play(10, HANG, HANG, "yes"), "yes")
        await asyncio.sleep(0)
        self.assertEqual(self.cancelled, 2)

    async def test_failure_of_all_is_known_at_once(self):
        began = now()
        self.assertIsNone(await self.play(10, "", ""))
        self.assertLess(now() - began, 5)

    async def test_deadline_ends_all(self):
        self.assertIsNone(await self.play(0.3, HANG, HANG))
        await asyncio.sleep(0)
        self.assertEqual(self.cancelled, 2)

    async def test_no_peer_is_no_answer(self):
        self.assertIsNone(await self.play(1))


if __name__ == "__main__":
    unittest.main()
