"""Crash detection after broken connections, and crashes shared through the log."""

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
CONDITION_TIMEOUT = 20.0
CRASHED = "replica.crashed"


class Client:
    """Answers each probe of a replica from a script; the last answer repeats."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.probes = 0

    async def try_connect(self, replica):
        self.probes += 1
        return self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]


class CrashWatchTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.replicas = replicas(2)
        self.replica = self.replicas.get("e0")
        note_patch = mock.patch.object(module, "note")
        self.note = note_patch.start()
        self.addCleanup(note_patch.stop)

    def watch(self, *answers):
        self.client = Client(*answers)
        return CrashWatch(self.client, self.replicas)

    def break_connection(self, watch, request_id="r1", path="/p"):
        request = direct_request(route(), request_id=request_id, path=path)
        self.replica.state.failed(1.0)
        watch.record_result(request, self.replica, LOST)

    def crashed_requests(self):
        """Return the requests of each detected crash."""
        notes = self.note.call_args_list
        return [call.kwargs["requests"] for call in notes if call.args == (CRASHED,)]

    async def until(self, condition):
        limit = deadline_in(CONDITION_TIMEOUT)
        while not condition():
            self.assertFalse(passed(limit), "condition never came true")
            await asyncio.sleep(0.005)

    async def test_replica_that_refuses_connections_has_crashed(self):
        watch = self.watch(DOWN)
        self.break_connection(watch)
        self.break_connection(watch, "r2", "/q")
        await self.until(lambda: self.crashed_requests() == [["r1", "r2"]])
        self.assertEqual(self.client.probes, 1)

    async def test_replica_that_stops_listening_soon_after_has_crashed(self):
        self.break_connection(self.watch(True, DOWN))
        await self.until(lambda: self.crashed_requests() == [["r1"]])

    async def test_replica_whose_listing_ends_has_crashed(self):
        self.break_connection(self.watch(Broken("connect timeout", began=False)))
        self.replicas.remove_listing("e0")
        await self.until(lambda: self.crashed_requests() == [["r1"]])

    async def test_replica_that_listens_or_answers_again_has_not_crashed(self):
        watch = self.watch(True)
        self.break_connection(watch)
        await self.until(lambda: not watch.is_checking)
        self.client.answers = [Broken("connect timeout", began=False)]
        self.break_connection(watch)
        self.replica.state.answered()
        await self.until(lambda: not watch.is_checking)
        self.assertEqual(self.crashed_requests(), [])

    async def test_only_broken_connections_are_checked(self):
        watch = self.watch(DOWN)
        for result in (OK, ERROR, FULL, NOT_SENT):
            watch.record_result(direct_request(route()), self.replica, result)
        self.assertFalse(watch.is_checking)


class Log:
    """Keeps records by key after the given number of failed appends."""

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
            asyncio.ensure_future(watch.run()) for watch in (self.here, self.there)
        ]

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()

    async def until(self, condition):
        limit = deadline_in(CONDITION_TIMEOUT)
        while not condition():
            self.assertFalse(passed(limit), "condition never came true")
            await asyncio.sleep(0.005)

    async def crash(self, watch, *names):
        for name in names:
            replica = self.replicas.get(name)
            replica.state.failed(1.0)
            watch.record_result(self.request, replica, LOST)
        await self.until(lambda: not watch.is_checking)

    async def deliver_records(self):
        """Apply every record at both instances, as the readers of the topic do."""
        await self.until(
            lambda: (
                not (
                    self.here.has_unpublished_records
                    or self.there.has_unpublished_records
                )
            )
        )
        for watch in (self.here, self.there):
            for key, value in self.log.values.items():
                watch.apply_record(key, value)

    async def test_crashes_seen_by_several_instances_count_together(self):
        await self.crash(self.here, "e0", "e1")
        await self.crash(self.there, "e2")
        self.assertIsNone(self.here.refusal(self.request))
        await self.deliver_records()
        for watch in (self.here, self.there):
            self.assertIsInstance(watch.refusal(self.request), Quarantined)
        other = direct_request(route(), path="/other")
        self.assertIsNone(self.here.refusal(other))

    async def test_new_instance_learns_crashes_from_the_log(self):
        await self.crash(self.here, "e0", "e1", "e2")
        await self.until(lambda: not self.here.has_unpublished_records)
        later = CrashWatch(self.client, self.replicas)
        for key, value in self.log.values.items():
            later.apply_record(key, value)
        self.assertIsInstance(later.refusal(self.request), Quarantined)

    async def test_restarted_replica_counts_as_another_crash(self):
        for born in range(1, 4):
            at = self.replicas.get("e0").listing
            listing = Listing(at.service, at.address, at.zone, 4, False, {}, born)
            self.replicas.update_listing("e0", listing)
            await self.crash(self.here, "e0")
        self.assertIsInstance(self.here.refusal(self.request), Quarantined)

    async def test_crashes_are_published_once_the_log_recovers(self):
        self.log.failures = 2
        await self.crash(self.here, "e0", "e1", "e2")
        self.assertIsInstance(self.here.refusal(self.request), Quarantined)
        await self.until(lambda: not self.here.has_unpublished_records)
        self.assertEqual(len(self.log.values), 3)

    async def test_request_that_is_answered_is_clear_everywhere(self):
        await self.crash(self.here, "e0", "e1")
        await self.deliver_records()
        self.assertTrue(self.there.is_suspect(self.request))
        self.there.record_result(self.request, self.replicas.get("e3"), OK)
        await self.deliver_records()
        self.assertFalse(self.here.is_suspect(self.request))
        self.assertEqual(set(self.log.values.values()), {b""})

    async def test_error_answer_clears_no_request(self):
        await self.crash(self.here, "e0", "e1")
        self.here.record_result(self.request, self.replicas.get("e3"), ERROR)
        self.assertTrue(self.here.is_suspect(self.request))

    async def test_malformed_record_changes_nothing(self):
        for key in ("", "no separator"):
            self.here.apply_record(key, b"x")
        self.here.apply_record("a/r1", b"")
        self.assertIsNone(self.here.refusal(self.request))

    async def test_suspects_run_one_after_the_other(self):
        order = []

        async def run(name):
            async with self.here.suspect_lock("service"):
                order.append(name)
                await asyncio.sleep(0.01)
                order.append(name)

        await asyncio.gather(run("a"), run("b"))
        self.assertEqual(order, ["a", "a", "b", "b"])

    async def test_answer_of_a_suspect_does_not_wait_for_the_check(self):
        """Guards against callers who wait for the crash check of a replica."""
        self.addCleanup(
            setattr, module, "SUSPECT_WAIT_TIMEOUT", module.SUSPECT_WAIT_TIMEOUT
        )
        module.SUSPECT_WAIT_TIMEOUT = 1.0
        pending_check = asyncio.ensure_future(asyncio.sleep(60))
        self.addCleanup(pending_check.cancel)
        self.here._checks["replica"] = pending_check
        began = now()
        async with self.here.suspect_lock("service"):
            pass
        self.assertLess(now() - began, module.SUSPECT_WAIT_TIMEOUT / 2)
        async with self.here.suspect_lock("service"):
            self.assertGreaterEqual(now() - began, module.SUSPECT_WAIT_TIMEOUT - 0.01)


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
