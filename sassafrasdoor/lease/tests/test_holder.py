"""The holder of a lease: stops early, starts late, and never two at once."""

import asyncio
import contextlib
import unittest
from unittest import mock

from sassafrasdoor import settings
from sassafrasdoor.lease.holder import Holder
from sassafrasdoor.lease.tests.bench import (
    DURATION,
    ORDER,
    RENEWAL,
    STREAM,
    Bench,
    Node,
)
from sassafrasdoor.log import agreed
from sassafrasdoor.log.follower import Follower
from sassafrasdoor.log.memory import MemoryLog
from sassafrasdoor.support import until


class HolderTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.bench = Bench(self)
        self.a, self.b = self.bench.nodes

    async def test_one_of_two_holds_and_renewing_keeps_its_fence(self):
        fence = await self.a.turn()
        self.assertEqual(await self.b.turn(), 0)
        self.assertGreater(fence, 0)
        await self.bench.run(5 * DURATION, self.a, self.b)
        self.assertEqual(self.a.holder.fence, fence)
        self.assertEqual(self.b.holder.fence, 0)

    async def test_a_successor_waits_for_the_lease_and_the_longest_order(self):
        """Guards against a successor that acts while an old order is in flight."""
        old = await self.a.turn()
        await self.b.turn()
        await self.bench.run(DURATION + ORDER - 0.5, self.b, step=0.5)
        lease = self.b.follower.state.leases["plan"]
        self.assertEqual(lease.holder, self.b.holder.identity)
        self.assertEqual(self.b.holder.fence, 0)
        await self.bench.run(1.0, self.b, step=0.5)
        self.assertGreater(self.b.holder.fence, old)

    async def test_where_nothing_outlives_the_lease_a_successor_acts_at_once(self):
        await self.a.turn()
        successor = Node("c", self.bench.log, settle=0)
        await successor.turn()
        await self.bench.run(DURATION - 0.5, successor, step=0.5)
        self.assertEqual(successor.holder.fence, 0)
        await self.bench.run(0.5, successor, step=0.5)
        self.assertGreater(successor.holder.fence, 0)

    async def test_a_holder_that_slept_holds_nothing_and_cannot_renew(self):
        """Guards against a holder that trusts its lease after a pause."""
        await self.a.turn()
        await self.b.turn()
        await self.bench.run(2 * DURATION + ORDER, self.b, step=0.5)
        held = self.b.holder.fence
        self.assertEqual(self.a.holder.fence, 0)
        await self.a.holder.claim()
        await self.a.turn()
        await self.b.turn()
        self.assertEqual((self.a.holder.fence, self.b.holder.fence), (0, held))

    async def test_a_short_pause_within_the_lease_still_asks_for_a_renewal(self):
        """Guards against an order sent on a lease that was read before a pause."""
        fence = await self.a.turn()
        self.bench.clock.advance(RENEWAL + 0.1)
        self.assertEqual(self.a.holder.fence, 0)
        self.assertEqual(await self.a.turn(), fence)

    async def test_the_lease_counts_from_when_its_claim_was_sent(self):
        """Guards against a lease counted from the arrival of its claim."""
        await self.a.turn()
        await self.bench.run(RENEWAL, self.a)
        self.bench.clock.advance(RENEWAL)
        append, self.bench.log.append = self.bench.log.append, mock.AsyncMock()
        await self.a.holder.claim()
        late = self.bench.log.append.await_args.args
        self.bench.log.append = append
        await self.bench.run(DURATION - 1.0, step=0.5)
        await append(*late)
        await self.a.follower.poll(0)
        self.assertEqual(self.a.holder.deadline, self.bench.clock.time + 1.0)

    async def test_a_restarted_process_is_another_holder(self):
        """Guards against a restarted process that continues its former lease."""
        old = await self.a.turn()
        again = Node("a", self.bench.log)
        await self.bench.run(DURATION + ORDER - 0.5, again, step=0.5)
        self.assertEqual(again.holder.fence, 0)
        await self.bench.run(1.0, again, step=0.5)
        self.assertGreater(again.holder.fence, old)

    async def test_it_holds_through_faults_of_one_append(self):
        for fault in ("lose_replies", "duplicates"):
            with self.subTest(fault):
                bench = Bench(self, "c")
                setattr(bench.log, fault, 1)
                self.assertGreater(await bench.nodes[0].turn(), 0)

    async def test_an_outage_ends_the_lease_and_its_end_brings_it_back(self):
        fence = await self.a.turn()
        await self.b.turn()
        self.bench.log.down = True
        await self.bench.run(DURATION, self.a, self.b)
        self.assertEqual((self.a.holder.fence, self.b.holder.fence), (0, 0))
        self.bench.log.down = False
        await self.bench.run(RENEWAL, self.a, self.b)
        self.assertEqual(self.a.holder.fence, fence)

    async def test_a_released_lease_passes_on_at_once(self):
        await self.a.turn()
        await self.a.holder.release()
        await self.bench.run(2 * RENEWAL, self.a)
        self.assertEqual(self.a.holder.fence, 0)
        self.assertGreater(await self.b.turn(), 0)

    async def test_a_successor_still_waiting_releases_nothing(self):
        """Guards against a release that hides an earlier order in flight."""
        await self.a.turn()
        await self.b.turn()
        await self.bench.run(DURATION + 1.0, self.b, step=0.5)
        await self.b.holder.release()
        await self.b.turn()
        self.assertFalse(self.b.follower.state.leases["plan"].released)

    async def test_one_that_may_not_claim_does_not(self):
        self.a.holder.may_claim = lambda: False
        self.assertEqual(await self.a.turn(), 0)
        self.assertEqual(self.bench.log._records[STREAM], [])


class RunningHolderTest(unittest.IsolatedAsyncioTestCase):
    async def test_it_claims_and_renews_by_itself(self):
        short = {"duration": 1.0, "renew_interval": 0.1}
        configured = settings.from_document({"lease": short})
        log = MemoryLog()
        follower = Follower(configured, log, agreed.fold, agreed.Agreed())
        holder = Holder(configured, log, follower, "plan")
        tasks = [asyncio.create_task(one.run()) for one in (follower, holder)]
        fence = await until(lambda: holder.fence, what="lease")
        await until(lambda: len(log._records[STREAM]) > 3, what="renewals")
        await until(lambda: holder.fence == fence, what="the same epoch")
        for task in tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
