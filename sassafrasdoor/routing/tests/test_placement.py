"""Where items go, replayed in virtual time; and which samples leave a slow replica."""

import random
import unittest

from sassafrasdoor.clock import LONG_AGO
from sassafrasdoor.routing.placement import (
    UNRESPONSIVE_AFTER,
    Candidate,
    Requirement,
    is_unresponsive,
    place,
    should_migrate,
)
from sassafrasdoor.routing.replicas import Listing, Replica


def make(
    identity,
    load=0,
    pace=0.04,
    slots=12,
    closed=(),
    version=1,
    is_suspect=False,
):
    listing = Listing("s", f"{identity}:80", "z", slots, False, {"m": version})
    replica = Replica(identity, listing)
    replica.pace = pace
    return Candidate(replica, load, is_suspect, set(closed))


class PlaceTest(unittest.TestCase):
    def placed(self, found, **want):
        chosen = place(
            found, Requirement("m", want.get("oldest", 1), want.get("avoid", ""))
        )
        return chosen.identity if chosen else None

    def test_cases(self):
        cases = [
            ("less load", [make("a", 5), make("b", 2)], {}, "b"),
            ("pace counts", [make("a", 2, 0.12), make("b", 5, 0.04)], {}, "b"),
            ("slow, empty", [make("a", 0, 0.15), make("b", 11, 0.04)], {}, "b"),
            ("usual spread", [make("a", 2, 0.05), make("b", 8, 0.04)], {}, "a"),
            ("full", [make("a", 12)], {}, None),
            ("older weights", [make("a"), make("b", 9, version=2)], {"oldest": 2}, "b"),
            ("loading", [make("a", closed="m"), make("b", 9)], {}, "b"),
            ("suspect", [make("a", is_suspect=True), make("b", 9)], {}, "b"),
            ("unknown pace is usual", [make("a", 2, None), make("b", 3)], {}, "a"),
            ("left out", [make("a"), make("b", 11)], {"avoid": "a"}, "b"),
            ("nothing else", [make("a")], {"avoid": "a"}, None),
        ]
        for name, found, want, wanted in cases:
            with self.subTest(name):
                self.assertEqual(self.placed(found, **want), wanted)

    def test_only_much_slower_ones_are_left(self):
        slow, usual = (
            make("a", pace=0.15).replica,
            make("b", pace=0.08).replica,
        )
        free, full = make("c", pace=0.04), make("c", load=12)
        self.assertTrue(should_migrate(slow, free))
        self.assertTrue(should_migrate(usual, free))
        self.assertFalse(should_migrate(usual, make("c", pace=0.05)))
        self.assertFalse(should_migrate(slow, full))
        self.assertFalse(should_migrate(slow, None))

    def test_silence_on_every_stream_is_unresponsive(self):
        """Guards against items that wait for a replica without power."""
        cases = [
            ("just sent", 10.0, LONG_AGO, False, False),
            ("nothing for long", 10.0 - UNRESPONSIVE_AFTER, LONG_AGO, False, True),
            ("nothing since before", 8.0, 8.5, False, True),
            ("others get theirs", 8.0, 9.9, False, False),
            ("loads", 8.0, 8.5, True, False),
        ]
        for name, sent_at, last_received_at, loading, wanted in cases:
            with self.subTest(name):
                self.assertEqual(
                    is_unresponsive(sent_at, last_received_at, loading, 10.0), wanted
                )


class SlowReplicaReplay(unittest.TestCase):
    """Guards against a migrated sample that goes back to the slow replica."""

    def moved(self, seed, leave_out):
        """Return how many of 120 moves lead back to the slow replica."""
        draw = random.Random(seed)
        back = 0
        for _ in range(120):
            loads = draw.choices((11, 12, 12, 12, 12), k=5)
            found = [make(f"e{at}", load) for at, load in enumerate(loads)]
            slow = make("slow", draw.randrange(0, 3), 0.04 * 3.8)
            avoid = "slow" if leave_out else ""
            back += place([*found, slow], Requirement("m", 1, avoid)) is slow
        return back

    def test_moved_samples_do_not_come_back(self):
        for seed in range(5):
            with self.subTest(seed):
                self.assertGreater(self.moved(seed, leave_out=False), 20)
                self.assertEqual(self.moved(seed, leave_out=True), 0)
