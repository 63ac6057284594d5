"""Calls to services: outcomes and retries."""

import asyncio
import unittest

from sassafrasdoor.admission.queues import Admission
from sassafrasdoor.admission.retries import RetryBudget
from sassafrasdoor.backends.interface import Answer, Broken
from sassafrasdoor.clock import deadline_in
from sassafrasdoor.outcomes import NotRun, Unknown
from sassafrasdoor.requests.calls import CallRunner
from sassafrasdoor.requests.messages import Request
from sassafrasdoor.requests.tests.fakes import FakeService, settings, view
from sassafrasdoor.routing.chooser import Chooser
from sassafrasdoor.support import until

REFUSED = Broken("connection refused", began=False)
CUT = Broken("cut before any reply", began=True)
OK = None


class CallsTest(unittest.IsolatedAsyncioTestCase):
    def calls(self, service, current_view, **sections):
        """Return a ``CallRunner`` over a fake service."""
        test_settings = settings(**sections)
        self.chooser = Chooser(test_settings)
        self.admission = Admission(test_settings)
        shared = (
            test_settings,
            lambda: current_view,
            self.admission,
            self.chooser,
            service,
        )
        return CallRunner(*shared, RetryBudget(test_settings))

    async def run_one(self, service, current_view=None, within=10.0, **fields):
        """Run one request and return its outcome."""
        current_view = current_view or view(count=len(service.script))
        request = Request(
            "POST", "/x", request_id="id", deadline=deadline_in(within), **fields
        )
        return await self.calls(service, current_view).run(
            current_view.row("app"), request
        )

    async def test_table_of_faults(self):
        """Guards against calls that run twice, or run although reported as not run.

        A server refuses the connection, or accepts the call and closes it. Once a byte
        may have been sent, a non-repeatable call must not be retried or reported as not
        run.
        """
        # (result of each server, repeatable) -> outcome, maximum runs
        cases = [
            ((OK,), False, Answer, 1),
            ((REFUSED,), False, NotRun, 0),
            ((REFUSED, REFUSED, REFUSED), True, NotRun, 0),
            ((REFUSED, REFUSED, OK), False, Answer, 1),
            ((CUT,), False, Unknown, 1),
            ((CUT, CUT), False, Unknown, 1),
            ((CUT,), True, Unknown, 1),
            ((CUT, CUT, OK), True, Answer, 3),
            ((CUT, REFUSED), True, Unknown, 1),
            ((CUT, CUT, CUT, CUT), True, Unknown, 3),
        ]
        for script, repeatable, kind, most in cases:
            with self.subTest(script=script, repeatable=repeatable):
                names = {f"b{number}": item for number, item in enumerate(script)}
                service = FakeService(**names)
                outcome = await self.run_one(service, repeatable=repeatable)
                self.assertIsInstance(outcome, kind)
                self.assertLessEqual(service.ran["id"], most)
                if kind is NotRun:
                    self.assertEqual(service.ran["id"], 0)
                self.assertEqual(self.admission.in_use(), {})

    async def test_not_repeatable_is_not_tried_again_after_any_cut(self):
        for _ in range(20):
            service = FakeService(b0=CUT, b1=OK, b2=OK)
            await self.run_one(service, repeatable=False)
            self.assertLessEqual(service.ran["id"], 1)

    async def test_expired_request_is_not_run(self):
        service = FakeService(b0=OK)
        outcome = await self.run_one(service, within=0)
        self.assertIsInstance(outcome, NotRun)
        self.assertEqual(service.calls, [])

    async def test_paused_between_admission_and_dispatch(self):
        """Guards against a call that runs long after its caller was answered unknown.

        The instance is paused after admission and resumes after the deadline, which
        must be checked again before dispatch.
        """
        service = FakeService(b0=OK)
        current_view = view(count=1)
        calls = self.calls(service, current_view)
        request = Request("POST", "/x", request_id="id", deadline=deadline_in(60))
        choose = Chooser.choose

        def slow_choose(*arguments, **fields):
            request.deadline = deadline_in(0)
            return choose(*arguments, **fields)

        Chooser.choose = slow_choose
        self.addCleanup(setattr, Chooser, "choose", choose)
        outcome = await calls.run(current_view.row("app"), request)
        self.assertIsInstance(outcome, NotRun)
        self.assertEqual(service.calls, [])

    async def test_disconnected_caller_frees_slot_and_server(self):
        service = FakeService(b0=OK)
        service.gate = asyncio.Event()
        current_view = view(count=1)
        calls = self.calls(service, current_view)
        request = Request("POST", "/x", request_id="id", deadline=deadline_in(60))
        task = asyncio.ensure_future(calls.run(current_view.row("app"), request))
        await until(lambda: service.calls)
        self.assertEqual(self.chooser.in_flight(current_view.backends[0]), 1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual(self.chooser.in_flight(current_view.backends[0]), 0)
        self.assertEqual(self.admission.in_use(), {})

    async def test_first_try_leaves_time_for_a_second(self):
        service = FakeService(b0=OK)
        await self.run_one(service, within=10.0)
        self.assertLess(service.calls[0][1].deadline, deadline_in(8.0))
        service = FakeService(b0=OK)
        await self.run_one(service, within=10.0, repeatable=False)
        self.assertGreater(service.calls[0][1].deadline, deadline_in(8.0))

    async def test_retries_are_bounded_when_all_fails(self):
        """Guards against retries that triple the load of failing servers.

        Every call fails, so retries need a common budget.
        """
        service = FakeService(b0=CUT, b1=CUT, b2=CUT)
        current_view = view(count=3)
        calls = self.calls(
            service, current_view, routing={"suspect_backend_for": 0.001}
        )
        for number in range(200):
            request = Request("GET", "/", request_id=str(number))
            request.deadline = deadline_in(10)
            await calls.run(current_view.row("app"), request)
        self.assertLess(len(service.calls), 200 * 1.2)


if __name__ == "__main__":
    unittest.main()
