"""A cluster on a log with short retention: the table outlives its record."""

import unittest

from sassafrasdoor.cluster import TABLE, Cluster
from sassafrasdoor.support import until

RETAINED_RECORDS = 50
FREQUENT_RENEWALS = {"lease": {"duration": 1.5, "renew_interval": 0.1}}


class RetentionClusterTest(unittest.IsolatedAsyncioTestCase):
    async def revisions(self, cluster):
        """Return the revision in use by each instance."""
        return [
            (await cluster.get(instance.address, "/v1/status"))[1]["revision"]
            for instance in cluster.instances
        ]

    async def has_outlived_record(self, cluster, revision):
        """Return whether the table's record expired long ago and a checkpoint is recent."""
        address = cluster.platform_url.removeprefix("http://")
        _, truth = await cluster.get(address, "/standin/truth")
        kept = truth["streams"]["agreed"][-RETAINED_RECORDS:]
        if kept[0]["offset"] <= revision + RETAINED_RECORDS:
            return False
        recent = kept[RETAINED_RECORDS // 4]["offset"]
        return any(record["body"].get("as_of", 0) >= recent for record in kept)

    async def test_table_survives_a_restart_of_all_instances_after_its_record_expired(
        self,
    ):
        """Guards against instances without a table after a power cut.

        Renewals of leases expire the table's record; then all instances are killed at
        once and new ones start. The log kept no checkpoint, or only an unusable one.
        """
        async with Cluster(FREQUENT_RENEWALS) as cluster:
            cluster.start_platform()
            await cluster.platform_faults(retain=RETAINED_RECORDS)
            cluster.start_engine("engine-1")
            revision = await cluster.propose(TABLE)
            for name in ("old-1", "old-2", "old-3"):
                cluster.start_instance(name)
            await cluster.wait_ready()

            await until(
                lambda: self.has_outlived_record(cluster, revision),
                what="expiry, a checkpoint",
            )
            for instance in cluster.instances:
                instance.kill()
            cluster.instances.clear()
            for name in ("new-1", "new-2"):
                cluster.start_instance(name)
            await cluster.wait_ready()
            self.assertEqual(set(await self.revisions(cluster)), {revision})
