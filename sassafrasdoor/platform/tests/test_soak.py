"""A short soak with a fixed seed; longer ones are run by hand."""

import asyncio
import tempfile
import unittest

from sassafrasdoor.platform.soak import Soak

SECONDS, INSTANCES = 15, 3
SEEDS = (1, 2, 36)
"""1 and 2 hold stops, kills, cuts and outages that overlap. 36 once showed a step that
ran although it was refused: all its submissions had ended without an answer while every
process was down, and the check took these for refusals.
"""


class SoakTest(unittest.TestCase):
    def test_no_promise_is_broken(self):
        for seed in SEEDS:
            with self.subTest(seed=seed), tempfile.TemporaryDirectory() as folder:
                soak = Soak(seed, SECONDS, INSTANCES, folder)
                asyncio.run(soak.run())
                self.assertEqual(soak.violations.found, [])
                self.assertGreater(len(soak._calls), 50)
                self.assertTrue(any(step.accepted for step in soak._steps))
