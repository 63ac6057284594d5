"""Replays of pauses of the own process."""

import unittest

from sassafrasdoor.pauses import TICK_INTERVAL, Pauses


class PausesTest(unittest.TestCase):
    def setUp(self):
        self.pauses = Pauses(0.0)

    def run_until(self, begin, end):
        """Tick regularly between two moments."""
        for number in range(round((end - begin) / TICK_INTERVAL) + 1):
            self.pauses.tick(begin + number * TICK_INTERVAL)

    def test_time_without_a_pause_counts_whole(self):
        self.run_until(0.0, 10.0)
        self.assertAlmostEqual(self.pauses.running_seconds(2.0, 10.0), 8.0)

    def test_pauses_in_series_do_not_count(self):
        """Guards against silence that is measured while this process does not run."""
        for begin in (0.0, 3.0, 6.0):
            self.run_until(begin, begin + 1.0)
        self.run_until(9.0, 10.0)
        running = self.pauses.running_seconds(0.0, 10.0)
        self.assertAlmostEqual(running, 4.0)

    def test_pause_counts_before_its_tick(self):
        """Guards against a timer that runs first after a pause, before the next tick."""
        self.run_until(0.0, 1.0)
        running = self.pauses.running_seconds(0.5, 3.0)
        self.assertAlmostEqual(running, 0.5)

    def test_only_the_part_of_a_pause_after_the_begin_is_left_out(self):
        self.run_until(0.0, 1.0)
        self.run_until(3.0, 4.0)
        self.assertAlmostEqual(self.pauses.running_seconds(2.0, 4.0), 1.0)


if __name__ == "__main__":
    unittest.main()
