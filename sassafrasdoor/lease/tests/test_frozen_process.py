"""A cluster whose holder of the rollout's lease is frozen and resumed."""

import unittest

from sassafrasdoor import settings
from sassafrasdoor.clock import deadline_in
from sassafrasdoor.cluster import MODEL, Cluster
from sassafrasdoor.log import agreed
from sassafrasdoor.log.follower import Follower
from sassafrasdoor.log.http import HttpLog
from sassafrasdoor.support import until

LEASE = "weights"
TIMEOUT = 60  # seconds
QUICK = {
    "lease": {"duration": 1.5, "renew_interval": 0.3},
    "weights": {"order_timeout": 1.0},
}


class FrozenHolderProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = await self.enterAsyncContext(Cluster(QUICK))
        self.cluster.start_platform()
        section = {"log_url": self.cluster.platform_url}
        self.settings = settings.from_document({"platform": section})
        self.log = HttpLog(self.settings)
        self.addCleanup(self.log.close)
        self.reader = Follower(self.settings, self.log, agreed.fold, agreed.Agreed())

    async def lease(self):
        """Return the rollout's lease at the end of the log, or None."""
        state = await self.reader.catch_up(deadline_in(TIMEOUT))
        return state.leases.get(LEASE)

    async def wait_for_version(self, version):
        """Wait until every engine runs ``version``."""
        for name in self.cluster.backends:

            async def reached(name=name):
                truth = await self.cluster.truth(name)
                return truth["versions"].get(MODEL) == version

            await until(reached, TIMEOUT, f"{name} at version {version}")

    async def test_engines_never_revert_to_an_older_version(self):
        """Guards against orders of a holder that resumes after its lease was lost."""
        cluster = self.cluster
        cluster.start_engine("checks", "--checks-fencing")
        cluster.start_engine("ignores", "--no-checks-fencing")
        await cluster.announce(MODEL, 1)
        for name in ("entry-1", "entry-2", "entry-3"):
            cluster.start_instance(name)
        await self.wait_for_version(1)
        first = await self.lease()
        holder = first.holder.partition("/")[0]
        frozen = next(
            instance for instance in cluster.instances if instance.name == holder
        )
        frozen.control.freeze()
        await cluster.announce(MODEL, 2)
        await self.wait_for_version(2)
        second = await self.lease()
        self.assertGreater(second.epoch, first.epoch)
        frozen.control.thaw()
        await cluster.announce(MODEL, 3)
        await self.wait_for_version(3)
        for name in cluster.backends:
            with self.subTest(name):
                orders = (await cluster.truth(name))["orders"]
                applied = [order for order in orders if order["applied"]]
                for field in ("fence", "version"):
                    values = [order[field] for order in applied]
                    self.assertEqual(values, sorted(values))
