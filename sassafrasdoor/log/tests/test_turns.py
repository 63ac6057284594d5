"""Who reads first after all instances started together."""

import unittest

from sassafrasdoor.log.turns import FEW, TURN, turn_comes_at

KEPT = 9.0
"""MB of steps that each reader needs."""
RATE = 40.0
"""MB a second that the log sends to all readers together."""
ZONES, IN_ZONE = 4, 5
STEP = 0.01


def read_at(begins):
    """Return when each reader is done, the log's rate being shared evenly."""
    left = dict.fromkeys(range(len(begins)), KEPT)
    done = {}
    at = 0.0
    while left:
        reading = [one for one in left if begins[one] <= at]
        at += STEP
        for one in reading:
            left[one] -= RATE * STEP / len(reading)
            if left[one] <= 0:
                del left[one]
                done[one] = at
    return done


class TurnsTest(unittest.TestCase):
    def test_one_of_each_zone_is_done_before_the_others_begin(self):
        """Symptom: nothing runs for five seconds after all instances lost power.

        Sequence: twenty instances start at once and read nine megabytes each of a log
        that sends forty a second. Cause: all read side by side, so the one that runs
        the steps is done when the last one is, after four and a half seconds.
        """
        at_once = read_at([0.0] * ZONES * IN_ZONE)
        self.assertGreater(min(at_once.values()), 4.0)
        many = ZONES * IN_ZONE
        begins = [turn_comes_at(0.0, place, many) for place in range(IN_ZONE)] * ZONES
        in_turns = read_at(begins)
        firsts = [in_turns[zone * IN_ZONE] for zone in range(ZONES)]
        self.assertLess(max(firsts), TURN)
        self.assertLess(max(in_turns.values()), max(at_once.values()) + TURN)

    def test_an_instance_alone_in_its_zone_never_waits(self):
        self.assertEqual(turn_comes_at(7.0, 0, 100), 7.0)

    def test_few_read_at_once(self):
        """Symptom: a small site's callers are handed on for two seconds after a start.

        Sequence: three instances a zone start together. Cause: they took turns although
        the log sends what ten of them read in little more than a second.
        """
        self.assertEqual(turn_comes_at(7.0, 2, FEW), 7.0)
        self.assertGreater(turn_comes_at(7.0, 2, FEW + 1), 7.0)


if __name__ == "__main__":
    unittest.main()
