"""Discovery omits an instance whose entry process alone has exited."""

import unittest

from sassafrasdoor.cluster import Cluster
from sassafrasdoor.support import until


class EntryGoneTest(unittest.IsolatedAsyncioTestCase):
    async def test_discovery_withdraws_the_instance_until_its_entry_restarts(self):
        """Guards against discovery of an instance whose entry process has ended."""
        async with Cluster() as cluster:
            await cluster.start(instances=3, engines=1)
            other, stopped = cluster.instances[:2]

            async def listed():
                path = f"/v1/addresses?row=chat&zone={stopped.name}"
                _, answer = await cluster.get(other.address, path)
                return {address["instance"] for address in answer["addresses"]}

            async def is_withdrawn():
                return stopped.name not in await listed()

            async def is_listed():
                return stopped.name in await listed()

            await until(is_listed, what="all instances in discovery")
            stopped.entry.kill()
            await until(is_withdrawn, what="the dead entry to be withdrawn")
            stopped.entry = cluster.processes.serve(
                "entry",
                "--settings",
                stopped.settings_path,
                "--control",
                stopped.control.ready["control"],
            )
            await until(is_listed, what="the new entry in discovery")
