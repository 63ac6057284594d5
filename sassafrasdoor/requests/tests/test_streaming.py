"""Callers' streams: outcomes by the results of sends, and resuming elsewhere."""

import asyncio
import unittest
from unittest import mock

from sassafrasdoor.backends.interface import Answer
from sassafrasdoor.outcomes import NotRun, Unknown
from sassafrasdoor.requests import streaming
from sassafrasdoor.requests.streaming import StreamService
from sassafrasdoor.requests.tests.fixtures import (
    BUSY,
    ERROR,
    FULL,
    GONE,
    HANG,
    LOST,
    NOT_SENT,
    direct_request,
)
from sassafrasdoor.routing import silence
from sassafrasdoor.steps.durable.tests.fixtures import replicas, route
from sassafrasdoor.table.routes import Repeat


class Client:
    """Plays a script with the number of events and the outcome of each send."""

    def __init__(self, script):
        self.script = list(script)
        self.calls = []

    async def try_connect(self, replica):
        return True

    async def stream(self, replica, call, relay):
        self.calls.append((replica.identity, call.after))
        events, outcome = self.script.pop(0)
        first = 0 if call.after is None else call.after + 1
        if events is not None:
            relay.head([("Of", replica.identity)])
            for number in range(first, first + events):
                await relay.event(number, b"%d " % number)
        if outcome is HANG:
            await asyncio.Event().wait()
        return outcome


class Caller:
    """Records the headers and events that it receives."""

    def __init__(self):
        self.headers = None
        self.text = b""

    async def begin(self, headers):
        self.headers = headers

    async def send_event(self, block):
        self.text += block


class StreamingTest(unittest.IsolatedAsyncioTestCase):
    async def stream(self, *script, repeat=Repeat.RESUME, seconds=20.0, **fields):
        self.client = Client(script)
        self.caller = Caller()
        service = StreamService(self.client, replicas(3))
        stream_route = route(repeat=repeat, streams=True, **fields)
        request = direct_request(stream_route, seconds)
        return await service.answer(request, self.caller)

    async def test_outcomes_of_streams(self):
        # script -> outcome and text if resumable; outcome and text if run at most once
        cases = [
            ([(3, True)], True, b"0 1 2 ", True, b"0 1 2 "),
            ([(0, True)], True, b"", True, b""),
            ([(None, FULL), (2, True)], True, b"0 1 ", True, b"0 1 "),
            ([(None, GONE), (2, True)], True, b"0 1 ", True, b"0 1 "),
            ([(None, NOT_SENT), (2, True)], True, b"0 1 ", True, b"0 1 "),
            ([(None, LOST), (2, True)], True, b"0 1 ", Unknown, b""),
            ([(0, LOST), (2, True)], True, b"0 1 ", Unknown, b""),
            ([(2, LOST), (2, True)], True, b"0 1 2 3 ", Unknown, b"0 1 "),
            ([(2, LOST), (None, ERROR), (1, True)], True, b"0 1 2 ", Unknown, b"0 1 "),
            ([(1, LOST), (1, LOST), (1, LOST)], Unknown, b"0 1 2 ", Unknown, b"0 "),
            ([(None, ERROR)] * 3, Answer, b"", Answer, b""),
            ([(None, BUSY)] * 3, Answer, b"", Unknown, b""),
            ([(None, FULL)] * 3, NotRun, b"", NotRun, b""),
        ]
        for script, resumed, whole, once, part in cases:
            expected = [(Repeat.RESUME, resumed, whole), (Repeat.ONCE, once, part)]
            for repeat, outcome, text in expected:
                with self.subTest(script=script, repeat=repeat):
                    result = await self.stream(*script, repeat=repeat)
                    if outcome is True:
                        self.assertIs(result, True)
                    else:
                        self.assertIsInstance(result, outcome)
                    self.assertEqual(self.caller.text, text)

    async def test_stream_resumes_after_its_last_event_at_another_replica(self):
        """Guards against a text with a repeated part, or with parts of two runs.

        A replica is lost after its second event. The stream must resume after that
        event, at another replica and under the headers of the first.
        """
        await self.stream((2, LOST), (1, True))
        (first, begun), (second, after) = self.client.calls
        self.assertNotEqual(first, second)
        self.assertEqual((begun, after), (None, 1))
        self.assertEqual(self.caller.headers, [("Of", first)])

    async def test_attempts_are_bounded(self):
        result = await self.stream((1, LOST), (1, LOST), (1, True), attempts=2)
        self.assertIsInstance(result, Unknown)
        self.assertEqual(len(self.client.calls), 2)

    async def test_resumable_stream_stays_while_all_replicas_are_silent(self):
        """Guards against streams that run twice since everybody was silent at once."""
        service = StreamService(Client([]), replicas(2))
        client = service._client
        client.script = [(1, HANG), (1, HANG), (1, True)]
        request = direct_request(route(repeat=Repeat.RESUME, streams=True), 20.0)
        with (
            mock.patch.object(streaming, "SILENCE_TIMEOUT", 0.2),
            mock.patch.object(silence, "MIN_SHARED_SILENCE", 0.05),
        ):
            for _ in range(2):
                streaming_task = asyncio.ensure_future(
                    service.answer(request, Caller())
                )
                self.addCleanup(streaming_task.cancel)
            await asyncio.sleep(0.6)
        self.assertEqual({name for name, _ in client.calls}, {"e0", "e1"})
        self.assertEqual(len(client.calls), 2)

    async def test_resumable_stream_leaves_a_silent_replica(self):
        """Guards against a stalled text that only the deadline ends.

        A replica loses power in the middle of a stream.
        """
        with mock.patch.object(streaming, "SILENCE_TIMEOUT", 0.05):
            self.assertIs(await self.stream((1, HANG), (1, True)), True)
            self.assertEqual(self.caller.text, b"0 1 ")
            result = await self.stream((1, HANG), repeat=Repeat.ONCE, seconds=0.3)
        self.assertIsInstance(result, Unknown)
        self.assertEqual(len(self.client.calls), 1)

    async def test_event_that_arrives_as_the_silence_ends_is_sent_once(self):
        """Guards against an event that two replicas send to a slow caller."""

        class SlowCaller(Caller):
            async def send_event(self, block):
                await super().send_event(block)
                await asyncio.sleep(0.05)

        class LateClient(Client):
            async def stream(self, replica, call, relay):
                if not self.calls:
                    # The timeout expires in the turn in which the event arrives.
                    relay.timeout._settle(0)
                return await super().stream(replica, call, relay)

        client, caller = LateClient([(2, True), (1, True)]), SlowCaller()
        service = StreamService(client, replicas(3))
        request = direct_request(route(repeat=Repeat.RESUME, streams=True), 20.0)
        with mock.patch.object(streaming, "SILENCE_TIMEOUT", 0.0):
            self.assertIs(await service.answer(request, caller), True)
        numbers = caller.text.split()
        self.assertEqual(numbers, sorted(set(numbers)))

    async def test_deadline_during_a_send_is_unknown(self):
        result = await self.stream((None, HANG), repeat=Repeat.ONCE, seconds=0.05)
        self.assertIsInstance(result, Unknown)


if __name__ == "__main__":
    unittest.main()
