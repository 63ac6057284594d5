"""Tests of placement and migration, with a simulated slow replica."""

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


def make_candidate(
    identity,
    load=0,
    event_interval=0.04,
    slots=12,
    unavailable_models=(),
    version=1,
    is_suspect=False,
):
    listing = Listing("s", f"{identity}:80", "z", slots, False, {"m": version})
    replica = Replica(identity, listing)
    replica.event_interval = event_interval
    return Candidate(replica, load, is_suspect, set(unavailable_models))


class PlaceTest(unittest.TestCase):
    def placed(self, candidates, **options):
        chosen = place(
            candidates,
            Requirement("m", options.get("min_version", 1), options.get("avoid", "")),
        )
        return chosen.identity if chosen else None

    def test_cases(self):
        cases = [
            ("less load", [make_candidate("a", 5), make_candidate("b", 2)], {}, "b"),
            (
                "event interval counts",
                [make_candidate("a", 2, 0.12), make_candidate("b", 5, 0.04)],
                {},
                "b",
            ),
            (
                "slow, empty",
                [make_candidate("a", 0, 0.15), make_candidate("b", 11, 0.04)],
                {},
                "b",
            ),
            (
                "usual variation",
                [make_candidate("a", 2, 0.05), make_candidate("b", 8, 0.04)],
                {},
                "a",
            ),
            ("full", [make_candidate("a", 12)], {}, None),
            (
                "older weights",
                [make_candidate("a"), make_candidate("b", 9, version=2)],
                {"min_version": 2},
                "b",
            ),
            (
                "loading",
                [make_candidate("a", unavailable_models="m"), make_candidate("b", 9)],
                {},
                "b",
            ),
            (
                "suspect",
                [make_candidate("a", is_suspect=True), make_candidate("b", 9)],
                {},
                "b",
            ),
            (
                "unknown event interval counts as median",
                [make_candidate("a", 2, None), make_candidate("b", 3)],
                {},
                "a",
            ),
            (
                "avoided",
                [make_candidate("a"), make_candidate("b", 11)],
                {"avoid": "a"},
                "b",
            ),
            ("no other", [make_candidate("a")], {"avoid": "a"}, None),
        ]
        for name, candidates, options, expected in cases:
            with self.subTest(name):
                self.assertEqual(self.placed(candidates, **options), expected)

    def test_samples_leave_only_much_slower_replicas(self):
        slow, usual = (
            make_candidate("a", event_interval=0.15).replica,
            make_candidate("b", event_interval=0.08).replica,
        )
        free, full = (
            make_candidate("c", event_interval=0.04),
            make_candidate("c", load=12),
        )
        self.assertTrue(should_migrate(slow, free))
        self.assertTrue(should_migrate(usual, free))
        self.assertFalse(
            should_migrate(usual, make_candidate("c", event_interval=0.05))
        )
        self.assertFalse(should_migrate(slow, full))
        self.assertFalse(should_migrate(slow, None))

    def test_silence_on_every_stream_is_unresponsive(self):
        """Guards against items that wait for a replica that lost power."""
        cases = [
            ("just sent", 10.0, LONG_AGO, False, False),
            (
                "no data since the item was sent",
                10.0 - UNRESPONSIVE_AFTER,
                LONG_AGO,
                False,
                True,
            ),
            ("data after it was sent, then none", 8.0, 8.5, False, True),
            ("data on other streams", 8.0, 9.9, False, False),
            ("loading", 8.0, 8.5, True, False),
        ]
        for name, sent_at, last_received_at, is_loading, expected in cases:
            with self.subTest(name):
                self.assertEqual(
                    is_unresponsive(sent_at, last_received_at, is_loading, 10.0),
                    expected,
                )


class SlowReplicaReplay(unittest.TestCase):
    """Guards against a migrated sample that goes back to the slow replica."""

    def count_returned(self, seed, is_avoided):
        """Return how many of 120 migrations lead back to the slow replica."""
        source = random.Random(seed)
        returned = 0
        for _ in range(120):
            loads = source.choices((11, 12, 12, 12, 12), k=5)
            others = [make_candidate(f"e{at}", load) for at, load in enumerate(loads)]
            slow = make_candidate("slow", source.randrange(0, 3), 0.04 * 3.8)
            avoid = "slow" if is_avoided else ""
            returned += place([*others, slow], Requirement("m", 1, avoid)) is slow
        return returned

    def test_migrated_samples_do_not_return(self):
        for seed in range(5):
            with self.subTest(seed):
                self.assertGreater(self.count_returned(seed, is_avoided=False), 20)
                self.assertEqual(self.count_returned(seed, is_avoided=True), 0)
