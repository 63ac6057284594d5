"""Admission: grants, bounded queues, early refusal, no lost slots."""

import asyncio
import unittest
from math import ceil

from sassafrasdoor.admission.queues import Admission
from sassafrasdoor.admission.quota import allowance, capacity_of
from sassafrasdoor.admission.retries import RetryBudget
from sassafrasdoor.clock import deadline_in, passed
from sassafrasdoor.outcomes import NotRun
from sassafrasdoor.requests.tests.fakes import row_document, settings, view
from sassafrasdoor.support import until
from sassafrasdoor.view import Grant

APP, OTHER = row_document("app"), row_document("other")


def view_with_grant(slots, lifetime=60.0, fallback=0, **others):
    """Return a view with a grant for ``app``."""
    grants = {"app": Grant(slots, deadline_in(lifetime), fallback), **others}
    return view(APP, OTHER, grants=grants)


class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.admission = Admission(settings(admission={"queue_size": 2}))

    def admit(self, current_view, name="app", timeout=10.0):
        """Return a task that requests a slot."""
        work = self.admission.admit(
            current_view, current_view.row(name), deadline_in(timeout)
        )
        return asyncio.ensure_future(work)

    async def fill(self, current_view, count, name="app"):
        """Acquire ``count`` slots."""
        return [await self.admit(current_view, name) for _ in range(count)]

    async def test_grant_bounds_calls_and_release_admits_the_next(self):
        current_view = view_with_grant(2)
        first, _ = await self.fill(current_view, 2)
        waiting = self.admit(current_view)
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        first.release()
        first.release()
        self.assertTrue(await waiting)
        self.assertEqual(self.admission.in_use(), {"app": 2})

    async def test_slots_allowed_by_a_grant(self):
        """Guards against use of a grant that has lapsed."""
        cases = [
            ("valid", view_with_grant(3), 3),
            ("lapsed", view_with_grant(3, lifetime=0), 0),
            ("lapsed with fallback", view_with_grant(3, lifetime=0, fallback=1), 1),
            ("another row's", view_with_grant(3, other=Grant(0, deadline_in(60))), 3),
        ]
        for name, current_view, allowed in cases:
            with self.subTest(name):
                admission = Admission(settings())
                tries = [
                    await admission.admit(
                        current_view, current_view.row("app"), deadline_in(0.01)
                    )
                    for _ in range(allowed + 1)
                ]
                self.assertEqual(sum(map(bool, tries)), allowed)

    def test_slots_without_any_grant(self):
        """Guards against an instance without grants that refuses all calls."""
        cases = [
            ("no hard limit", {}, False, 1),
            ("a hard limit", {"limit": 0.5}, False, 0),
            ("strict", {}, True, 0),
        ]
        for name, fields, strict, allowed in cases:
            with self.subTest(name):
                current_view = view(row_document("app", **fields), grants={}, members=8)
                half = capacity_of(current_view, current_view.row("app").service) / 2
                options = settings(admission={"strict_capacity": strict})
                slots = allowance(options, current_view, current_view.row("app"))
                self.assertEqual(slots, ceil(half / 8) * allowed)

    def test_slots_after_the_fallback_has_lapsed(self):
        """Guards against refusing all calls once the fallback has lapsed."""
        for name, limit, allowed in (("no limit", 1.0, True), ("limit", 0.5, False)):
            with self.subTest(name):
                lapsed = {"app": Grant(3, deadline_in(-601), fallback=1, number=1)}
                current_view = view(row_document("app", limit=limit), grants=lapsed)
                options = settings(admission={"fallback_duration": 600.0})
                slots = allowance(options, current_view, current_view.row("app"))
                self.assertEqual(slots > 0, allowed)

    async def test_row_without_grant_is_refused(self):
        current_view = view_with_grant(3)
        outcome = await self.admit(current_view, "other", timeout=0.01)
        self.assertIsInstance(outcome, NotRun)

    async def test_grant_lapses_while_calls_wait(self):
        current_view = view_with_grant(1, lifetime=0.05)
        permit = (await self.fill(current_view, 1))[0]
        waiting = self.admit(current_view, timeout=0.3)
        await until(lambda: passed(current_view.grants["app"].deadline))
        permit.release()
        self.assertIsInstance(await waiting, NotRun)

    async def test_new_grant_admits_queued_calls(self):
        task = asyncio.ensure_future(self.admission.run(lambda: self.current_view))
        self.current_view = view_with_grant(0)
        waiting = self.admit(self.current_view)
        await asyncio.sleep(0)
        self.current_view = view_with_grant(1)
        self.assertTrue(await waiting)
        task.cancel()

    async def test_refused_early(self):
        """Guards against queueing calls that cannot be served before their deadline."""
        current_view = view_with_grant(1)
        await self.fill(current_view, 1)
        queued = [self.admit(current_view), self.admit(current_view)]
        await asyncio.sleep(0)
        full = await self.admit(current_view)
        self.assertEqual(full.reason, "queue full")
        self.assertGreater(full.retry_after, 0)
        late = await self.admit(current_view, timeout=0)
        self.assertEqual(late.reason, "deadline passed")
        for task in queued:
            task.cancel()

    async def test_refused_when_the_queue_is_too_long_for_the_deadline(self):
        current_view = view_with_grant(1)
        for _ in range(40):
            permit = (await self.fill(current_view, 1))[0]
            permit._acquired_at -= 10.0
            permit.release()
        await self.fill(current_view, 1)
        outcome = await self.admit(current_view, timeout=1.0)
        self.assertEqual(outcome.reason, "queue too long for the deadline")
        self.assertGreater(outcome.retry_after, 5)

    async def test_call_that_cannot_end_in_time_is_refused(self):
        """Guards against slots for calls that will miss their deadline."""
        current_view = view_with_grant(1)
        permit = (await self.fill(current_view, 1))[0]
        waiting = self.admit(current_view, timeout=5.0)
        await asyncio.sleep(0)
        permit._acquired_at -= 100.0
        permit.release()
        self.assertIsInstance(await waiting, NotRun)
        self.assertEqual(self.admission.in_use(), {})
        self.assertTrue(await self.admit(current_view, timeout=5.0))

    async def test_cancelled_call_loses_no_slot(self):
        """Guards against a slot granted to a cancelled call and never released."""
        current_view = view_with_grant(1)
        for moment in ("while waiting", "just when given"):
            with self.subTest(moment):
                permit = (await self.fill(current_view, 1))[0]
                waiting = self.admit(current_view)
                await asyncio.sleep(0)
                if moment == "just when given":
                    permit.release()
                waiting.cancel()
                await asyncio.gather(waiting, return_exceptions=True)
                permit.release()
                self.assertEqual(self.admission.in_use(), {})

    async def test_demand_counts_queued_calls_and_decays(self):
        current_view = view_with_grant(1)
        permit = (await self.fill(current_view, 1))[0]
        waiting = self.admit(current_view)
        await asyncio.sleep(0)
        self.assertEqual(self.admission.demand(), {"app": 2})
        permit.release()
        (await waiting).release()
        self.assertEqual(self.admission.demand(), {"app": 2})
        self.admission._queues["app"]._peak_at -= 60
        self.assertEqual(self.admission.demand(), {})

    async def test_equal_slice_without_quota(self):
        current_view = view(row_document("app", limit=0.5), count=2, members=4)
        tries = [await self.admit(current_view, timeout=0.01) for _ in range(3)]
        self.assertEqual(sum(map(bool, tries)), 2)


class RetryBudgetTest(unittest.TestCase):
    def test_retries_stay_a_part_of_calls(self):
        budget = RetryBudget(settings(admission={"retry_budget": 0.1}))
        spent = 0
        for _ in range(1000):
            budget.deposit()
            spent += budget.try_withdraw()
        self.assertLess(spent, 120)
        self.assertFalse(
            RetryBudget(settings(admission={"retry_budget": 0})).try_withdraw()
        )


if __name__ == "__main__":
    unittest.main()
