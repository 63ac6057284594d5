"""Requests to services whose replicas report their pace, while calls compete for them."""

import asyncio
import unittest
from types import SimpleNamespace

from sassafrasdoor.backends.interface import Answer
from sassafrasdoor.clock import LONG_AGO, deadline_in, now, passed
from sassafrasdoor.outcomes import NotRun, Unknown
from sassafrasdoor.requests.admission import CallAdmission
from sassafrasdoor.requests.direct import DirectService
from sassafrasdoor.requests.tests.fixtures import (
    FULL,
    GONE,
    HANG,
    LOST,
    NOT_SENT,
    OK,
    direct_request,
)
from sassafrasdoor.routing.overload import LoadReport, ReplicaLoad
from sassafrasdoor.steps.durable.tests.fixtures import SERVICE, replicas, route
from sassafrasdoor.table.routes import Repeat

QUEUE = 24  # calls, the queue of a full replica
TARGET = 1.0  # seconds


class Client:
    """Returns scripted outcomes; ``HANG`` ends with an answer once it is released."""

    def __init__(self, *script):
        self.script = list(script)
        self.calls = []
        self.released = asyncio.Event()

    async def try_connect(self, replica):
        return True

    async def call(self, replica, call):
        self.calls.append(replica.identity)
        outcome = self.script.pop(0)
        if outcome is HANG:
            await self.released.wait()
            return OK
        return outcome


class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self, count=2):
        self.replicas = replicas(count)
        self.settings = SimpleNamespace(disabled_parts=frozenset())
        self.admission = CallAdmission(self.replicas, self.settings)
        self.tasks = []

    def report(self, *loads, pace=1.0):
        """Report ``(running, waiting)`` for each replica."""
        for at, (running, waiting) in enumerate(loads):
            self.replicas.get(f"e{at}").record_load(running, waiting, pace)

    def start(self, *script, **fields):
        self.client = Client(*script)
        self.service = DirectService(
            self.client, self.replicas, admission=self.admission
        )
        return self.send(**fields)

    def send(self, repeat=Repeat.SAFE, target=TARGET):
        request = direct_request(route(repeat=repeat, target=target))
        task = asyncio.ensure_future(self.service.answer(request))
        self.tasks.append(task)
        self.addCleanup(task.cancel)
        return task

    @property
    def state(self):
        return self.admission._services[SERVICE]

    async def until(self, condition):
        limit = deadline_in(20)
        while not condition():
            self.assertFalse(passed(limit), "condition never came true")
            await asyncio.sleep(0.005)

    async def until_one_waits(self, *script):
        """Fill the replicas with own sends; return the task of a call that waits.

        ``held`` are the sends. One more call is in progress.
        """
        self.report((3, 0), (3, 0))
        await self.start(OK, HANG, *script)
        self.running = self.send()
        await self.until(lambda: len(self.client.calls) == 2)
        control = self.state.control
        self.held = []
        control.work_time = 0.01
        for replica in self.replicas.of_service(SERVICE):
            load = ReplicaLoad(replica.identity, 4, LoadReport(4, QUEUE, 1.0, now()))
            control.record_refusal(load, now())
            for _ in range(QUEUE + 4):
                self.held.append(control.record_send(_call(), load, LONG_AGO))
        self.report((4, QUEUE), (4, QUEUE))
        task = self.send()
        await self.until(lambda: len(control.waiting) == 1)
        return task

    async def test_full_service_refuses_at_once_and_without_a_send(self):
        self.report((4, 900), (4, 900))
        result = await self.start()
        self.assertIsInstance(result, NotRun)
        self.assertGreaterEqual(result.retry_after, 0.05)
        self.assertEqual(self.client.calls, [])

    async def test_refused_calls_add_nothing_to_the_retry_budget(self):
        """Guards against second sends that grow with the calls that are refused."""
        self.report((4, 900), (4, 900))
        await self.start()
        while self.state.budget.try_withdraw():
            pass
        for _ in range(12):
            self.assertIsInstance(await self.send(), NotRun)
        self.assertFalse(self.state.budget.try_withdraw())

    async def test_other_services_are_served_as_before(self):
        """Guards against refusals by the load of replicas that don't report a pace."""
        cases = [
            ("three figures", None, frozenset()),
            ("disabled", 1.0, frozenset({"overload"})),
        ]
        for name, pace, disabled in cases:
            with self.subTest(name):
                self.settings.disabled_parts = disabled
                self.report((4, 900), (4, 900), pace=pace)
                result = await self.start(FULL, OK)
                self.assertIs(result, OK)
                self.assertEqual(len(self.client.calls), 2)

    async def test_refused_call_goes_to_one_with_room_and_returns_its_place(self):
        self.report((4, 0), (4, 0))
        result = await self.start(FULL, OK)
        self.assertIs(result, OK)
        self.assertEqual(sorted(self.client.calls), ["e0", "e1"])
        self.assertEqual(self.state.control._sends, {})

    async def test_call_that_did_not_reach_a_replica_is_no_refusal_by_it(self):
        """Guards against a queue that is taken for full by an earlier report.

        A call is not sent while the requests at the replica take up their memory.
        """
        self.report((4, 1), (4, 1))
        self.assertIs(await self.start(NotRun("not sent"), OK), OK)
        self.assertEqual(self.state.control._queue_sizes, {})
        self.assertIsNone(self.state.control._refused_at)

    async def test_request_that_may_run_once_is_sent_again_only_if_it_did_not_run(self):
        """Guards against a payment that runs twice under overload."""
        cases = [
            ([FULL, OK], Answer, 2),
            ([NOT_SENT, OK], Answer, 2),
            ([GONE, LOST], Unknown, 2),
            ([LOST, OK], Unknown, 1),
        ]
        for script, outcome, sends in cases:
            with self.subTest(script=script):
                self.setUp()
                self.report((4, 1), (4, 1))
                result = await self.start(*script, repeat=Repeat.ONCE)
                self.assertIsInstance(result, outcome)
                self.assertEqual(len(self.client.calls), sends)

    async def test_retries_of_calls_that_may_have_run_need_budget_while_calls_queue(
        self,
    ):
        """Guards against retries that multiply the load of a service at its limit."""
        for withdrawals, outcome, sends in ((10, Unknown, 1), (0, Answer, 2)):
            with self.subTest(withdrawals=withdrawals):
                self.setUp(count=3)
                self.report((0, 0), (1, 0), (4, 2))
                await self.start(OK)
                for _ in range(withdrawals):
                    self.assertTrue(self.state.budget.try_withdraw())
                self.report((0, 0), (1, 0), (4, 2))
                result = await self.start(LOST, OK)
                self.assertIsInstance(result, outcome)
                self.assertEqual(len(self.client.calls), sends)

    async def test_call_at_a_replica_is_not_refused_when_the_service_is_full(self):
        """Guards against "not run" for a call that a replica works on."""
        self.report((4, 1), (4, 1))
        task = self.start(HANG, OK, target=0.2)
        await self.until(lambda: self.client.calls)
        self.report((4, 900), (4, 900))
        attempts = []
        choose = self.admission.choose
        self.service._admission = SimpleNamespace(
            choose=lambda *asked: attempts.append(choose(*asked)),
            close=self.admission.close,
        )
        await self.until(lambda: attempts)  # the time of a hedge
        self.assertEqual(attempts, [None])
        self.client.released.set()
        self.assertIs(await task, OK)

    async def test_waiting_call_is_sent_when_there_is_room(self):
        task = await self.until_one_waits(OK)
        for sent in self.held:
            self.state.control.record_end(sent, now())
        self.report((4, 0), (4, 0))
        self.assertEqual(len(self.state.tickets), 1)
        self.client.released.set()
        self.assertIs(await self.running, OK)
        self.assertEqual(self.state.tickets, {})
        self.assertIs(await task, OK)
        self.assertEqual(len(self.client.calls), 3)

    async def test_waiting_call_is_refused_when_the_replicas_are_gone(self):
        """Guards against callers that are held while nobody can serve them."""
        task = await self.until_one_waits()
        for identity in ("e0", "e1"):
            self.replicas.remove_listing(identity)
        self.assertEqual(self.state.tickets, {})  # at once, not when its wait ends
        self.assertIsInstance(await task, NotRun)
        self.assertEqual(len(self.client.calls), 2)

    async def test_waiting_call_is_refused_within_a_quarter_of_its_target(self):
        task = await self.until_one_waits()
        call = self.state.control.waiting[0]
        self.assertLess(call.wait_deadline, call.target_at - 0.75 * TARGET)
        self.assertIsInstance(await task, NotRun)
        self.assertEqual(self.state.control.waiting, [])

    async def test_caller_that_leaves_while_waiting_frees_its_place(self):
        """Guards against places in the queue that nobody uses."""
        task = await self.until_one_waits()
        task.cancel()
        await asyncio.wait([task])
        self.assertEqual(self.state.control.waiting, [])
        self.assertEqual(self.state.tickets, {})

    async def test_caller_that_leaves_when_admitted_frees_its_place(self):
        """Guards against sends that are counted for ever.

        The caller leaves after its call was admitted and before it was sent.
        """
        task = await self.until_one_waits()
        for sent in self.held:
            self.state.control.record_end(sent, now())
        before = sum(map(len, self.state.control._sends.values()))
        self.report((4, 0), (4, 0))
        self.admission._replicas_changed()
        self.assertEqual(self.state.control.waiting, [])
        task.cancel()
        await asyncio.wait([task])
        self.assertEqual(len(self.client.calls), 2)
        after = sum(map(len, self.state.control._sends.values()))
        self.assertEqual(after, before)


def _call():
    return SimpleNamespace(account="")


if __name__ == "__main__":
    unittest.main()
