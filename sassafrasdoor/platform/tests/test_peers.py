"""Tests of the choice of instances that relay calls to the store."""

import unittest

from sassafrasdoor.platform.peers import Peers

IN_SETTINGS = ["127.0.0.1:1", "127.0.0.1:2"]
ALIVE = ["127.0.0.1:3", "127.0.0.1:4"]
LAPSED = ["127.0.0.1:1", "127.0.0.1:5"]


class RelaysTest(unittest.TestCase):
    def setUp(self):
        self.peers = Peers(IN_SETTINGS)
        self.addCleanup(self.peers.close)

    def test_living_instances_are_asked_in_their_order(self):
        relays = self.peers.relays(ALIVE, LAPSED)
        self.assertEqual(relays, self.peers.relays(ALIVE))
        self.assertEqual(len(relays), len(ALIVE))

    def test_all_known_ones_are_tried_in_time_while_nobody_is_alive(self):
        """Guards against the same two dead instances being asked again and again."""
        firsts = {self.peers.relays([], LAPSED)[0] for _ in range(100)}
        self.assertEqual(len(firsts), 3)

    def test_nobody_known(self):
        self.assertEqual(Peers([]).relays([]), [])


if __name__ == "__main__":
    unittest.main()
