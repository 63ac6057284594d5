"""Leased quota: what may be in use never exceeds limit and capacity."""

import random
import subprocess
import sys
import unittest
from collections import Counter
from unittest import mock

from hypothesis import given, settings as hypothesis_settings, strategies

from sassafrasdoor import clock
from sassafrasdoor.admission.allocator import Allocator
from sassafrasdoor.admission.grants import Report, Usage
from sassafrasdoor.admission.queues import Admission
from sassafrasdoor.admission.quota import allowance
from sassafrasdoor.admission.shares import hard_limit
from sassafrasdoor.requests.tests.fakes import row_document, settings, table, view
from sassafrasdoor.support import ROOT
from sassafrasdoor.view import Grant

STRICT = {"fallback_duration": 60.0, "overhang": 10.0, "strict_capacity": True}
SETTINGS = settings(admission=STRICT)
RECLAIMING = settings(admission={**STRICT, "strict_capacity": False})
ROWS = table(
    row_document("app", priority=1, limit=0.5),
    row_document("trainer", weight=2),
    row_document("small", limit=0.1),
)
CAPACITY = 40


class Clock:
    """A clock moved by the test."""

    def __init__(self):
        self.time = 1000.0

    def __call__(self):
        return self.time


class Site:
    """An instance: what it has adopted, wants and uses, as its own clock says."""

    def __init__(self, name):
        self.name = name
        self.life = "1"
        self.grants = {}
        self.wanted = Counter()
        self.in_use = Counter()

    def allowed(self, row):
        """Return what the row may use here now."""
        if not self.grants:
            return 0
        return allowance(SETTINGS, view(grants=self.grants), ROWS.row(row))

    def report(self):
        """Return the report of now."""
        rows = {
            row.name: Usage(
                self.wanted[row.name] or self.in_use[row.name],
                self.in_use[row.name],
                self.grants[row.name].fallback if row.name in self.grants else 0,
            )
            for row in ROWS.rows
        }
        numbers = [grant.number for grant in self.grants.values()]
        return Report(self.name, self.life, max(numbers, default=0), rows)

    def adopt(self, made, sent_at, held_until):
        """Adopt a set; its lifetime counts from the sending of the report."""
        if made is None:
            return
        deadline = sent_at + (made.deadline - held_until)
        self.grants = {
            name: Grant(slots, deadline, made.fallback.get(name, 0), made.number)
            for name, slots in made.slots.items()
        }


class AllocatorCase(unittest.TestCase):
    settings = SETTINGS

    def setUp(self):
        self.clock = Clock()
        patch = mock.patch.object(clock, "now", self.clock)
        patch.start()
        self.addCleanup(patch.stop)
        self.fence = 0

    def holder(self, sites=()):
        """Return an allocator that has just become the holder."""
        self.fence += 1
        allocator = Allocator(self.settings)
        allocator.take_over(self.fence, [site.name for site in sites])
        allocator.plan(ROWS.rows, CAPACITY)
        return allocator

    def exchange(self, allocator, site, lost=False):
        """Report and adopt the answer, unless the reply is lost."""
        made = allocator.report(site.report())
        if not lost:
            site.adopt(made, self.clock.time, self.clock.time)
        return made

    def settle(self, allocator, sites, rounds=4, step=0.3):
        """Exchange for a while with everybody."""
        for _ in range(rounds):
            self.clock.time += step
            for site in sites:
                self.exchange(allocator, site)

    def started(self, count=3, **wanted):
        """Return a holder that grants, and sites that want."""
        sites = [Site(f"e{number}") for number in range(count)]
        for site in sites:
            site.wanted.update(wanted)
        allocator = self.holder(sites)
        self.settle(allocator, sites)
        self.clock.time += SETTINGS.admission.grant_duration
        self.settle(allocator, sites)
        return allocator, sites

    def total(self, sites, row):
        """Return what the row may use at all sites together."""
        return sum(site.allowed(row) for site in sites)

    def check(self, sites):
        """Assert that no limit and not the capacity can be overshot."""
        total = 0
        for row in ROWS.rows:
            used = sum(max(s.allowed(row.name), s.in_use[row.name]) for s in sites)
            self.assertLessEqual(used, hard_limit(row, CAPACITY), row.name)
            total += used
        self.assertLessEqual(total, CAPACITY)

    def any_sequence(self, seed):
        """Run a seeded mix of losses, cuts, restarts and holders; check throughout."""
        chance = random.Random(seed)
        self.clock.time = 1000.0
        sites = [Site(f"e{number}") for number in range(4)]
        allocator = self.holder(sites)
        cut = set()
        for _ in range(80):
            self.clock.time += chance.choice([0.1, 0.3, 0.3, 1.0, 4.0])
            if chance.random() < 0.05:
                allocator = self.holder(sites)
            if chance.random() < 0.1:
                cut ^= {chance.choice(sites)}
            if chance.random() < 0.04:
                self.restart(chance.choice(sites))
            for site in chance.sample(sites, len(sites)):
                for row in ROWS.rows:
                    if chance.random() < 0.2:
                        site.wanted[row.name] = chance.choice([0, 1, 5, 40])
                if site not in cut:
                    self.exchange(allocator, site, lost=chance.random() < 0.2)
                self.check(sites)

    def restart(self, site):
        """Have the instance's process die and come back with nothing."""
        site.life += "1"
        site.grants = {}


class AllocatorTest(AllocatorCase):
    def test_full_use_by_shares(self):
        _, sites = self.started(trainer=40, app=40)
        self.assertEqual(self.total(sites, "app"), 20)
        self.assertEqual(self.total(sites, "trainer"), 20)

    def test_idle_share_is_lent_and_comes_back(self):
        """Guards against lent slots that return only when leases end."""
        allocator, sites = self.started(trainer=40)
        for site in sites:
            site.in_use["trainer"] = site.allowed("trainer")
        self.assertEqual(self.total(sites, "trainer"), CAPACITY)
        sites[0].wanted["app"] = 10
        for _ in range(4):
            self.settle(allocator, sites, rounds=1)
            for site in sites:
                site.in_use["trainer"] = min(
                    site.in_use["trainer"], site.allowed("trainer")
                )
            self.check(sites)
        self.assertEqual(sites[0].allowed("app"), 10)

    def test_without_any_demand_new_work_finds_a_slot(self):
        _, sites = self.started()
        for site in sites:
            for row in ROWS.rows:
                self.assertGreater(site.allowed(row.name), 0, (site.name, row.name))

    def test_instance_that_wants_nothing_yet_has_a_slot_ready(self):
        """Guards against a first call at an instance that has to wait for a grant."""
        allocator, sites = self.started()
        sites[0].wanted["app"] = 5
        self.settle(allocator, sites)
        for site in sites:
            self.assertGreaterEqual(site.allowed("app"), 1, site.name)
        self.check(sites)

    def test_new_holder_waits_out_the_grants_of_the_old(self):
        """Guards against a new holder that grants slots covered by old grants."""
        _, sites = self.started(app=40)
        before = self.total(sites, "app")
        fresh = Site("fresh")
        fresh.wanted["app"] = 40
        successor = self.holder(sites)
        self.assertIsNone(self.exchange(successor, fresh))
        self.assertEqual(before, 20)
        for _ in range(30):
            self.settle(successor, [*sites, fresh], rounds=1)
            self.check([*sites, fresh])
        # An odd slot may just be on its way from one instance to another.
        self.assertGreaterEqual(self.total([*sites, fresh], "app"), 19)

    def test_silent_instance_keeps_its_fallback_and_no_more(self):
        """Guards against granting slots that a partitioned instance may still use."""
        allocator, sites = self.started(app=40)
        cut, *others = sites
        held = cut.allowed("app")
        for _ in range(20):
            self.settle(allocator, others, rounds=1)
            self.check(sites)
        self.assertEqual(cut.allowed("app"), (held + 1) // 2)
        self.assertEqual(self.total(others, "app"), 20 - (held + 1) // 2)
        self.clock.time += SETTINGS.admission.fallback_duration
        self.settle(allocator, others)
        self.assertEqual(cut.allowed("app"), 0)
        self.assertEqual(self.total(others, "app"), 20)

    def test_no_holder_at_all_leaves_half_to_everybody(self):
        _, sites = self.started(app=40, trainer=40)
        before = self.total(sites, "app")
        self.clock.time += 2 * SETTINGS.admission.grant_duration
        self.check(sites)
        self.assertGreaterEqual(self.total(sites, "app"), before // 2 - len(sites))

    def test_holder_changes_while_an_instance_is_cut_off(self):
        allocator, sites = self.started(app=40)
        cut, *others = sites
        self.settle(allocator, others, rounds=20)
        for _ in range(3):
            successor = self.holder(sites)
            self.clock.time += SETTINGS.admission.grant_duration
            for _ in range(20):
                self.settle(successor, others, rounds=1)
                self.check(sites)
        self.assertGreater(self.total(others, "app"), 8)

    def test_planned_leave_and_restart_give_back_at_once(self):
        allocator, sites = self.started(app=40)
        leaving, *others = sites
        allocator.left(leaving.name)
        self.settle(allocator, others, rounds=2)
        self.assertEqual(self.total(others, "app"), 20)
        restarted = Site(others[0].name)
        restarted.life = "2"
        self.settle(allocator, [others[1], restarted], rounds=5)
        self.assertEqual(self.total([others[1]], "app"), 20)

    def test_calls_in_progress_count_beyond_the_grant(self):
        allocator, sites = self.started(app=40)
        first, *others = sites
        first.in_use["app"] = held = first.allowed("app")
        first.wanted["app"] = 0
        for _ in range(10):
            first.wanted["app"] = 1
            self.settle(allocator, sites, rounds=1)
            self.check(sites)
        self.assertLessEqual(self.total(others, "app"), 20 - held)

    def test_no_grant_outlives_the_lease(self):
        allocator, sites = self.started(app=40)
        limit = self.clock.time + 0.5
        made = allocator.report(sites[0].report(), lease_deadline=limit)
        self.assertEqual(made.deadline, limit)

    @hypothesis_settings(derandomize=True, deadline=None, max_examples=30)
    @given(strategies.integers(0, 10_000))
    def test_any_sequence_of_losses_cuts_and_holders(self, seed):
        """Guards against grants beyond the limits after any mix of faults."""
        self.any_sequence(seed)


class ReclaimTest(AllocatorCase):
    settings = RECLAIMING

    def check(self, sites):
        """Assert that no hard limit can be overshot; engines guard the capacity."""
        for row in ROWS.rows:
            if row.limit < 1:
                used = sum(max(s.allowed(row.name), s.in_use[row.name]) for s in sites)
                self.assertLessEqual(used, hard_limit(row, CAPACITY), row.name)

    @hypothesis_settings(derandomize=True, deadline=None, max_examples=30)
    @given(strategies.integers(0, 10_000))
    def test_hard_limits_hold_in_any_sequence(self, seed):
        self.any_sequence(seed)

    def test_death_of_the_busy_instance_does_not_idle_the_rest(self):
        """Guards against calls of a dead instance that count against the capacity."""
        allocator, sites = self.started()
        dead, heir, *_ = sites
        dead.wanted["trainer"] = 40
        self.settle(allocator, sites, rounds=20)
        dead.in_use["trainer"] = dead.allowed("trainer")
        self.assertEqual(dead.in_use["trainer"], CAPACITY)
        self.exchange(allocator, dead)
        self.clock.time += self.settings.admission.grant_duration + 0.1
        heir.wanted["trainer"] = 40
        self.settle(allocator, sites[1:], rounds=4)
        self.assertEqual(heir.allowed("trainer"), CAPACITY)

    def test_an_application_keeps_a_fallback_beside_busy_trainers(self):
        """Guards against a trainer that takes all of the fallback."""
        allocator, sites = self.started(trainer=40)
        self.settle(allocator, sites, rounds=20)
        for site in sites:
            site.wanted["small"] = 1
        self.settle(allocator, sites, rounds=20)
        self.assertEqual(self.total(sites, "small"), 3)
        self.clock.time += self.settings.admission.grant_duration + 0.1
        half = hard_limit(ROWS.row("small"), CAPACITY) // 2
        self.assertEqual(self.total(sites, "small"), half)
        self.assertGreaterEqual(self.total(sites, "trainer"), 1)
        self.check(sites)

    def test_instance_that_reports_late_is_not_granted_nothing(self):
        """Guards against a late report answered by a grant without a fallback."""
        allocator, sites = self.started(app=12)
        late, *others = sites
        lapse = SETTINGS.admission.grant_duration
        self.settle(allocator, others, rounds=int(lapse / 0.3) + 2)
        had = late.allowed("app")
        self.assertGreater(had, 0)
        self.exchange(allocator, late)
        self.check(sites)
        self.assertGreaterEqual(late.allowed("app"), had)
        self.assertGreater(late.grants["app"].fallback, 0)

    def test_limited_rows_wait_for_the_silent(self):
        allocator, sites = self.started(app=40)
        cut, *others = sites
        cut.in_use["app"] = held = cut.allowed("app")
        self.exchange(allocator, cut)
        self.settle(allocator, others, rounds=20)
        self.check(sites)
        self.assertEqual(self.total(others, "app"), 20 - held)


class ReportTest(unittest.IsolatedAsyncioTestCase):
    async def test_admission_reports_wants_use_and_grants(self):
        admission = Admission(SETTINGS)
        grants = {
            "app": Grant(1, clock.deadline_in(60), 1, 7),
            "small": Grant(0, clock.deadline_in(60), 0, 7),
        }
        seen = view(row_document("app"), row_document("small"), grants=grants)
        self.assertTrue(
            await admission.admit(seen, seen.row("app"), clock.deadline_in(1))
        )
        report = admission.report()
        self.assertEqual(report.number, 7)
        usage = report.rows["app"]
        self.assertEqual((usage.wanted, usage.in_use, usage.fallback), (1, 1, 1))
        self.assertNotEqual(report.life, Admission(SETTINGS).report().life)


class SampleTest(unittest.TestCase):
    def test_library_sample_ends_with_both_rows_served(self):
        done = subprocess.run(
            [sys.executable, ROOT / "samples" / "library_quota.py"],
            env={"PYTHONPATH": str(ROOT)},
            capture_output=True,
            text=True,
            timeout=60,
        )
        self.assertEqual(done.stderr, "")
        last = [
            "a may use {'t': 6} and later {'t': 3}",
            "b may use {'gate': 4} and later {'gate': 2}",
        ]
        self.assertEqual(done.stdout.splitlines()[-2:], last)


if __name__ == "__main__":
    unittest.main()
