"""A replica's crash is told from an ordinary broken connection."""

import asyncio
import unittest
from unittest import mock

from sassafrasdoor.backends.interface import Broken, Refused
from sassafrasdoor.clock import deadline_in, passed
from sassafrasdoor.requests import crash_watch as module
from sassafrasdoor.requests.crash_watch import CrashWatch
from sassafrasdoor.requests.tests.fixtures import (
    ERROR,
    FULL,
    LOST,
    NOT_SENT,
    OK,
    direct_request,
)
from sassafrasdoor.steps.durable.tests.fixtures import replicas, route

DOWN = Refused("nobody listens")
PATIENCE = 20.0


class Client:
    """Answers each look at a replica by a script; the last answer stays."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.looks = 0

    async def reach(self, replica):
        self.looks += 1
        return self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]


class CrashWatchTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.replicas = replicas(2)
        self.one = self.replicas.get("e0")
        lines = mock.patch.object(module, "note")
        self.note = lines.start()
        self.addCleanup(lines.stop)

    def watch(self, *answers):
        self.client = Client(*answers)
        return CrashWatch(self.client, self.replicas)

    def broke(self, watch, request_id="r1", path="/p"):
        request = direct_request(route(), request_id=request_id, path=path)
        self.one.state.failed(1.0)
        watch.judged(request, self.one, LOST)

    def seen(self):
        """Return the requests of each crash that was found."""
        return [call.kwargs["requests"] for call in self.note.call_args_list]

    async def until(self, condition):
        limit = deadline_in(PATIENCE)
        while not condition():
            self.assertFalse(passed(limit), "condition never came true")
            await asyncio.sleep(0.005)

    async def test_replica_that_nobody_listens_for_has_crashed(self):
        watch = self.watch(DOWN)
        self.broke(watch)
        self.broke(watch, "r2", "/q")
        await self.until(lambda: self.seen() == [["r1", "r2"]])
        self.assertEqual(self.client.looks, 1)

    async def test_replica_that_stops_listening_soon_after_has_crashed(self):
        self.broke(self.watch(True, DOWN))
        await self.until(lambda: self.seen() == [["r1"]])

    async def test_replica_whose_entry_ends_has_crashed(self):
        self.broke(self.watch(Broken("connect timeout", began=False)))
        self.replicas.unlisted("e0")
        await self.until(lambda: self.seen() == [["r1"]])

    async def test_replica_that_answers_again_has_not_crashed(self):
        watch = self.watch(True)
        self.broke(watch)
        self.one.state.answered()
        await self.until(lambda: not watch.looking)
        self.assertEqual(self.seen(), [])

    async def test_only_a_connection_that_broke_is_looked_after(self):
        watch = self.watch(DOWN)
        for result in (OK, ERROR, FULL, NOT_SENT):
            watch.judged(direct_request(route()), self.one, result)
        self.assertFalse(watch.looking)


class FingerprintTest(unittest.TestCase):
    def test_fingerprint_is_that_of_caller_method_path_and_body(self):
        headers = [("Host", "h.example"), ("Authorization", "a"), ("X-Trace", "1")]
        first = direct_request(route(), headers=headers)
        traced = [*headers[:2], ("X-Trace", "2")]
        again = direct_request(route(), headers=traced, request_id="r2")
        self.assertEqual(first.fingerprint, again.fingerprint)
        others = [
            {"headers": [("Host", "other.example"), *headers[1:]]},
            {"headers": [headers[0], ("Authorization", "b")]},
            {"method": "PUT"},
            {"path": "/p?q"},
            {"body": b"c"},
        ]
        for changes in others:
            with self.subTest(changes):
                other = direct_request(route(), **{"headers": headers, **changes})
                self.assertNotEqual(first.fingerprint, other.fingerprint)


if __name__ == "__main__":
    unittest.main()
