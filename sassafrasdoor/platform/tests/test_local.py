"""Tests of the ports that local instances get."""

import itertools
import os
import unittest
from unittest import mock

from sassafrasdoor.platform.local import PORTS_PER_BLOCK, free_ports


class FreePortsTest(unittest.TestCase):
    def test_processes_never_share_ports(self):
        """Guards against instances of two test runs that take each other's ports."""
        with mock.patch.object(os, "getpid", return_value=7):
            generators = [free_ports() for _ in range(3)]
            taken = [
                set(itertools.islice(ports, PORTS_PER_BLOCK // 4))
                for ports in generators
            ]
            for one, other in itertools.combinations(taken, 2):
                self.assertFalse(one & other)
            for ports in generators:
                ports.close()


if __name__ == "__main__":
    unittest.main()
