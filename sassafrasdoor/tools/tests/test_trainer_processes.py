"""The trainer program before a real cluster."""

import json
import pathlib
import unittest

from sassafrasdoor.cluster import KEYS, Cluster
from sassafrasdoor.support import ROOT

SAMPLE = ROOT / "samples" / "scored.json"
PATIENCE = 60
SAMPLES = 2


def lines(path):
    """Return the samples that the program wrote, a line each."""
    return [json.loads(one) for one in path.read_text("utf-8").splitlines()]


class TrainerProcessesTest(unittest.IsolatedAsyncioTestCase):
    async def test_sample_groups_are_scored(self):
        """Guards against a trainer's program that ignores reward calls."""
        groups = json.loads(SAMPLE.read_text("utf-8"))
        async with Cluster() as cluster:
            await cluster.start(instances=1, engines=1, services=1)
            output = pathlib.Path(cluster.processes.write_json("samples.jsonl", []))
            options = ["--address", cluster.instances[0].address, "--row", "trainer"]
            options += ["--key", KEYS["trainer"], "--samples", str(SAMPLES)]
            options += ["--max-tokens", "8", "--output", str(output), "--json"]
            run = cluster.processes.start("trainer", str(SAMPLE), *options)
            self.assertEqual(run.wait(PATIENCE), 0, run.output)
            self.assertTrue(json.loads(run.output[-1])["complete"])
            samples = lines(output)
        self.assertEqual(len(samples), SAMPLES * len(groups))
        calls = {sample["score"]["request_id"] for sample in samples}
        self.assertEqual(len(calls), len(samples))


if __name__ == "__main__":
    unittest.main()
