"""Tests of how the components of one instance's process are connected."""

import pathlib
import tempfile
import unittest
from types import SimpleNamespace
from unittest import mock

from sassafrasdoor.log.sharing import FOLLOWER_READ_SHARE, LIST_COUNT
from sassafrasdoor.platform import settings
from sassafrasdoor.platform.local import SETTINGS_TEMPLATE
from sassafrasdoor.platform.process import Process
from sassafrasdoor.routing.instances import Instances
from sassafrasdoor.steps.durable.state import Steps

ALIVE = 4000
READS = 2000.0
ADDRESSES = {
    name: f"127.0.0.1:{port}"
    for port, name in enumerate(("front", "ready", "directory", "control", "store"), 1)
}


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "a.conf"
        text = SETTINGS_TEMPLATE.format(name="a", seeds="", **ADDRESSES)
        path.write_text(f"{text}Platform.ReadsPerS={READS}\n", "utf-8")
        self.process = Process(settings.load(path), path)

    async def test_list_retries_stay_within_the_read_share(self):
        """Guards against retries of refused lists using up the log's read rate."""
        process = self.process
        lists = (
            process._operator_tail,
            process._replica_list_tail,
            process._instances.tail,
            process._crash_list_tail,
        )
        self.assertEqual(len(lists), LIST_COUNT)
        with mock.patch.object(Instances, "alive_count", ALIVE):
            reads = sum(ALIVE / tail._read_coordinator.retry_delay for tail in lists)
        self.assertLessEqual(reads, FOLLOWER_READ_SHARE * READS * 1.001)

    async def test_no_record_of_a_step_is_skipped(self):
        """Guards against an accepted step that one instance never knows of."""
        batch = SimpleNamespace(end=1, first=0, records=[b"record"])
        for tail in self.process._tails:
            with mock.patch.object(Steps, "fold", side_effect=RuntimeError):
                with self.assertRaises(RuntimeError):
                    tail._fold_batch(batch)
            self.assertEqual(tail.offset, 0)


if __name__ == "__main__":
    unittest.main()
