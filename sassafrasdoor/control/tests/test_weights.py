"""Weights rolled out by control processes under their lease."""

import asyncio
import unittest

from sassafrasdoor.cluster import MODEL
from sassafrasdoor.control.tests.test_process import ControlCluster
from sassafrasdoor.peers.tests.test_link import on_kj_loop
from sassafrasdoor.support import until

QUICK = {"lease": {"duration": 2.0, "renew_interval": 0.5}}
QUICK["weights"] = {"order_timeout": 1.0, "check_interval": 0.5}


class WeightsTests(unittest.IsolatedAsyncioTestCase):
    @on_kj_loop
    async def test_the_rollout_goes_on_when_its_holder_ends(self):
        """Guards against a rollout that stops when its holder stops."""
        names = ["entry-1", "entry-2", "entry-3"]
        async with ControlCluster(QUICK) as cluster:
            await cluster.start_all(names)
            options = "--swap-seconds", "0.05", "--load-lag", "0.05"
            for engine in ("engine-1", "engine-2"):
                await asyncio.to_thread(cluster.start_engine, engine, *options)
            await self.wait_for_version(cluster, 1)
            for version, planned in ((2, True), (3, False)):
                with self.subTest(planned=planned):
                    holder = await cluster.holder("weights")
                    if planned:
                        self.assertEqual(await cluster.stop_control(holder), 0)
                    else:
                        cluster.controls.pop(holder).kill()
                    await cluster.announce(MODEL, version)
                    await self.wait_for_version(cluster, version)
            fences = [
                order["fence"]
                for engine in cluster.backends
                for order in (await cluster.truth(engine))["orders"]
            ]
            self.assertEqual(len(set(fences)), 3)

    async def wait_for_version(self, cluster, version):
        async def reached():
            truths = [await cluster.truth(engine) for engine in cluster.backends]
            return all(truth["versions"][MODEL] == version for truth in truths)

        await until(reached, timeout=40, what=f"version {version} on all engines")


if __name__ == "__main__":
    unittest.main()
