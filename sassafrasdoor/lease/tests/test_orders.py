"""A holder frozen between check and order; engines with and without fencing."""

import unittest

from sassafrasdoor.lease.tests.fixtures import (
    LEASE_DURATION,
    ORDER_TIMEOUT,
    LeaseCluster,
)


class FakeEngine:
    """Runs the version ordered; may refuse orders with an old fencing number."""

    def __init__(self, checks_fencing):
        self.checks_fencing = checks_fencing
        self.fence = 0
        self.version = 0
        self.refused = 0

    def order(self, fence, version):
        """Carry an order out; return whether it was accepted."""
        if self.checks_fencing and fence < self.fence:
            self.refused += 1
            return False
        self.fence = max(fence, self.fence)
        self.version = version
        return True


def reconcile(node, engine, wanted):
    """Order ``wanted`` if the engine has another version; return whether holder."""
    fence = node.holder.fence
    if fence and engine.version != wanted:
        engine.order(fence, wanted)
    return bool(fence)


class FrozenHolderTest(unittest.IsolatedAsyncioTestCase):
    async def test_late_order_of_a_holder_frozen_after_its_check(self):
        """Guards against an order sent between the check of a lease and its loss."""
        for checks_fencing, refused, interim_version in ((True, 1, 2), (False, 0, 1)):
            with self.subTest(checks_fencing=checks_fencing):
                cluster = LeaseCluster(self)
                old, new = cluster.nodes
                engine = FakeEngine(checks_fencing)
                checked = await old.poll_and_claim()
                await new.poll_and_claim()
                await cluster.run(LEASE_DURATION + ORDER_TIMEOUT + 1, new, step=0.5)
                self.assertTrue(reconcile(new, engine, wanted=2))
                engine.order(checked, 1)
                self.assertEqual(engine.refused, refused)
                self.assertEqual(engine.version, interim_version)
                await cluster.run(1.0, new, old)
                reconcile(old, engine, wanted=1)
                reconcile(new, engine, wanted=2)
                self.assertEqual(engine.version, 2)

    async def test_orders_of_two_holders_never_overlap(self):
        """Guards against concurrent orders of two holders at one engine."""
        cluster = LeaseCluster(self)
        old, new = cluster.nodes
        await old.poll_and_claim()
        await new.poll_and_claim()
        last_order_end = None
        while not new.holder.fence:
            if old.holder.fence:
                last_order_end = cluster.clock.time + ORDER_TIMEOUT
            await cluster.run(0.25, new, step=0.25)
        self.assertGreaterEqual(cluster.clock.time, last_order_end)
