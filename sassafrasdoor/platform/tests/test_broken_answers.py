"""Broken answers of replicas, the store and other instances, at each of their readers."""

import asyncio
import contextlib
import re
import unittest

from sassafrasdoor.answer_heads import Flaw
from sassafrasdoor.answers import REFUSED
from sassafrasdoor.backends.connections import Connections, OutgoingRequest
from sassafrasdoor.backends.interface import Broken
from sassafrasdoor.backends.replicas import DirectCall, SampleOrder, VersionOrder
from sassafrasdoor.clock import deadline_in
from sassafrasdoor.outcomes import ReplyLost, Unavailable
from sassafrasdoor.platform import wire
from sassafrasdoor.platform.duties import WireDuties
from sassafrasdoor.platform.servers import WireReplicas
from sassafrasdoor.platform.store import Store
from sassafrasdoor.routing.replicas import Listing, Replica
from sassafrasdoor.steps.durable.records import Item
from sassafrasdoor.tests.broken_answers import (
    BROKEN_ANSWERS,
    BROKEN_HEADS,
    CUT_HEADS,
    EVENT,
    BrokenServer,
    filled,
)

SOUND = b"HTTP/1.1 200 OK\r\n{fields}Keep-Alive: timeout=9\r\nContent-Length: 5\r\n\r\nsound"
TIMEOUT = 20.0  # seconds; each answer ends much earlier
REQUEST_ID = "r1"
FIELDS = f"{wire.REQUEST_ID}: {REQUEST_ID}\r\n{wire.STAMP}: s\r\n".encode()
# What all calls to the store would understand.
DOCUMENT = b'{"Offset": 1, "End": 2, "First": 1, "Items": [], "HasMore": false}'


class _Events:
    """Collects the events of a stream."""

    def __init__(self):
        self.blocks = []

    def head(self, headers):
        """Ignored."""

    async def event(self, number, block):
        self.blocks.append(block)


class BrokenCase(unittest.IsolatedAsyncioTestCase):
    async def start(self, data, body=EVENT, closes=True):
        self.server = BrokenServer(data, lambda head: FIELDS, body, closes)
        self.address = await self.server.start()
        self.addCleanup(self.server.stop)
        listing = Listing("s", self.address, "z", 4, False, {"m": 1})
        self.replica = Replica("i-1", listing)
        self.client = self.closed(WireReplicas())

    def closed(self, client):
        self.addCleanup(client.close)
        return client

    def call(self, method="POST"):
        deadline = deadline_in(TIMEOUT)
        return DirectCall(method, "/p", [("Host", "h")], b"", REQUEST_ID, deadline)

    def check_broken(self, result):
        self.assertIsInstance(result, Broken)
        self.assertTrue(result.began)
        self.assertNotEqual(result.reason, "timeout")
        self.assertEqual(self.server.requests, 1)


class BrokenReplicaTest(BrokenCase):
    async def test_call_and_stream_are_broken(self):
        """Guards against broken answers that reach a caller."""
        for name, data in BROKEN_ANSWERS.items():
            with self.subTest(name):
                await self.start(data)
                self.check_broken(await self.client.call(self.replica, self.call()))
                await self.start(data)
                events = _Events()
                result = await self.client.stream(self.replica, self.call(), events)
                self.check_broken(result)

    async def test_broken_answer_to_head_is_broken(self):
        for name, data in (BROKEN_HEADS | CUT_HEADS).items():
            with self.subTest(name):
                await self.start(data)
                call = self.call("HEAD")
                self.check_broken(await self.client.call(self.replica, call))

    async def test_broken_answer_is_no_failure_of_an_item(self):
        """Guards against items that are given up by failures that no replica stated."""
        for name, data in BROKEN_ANSWERS.items():
            with self.subTest(name):
                await self.start(data)
                item = Item(REQUEST_ID, "/p", {}, b"b", 1, 0, "g", "m")
                order = SampleOrder(item, "h", deadline_in(TIMEOUT), None)
                result = await self.client.generate(
                    self.replica, order, lambda event: True
                )
                self.check_broken(result)

    async def test_order_may_have_been_accepted(self):
        for name, data in BROKEN_ANSWERS.items():
            with self.subTest(name):
                await self.start(data)
                order = VersionOrder("m", 2, "me", 1, True, deadline_in(TIMEOUT))
                result = await self.client.order(self.replica, order)
                self.assertIsInstance(result, ReplyLost)

    async def test_refused_heads_are_counted_by_reason(self):
        await self.start(BROKEN_HEADS["status 000"])
        labels = {"reason": Flaw.STATUS.value}
        REFUSED.add(labels, 0)
        before = REFUSED.get(labels)
        await self.client.call(self.replica, self.call())
        self.assertEqual(REFUSED.get(labels), before + 1)


class KeptConnectionTest(unittest.IsolatedAsyncioTestCase):
    """A replica whose first answer on a connection is sound, and what follows broken."""

    async def start(self, data, is_surplus):
        """Serve; ``data`` follows an answer at once if it ``is_surplus``."""
        self.connections = 0

        async def serve(reader, writer):
            self.connections += 1
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                fields = self.fields(await reader.readuntil(b"\r\n\r\n"))
                writer.write(filled(SOUND, fields))
                if is_surplus:
                    writer.write(filled(data, fields))
                fields = self.fields(await reader.readuntil(b"\r\n\r\n"))
                writer.write(filled(data, fields))
                writer.write_eof()
                await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self.replica = Replica("i-1", Listing("s", address, "z", 4, False, {"m": 1}))
        self.client = WireReplicas()
        self.addCleanup(self.client.close)

    def fields(self, head):
        """Return the fields of an answer to a request; its stamp names the request."""
        name = re.search(rb"Request-Id: (\w+)", head, re.IGNORECASE)[1].decode()
        fields = f"{wire.STAMP}: {name}\r\n{wire.REQUEST_ID}: {name}\r\n"
        return fields.encode()

    async def call(self, request_id):
        deadline = deadline_in(TIMEOUT)
        call = DirectCall("POST", "/p", [("Host", "h")], b"", request_id, deadline)
        return await self.client.call(self.replica, call)

    async def test_broken_answer_behind_a_sound_one(self):
        """Guards against a broken answer that spoils the next call of its connection."""
        for name, data in BROKEN_ANSWERS.items():
            for is_surplus in (False, True):
                with self.subTest(name, is_surplus=is_surplus):
                    await self.start(data, is_surplus)
                    outcomes = [await self.call(f"own{at}") for at in range(4)]
                    for at, outcome in enumerate(outcomes):
                        if not isinstance(outcome, Broken):
                            self.assertEqual(outcome.status, 200)
                            self.assertEqual(outcome.signature, f"own{at}")
                            self.assertEqual(outcome.body, b"sound")
                    self.assertTrue(outcomes[0])
                    self.assertGreater(self.connections, 1)


class BrokenValuesTest(BrokenCase):
    """Answers whose heads are sound, with values that cannot be read."""

    VALUES = (
        "", " ", "-1", "+5", "5.5", "1_0", "0x5", "5\xb2", "\xb9", "9" * 400, "9" * 5000,
    )  # fmt: skip

    async def answer_with(self, field):
        head = b"HTTP/1.1 200 OK\r\n" + field.encode("latin-1") + b"\r\n"
        data = head + FIELDS + b"Content-Length: 20\r\n\r\n" + EVENT
        await self.start(data, closes=False)
        return await self.client.call(self.replica, self.call())

    async def test_idle_timeout_that_cannot_be_read(self):
        """Guards against an item that is lost by an exception in its attempt."""
        for value in self.VALUES:
            with self.subTest(value[:20]):
                answer = await self.answer_with(f"Keep-Alive: max=5, timeout={value}")
                self.assertEqual((answer.status, answer.body), (200, EVENT))

    async def test_load_and_weights_that_cannot_be_read(self):
        for value in self.VALUES:
            with self.subTest(value[:20]):
                answer = await self.answer_with(f"{wire.LOAD}: 1,{value},2")
                self.assertEqual((answer.status, answer.body), (200, EVENT))
                field = f"{wire.VERSIONS}: {value}"
                self.assertEqual((await self.answer_with(field)).status, 200)
                item = Item(REQUEST_ID, "/p", {}, b"b", 1, 0, "g", "m")
                order = SampleOrder(item, "h", deadline_in(TIMEOUT), None)
                versions = set()

                def take(event, versions=versions):
                    versions.add(event.version)
                    return True

                result = await self.client.generate(self.replica, order, take)
                self.assertEqual((result, versions), (True, {0}))


class BrokenStoreTest(BrokenCase):
    async def test_calls_to_the_store_fail(self):
        """Guards against records and offsets that were read from a broken answer."""
        for name, data in BROKEN_ANSWERS.items():
            with self.subTest(name):
                await self.start(data, DOCUMENT)
                store = self.closed(Store(self.address))
                appended = await store.append("t", 0, [b"r"], deadline_in(TIMEOUT))
                self.assertIsInstance(appended, ReplyLost)
                self.assertIsInstance(await store.newest("t"), Unavailable)
                self.assertIsInstance(await store.read("t", 0, 0, 0), Unavailable)

    async def test_calls_for_a_duty_fail(self):
        for name, data in BROKEN_ANSWERS.items():
            with self.subTest(name):
                await self.start(data, DOCUMENT)
                duties = self.closed(WireDuties(self.address))
                result = await duties.report_usage("h", 1, 1, {}, deadline_in(TIMEOUT))
                self.assertIsInstance(result, Unavailable)

    async def test_calls_to_other_instances_fail(self):
        for name, data in BROKEN_ANSWERS.items():
            with self.subTest(name):
                await self.start(data, DOCUMENT)
                connections = self.closed(Connections())
                request = OutgoingRequest(
                    "GET", "/", {"Host": "h"}, b"", deadline_in(TIMEOUT)
                )
                self.check_broken(await connections.send(self.address, request))


if __name__ == "__main__":
    unittest.main()
