"""Replays of silent replicas, in virtual time."""

import unittest
from types import SimpleNamespace

from sassafrasdoor.routing.silence import MAX_SHARED_SILENCE, Silences

SERVICE = "engines"
GAP = 1.5  # seconds without an event after which an attempt is repeated
INTERVAL = 0.15  # seconds between events of a replica


class SilenceTest(unittest.TestCase):
    def setUp(self):
        self.silences = Silences()
        self.silences.record_start(SERVICE, 0.0)

    def send_events(self, begin, end):
        """Let some replica send events between two moments."""
        for number in range(int((end - begin) / INTERVAL) + 1):
            self.silences.record_data(SERVICE, begin + number * INTERVAL)

    def is_given_up(self, since, moment, idle=False):
        return self.silences.is_given_up(SERVICE, since, moment, GAP, idle)

    def test_one_silent_replica_beside_living_ones_is_left_at_once(self):
        """Guards against items that wait at a dead replica."""
        self.send_events(0.0, 5.0)
        self.assertFalse(self.is_given_up(3.6, 5.0))
        self.assertTrue(self.is_given_up(3.5, 5.0))

    def test_all_replicas_silent_at_once_several_times(self):
        """Guards against items begun anew on replicas that are as silent."""
        for begin in (0.0, 3.0, 6.0):
            self.send_events(begin, begin + 0.9)
            self.assertFalse(self.is_given_up(begin + 0.8, begin + 2.9))

    def test_silence_of_all_ends_with_the_first_data_of_one(self):
        """Guards against items begun anew since another one's data was read first."""
        self.send_events(0.0, 2.0)
        self.silences.record_data(SERVICE, 4.0)
        self.assertFalse(self.is_given_up(1.9, 4.001))
        self.send_events(4.0, 5.6)
        self.assertTrue(self.is_given_up(1.9, 5.6))

    def test_idle_replica_gets_the_items_of_the_only_busy_one(self):
        """Guards against items that wait at the only busy replica, which is dead."""
        self.send_events(0.0, 2.0)
        self.assertTrue(self.is_given_up(2.0, 2.0 + GAP, idle=True))
        self.assertFalse(self.is_given_up(2.0, 2.0 + GAP))

    def test_replica_that_falls_idle_after_a_shared_silence_shows_nothing(self):
        """Guards against items begun anew since another one's last event came first."""
        self.send_events(0.0, 2.0)
        self.silences.record_data(SERVICE, 4.0)
        self.assertFalse(self.is_given_up(1.9, 4.001, idle=True))
        self.assertTrue(self.is_given_up(1.9, 5.5, idle=True))

    def test_pause_of_the_own_process_is_no_silence_of_a_replica(self):
        """Guards against items begun anew before what arrived in a pause is read."""
        pauses = SimpleNamespace(running_seconds=lambda since, moment: 0.1)
        self.silences = Silences(pauses)
        self.send_events(0.0, 2.0)
        self.assertFalse(self.is_given_up(2.0, 4.5, idle=True))

    def test_shared_silence_has_an_end(self):
        """Guards against an item that waits for ever at replicas that all hang."""
        self.assertFalse(self.is_given_up(0.0, MAX_SHARED_SILENCE - 0.1))
        self.assertTrue(self.is_given_up(0.0, MAX_SHARED_SILENCE))


if __name__ == "__main__":
    unittest.main()
