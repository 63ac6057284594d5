"""The operators' tool and a whole cluster: accepted, then in force everywhere."""

import json
import unittest

from sassafrasdoor.cluster import TABLE, Cluster
from sassafrasdoor.support import until


class InForceTest(unittest.IsolatedAsyncioTestCase):
    async def apply(self, cluster, base, weight, *options):
        """Publish the cluster's table with another weight; return code and output."""
        rows = [{**row, "weight": weight} for row in TABLE["rows"]]
        document = {"rows": rows, "revision": base}
        sheet = cluster.processes.write_json("sheet.json", document)
        command = ("--platform", cluster.platform_url, "--json", "apply", sheet)
        tool = cluster.processes.start("table", *command, *options)
        await until(lambda: tool.returncode is not None, what="tool to end")
        await until(lambda: tool.output, what="its output")
        return tool.returncode, json.loads(tool.output[-1])

    async def test_apply_reports_the_instances_without_the_revision(self):
        """Guards against an accepted table reported as in force everywhere."""
        async with Cluster() as cluster:
            await cluster.start(instances=3, engines=1)
            _, initial_status = await cluster.get(
                cluster.instances[0].address, "/v1/status"
            )
            code, first = await self.apply(cluster, initial_status["revision"], 2.0)
            self.assertEqual((code, first["in_force"], first["missing"]), (0, 3, []))
            frozen = cluster.instances[1]
            frozen.freeze()
            code, second = await self.apply(
                cluster, first["revision"], 3.0, "--timeout", "8"
            )
            self.assertEqual((code, second["in_force"]), (4, 2))
            self.assertEqual(second["missing"], [frozen.name])
            frozen.thaw()

            async def caught_up():
                _, status = await cluster.get(frozen.address, "/v1/status")
                return status["revision"] == second["revision"]

            await until(caught_up, what="the resumed instance to catch up")
