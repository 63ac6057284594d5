"""For which processes the counts of a window wait."""

import unittest

from sassafrasdoor.duties.watermarks import ENDED, MAX_SILENCE, Watermarks

LENGTH = 5.0
END = 4 * LENGTH  # of window 3


class WatermarksTest(unittest.TestCase):
    def setUp(self):
        self.watermarks = Watermarks(LENGTH)
        self.watermarks.record("i/1", 2)

    def awaited(self, window=3, at=END):
        return self.watermarks.awaited(window, at)

    def test_closed_windows_wait_for_nobody(self):
        self.assertEqual([self.awaited(window) for window in (1, 2)], [[], []])

    def test_silent_process_is_awaited_for_a_time(self):
        """Guards against counts fixed while a paused process still holds some."""
        self.assertEqual(self.awaited(at=END + MAX_SILENCE - 0.1), ["i/1"])
        self.assertEqual(self.awaited(at=END + MAX_SILENCE), [])

    def test_dead_process_delays_no_later_window(self):
        """Guards against all reports being delayed after one death."""
        end = END + LENGTH
        self.assertEqual(self.awaited(4, end + MAX_SILENCE - LENGTH), [])

    def test_restarted_and_ended_processes_are_not_awaited(self):
        self.watermarks.record("i/2", 3)
        self.assertEqual(self.awaited(), [])
        self.assertEqual(self.awaited(4, END + LENGTH), ["i/2"])
        self.watermarks.record("i/2", ENDED)
        self.assertEqual(self.awaited(4, END + LENGTH), [])

    def test_late_record_of_an_earlier_window_takes_nothing_back(self):
        self.watermarks.record("i/1", 3)
        self.watermarks.record("i/1", 2)
        self.assertEqual(self.awaited(), [])

    def test_processes_are_forgotten(self):
        self.watermarks.discard_before(3)
        self.assertEqual(self.awaited(), [])


if __name__ == "__main__":
    unittest.main()
