"""A daemon ends when one of its lasting tasks fails."""

import subprocess
import sys
import unittest

from sassafrasdoor.stopping import TASK_FAILED
from sassafrasdoor.support import ROOT

DAEMON = """
import asyncio
from sassafrasdoor import logs
from sassafrasdoor.stopping import lasting

async def follower():
    raise ValueError("a record of a newer version")

async def main():
    logs.start("daemon")
    lasting([follower(), asyncio.sleep(0)])
    await asyncio.sleep(60)

asyncio.run(main())
"""


class LastingTest(unittest.TestCase):
    def test_a_dead_task_ends_the_process(self):
        """Guards against a process that goes on after one of its tasks has ended."""
        done = subprocess.run(
            [sys.executable, "-c", DAEMON], cwd=ROOT, capture_output=True, text=True
        )
        self.assertEqual(done.returncode, TASK_FAILED, done.stderr)
        self.assertIn("a record of a newer version", done.stdout)
