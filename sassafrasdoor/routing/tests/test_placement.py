"""Where items go, replayed in virtual time; and which samples leave a slow replica."""

import random
import unittest

from sassafrasdoor.clock import LONG_AGO
from sassafrasdoor.routing.placement import (
    DARK_AFTER,
    Seen,
    Want,
    is_dark,
    leaves,
    place,
)
from sassafrasdoor.routing.replicas import Listing, Replica


def seen(identity, load=0, pace=0.04, slots=12, closed=(), version=1, suspect=False):
    listing = Listing("s", f"{identity}:80", "z", slots, False, {"m": version})
    replica = Replica(identity, listing)
    replica.pace = pace
    return Seen(replica, load, suspect, set(closed))


class PlaceTest(unittest.TestCase):
    def placed(self, found, **want):
        chosen = place(found, Want("m", want.get("oldest", 1), want.get("avoid", "")))
        return chosen.identity if chosen else None

    def test_cases(self):
        cases = [
            ("less load", [seen("a", 5), seen("b", 2)], {}, "b"),
            ("pace counts", [seen("a", 2, 0.12), seen("b", 5, 0.04)], {}, "b"),
            ("slow, empty", [seen("a", 0, 0.15), seen("b", 11, 0.04)], {}, "b"),
            ("usual spread", [seen("a", 2, 0.05), seen("b", 8, 0.04)], {}, "a"),
            ("full", [seen("a", 12)], {}, None),
            ("older weights", [seen("a"), seen("b", 9, version=2)], {"oldest": 2}, "b"),
            ("loading", [seen("a", closed="m"), seen("b", 9)], {}, "b"),
            ("suspect", [seen("a", suspect=True), seen("b", 9)], {}, "b"),
            ("unknown pace is usual", [seen("a", 2, None), seen("b", 3)], {}, "a"),
            ("left out", [seen("a"), seen("b", 11)], {"avoid": "a"}, "b"),
            ("nothing else", [seen("a")], {"avoid": "a"}, None),
        ]
        for name, found, want, wanted in cases:
            with self.subTest(name):
                self.assertEqual(self.placed(found, **want), wanted)

    def test_only_much_slower_ones_are_left(self):
        slow, usual = seen("a", pace=0.15).replica, seen("b", pace=0.08).replica
        free, full = seen("c", pace=0.04), seen("c", load=12)
        self.assertTrue(leaves(slow, free))
        self.assertTrue(leaves(usual, free))
        self.assertFalse(leaves(usual, seen("c", pace=0.05)))
        self.assertFalse(leaves(slow, full))
        self.assertFalse(leaves(slow, None))

    def test_silence_on_every_stream_is_dark(self):
        """Guards against items that wait for a replica without power."""
        cases = [
            ("just sent", 10.0, LONG_AGO, False, False),
            ("nothing for long", 10.0 - DARK_AFTER, LONG_AGO, False, True),
            ("nothing since before", 8.0, 8.5, False, True),
            ("others get theirs", 8.0, 9.9, False, False),
            ("loads", 8.0, 8.5, True, False),
        ]
        for name, sent_at, heard_at, loading, wanted in cases:
            with self.subTest(name):
                self.assertEqual(is_dark(sent_at, heard_at, loading, 10.0), wanted)


class SlowReplicaReplay(unittest.TestCase):
    """Guards against a migrated sample that goes back to the slow replica."""

    def moved(self, seed, leave_out):
        """Return how many of 120 moves lead back to the slow replica."""
        draw = random.Random(seed)
        back = 0
        for _ in range(120):
            loads = draw.choices((11, 12, 12, 12, 12), k=5)
            found = [seen(f"e{at}", load) for at, load in enumerate(loads)]
            slow = seen("slow", draw.randrange(0, 3), 0.04 * 3.8)
            avoid = "slow" if leave_out else ""
            back += place([*found, slow], Want("m", 1, avoid)) is slow
        return back

    def test_moved_samples_do_not_come_back(self):
        for seed in range(5):
            with self.subTest(seed):
                self.assertGreater(self.moved(seed, leave_out=False), 20)
                self.assertEqual(self.moved(seed, leave_out=True), 0)
