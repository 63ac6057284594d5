"""A replica's crash is told from an ordinary broken connection."""

import asyncio
import unittest
from unittest import mock

from sassafrasdoor.backends.interface import Broken, Refused
from sassafrasdoor.clock import deadline_in, now, passed
from sassafrasdoor.log.partitioned import Appended, split_keyed
from sassafrasdoor.outcomes import Unavailable
from sassafrasdoor.requests import crash_watch as module
from sassafrasdoor.requests.crash_watch import CrashWatch, Quarantined
from sassafrasdoor.requests.tests.fixtures import (
    ERROR,
    FULL,
    LOST,
    NOT_SENT,
    OK,
    direct_request,
)
from sassafrasdoor.routing.replicas import Listing
from sassafrasdoor.steps.durable.tests.fixtures import replicas, route

DOWN = Refused("nobody listens")
PATIENCE = 20.0
CRASHED = "replica.crashed"


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
        notes = self.note.call_args_list
        return [one.kwargs["requests"] for one in notes if one.args == (CRASHED,)]

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
        self.replicas.remove_listing("e0")
        await self.until(lambda: self.seen() == [["r1"]])

    async def test_replica_that_listens_or_answers_again_has_not_crashed(self):
        watch = self.watch(True)
        self.broke(watch)
        await self.until(lambda: not watch.looking)
        self.client.answers = [Broken("connect timeout", began=False)]
        self.broke(watch)
        self.one.state.answered()
        await self.until(lambda: not watch.looking)
        self.assertEqual(self.seen(), [])

    async def test_only_a_connection_that_broke_is_looked_after(self):
        watch = self.watch(DOWN)
        for result in (OK, ERROR, FULL, NOT_SENT):
            watch.judged(direct_request(route()), self.one, result)
        self.assertFalse(watch.looking)


class Log:
    """Takes records, or fails as often as it is told to."""

    def __init__(self, failures=0):
        self.failures = failures
        self.values = {}

    async def append(self, topic, part, records, deadline):
        if self.failures:
            self.failures -= 1
            return Unavailable("away")
        for record in records:
            key, value = split_keyed(record)
            self.values[key] = value
        return Appended(0, len(records))


class SharedCrashesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.replicas = replicas(4)
        self.log = Log()
        self.client = Client(DOWN)
        self.here, self.there = self.watch("here"), self.watch("there")
        self.request = direct_request(route())

    def watch(self, name):
        return CrashWatch(self.client, self.replicas, self.log, name)

    async def asyncSetUp(self):
        self.tasks = [
            asyncio.ensure_future(one.run()) for one in (self.here, self.there)
        ]

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()

    async def until(self, condition):
        limit = deadline_in(PATIENCE)
        while not condition():
            self.assertFalse(passed(limit), "condition never came true")
            await asyncio.sleep(0.005)

    async def crash(self, watch, *names):
        for name in names:
            replica = self.replicas.get(name)
            replica.state.failed(1.0)
            watch.judged(self.request, replica, LOST)
        await self.until(lambda: not watch.looking)

    async def tell_all(self):
        """Hand every record to both, as the topic's readers do."""
        await self.until(lambda: not (self.here.telling or self.there.telling))
        for watch in (self.here, self.there):
            for key, value in self.log.values.items():
                watch.take(key, value)

    async def test_crashes_seen_by_several_instances_count_together(self):
        await self.crash(self.here, "e0", "e1")
        await self.crash(self.there, "e2")
        self.assertIsNone(self.here.refusal(self.request))
        await self.tell_all()
        for watch in (self.here, self.there):
            self.assertIsInstance(watch.refusal(self.request), Quarantined)
        other = direct_request(route(), path="/other")
        self.assertIsNone(self.here.refusal(other))

    async def test_instance_that_starts_later_knows_what_crashes_replicas(self):
        await self.crash(self.here, "e0", "e1", "e2")
        await self.until(lambda: not self.here.telling)
        later = CrashWatch(self.client, self.replicas)
        for key, value in self.log.values.items():
            later.take(key, value)
        self.assertIsInstance(later.refusal(self.request), Quarantined)

    async def test_replica_that_starts_again_under_its_identity_is_another(self):
        for born in range(1, 4):
            at = self.replicas.get("e0").listing
            listing = Listing(at.service, at.address, at.zone, 4, False, {}, born)
            self.replicas.update_listing("e0", listing)
            await self.crash(self.here, "e0")
        self.assertIsInstance(self.here.refusal(self.request), Quarantined)

    async def test_crashes_are_told_once_the_log_is_back(self):
        self.log.failures = 2
        await self.crash(self.here, "e0", "e1", "e2")
        self.assertIsInstance(self.here.refusal(self.request), Quarantined)
        await self.until(lambda: not self.here.telling)
        self.assertEqual(len(self.log.values), 3)

    async def test_request_that_is_answered_is_clear_everywhere(self):
        await self.crash(self.here, "e0", "e1")
        await self.tell_all()
        self.assertTrue(self.there.suspects(self.request))
        self.there.judged(self.request, self.replicas.get("e3"), OK)
        await self.tell_all()
        self.assertFalse(self.here.suspects(self.request))
        self.assertEqual(set(self.log.values.values()), {b""})

    async def test_failed_answer_clears_nobody(self):
        await self.crash(self.here, "e0", "e1")
        self.here.judged(self.request, self.replicas.get("e3"), ERROR)
        self.assertTrue(self.here.suspects(self.request))

    async def test_malformed_record_changes_nothing(self):
        for key in ("", "no separator"):
            self.here.take(key, b"x")
        self.here.take("a/r1", b"")
        self.assertIsNone(self.here.refusal(self.request))

    async def test_suspects_run_one_after_the_other(self):
        order = []

        async def run(name):
            async with self.here.turn("service"):
                order.append(name)
                await asyncio.sleep(0.01)
                order.append(name)

        await asyncio.gather(run("a"), run("b"))
        self.assertEqual(order, ["a", "a", "b", "b"])

    async def test_answer_of_a_suspect_is_not_held_back(self):
        """Guards against callers who wait for what became of a replica."""
        self.addCleanup(setattr, module, "SETTLED_WITHIN", module.SETTLED_WITHIN)
        module.SETTLED_WITHIN = 1.0
        looking = asyncio.ensure_future(asyncio.sleep(60))
        self.addCleanup(looking.cancel)
        self.here._tasks["replica"] = looking
        began = now()
        async with self.here.turn("service"):
            pass
        self.assertLess(now() - began, module.SETTLED_WITHIN / 2)
        async with self.here.turn("service"):
            self.assertGreaterEqual(now() - began, module.SETTLED_WITHIN - 0.01)


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
