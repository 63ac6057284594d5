"""The operators' tool and a whole cluster: accepted, then in force everywhere."""

import json
import unittest

from sassafrasdoor.cluster import TABLE, Cluster
from sassafrasdoor.support import until


class InForceTest(unittest.IsolatedAsyncioTestCase):
    async def apply(self, cluster, base, weight, *options):
        """Publish the cluster's table with another weight; what the tool said."""
        rows = [{**row, "weight": weight} for row in TABLE["rows"]]
        document = {"rows": rows, "revision": base}
        sheet = cluster.processes.write_json("sheet.json", document)
        given = ("--platform", cluster.platform_url, "--json", "apply", sheet)
        tool = cluster.processes.start("table", *given, *options)
        await until(lambda: tool.returncode is not None, what="tool to end")
        await until(lambda: tool.output, what="its output")
        return tool.returncode, json.loads(tool.output[-1])

    async def test_it_says_on_how_many_instances_and_which_are_missing(self):
        """Guards against an accepted table taken for one in force everywhere."""
        async with Cluster() as cluster:
            await cluster.start(instances=3, engines=1)
            _, seen = await cluster.get(cluster.instances[0].address, "/v1/status")
            code, first = await self.apply(cluster, seen["revision"], 2.0)
            self.assertEqual((code, first["in_force"], first["missing"]), (0, 3, []))
            stopped = cluster.instances[1]
            stopped.freeze()
            code, second = await self.apply(
                cluster, first["revision"], 3.0, "--timeout", "8"
            )
            self.assertEqual((code, second["in_force"]), (4, 2))
            self.assertEqual(second["missing"], [stopped.name])
            stopped.thaw()

            async def caught_up():
                _, status = await cluster.get(stopped.address, "/v1/status")
                return status["revision"] == second["revision"]

            await until(caught_up, what="the woken instance")
