"""Leased quota: slots in use never exceed hard limits and capacity."""

import itertools
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
    """A clock that the test advances."""

    def __init__(self):
        self.time = 1000.0

    def __call__(self):
        return self.time


class FakeInstance:
    """An instance: its grants, demand and use."""

    def __init__(self, name):
        self.name = name
        self.life = "1"
        self.grants = {}
        self.wanted = Counter()
        self.in_use = Counter()

    def allowed(self, row):
        """Return the slots that the row may use at this instance now."""
        if not self.grants:
            return 0
        return allowance(SETTINGS, view(grants=self.grants), ROWS.row(row))

    def report(self):
        """Return the current report."""
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

    def adopt(self, grant_set, sent_at, held_until):
        """Adopt a ``GrantSet``; its lifetime counts from when the report was sent."""
        if grant_set is None:
            return
        deadline = sent_at + (grant_set.deadline - held_until)
        self.grants = {
            name: Grant(
                slots, deadline, grant_set.fallback.get(name, 0), grant_set.number
            )
            for name, slots in grant_set.slots.items()
        }


class AllocatorCase(unittest.TestCase):
    settings = SETTINGS

    def setUp(self):
        self.clock = Clock()
        patch = mock.patch.object(clock, "now", self.clock)
        patch.start()
        self.addCleanup(patch.stop)
        self.fence = 0

    def new_holder(self, instances=()):
        """Return an allocator that has just become the holder."""
        self.fence += 1
        allocator = Allocator(self.settings)
        allocator.take_over(self.fence, [instance.name for instance in instances])
        allocator.plan(ROWS.rows, CAPACITY)
        return allocator

    def exchange(self, allocator, instance, lost=False):
        """Send a report and adopt the grants, unless the reply is lost."""
        grant_set = allocator.report(instance.report())
        if not lost:
            instance.adopt(grant_set, self.clock.time, self.clock.time)
        return grant_set

    def exchange_rounds(self, allocator, instances, rounds=4, step=0.3):
        """Exchange reports with all ``instances``, ``step`` seconds apart."""
        for _ in range(rounds):
            self.clock.time += step
            for instance in instances:
                self.exchange(allocator, instance)

    def start_instances(self, count=3, **wanted):
        """Return a holder that grants, and instances with the demand ``wanted``."""
        instances = [FakeInstance(f"e{number}") for number in range(count)]
        for instance in instances:
            instance.wanted.update(wanted)
        allocator = self.new_holder(instances)
        self.exchange_rounds(allocator, instances)
        self.clock.time += SETTINGS.admission.grant_duration
        self.exchange_rounds(allocator, instances)
        return allocator, instances

    def total(self, instances, row):
        """Return the slots that the row may use at all instances together."""
        return sum(instance.allowed(row) for instance in instances)

    def check(self, instances):
        """Assert that hard limits and capacity can't be exceeded."""
        total = 0
        for row in ROWS.rows:
            used = sum(max(s.allowed(row.name), s.in_use[row.name]) for s in instances)
            self.assertLessEqual(used, hard_limit(row, CAPACITY), row.name)
            total += used
        self.assertLessEqual(total, CAPACITY)

    def run_random_faults(self, seed):
        """Inject lost replies, partitions, restarts and new holders; check each step."""
        rng = random.Random(seed)
        self.clock.time = 1000.0
        instances = [FakeInstance(f"e{number}") for number in range(4)]
        allocator = self.new_holder(instances)
        partitioned = set()
        for _ in range(80):
            self.clock.time += rng.choice([0.1, 0.3, 0.3, 1.0, 4.0])
            if rng.random() < 0.05:
                allocator = self.new_holder(instances)
            if rng.random() < 0.1:
                partitioned ^= {rng.choice(instances)}
            if rng.random() < 0.04:
                self.restart(rng.choice(instances))
            for instance in rng.sample(instances, len(instances)):
                for row in ROWS.rows:
                    if rng.random() < 0.2:
                        instance.wanted[row.name] = rng.choice([0, 1, 5, 40])
                if instance not in partitioned:
                    self.exchange(allocator, instance, lost=rng.random() < 0.2)
                self.check(instances)

    def restart(self, instance):
        """Restart the instance's process, which loses its grants."""
        instance.life += "1"
        instance.grants = {}


class AllocatorTest(AllocatorCase):
    def test_full_use_by_shares(self):
        _, instances = self.start_instances(trainer=40, app=40)
        self.assertEqual(self.total(instances, "app"), 20)
        self.assertEqual(self.total(instances, "trainer"), 20)

    def test_lent_share_is_returned_on_demand(self):
        """Guards against lent slots that return only when leases end."""
        allocator, instances = self.start_instances(trainer=40)
        for instance in instances:
            instance.in_use["trainer"] = instance.allowed("trainer")
        self.assertEqual(self.total(instances, "trainer"), CAPACITY)
        instances[0].wanted["app"] = 10
        for _ in range(4):
            self.exchange_rounds(allocator, instances, rounds=1)
            for instance in instances:
                instance.in_use["trainer"] = min(
                    instance.in_use["trainer"], instance.allowed("trainer")
                )
            self.check(instances)
        self.assertEqual(instances[0].allowed("app"), 10)

    def test_slots_are_granted_without_demand(self):
        _, instances = self.start_instances()
        for instance in instances:
            for row in ROWS.rows:
                self.assertGreater(
                    instance.allowed(row.name), 0, (instance.name, row.name)
                )

    def test_idle_instance_has_a_slot_ready(self):
        """Guards against a first call at an instance that has to wait for a grant."""
        allocator, instances = self.start_instances()
        instances[0].wanted["app"] = 5
        self.exchange_rounds(allocator, instances)
        for instance in instances:
            self.assertGreaterEqual(instance.allowed("app"), 1, instance.name)
        self.check(instances)

    def test_new_holder_waits_until_old_grants_lapse(self):
        """Guards against a new holder that grants slots covered by old grants."""
        _, instances = self.start_instances(app=40)
        before = self.total(instances, "app")
        fresh = FakeInstance("fresh")
        fresh.wanted["app"] = 40
        successor = self.new_holder(instances)
        self.assertIsNone(self.exchange(successor, fresh))
        self.assertEqual(before, 20)
        for _ in range(30):
            self.exchange_rounds(successor, [*instances, fresh], rounds=1)
            self.check([*instances, fresh])
        # One slot may be in transit between two instances.
        self.assertGreaterEqual(self.total([*instances, fresh], "app"), 19)

    def test_silent_instance_keeps_only_its_fallback(self):
        """Guards against granting slots that a partitioned instance may still use."""
        allocator, instances = self.start_instances(app=40)
        partitioned, *others = instances
        held = partitioned.allowed("app")
        for _ in range(20):
            self.exchange_rounds(allocator, others, rounds=1)
            self.check(instances)
        self.assertEqual(partitioned.allowed("app"), (held + 1) // 2)
        self.assertEqual(self.total(others, "app"), 20 - (held + 1) // 2)
        self.clock.time += SETTINGS.admission.fallback_duration
        self.exchange_rounds(allocator, others)
        self.assertEqual(partitioned.allowed("app"), 0)
        self.assertEqual(self.total(others, "app"), 20)

    def test_half_of_the_grants_remain_without_holder(self):
        _, instances = self.start_instances(app=40, trainer=40)
        before = self.total(instances, "app")
        self.clock.time += 2 * SETTINGS.admission.grant_duration
        self.check(instances)
        self.assertGreaterEqual(
            self.total(instances, "app"), before // 2 - len(instances)
        )

    def test_holder_changes_while_an_instance_is_partitioned(self):
        allocator, instances = self.start_instances(app=40)
        partitioned, *others = instances
        self.exchange_rounds(allocator, others, rounds=20)
        for _ in range(3):
            successor = self.new_holder(instances)
            self.clock.time += SETTINGS.admission.grant_duration
            for _ in range(20):
                self.exchange_rounds(successor, others, rounds=1)
                self.check(instances)
        self.assertGreater(self.total(others, "app"), 8)

    def test_shutdown_and_restart_release_slots_at_once(self):
        allocator, instances = self.start_instances(app=40)
        leaving, *others = instances
        allocator.remove_instance(leaving.name)
        self.exchange_rounds(allocator, others, rounds=2)
        self.assertEqual(self.total(others, "app"), 20)
        restarted = FakeInstance(others[0].name)
        restarted.life = "2"
        self.exchange_rounds(allocator, [others[1], restarted], rounds=5)
        self.assertEqual(self.total([others[1]], "app"), 20)

    def test_calls_in_progress_count_beyond_the_grant(self):
        allocator, instances = self.start_instances(app=40)
        first, *others = instances
        first.in_use["app"] = held = first.allowed("app")
        first.wanted["app"] = 0
        for _ in range(10):
            first.wanted["app"] = 1
            self.exchange_rounds(allocator, instances, rounds=1)
            self.check(instances)
        self.assertLessEqual(self.total(others, "app"), 20 - held)

    def test_no_grant_outlives_the_lease(self):
        allocator, instances = self.start_instances(app=40)
        limit = self.clock.time + 0.5
        grant_set = allocator.report(instances[0].report(), lease_deadline=limit)
        self.assertEqual(grant_set.deadline, limit)

    @hypothesis_settings(derandomize=True, deadline=None, max_examples=30)
    @given(strategies.integers(0, 10_000))
    def test_limits_hold_under_random_faults(self, seed):
        """Guards against grants beyond the limits after any mix of faults."""
        self.run_random_faults(seed)


class ReclaimTest(AllocatorCase):
    settings = RECLAIMING

    def check(self, instances):
        """Assert that no hard limit can be exceeded; engines enforce the capacity."""
        for row in ROWS.rows:
            if row.limit < 1:
                used = sum(
                    max(s.allowed(row.name), s.in_use[row.name]) for s in instances
                )
                self.assertLessEqual(used, hard_limit(row, CAPACITY), row.name)

    @hypothesis_settings(derandomize=True, deadline=None, max_examples=30)
    @given(strategies.integers(0, 10_000))
    def test_hard_limits_hold_under_random_faults(self, seed):
        self.run_random_faults(seed)

    def test_late_reports_before_the_holder_is_lost_reserve_no_more(self):
        """Guards against slots kept for a silent instance that has no use of them."""
        for late_seconds in (1.0, 3.5, 6.0):
            for late_reports in (1, 2):
                for order in itertools.permutations((1, 2)):
                    with self.subTest((late_seconds, late_reports, order)):
                        self.lose_holder_after_late_reports(
                            late_seconds, late_reports, order
                        )

    def lose_holder_after_late_reports(self, late_seconds, late_reports, order):
        """Check what is reserved for the first of three instances, which falls silent."""
        allocator, instances = self.start_instances(app=12)
        self.exchange_rounds(allocator, instances)
        late = instances[2]
        end = self.clock.time + late_seconds
        while self.clock.time < end:
            self.exchange_rounds(allocator, instances[:2], rounds=1, step=0.15)
        self.exchange_rounds(allocator, [late], rounds=late_reports, step=0.05)
        silent = instances[0].grants["app"].fallback
        held = sum(instance.grants["app"].fallback for instance in instances)
        self.clock.time += 3.0
        successor = self.new_holder(instances)
        for at in order:
            self.exchange(successor, instances[at])
        self.exchange_rounds(successor, instances[1:], rounds=20)
        limit = hard_limit(ROWS.row("app"), CAPACITY)
        self.assertEqual(held, limit // 2)
        self.assertEqual(successor._reserved_by_row()["app"], silent)
        self.check(instances)

    def test_slots_of_a_dead_instance_are_reclaimed(self):
        """Guards against calls of a dead instance that count against the capacity."""
        allocator, instances = self.start_instances()
        dead, survivor, *_ = instances
        dead.wanted["trainer"] = 40
        self.exchange_rounds(allocator, instances, rounds=20)
        dead.in_use["trainer"] = dead.allowed("trainer")
        self.assertEqual(dead.in_use["trainer"], CAPACITY)
        self.exchange(allocator, dead)
        self.clock.time += self.settings.admission.grant_duration + 0.1
        survivor.wanted["trainer"] = 40
        self.exchange_rounds(allocator, instances[1:], rounds=4)
        self.assertEqual(survivor.allowed("trainer"), CAPACITY)

    def test_application_keeps_a_fallback_when_trainers_are_busy(self):
        """Guards against trainers that take all of the fallback."""
        allocator, instances = self.start_instances(trainer=40)
        self.exchange_rounds(allocator, instances, rounds=20)
        for instance in instances:
            instance.wanted["small"] = 1
        self.exchange_rounds(allocator, instances, rounds=20)
        self.assertEqual(self.total(instances, "small"), 3)
        self.clock.time += self.settings.admission.grant_duration + 0.1
        half = hard_limit(ROWS.row("small"), CAPACITY) // 2
        self.assertEqual(self.total(instances, "small"), half)
        self.assertGreaterEqual(self.total(instances, "trainer"), 1)
        self.check(instances)

    def test_late_report_keeps_its_grant(self):
        """Guards against answering a late report with a grant without fallback."""
        allocator, instances = self.start_instances(app=12)
        late, *others = instances
        lifetime = SETTINGS.admission.grant_duration
        self.exchange_rounds(allocator, others, rounds=int(lifetime / 0.3) + 2)
        allowed_before = late.allowed("app")
        self.assertGreater(allowed_before, 0)
        self.exchange(allocator, late)
        self.check(instances)
        self.assertGreaterEqual(late.allowed("app"), allowed_before)
        self.assertGreater(late.grants["app"].fallback, 0)

    def test_rows_with_hard_limit_wait_for_silent_instances(self):
        allocator, instances = self.start_instances(app=40)
        partitioned, *others = instances
        partitioned.in_use["app"] = held = partitioned.allowed("app")
        self.exchange(allocator, partitioned)
        self.exchange_rounds(allocator, others, rounds=20)
        self.check(instances)
        self.assertEqual(self.total(others, "app"), 20 - held)


class ReportTest(unittest.IsolatedAsyncioTestCase):
    async def test_report_has_demand_use_and_grants(self):
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
