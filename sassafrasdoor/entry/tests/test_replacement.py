"""The accepted table survives the replacement of every instance."""

import asyncio
import copy
import unittest

from sassafrasdoor.cluster import KEYS, TABLE, ZONES, Cluster
from sassafrasdoor.support import until


class ReplacementTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.highest = {}

    async def revision(self, cluster, instance):
        _, status = await cluster.get(instance.address, "/v1/status")
        return status.get("revision", 0)

    async def serves_calls(self, cluster, instance):
        status, _ = await cluster.post(
            instance.address, "/v1/call/idempotent/work", {}, KEYS["idempotent"]
        )
        return status == 200

    async def test_table_survives_replacement_during_a_log_outage(self):
        """Guards against an earlier table in force after all instances were replaced."""
        async with Cluster() as cluster:
            await cluster.start(instances=3, engines=1, services=1)
            first = await self.revision(cluster, cluster.instances[0])
            edited = copy.deepcopy(TABLE)
            edited["rows"][0]["weight"] = 5
            second = await cluster.propose(edited, base=first, proposal="second")
            for instance in cluster.instances:
                await until(
                    lambda instance=instance: self.is_in_force(
                        cluster, instance, second
                    )
                )
            await cluster.platform_faults(down=True)
            for number, old in enumerate(list(cluster.instances)):
                await asyncio.to_thread(old.kill)
                cluster.instances.remove(old)
                fresh = await asyncio.to_thread(
                    cluster.start_instance, f"fresh-{number}", ZONES[number]
                )
                await until(
                    lambda fresh=fresh: self.is_in_force(cluster, fresh, second)
                )
                await until(lambda fresh=fresh: self.serves_calls(cluster, fresh))
            await cluster.platform_faults(down=False)
            third = await cluster.propose(TABLE, base=second, proposal="third")
            for instance in cluster.instances:
                await until(
                    lambda instance=instance: self.is_in_force(cluster, instance, third)
                )

    async def is_in_force(self, cluster, instance, expected):
        """Return whether ``expected`` is in force; check that revisions only rise."""
        revision = await self.revision(cluster, instance)
        highest = max(self.highest.get(instance.name, 0), revision)
        self.assertEqual(revision, highest, f"{instance.name}: revision decreased")
        self.highest[instance.name] = highest
        return revision == expected
