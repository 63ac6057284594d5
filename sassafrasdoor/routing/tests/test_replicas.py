"""What is believed of replicas: the list, its outages, loads and zones."""

import unittest

from sassafrasdoor.clock import LONG_AGO, now
from sassafrasdoor.log.tail import Outage
from sassafrasdoor.routing import replicas as module
from sassafrasdoor.routing.replicas import Listing, Replicas


class Tail:
    """The state of the list's reader."""

    last_outage = None


class ReplicasTest(unittest.TestCase):
    def setUp(self):
        self.replicas = Replicas("a")
        self.replicas.list_tail = self.tail = Tail()

    def listed(self, identity, zone="a", leaving=False, versions=None):
        listing = Listing("s", f"{identity}:80", zone, 4, leaving, versions or {})
        self.replicas.listed(identity, listing)
        return self.replicas.get(identity)

    def names(self):
        return sorted(one.identity for one in self.replicas.of_service("s"))

    def test_leaving_and_gone_replicas_get_nothing(self):
        for name in "xyz":
            self.listed(name)
        self.listed("x", leaving=True)
        self.replicas.unlisted("y")
        self.assertEqual(self.names(), ["z"])

    def test_entries_that_lapse_in_an_outage_are_tried_on(self):
        """Guards against lapsed entries taken for ended replicas in an outage."""
        self.listed("x")
        self.tail.last_outage = Outage(now() - 6.0, now())
        self.replicas.unlisted("x")
        self.assertEqual(self.names(), ["x"])
        self.replicas.get("x").absent_until = LONG_AGO
        self.replicas.sweep()
        self.assertEqual(self.names(), [])

    def test_end_of_an_entry_is_believed_from_the_return_on(self):
        """Guards against use of a replica that ended after an outage of the list."""
        self.listed("x")
        returned_at = now() - 2.0
        self.tail.last_outage = Outage(returned_at - 6.0, returned_at)
        self.replicas.unlisted("x")
        used_until = getattr(self.replicas.get("x"), "absent_until", returned_at)
        self.assertLessEqual(used_until, returned_at + module.OUTAGE_GRACE)

    def test_short_silence_ends_no_entry(self):
        """Guards against a lost read of the list that extends ended entries."""
        self.listed("x")
        self.tail.last_outage = Outage(now() - 2.0, now())
        self.replicas.unlisted("x")
        self.assertEqual(self.names(), [])

    def test_entry_that_comes_back_is_whole_again(self):
        self.listed("x")
        self.tail.last_outage = Outage(now() - 6.0, now())
        self.replicas.unlisted("x")
        self.assertIsNotNone(self.replicas.get("x").absent_until)
        self.listed("x")
        self.assertIsNone(self.replicas.get("x").absent_until)

    def test_own_zone_is_preferred_until_it_is_busier(self):
        near, far = self.listed("near"), self.listed("far", zone="b")
        self.assertIs(self.replicas.choose("s"), near)
        for _ in range(2):
            near.state.started()
        self.assertIs(self.replicas.choose("s"), far)

    def test_failed_replica_is_avoided_but_used_alone(self):
        bad = self.listed("bad")
        bad.state.failed(module.SUSPECT_FOR)
        self.assertIs(self.replicas.choose("s"), bad)
        good = self.listed("good", zone="b")
        self.assertIs(self.replicas.choose("s"), good)
        self.assertIsNone(self.replicas.choose("s", {"good", "bad"}))

    def test_load_told_beside_answers_counts_others(self):
        one = self.listed("x")
        one.state.started()
        one.told_load(3, 1)
        self.assertEqual((one.load, one.room), (4, 0))
        one._others_until = LONG_AGO
        self.assertEqual(one.load, 1)

    def test_versions_told_are_kept_while_the_list_says_nothing_new(self):
        one = self.listed("x", versions={"m": 1})
        one.told_version("m", 2)
        self.listed("x", versions={"m": 1})
        self.assertEqual(one.versions, {"m": 2})
        self.listed("x", versions={"m": 3})
        self.assertEqual(one.versions, {"m": 3})


class IncarnationTest(unittest.TestCase):
    """A replica that starts again under the identity that it had."""

    def setUp(self):
        self.replicas = Replicas("a")
        self.replicas.list_tail = Tail()
        self.restarted = []
        self.replicas.on_restart(self.restarted.append)

    def listed(self, born, version=1, leaving=False):
        listing = Listing("s", "h:80", "a", 4, leaving, {"m": version}, born)
        self.replicas.listed("x", listing)
        return self.replicas.get("x")

    def test_nothing_is_remembered_of_the_one_before(self):
        """Guards against state of a former incarnation kept for the new one."""
        before = self.listed(1000, version=3)
        before.told_version("m", 7)
        before.told_load(4, 2)
        before.told_gap(0.5)
        before.state.failed(60.0)
        before.state.started()
        before.loading_until["m"] = before.refused_until["m"] = now() + 60
        found = self.listed(2000, version=0)
        self.assertIsNot(found, before)
        self.assertEqual((found.versions, found.room), ({"m": 0}, 4))
        self.assertIsNone(found.pace)
        self.assertFalse(found.state.suspect)
        self.assertEqual((found.loading_until, found.refused_until), ({}, {}))
        self.assertEqual(self.restarted, [before])

    def test_late_entry_of_an_earlier_one_changes_nothing(self):
        found = self.listed(2000, version=5)
        self.listed(1000, version=1, leaving=True)
        self.assertIs(self.replicas.get("x"), found)
        self.assertEqual(found.versions, {"m": 5})
        self.assertTrue(found.usable)
        self.assertEqual(self.restarted, [])

    def test_same_one_is_the_same(self):
        found = self.listed(1000)
        found.told_version("m", 4)
        self.assertIs(self.listed(1000), found)
        self.assertEqual(found.versions, {"m": 4})

    def test_one_that_left_may_start_again(self):
        self.listed(1000, leaving=True)
        self.assertTrue(self.listed(2000).usable)
