"""Callers' requests: outcomes by the results of sends, and hedges."""

import asyncio
import unittest
from unittest import mock

from sassafrasdoor.backends.interface import Answer, Refused
from sassafrasdoor.clock import deadline_in, passed
from sassafrasdoor.outcomes import NotRun, Unknown
from sassafrasdoor.requests import attempts as attempts_module
from sassafrasdoor.requests.crash_watch import Quarantined
from sassafrasdoor.requests.direct import DirectService
from sassafrasdoor.requests.tests.fixtures import (
    ERROR,
    FULL,
    GONE,
    HANG,
    LOST,
    NOT_SENT,
    OK,
    direct_request,
)
from sassafrasdoor.steps.durable.tests.fixtures import replicas, route
from sassafrasdoor.table.routes import Repeat


class Client:
    """Returns scripted outcomes and records the calls."""

    def __init__(self, *script):
        self.script = list(script)
        self.calls = []
        self.cancelled = 0

    async def try_connect(self, replica):
        return True

    async def call(self, replica, call):
        self.calls.append((replica.identity, call))
        call.earlier_exchanges = len(self.calls)
        call.signature = f"signature {len(self.calls)}"
        outcome = self.script.pop(0)
        if outcome is HANG:
            try:
                await asyncio.Event().wait()
            finally:
                self.cancelled += 1
        return outcome


async def refuse_connection(replica):
    return Refused("nobody listens")


class DirectTest(unittest.IsolatedAsyncioTestCase):
    async def answer(
        self, *script, repeat=Repeat.SAFE, count=3, seconds=20.0, **fields
    ):
        self.client = Client(*script)
        service = DirectService(self.client, replicas(count))
        request = direct_request(route(repeat=repeat, **fields), seconds)
        return await service.answer(request)

    async def until(self, condition):
        limit = deadline_in(20)
        while not condition():
            self.assertFalse(passed(limit), "condition never came true")
            await asyncio.sleep(0.005)

    async def test_outcomes_of_repeatable_requests(self):
        cases = [
            ([OK], Answer, 1),
            ([ERROR, OK], Answer, 2),
            ([LOST, OK], Answer, 2),
            ([NOT_SENT, OK], Answer, 2),
            ([FULL, GONE, OK], Answer, 3),
            ([FULL, FULL, FULL], NotRun, 3),
            ([NOT_SENT] * 3, NotRun, 3),
            ([LOST, LOST, LOST], Unknown, 3),
            ([FULL, LOST, NOT_SENT], Unknown, 3),
        ]
        for script, outcome, sends in cases:
            with self.subTest(script=script):
                result = await self.answer(*script)
                self.assertIsInstance(result, outcome)
                self.assertEqual(len(self.client.calls), sends)

    async def test_line_of_an_answer_tells_its_send(self):
        """Guards against lines that leave open which server's answer a caller got."""
        with mock.patch.object(attempts_module, "note") as note:
            with mock.patch.object(attempts_module, "note_routine") as note_routine:
                await self.answer(LOST, OK)
        failed, answered = note.call_args.kwargs, note_routine.call_args.kwargs
        expected = [
            (identity, why, number, f"signature {number}", number)
            for (identity, _), why, number in zip(
                self.client.calls, ("first", "failed"), (1, 2), strict=True
            )
        ]
        names = ("replica", "why", "send", "signature", "earlier_exchanges")
        for line, values in zip((failed, answered), expected, strict=True):
            self.assertEqual(tuple(line[name] for name in names), values)

    async def test_outcomes_of_requests_that_may_run_once(self):
        """Guards against a payment that runs twice, or runs although it was refused.

        The connection breaks after the request was sent. A lost answer must not be
        treated as "not run".
        """
        cases = [
            ([OK], Answer, 1),
            ([ERROR], Answer, 1),
            ([LOST], Unknown, 1),
            ([FULL, OK], Answer, 2),
            ([NOT_SENT, OK], Answer, 2),
            ([GONE, LOST], Unknown, 2),
        ]
        for script, outcome, sends in cases:
            with self.subTest(script=script):
                result = await self.answer(*script, repeat=Repeat.ONCE)
                self.assertIsInstance(result, outcome)
                self.assertEqual(len(self.client.calls), sends)
                self.assertTrue(all(call.fresh for _, call in self.client.calls))

    async def test_refusal_status_after_a_run_is_unknown(self):
        """Guards against a payment that runs twice.

        A replica runs a request and answers 503, which does not state that it did not
        run. If the status were forwarded, the caller would treat it as "not run" and
        repeat it.
        """
        for status in (408, 429, 503):
            result = await self.answer(Answer(status, [], b""), repeat=Repeat.ONCE)
            self.assertIsInstance(result, Unknown)
            self.assertEqual(len(self.client.calls), 1)
        result = await self.answer(Answer(404, [], b""), repeat=Repeat.ONCE)
        self.assertEqual(result.status, 404)

    async def test_request_that_crashes_replicas_is_refused_without_a_send(self):
        client = Client(LOST, LOST, LOST, OK)
        client.try_connect = refuse_connection
        service = DirectService(client, replicas(6))
        sends = []
        for at in range(5):
            request = direct_request(route(repeat=Repeat.SAFE), request_id=f"r{at}")
            result = await service.answer(request)
            await asyncio.sleep(0.01)
            sends.append(len(client.calls))
        self.assertEqual(sends, [3, 3, 3, 3, 3])
        self.assertIsInstance(result, Quarantined)

    async def test_suspect_is_sent_once_and_not_hedged(self):
        client = Client(LOST, LOST, HANG, OK)
        client.try_connect = refuse_connection
        service = DirectService(client, replicas(6))
        short_route = route(repeat=Repeat.SAFE, attempts=2, target=0.01)
        await service.answer(direct_request(short_route))
        await asyncio.sleep(0.01)
        result = await service.answer(direct_request(short_route, seconds=0.2))
        self.assertIsInstance(result, Unknown)
        self.assertEqual(len(client.calls), 3)

    async def test_attempts_are_bounded(self):
        result = await self.answer(ERROR, ERROR, OK, attempts=2)
        self.assertEqual(result.status, 500)
        self.assertEqual(len(self.client.calls), 2)

    async def test_each_try_goes_to_another_replica(self):
        await self.answer(LOST, LOST, LOST)
        self.assertEqual(len({name for name, _ in self.client.calls}), 3)

    async def test_slow_request_is_hedged(self):
        result = await self.answer(HANG, OK, target=0.1)
        self.assertIs(result, OK)
        await self.until(lambda: self.client.cancelled == 1)

    async def test_request_that_may_run_once_is_never_hedged(self):
        result = await self.answer(
            HANG, OK, target=0.01, seconds=0.2, repeat=Repeat.ONCE
        )
        self.assertIsInstance(result, Unknown)
        self.assertEqual(len(self.client.calls), 1)

    async def test_hedges_are_bounded_by_the_attempts(self):
        result = await self.answer(HANG, HANG, OK, target=0.05, seconds=0.5, attempts=2)
        self.assertIsInstance(result, Unknown)
        self.assertEqual(len(self.client.calls), 2)
        await self.until(lambda: self.client.cancelled == 2)

    async def test_request_without_a_replica_is_not_run(self):
        result = await self.answer(count=0)
        self.assertIsInstance(result, NotRun)
        self.assertGreater(result.retry_after, 0)

    async def test_disconnected_caller_cancels_every_send(self):
        task = asyncio.ensure_future(self.answer(HANG, HANG, target=0.01))
        self.client = Client()
        await self.until(lambda: len(self.client.calls) == 2)
        task.cancel()
        await self.until(lambda: self.client.cancelled == 2)
