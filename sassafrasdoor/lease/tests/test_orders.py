"""A holder frozen between its check and its order, and engines of both kinds."""

import unittest

from sassafrasdoor.lease.tests.bench import DURATION, ORDER, Bench


class FakeEngine:
    """Takes orders "be at version v"; some kinds refuse an old fencing number."""

    def __init__(self, checks_fencing):
        self.checks_fencing = checks_fencing
        self.fence = 0
        self.version = 0
        self.refused = 0

    def order(self, fence, version):
        """Carry an order out; return whether it was taken."""
        if self.checks_fencing and fence < self.fence:
            self.refused += 1
            return False
        self.fence = max(fence, self.fence)
        self.version = version
        return True


def reconcile(node, engine, wanted):
    """Order what is wanted where the engine reports otherwise; say if we could."""
    fence = node.holder.fence
    if fence and engine.version != wanted:
        engine.order(fence, wanted)
    return bool(fence)


class FrozenHolderTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_order_sent_by_a_holder_that_was_frozen_after_its_check(self):
        """Guards against an order sent between the check of a lease and its loss."""
        for checks_fencing, refused, meanwhile in ((True, 1, 2), (False, 0, 1)):
            with self.subTest(checks_fencing=checks_fencing):
                bench = Bench(self)
                old, new = bench.nodes
                engine = FakeEngine(checks_fencing)
                checked = await old.turn()
                await new.turn()
                await bench.run(DURATION + ORDER + 1, new, step=0.5)
                self.assertTrue(reconcile(new, engine, wanted=2))
                engine.order(checked, 1)
                self.assertEqual(engine.refused, refused)
                self.assertEqual(engine.version, meanwhile)
                await bench.run(1.0, new, old)
                reconcile(old, engine, wanted=1)
                reconcile(new, engine, wanted=2)
                self.assertEqual(engine.version, 2)

    async def test_no_order_of_two_holders_is_under_way_at_once(self):
        """Guards against concurrent orders of two holders at one engine."""
        bench = Bench(self)
        old, new = bench.nodes
        await old.turn()
        await new.turn()
        ends = None
        while not new.holder.fence:
            if old.holder.fence:
                ends = bench.clock.time + ORDER
            await bench.run(0.25, new, step=0.25)
        self.assertGreaterEqual(bench.clock.time, ends)
