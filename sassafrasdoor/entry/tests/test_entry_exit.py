"""An entry process that dies alone is not named to callers any more."""

import unittest

from sassafrasdoor.cluster import Cluster
from sassafrasdoor.support import until


class EntryGoneTest(unittest.IsolatedAsyncioTestCase):
    async def test_discovery_withdraws_the_instance_until_its_entry_restarts(self):
        """Guards against discovery of an instance whose entry process has ended."""
        async with Cluster() as cluster:
            await cluster.start(instances=3, engines=1)
            other, gone = cluster.instances[:2]

            async def named():
                path = f"/v1/addresses?row=chat&zone={gone.name}"
                _, answer = await cluster.get(other.address, path)
                return {one["instance"] for one in answer["addresses"]}

            async def withdrawn():
                return gone.name not in await named()

            async def back():
                return gone.name in await named()

            await until(back, what="all instances in discovery")
            gone.entry.kill()
            await until(withdrawn, what="the dead entry to be withdrawn")
            gone.entry = cluster.processes.serve(
                "entry",
                "--settings",
                gone.settings_path,
                "--control",
                gone.control.ready["control"],
            )
            await until(back, what="the new entry in discovery")
