"""Replays of silent replicas, in virtual time."""

import unittest

from sassafrasdoor.routing.silence import MAX_SHARED_SILENCE, ServiceActivity

GAP = 1.5  # seconds without an event after which an attempt is repeated
INTERVAL = 0.15  # seconds between events of a replica


class SilenceTest(unittest.TestCase):
    def setUp(self):
        self.activity = ServiceActivity(0.0)

    def send_events(self, begin, end):
        """Let some replica send events between two moments."""
        for number in range(int((end - begin) / INTERVAL) + 1):
            self.activity.record(begin + number * INTERVAL)

    def is_given_up(self, since, moment, listened=None, idle=False):
        listened = moment - since if listened is None else listened
        return self.activity.is_given_up(since, moment, GAP, listened, idle)

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
        self.activity.record(4.0)
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
        self.activity.record(4.0)
        self.assertFalse(self.is_given_up(1.9, 4.001, idle=True))
        self.assertTrue(self.is_given_up(1.9, 5.5, idle=True))

    def test_pause_of_the_own_process_is_no_silence_of_a_replica(self):
        """Guards against items begun anew before what arrived in a pause is read."""
        self.send_events(0.0, 2.0)
        self.assertFalse(self.is_given_up(2.0, 4.5, listened=0.1, idle=True))

    def test_shared_silence_has_an_end(self):
        """Guards against an item that waits for ever at replicas that all hang."""
        self.assertFalse(self.is_given_up(0.0, MAX_SHARED_SILENCE - 0.1))
        self.assertTrue(self.is_given_up(0.0, MAX_SHARED_SILENCE))


if __name__ == "__main__":
    unittest.main()
