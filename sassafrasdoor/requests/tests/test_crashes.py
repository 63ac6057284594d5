"""States of requests by their crashes, and expiry."""

import unittest
from unittest import mock

from sassafrasdoor.requests import crashes as module
from sassafrasdoor.requests.crashes import CrashHistory, State


class CrashesTest(unittest.TestCase):
    def setUp(self):
        self.crashes = CrashHistory()

    def crash(self, replica, *ran):
        for fingerprint in ran:
            self.crashes.add_crash(fingerprint, replica)

    def states(self, names):
        return [self.crashes.state(name).value for name in names]

    def test_states_by_crashes(self):
        cases = [
            ([], "clear"),
            ([("r1", "a")], "clear"),
            ([("r1", "a"), ("r1", "a"), ("r1", "a")], "clear"),
            ([("r1", "a"), ("r2", "a")], "suspect"),
            ([("r1", "a"), ("r2", "a"), ("r3", "a")], "quarantined"),
            ([("r1", "ax"), ("r2", "ay"), ("r3", "az")], "quarantined"),
            ([("r1", "ab"), ("r2", "ab"), ("r3", "ab")], "suspect"),
            ([(f"r{at}", "ab") for at in range(5)], "quarantined"),
        ]
        for crashes, state in cases:
            with self.subTest(crashes):
                self.crashes = CrashHistory()
                for replica, ran in crashes:
                    self.crash(replica, *ran)
                self.assertEqual(self.states("a"), [state])

    def test_request_that_ran_beside_another_is_not_blamed(self):
        for replica in ("r1", "r2", "r3"):
            self.crash(replica, "a", "b")
        self.assertEqual(self.states("ab"), ["suspect", "suspect"])
        self.crash("r4", "a")
        self.assertEqual(self.states("ab"), ["quarantined", "clear"])
        self.crash("r5", "a", "c")
        self.crash("r6", "b", "c")
        self.assertEqual(self.states("abc"), ["quarantined", "clear", "clear"])

    def test_states_do_not_depend_on_record_order(self):
        records = [("r1", "a"), ("r1", "b"), ("r2", "b"), ("r2", "a"), ("r3", "a")]
        for order in (records, records[::-1]):
            self.crashes = CrashHistory()
            for replica, name in order:
                self.crash(replica, name)
            self.assertEqual(self.states("ab"), ["quarantined", "clear"])

    def test_request_that_is_answered_is_clear(self):
        self.crash("r1", "a", "b")
        self.crash("r2", "a", "b")
        self.crashes.forget("a")
        self.assertEqual(self.states("ab"), ["clear", "suspect"])
        self.assertEqual(self.crashes.replicas("a"), [])
        self.crashes.remove_crash("b", "r1")
        self.assertEqual(self.crashes.replicas("b"), ["r2"])
        self.crashes.remove_crash("b", "r2")
        self.assertEqual(len(self.crashes), 0)

    def test_quarantine_lasts_while_the_request_keeps_arriving(self):
        with mock.patch.object(module, "RETENTION_PERIOD", 0.0):
            for replica in ("r1", "r2", "r3"):
                self.crash(replica, "a")
            self.assertEqual(self.crashes.expired(), ["a"])
        with mock.patch.object(module, "RENEWAL_INTERVAL", 0.0):
            self.crash("r1", "a")
        self.assertTrue(self.crashes.record_arrival("a"))
        self.assertFalse(self.crashes.record_arrival("a"))
        self.assertEqual(self.crashes.expired(), [])
        self.assertIs(self.crashes.state("a"), State.QUARANTINED)

    def test_memory_is_bounded(self):
        with mock.patch.object(module, "MAX_REQUESTS", 10):
            for at in range(30):
                self.crash(f"r{at}", f"f{at}", "a")
        self.assertEqual(len(self.crashes), 10)
        self.assertIs(self.crashes.state("a"), State.QUARANTINED)


if __name__ == "__main__":
    unittest.main()
