"""The holder of a lease: stops early, starts late, never two at once."""

import asyncio
import contextlib
import unittest
from unittest import mock

from sassafrasdoor import settings
from sassafrasdoor.lease.holder import Holder
from sassafrasdoor.lease.tests.fixtures import (
    LEASE_DURATION,
    ORDER_TIMEOUT,
    RENEW_INTERVAL,
    STREAM,
    LeaseCluster,
    Node,
)
from sassafrasdoor.log import agreed
from sassafrasdoor.log.follower import Follower
from sassafrasdoor.log.memory import MemoryLog
from sassafrasdoor.support import until


class HolderTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.cluster = LeaseCluster(self)
        self.a, self.b = self.cluster.nodes

    async def test_single_holder_keeps_its_fence_when_renewing(self):
        fence = await self.a.poll_and_claim()
        self.assertEqual(await self.b.poll_and_claim(), 0)
        self.assertGreater(fence, 0)
        await self.cluster.run(5 * LEASE_DURATION, self.a, self.b)
        self.assertEqual(self.a.holder.fence, fence)
        self.assertEqual(self.b.holder.fence, 0)

    async def test_a_successor_waits_for_the_lease_and_the_longest_order(self):
        """Guards against a successor that acts while an old order is in flight."""
        old = await self.a.poll_and_claim()
        await self.b.poll_and_claim()
        await self.cluster.run(LEASE_DURATION + ORDER_TIMEOUT - 0.5, self.b, step=0.5)
        lease = self.b.follower.state.leases["plan"]
        self.assertEqual(lease.holder, self.b.holder.identity)
        self.assertEqual(self.b.holder.fence, 0)
        await self.cluster.run(1.0, self.b, step=0.5)
        self.assertGreater(self.b.holder.fence, old)

    async def test_successor_acts_when_the_lease_lapses_if_orders_take_no_time(self):
        await self.a.poll_and_claim()
        successor = Node("c", self.cluster.log, max_order_duration=0)
        await successor.poll_and_claim()
        await self.cluster.run(LEASE_DURATION - 0.5, successor, step=0.5)
        self.assertEqual(successor.holder.fence, 0)
        await self.cluster.run(0.5, successor, step=0.5)
        self.assertGreater(successor.holder.fence, 0)

    async def test_paused_holder_loses_the_lease_and_cannot_renew(self):
        """Guards against a holder that trusts its lease after a pause."""
        await self.a.poll_and_claim()
        await self.b.poll_and_claim()
        await self.cluster.run(2 * LEASE_DURATION + ORDER_TIMEOUT, self.b, step=0.5)
        held = self.b.holder.fence
        self.assertEqual(self.a.holder.fence, 0)
        await self.a.holder.claim()
        await self.a.poll_and_claim()
        await self.b.poll_and_claim()
        self.assertEqual((self.a.holder.fence, self.b.holder.fence), (0, held))

    async def test_short_pause_within_the_lease_requires_a_renewal(self):
        """Guards against an order sent on a lease that was read before a pause."""
        fence = await self.a.poll_and_claim()
        self.cluster.clock.advance(RENEW_INTERVAL + 0.1)
        self.assertEqual(self.a.holder.fence, 0)
        self.assertEqual(await self.a.poll_and_claim(), fence)

    async def test_the_lease_counts_from_when_its_claim_was_sent(self):
        """Guards against a lease counted from the arrival of its claim."""
        await self.a.poll_and_claim()
        await self.cluster.run(RENEW_INTERVAL, self.a)
        self.cluster.clock.advance(RENEW_INTERVAL)
        append, self.cluster.log.append = self.cluster.log.append, mock.AsyncMock()
        await self.a.holder.claim()
        late_claim = self.cluster.log.append.await_args.args
        self.cluster.log.append = append
        await self.cluster.run(LEASE_DURATION - 1.0, step=0.5)
        await append(*late_claim)
        await self.a.follower.poll(0)
        self.assertEqual(self.a.holder.deadline, self.cluster.clock.time + 1.0)

    async def test_a_restarted_process_is_another_holder(self):
        """Guards against a restarted process that continues its former lease."""
        old = await self.a.poll_and_claim()
        restarted = Node("a", self.cluster.log)
        await self.cluster.run(
            LEASE_DURATION + ORDER_TIMEOUT - 0.5, restarted, step=0.5
        )
        self.assertEqual(restarted.holder.fence, 0)
        await self.cluster.run(1.0, restarted, step=0.5)
        self.assertGreater(restarted.holder.fence, old)

    async def test_lease_is_claimed_despite_a_faulty_append(self):
        for fault in ("lose_replies", "duplicates"):
            with self.subTest(fault):
                cluster = LeaseCluster(self, "c")
                setattr(cluster.log, fault, 1)
                self.assertGreater(await cluster.nodes[0].poll_and_claim(), 0)

    async def test_lease_ends_in_an_outage_and_is_renewed_afterwards(self):
        fence = await self.a.poll_and_claim()
        await self.b.poll_and_claim()
        self.cluster.log.down = True
        await self.cluster.run(LEASE_DURATION, self.a, self.b)
        self.assertEqual((self.a.holder.fence, self.b.holder.fence), (0, 0))
        self.cluster.log.down = False
        await self.cluster.run(RENEW_INTERVAL, self.a, self.b)
        self.assertEqual(self.a.holder.fence, fence)

    async def test_released_lease_is_claimed_at_once(self):
        await self.a.poll_and_claim()
        await self.a.holder.release()
        await self.cluster.run(2 * RENEW_INTERVAL, self.a)
        self.assertEqual(self.a.holder.fence, 0)
        self.assertGreater(await self.b.poll_and_claim(), 0)

    async def test_waiting_successor_releases_nothing(self):
        """Guards against a release that hides an earlier order in flight."""
        await self.a.poll_and_claim()
        await self.b.poll_and_claim()
        await self.cluster.run(LEASE_DURATION + 1.0, self.b, step=0.5)
        await self.b.holder.release()
        await self.b.poll_and_claim()
        self.assertFalse(self.b.follower.state.leases["plan"].released)

    async def test_instance_that_may_not_claim_does_not(self):
        self.a.holder.may_claim = lambda: False
        self.assertEqual(await self.a.poll_and_claim(), 0)
        self.assertEqual(self.cluster.log._records[STREAM], [])


class RunningHolderTest(unittest.IsolatedAsyncioTestCase):
    async def test_running_holder_claims_and_renews(self):
        short = {"duration": 1.0, "renew_interval": 0.1}
        configured = settings.from_document({"lease": short})
        log = MemoryLog()
        follower = Follower(configured, log, agreed.fold, agreed.Agreed())
        holder = Holder(configured, log, follower, "plan")
        tasks = [
            asyncio.create_task(component.run()) for component in (follower, holder)
        ]
        fence = await until(lambda: holder.fence, what="lease")
        await until(lambda: len(log._records[STREAM]) > 3, what="renewals")
        await until(lambda: holder.fence == fence, what="the same epoch")
        for task in tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
