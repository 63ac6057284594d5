"""A short soak test of the product's own interface with a fixed seed."""

import asyncio
import unittest
from types import SimpleNamespace

from sassafrasdoor.soak.own import OwnSoak

SECONDS, INSTANCES = 15, 3
# Has pauses, log outages and broken replies; fails if a broken reply is treated as one
# that never began.
SEED = 2


class OwnSoakTest(unittest.TestCase):
    def test_no_guarantee_is_violated(self):
        soak = OwnSoak(SEED, SECONDS, INSTANCES)
        asyncio.run(soak.run())
        self.assertEqual(soak.violations.messages, [])
        self.assertGreater(len(soak._calls), 50)


def instance(name, returncode):
    entry = SimpleNamespace(returncode=returncode)
    return SimpleNamespace(name=name, entry=entry, kill=lambda: None)


class FaultsTest(unittest.IsolatedAsyncioTestCase):
    """Seed 41 with 20 s has a fault that begins while all three instances are down."""

    def soak(self, *instances):
        soak = OwnSoak(41, 20, INSTANCES)
        soak._cluster = SimpleNamespace(instances=list(instances))
        return soak

    async def test_fault_waits_while_no_instance_runs(self):
        """Guards against a fault that is dropped while no instance is running."""
        soak = self.soak(instance("entry-1", -9))
        fault = soak.faults[0]
        target = asyncio.ensure_future(soak._target_instance(fault))
        await asyncio.sleep(0)
        self.assertFalse(target.done())
        soak._cluster.instances.append(instance("entry-2", None))
        self.assertEqual((await target).name, "entry-2")

    async def test_fault_that_fails_is_a_violation(self):
        """Guards against a fault that fails unnoticed."""

        async def fail():
            raise ZeroDivisionError("no instance to target")

        soak = self.soak()
        task = soak._spawn(fail())
        await asyncio.wait([task])
        await asyncio.sleep(0)
        self.assertIn("no instance to target", soak.violations.messages[0])


if __name__ == "__main__":
    unittest.main()
