"""A daemon exits when one of its critical tasks fails."""

import subprocess
import sys
import unittest

from sassafrasdoor.stopping import TASK_FAILURE_EXIT_CODE
from sassafrasdoor.support import ROOT

DAEMON = """
import asyncio
from sassafrasdoor import logs
from sassafrasdoor.stopping import start_critical_tasks

async def follower():
    raise ValueError("a record of a newer version")

async def main():
    logs.start("daemon")
    start_critical_tasks([follower(), asyncio.sleep(0)])
    await asyncio.sleep(60)

asyncio.run(main())
"""


class CriticalTasksTest(unittest.TestCase):
    def test_failed_task_ends_the_process(self):
        """Guards against a process that continues after one of its tasks has failed."""
        done = subprocess.run(
            [sys.executable, "-c", DAEMON], cwd=ROOT, capture_output=True, text=True
        )
        self.assertEqual(done.returncode, TASK_FAILURE_EXIT_CODE, done.stderr)
        self.assertIn("a record of a newer version", done.stdout)
