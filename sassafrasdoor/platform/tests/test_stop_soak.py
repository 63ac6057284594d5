"""Short soak tests of planned stops with fixed seeds; longer ones are run by hand."""

import asyncio
import tempfile
import unittest

from sassafrasdoor.platform.stop_soak import StopSoak

SECONDS, INSTANCES = 20, 4
SEEDS_BY_GRACE = ((8.0, 1), (4.0, 2))  # seconds for a planned stop


class StopSoakTest(unittest.TestCase):
    def test_overlapping_stops_violate_no_guarantee(self):
        """Guards against requests that are accepted during a stop and cut off."""
        for grace, seed in SEEDS_BY_GRACE:
            with self.subTest(seed=seed), tempfile.TemporaryDirectory() as folder:
                soak = StopSoak(seed, SECONDS, INSTANCES, grace, folder)
                asyncio.run(soak.run())
                self.assertEqual(soak.violations.messages, [])
                during = [s for s in soak.observations if s.seconds_stopping > 0]
                statuses = {seen.status for seen in during}
                self.assertLessEqual({200, 503}, statuses)


if __name__ == "__main__":
    unittest.main()
