"""Tests of the replicas' state: list entries, outages, loads, zones, restarts."""

import unittest

from sassafrasdoor.clock import LONG_AGO, now
from sassafrasdoor.log.tail import Outage
from sassafrasdoor.routing import replicas as module
from sassafrasdoor.routing.load_exchange import Report
from sassafrasdoor.routing.replicas import Listing, Replicas


class Tail:
    """Stand-in for the reader of the list."""

    last_outage = None


class ReplicasTest(unittest.TestCase):
    def setUp(self):
        self.replicas = Replicas("a")
        self.replicas.list_tail = self.tail = Tail()

    def listed(self, identity, zone="a", leaving=False, versions=None):
        listing = Listing("s", f"{identity}:80", zone, 4, leaving, versions or {})
        self.replicas.update_listing(identity, listing)
        return self.replicas.get(identity)

    def names(self):
        return sorted(replica.identity for replica in self.replicas.of_service("s"))

    def test_leaving_and_removed_replicas_get_no_work(self):
        for name in "xyz":
            self.listed(name)
        self.listed("x", leaving=True)
        self.replicas.remove_listing("y")
        self.assertEqual(self.names(), ["z"])

    def test_entries_that_lapse_in_an_outage_stay_usable(self):
        """Guards against lapsed entries taken for ended replicas in an outage of the list."""
        self.listed("x")
        self.tail.last_outage = Outage(now() - 6.0, now())
        self.replicas.remove_listing("x")
        self.assertEqual(self.names(), ["x"])
        self.replicas.get("x").grace_deadline = LONG_AGO
        self.replicas.remove_lapsed()
        self.assertEqual(self.names(), [])

    def test_lapsed_entry_is_used_no_longer_than_the_grace_period(self):
        """Guards against continued use of a replica that ended after an outage."""
        self.listed("x")
        returned_at = now() - 2.0
        self.tail.last_outage = Outage(returned_at - 6.0, returned_at)
        self.replicas.remove_listing("x")
        used_until = getattr(self.replicas.get("x"), "grace_deadline", returned_at)
        self.assertLessEqual(used_until, returned_at + module.OUTAGE_GRACE_PERIOD)

    def test_short_outage_extends_no_entry(self):
        """Guards against a lost read of the list that extends removed entries."""
        self.listed("x")
        self.tail.last_outage = Outage(now() - 2.0, now())
        self.replicas.remove_listing("x")
        self.assertEqual(self.names(), [])

    def test_returned_entry_is_no_longer_absent(self):
        self.listed("x")
        self.tail.last_outage = Outage(now() - 6.0, now())
        self.replicas.remove_listing("x")
        self.assertIsNotNone(self.replicas.get("x").grace_deadline)
        self.listed("x")
        self.assertIsNone(self.replicas.get("x").grace_deadline)

    def test_own_zone_is_preferred_until_it_is_busier(self):
        near, far = self.listed("near"), self.listed("far", zone="b")
        self.assertIs(self.replicas.choose("s"), near)
        for _ in range(2):
            near.state.started()
        self.assertIs(self.replicas.choose("s"), far)

    def test_failed_replica_is_used_only_without_alternative(self):
        bad = self.listed("bad")
        bad.state.failed(module.SUSPECT_DURATION)
        self.assertIs(self.replicas.choose("s"), bad)
        good = self.listed("good", zone="b")
        self.assertIs(self.replicas.choose("s"), good)
        self.assertIsNone(self.replicas.choose("s", {"good", "bad"}))

    def test_load_of_other_callers_counts(self):
        replica = self.listed("x")
        replica.state.started()
        replica.record_load(3, 1)
        self.assertEqual((replica.load, replica.free_slots), (4, 0))
        replica._other_callers_load_deadline = LONG_AGO
        self.assertEqual(replica.load, 1)

    def test_neighbours_report_counts_from_its_own_time(self):
        """Guards against own sends since a neighbour's report that count twice."""
        replica = self.listed("x")
        taken_at = now() - 0.2
        replica.record_neighbour_load(Report("x", 0, 3, 5, 250, taken_at))
        report = replica.load_report
        self.assertEqual((report.running, report.waiting, report.at), (3, 5, taken_at))
        self.assertEqual((report.pace, replica.load), (2.5, 8))

    def test_neighbours_report_of_the_usual_pace_states_none(self):
        """Guards against a slow replica without a reported pace that counts as usual.

        Datagrams state the usual pace for replicas that report none.
        """
        for own_pace, percent, states_pace in (
            (None, 100, False),
            (1.0, 100, True),
            (None, 250, True),
        ):
            with self.subTest(own_pace=own_pace, percent=percent):
                self.listed("x")
                replica = self.replicas.get("x")
                replica.record_load(1, 0, own_pace)
                replica.record_neighbour_load(Report("x", 0, 3, 5, percent, now()))
                self.assertEqual(replica.load_report.states_pace, states_pace)

    def test_load_control_by_settings_needs_no_pace(self):
        """Guards against heavy load that nothing handles as no pace is reported."""
        replica = self.listed("x")
        replica.record_load(3, 1)
        self.assertEqual(
            (replica.uses_load_control, replica.load_report), (False, None)
        )
        self.replicas = Replicas("a", has_load_control=True)
        self.replicas.list_tail = self.tail
        replica = self.listed("x")
        replica.record_load(3, 1)
        self.assertTrue(replica.uses_load_control)
        self.assertEqual(
            (replica.load_report.waiting, replica.load_report.pace), (1, 1.0)
        )
        self.assertEqual(replica.observed_load.report.percent, 100)

    def test_pace_lapses(self):
        """Guards against a short slow spell that counts until the next report."""
        replica = self.listed("x")
        replica.record_load(1, 0, 2.5)
        self.assertEqual(replica.pace, 2.5)
        replica._pace_deadline = LONG_AGO
        self.assertEqual((replica.pace, replica.reports_pace), (1.0, True))

    def test_recorded_versions_are_kept_until_the_list_changes(self):
        replica = self.listed("x", versions={"m": 1})
        replica.record_version("m", 2)
        self.listed("x", versions={"m": 1})
        self.assertEqual(replica.versions, {"m": 2})
        self.listed("x", versions={"m": 3})
        self.assertEqual(replica.versions, {"m": 3})


class IncarnationTest(unittest.TestCase):
    """Tests of a replica that restarts under the same identity."""

    def setUp(self):
        self.replicas = Replicas("a")
        self.replicas.list_tail = Tail()
        self.restarted = []
        self.replicas.on_restart(self.restarted.append)

    def listed(self, born, version=1, leaving=False):
        listing = Listing("s", "h:80", "a", 4, leaving, {"m": version}, born)
        self.replicas.update_listing("x", listing)
        return self.replicas.get("x")

    def test_new_incarnation_has_no_state_of_the_former(self):
        """Guards against state carried over from a former incarnation."""
        before = self.listed(1000, version=3)
        before.record_version("m", 7)
        before.record_load(4, 2)
        before.record_event_interval(0.5)
        before.state.failed(60.0)
        before.state.started()
        before.loading_deadlines["m"] = before.refusal_deadlines["m"] = now() + 60
        replica = self.listed(2000, version=0)
        self.assertIsNot(replica, before)
        self.assertEqual((replica.versions, replica.free_slots), ({"m": 0}, 4))
        self.assertIsNone(replica.event_interval)
        self.assertFalse(replica.state.is_suspect)
        self.assertEqual(
            (replica.loading_deadlines, replica.refusal_deadlines), ({}, {})
        )
        self.assertEqual(self.restarted, [before])

    def test_late_entry_of_an_earlier_incarnation_is_ignored(self):
        replica = self.listed(2000, version=5)
        self.listed(1000, version=1, leaving=True)
        self.assertIs(self.replicas.get("x"), replica)
        self.assertEqual(replica.versions, {"m": 5})
        self.assertTrue(replica.is_usable)
        self.assertEqual(self.restarted, [])

    def test_same_incarnation_keeps_its_state(self):
        replica = self.listed(1000)
        replica.record_version("m", 4)
        self.assertIs(self.listed(1000), replica)
        self.assertEqual(replica.versions, {"m": 4})

    def test_replica_that_left_may_start_again(self):
        self.listed(1000, leaving=True)
        self.assertTrue(self.listed(2000).is_usable)
