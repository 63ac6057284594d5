"""The trainer program against a real cluster."""

import json
import pathlib
import unittest

from sassafrasdoor.cluster import KEYS, Cluster
from sassafrasdoor.support import ROOT

PROMPTS_PATH = ROOT / "samples" / "scored.json"
TIMEOUT = 60
SAMPLES_PER_GROUP = 2


def read_samples(path):
    """Return the samples that the program wrote, one per line."""
    return [json.loads(line) for line in path.read_text("utf-8").splitlines()]


class TrainerProcessesTest(unittest.IsolatedAsyncioTestCase):
    async def test_samples_are_scored(self):
        """Guards against a trainer program that ignores reward calls."""
        groups = json.loads(PROMPTS_PATH.read_text("utf-8"))
        async with Cluster() as cluster:
            await cluster.start(instances=1, engines=1, services=1)
            output = pathlib.Path(cluster.processes.write_json("samples.jsonl", []))
            options = ["--address", cluster.instances[0].address, "--row", "trainer"]
            options += ["--key", KEYS["trainer"], "--samples", str(SAMPLES_PER_GROUP)]
            options += ["--max-tokens", "8", "--output", str(output), "--json"]
            run = cluster.processes.start("trainer", str(PROMPTS_PATH), *options)
            self.assertEqual(run.wait(TIMEOUT), 0, run.output)
            self.assertTrue(json.loads(run.output[-1])["complete"])
            samples = read_samples(output)
        self.assertEqual(len(samples), SAMPLES_PER_GROUP * len(groups))
        calls = {sample["score"]["request_id"] for sample in samples}
        self.assertEqual(len(calls), len(samples))


if __name__ == "__main__":
    unittest.main()
