"""A short soak of the product's own interface with a fixed seed."""

import asyncio
import unittest

from sassafrasdoor.soak.own import OwnSoak

SECONDS, INSTANCES = 15, 3
SEED = 2
"""Holds pauses, outages of the log and broken replies; goes red where a broken reply is
taken for one that never began."""


class OwnSoakTest(unittest.TestCase):
    def test_no_promise_is_broken(self):
        soak = OwnSoak(SEED, SECONDS, INSTANCES)
        asyncio.run(soak.run())
        self.assertEqual(soak.violations.found, [])
        self.assertGreater(len(soak._calls), 50)


if __name__ == "__main__":
    unittest.main()
