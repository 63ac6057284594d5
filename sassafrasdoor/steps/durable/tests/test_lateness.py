"""Tests of how late trainers are, from the submission times of their steps."""

import unittest

from sassafrasdoor.steps.durable.lateness import StepTimes, schedules

SECONDS = 2.0  # of a step that ends before the next is due


def steps(*submitted, seconds=SECONDS, first=0):
    return [
        StepTimes(first + index, at, at + seconds) for index, at in enumerate(submitted)
    ]


class LatenessTest(unittest.TestCase):
    def lateness(self, known, at):
        return schedules({"m": known})["m"].lateness(known[-1], at)

    def test_trainer_is_late_until_it_has_caught_up(self):
        """Guards against an outage that is forgotten with the step that it delayed."""
        known = steps(0.0, 4.0, 8.0, 12.0, 19.0, 22.5)
        self.assertAlmostEqual(self.lateness(known, 22.6), 2.5)
        known = steps(0.0, 4.0, 8.0, 12.0, 19.0, 22.5, 25.5, 28.0)
        self.assertAlmostEqual(self.lateness(known, 28.1), 0.0)

    def test_open_step_makes_its_trainer_late(self):
        known = steps(0.0, 4.0, 8.0)
        known[-1].ended_at = None
        self.assertAlmostEqual(self.lateness(known, 15.0), 3.0)

    def test_trainer_without_further_steps_is_not_late(self):
        """Guards against engines kept for a trainer that has ended its last step."""
        self.assertAlmostEqual(self.lateness(steps(0.0, 4.0, 8.0), 60.0), 0.0)

    def test_trainer_that_never_waits_is_measured_by_the_others(self):
        """Guards against a trainer whose every step is late and seems to be on time."""
        late = steps(0.0, 4.6, 9.2, 13.8, seconds=3.9)
        found = schedules({"late": late, "other": steps(0.0, 4.0, 8.0, 12.0)})
        self.assertAlmostEqual(found["late"].lateness(late[-1], 13.9), 1.8)

    def test_trainer_with_another_interval_keeps_it(self):
        """Guards against a slow trainer that seems later with each step."""
        slow = steps(0.0, 10.0, 20.0, 30.0)
        found = schedules({"slow": slow, "other": steps(0.0, 4.0, 8.0, 12.0)})
        self.assertAlmostEqual(found["slow"].lateness(slow[-1], 30.1), 0.0)

    def test_history_read_at_once_shows_no_schedule(self):
        """Guards against a new holder that takes each step for late."""
        self.assertIsNone(schedules({"m": steps(100.0, 100.0, 100.1, 104.0)})["m"])

    def test_numbers_that_begin_again_begin_a_schedule(self):
        known = steps(0.0, 4.0, 8.0) + steps(50.0, 54.0, 58.0)
        self.assertAlmostEqual(self.lateness(known, 58.1), 0.0)


if __name__ == "__main__":
    unittest.main()
