"""Tests of hedged calls to several instances."""

import asyncio
import unittest

from sassafrasdoor.clock import deadline_in, now
from sassafrasdoor.steps.durable.hedging import first_answer

HANG = "hang"


class FirstAnswerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.asked = []
        self.cancelled = 0

    async def play(self, seconds, *script, hedge_after=0.1):
        """Return the first answer of peers that answer by the script."""

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

    async def test_next_peer_is_asked_immediately_after_a_failure(self):
        self.assertEqual(await self.play(10, "", "", "yes", hedge_after=10), "yes")
        self.assertEqual(self.asked, [0, 1, 2])

    async def test_no_further_peer_is_asked_after_an_answer(self):
        self.assertEqual(await self.play(10, "yes", "no"), "yes")
        self.assertEqual(self.asked, [0])

    async def test_hanging_peer_is_hedged(self):
        """Guards against readers that time out while a frozen instance is awaited."""
        self.assertEqual(await self.play(10, HANG, HANG, "yes"), "yes")
        await asyncio.sleep(0)
        self.assertEqual(self.cancelled, 2)

    async def test_failure_of_all_returns_immediately(self):
        started_at = now()
        self.assertIsNone(await self.play(10, "", ""))
        self.assertLess(now() - started_at, 5)

    async def test_deadline_cancels_all_calls(self):
        self.assertIsNone(await self.play(0.3, HANG, HANG))
        await asyncio.sleep(0)
        self.assertEqual(self.cancelled, 2)

    async def test_next_peer_is_chosen_by_earlier_results(self):
        """Guards against peers chosen before it is known that the first one is gone."""
        results = []

        async def ask(peer, deadline):
            results.append(peer)
            return peer == "substitute"

        def peers():
            yield "gone"
            yield "substitute" if results else "too early"

        self.assertTrue(await first_answer(peers(), ask, bool, 10, deadline_in(10)))

    async def test_no_peers_return_none(self):
        self.assertIsNone(await self.play(1))


if __name__ == "__main__":
    unittest.main()
