"""Broken answers of backend servers, the log and instances, read by libcurl."""

import asyncio
import contextlib
import logging
import unittest
from unittest import mock

from sassafrasdoor import settings
from sassafrasdoor.backends import limits
from sassafrasdoor.backends.http import HttpEngine, HttpService, fetch_load
from sassafrasdoor.backends.interface import Broken, Call, Order, StreamOrder
from sassafrasdoor.backends.transfer import Client, Request
from sassafrasdoor.clock import deadline_in
from sassafrasdoor.control.instances import InstanceList
from sassafrasdoor.log.http import HttpLog
from sassafrasdoor.outcomes import ReplyLost, Unavailable
from sassafrasdoor.steps.client import NO_REPLY, Trainer
from sassafrasdoor.tests.broken_answers import (
    BROKEN_ANSWERS as ALL,
    BROKEN_HEADS,
    CUT_HEADS,
    EVENT,
    BrokenServer,
)
from sassafrasdoor.timeline.sources import EntrySource
from sassafrasdoor.tools.in_force import StatusClient
from sassafrasdoor.view import Backend

TIMEOUT = 20.0  # seconds; each answer ends much earlier
# libcurl replaces the end of a folded line by a blank, as RFC 9112, section 5.2, allows.
UNFOLDED = "folded line"
BROKEN_ANSWERS = {name: data for name, data in ALL.items() if name != UNFOLDED}
HEADS = {
    name: data for name, data in (BROKEN_HEADS | CUT_HEADS).items() if name != UNFOLDED
}
REQUEST_ID = "r1"
NAMED = b"X-Request-Id: r1\r\n"
DOCUMENT = (
    b'{"offset": 1, "records": [], "next": 1, "first": 1, "instances": [], "events": [],'
    b' "versions": {}, "running": 0, "queued": 0, "capacity": 1, "age_ms": 0, "role": "",'
    b' "leaving": false, "fence": 9, "streams": [], "reason": "full", "revision": 1}'
)


class BrokenCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        # Tornado writes a traceback for an exception in one of its callbacks.
        self.enterContext(self.assertNoLogs("tornado", logging.ERROR))

    async def start(self, data, body=EVENT):
        self.server = BrokenServer(data, lambda head: NAMED, body)
        self.address = await self.server.start()
        self.addCleanup(self.server.stop)
        self.backend = Backend("s-1", self.address, "service", "s", capacity=1)

    def closed(self, client):
        self.addCleanup(client.close)
        return client

    def call(self, repeatable):
        deadline = deadline_in(TIMEOUT)
        call = Call(
            "POST",
            "/x",
            body=b"b",
            request_id=REQUEST_ID,
            repeatable=repeatable,
            deadline=deadline,
        )
        service = self.closed(HttpService(settings.from_document({})))
        return service.call(self.backend, call)

    async def stream(self):
        """Return the end of a stream."""
        engine = self.closed(HttpEngine(settings.from_document({})))
        order = StreamOrder("t/1", "m", "p", 10, deadline=deadline_in(TIMEOUT))
        async with contextlib.aclosing(engine.stream(self.backend, order)) as items:
            return [item async for item in items][-1]


class BrokenAnswersTest(BrokenCase):
    async def test_call_to_a_service_fails(self):
        """Guards against broken answers of plain services that count as answers."""
        for name, data in BROKEN_ANSWERS.items():
            for repeatable in (False, True):
                with self.subTest(name, repeatable=repeatable):
                    await self.start(data)
                    result = await self.call(repeatable)
                    self.assertIsInstance(result, Broken)
                    self.assertTrue(result.began)
                    self.assertNotEqual(result.reason, "timeout")

    async def test_folded_line_of_a_service_is_passed_on_as_one_line(self):
        await self.start(BROKEN_HEADS[UNFOLDED])
        answer = await self.call(repeatable=False)
        self.assertEqual(answer.headers["X-Remarks"], "a b")

    async def test_cut_head_that_names_its_call_on_a_kept_connection(self):
        """Guards against a part of a head that is believed as it bears the call's id."""
        await self.start(b"HTTP/1.1 200 OK\r\n" + NAMED + b"Content-Length: 9\r\n")
        self.assertIsInstance(await self.call(repeatable=True), Broken)

    async def test_stream_of_an_engine_fails(self):
        """Guards against a refusal or an end of a stream that was read from a part."""
        for name, data in BROKEN_ANSWERS.items():
            with self.subTest(name):
                await self.start(data)
                end = await self.stream()
                self.assertIsInstance(end, Broken)
                self.assertTrue(end.began)

    async def test_order_to_an_engine_may_have_been_accepted(self):
        for name, data in BROKEN_ANSWERS.items():
            with self.subTest(name):
                await self.start(data, DOCUMENT)
                engine = self.closed(HttpEngine(settings.from_document({})))
                deadline = deadline_in(TIMEOUT)
                result = await engine.order(
                    self.backend, Order(9, "m", 2, "", deadline)
                )
                self.assertIsInstance(result, ReplyLost | Unavailable)
                if name in HEADS:
                    self.assertIsInstance(result, ReplyLost)

    async def test_load_of_a_server_is_unknown(self):
        for name, data in BROKEN_ANSWERS.items():
            with self.subTest(name):
                await self.start(data, DOCUMENT)
                client = self.closed(Client())
                load = await fetch_load(client, self.backend)
                self.assertIsInstance(load, Unavailable)

    async def test_head_that_is_none_ends_the_transfer(self):
        for name, data in HEADS.items():
            with self.subTest(name):
                await self.start(data)
                request = Request(
                    "GET", f"http://{self.address}/", deadline=deadline_in(TIMEOUT)
                )
                result = await self.closed(Client()).fetch(self.backend, request)
                self.assertIsInstance(result, Broken)
                self.assertTrue(result.began)


class NotSentTest(BrokenCase):
    async def test_request_that_cannot_be_sent_is_no_broken_answer(self):
        """Guards against a request that never left and counts as one that may have run."""
        await self.start(BROKEN_HEADS["status 000"])
        request = Request(
            "GET", f"http://{self.address}/", headers={"X-Remarks": "a\u0100"}
        )
        result = await self.closed(Client()).fetch(self.backend, request)
        self.assertFalse(result.began)
        self.assertTrue(result.reason.startswith("not sent"), result.reason)
        self.assertEqual(self.server.requests, 0)


class BrokenLogTest(BrokenCase):
    def settings(self):
        url = f"http://{self.address}"
        platform = {"log_url": url, "instances_url": url, "call_timeout": TIMEOUT}
        return settings.from_document({"platform": platform})

    async def test_append_may_have_landed(self):
        """Guards against an offset, or a promise, that was read from a broken answer."""
        for name, data in BROKEN_ANSWERS.items():
            with self.subTest(name):
                await self.start(data, DOCUMENT)
                log = self.closed(HttpLog(self.settings()))
                self.assertIsInstance(await log.append("s", {}), ReplyLost)

    async def test_read_and_list_fail(self):
        for name, data in BROKEN_ANSWERS.items():
            with self.subTest(name):
                await self.start(data, DOCUMENT)
                log = self.closed(HttpLog(self.settings()))
                self.assertIsInstance(await log.read("s", 1, 1, 0), Unavailable)
                instances = self.closed(InstanceList(self.settings()))
                self.assertIsInstance(await instances.fetch(), Unavailable)
                self.assertIsInstance(await instances.register({}), Unavailable)
                status = self.closed(StatusClient(self.settings()))
                self.assertIsInstance(await status.query(1), Unavailable)

    async def test_broken_answer_of_an_instance_is_no_reply(self):
        for name, data in BROKEN_ANSWERS.items():
            with self.subTest(name):
                await self.start(data, DOCUMENT)
                trainer = self.closed(Trainer([self.address], "r", "k"))
                status, document = await trainer.call("GET", self.address, "/x")
                self.assertEqual((status, document), (NO_REPLY, {}))
                source = self.closed(EntrySource(self.address))
                self.assertIsInstance(await source.read(0), Unavailable)


class EndlessLineTest(BrokenCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.sent_bytes = 0
        self.closed_by_caller = asyncio.Event()

    async def start_endless(self, first, block):
        async def serve(reader, writer):
            with contextlib.suppress(ConnectionError):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + first)
                while True:
                    writer.write(block)
                    await writer.drain()
                    self.sent_bytes += len(block)
                    await asyncio.sleep(0)
            self.closed_by_caller.set()
            writer.transport.abort()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self.backend = Backend("e-1", self.address, "engine", "e", capacity=1)

    async def assert_closed(self):
        async with asyncio.timeout(TIMEOUT):
            await self.closed_by_caller.wait()
        self.assertEqual(limits.RECEIVE_BUDGET.held_bytes, 0)
        self.assertLess(self.sent_bytes, 30_000_000)

    async def test_line_without_end_is_given_up(self):
        """Guards against a process over its memory by one line of an engine."""
        chunk = b'{"offset":0,"text":"a ","tokens":1,"version":1}\n'
        for name, first, block in (
            ("first line", b"", b"x" * 65536),
            ("text of a chunk", chunk + b'{"offset":1,"text":"', b"x" * 65536),
            ("blank lines", chunk, b"\n" * 65536),
            ("lines that say nothing", chunk, b"{}\n" * 20000),
            (
                "chunks without tokens",
                chunk,
                b'{"offset":1,"text":"x","tokens":0,"version":1}\n' * 1000,
            ),
        ):
            with self.subTest(name):
                self.sent_bytes = 0
                self.closed_by_caller = asyncio.Event()
                await self.start_endless(first, block)
                end = await self.stream()
                self.assertIsInstance(end, Broken)
                self.assertTrue(end.began)
                self.assertNotIn(end.reason, ("silent", "deadline passed"))
                await self.assert_closed()

    async def test_stream_that_is_read_slowly_is_not_collected(self):
        """Guards against a process over its memory by callers that read slowly."""
        lines = b"".join(
            b'{"offset":%d,"text":"%b","tokens":1,"version":1}\n' % (at, b"x" * 10_000)
            for at in range(4000)
        )
        await self.start_endless(lines, b"")
        engine = self.closed(HttpEngine(settings.from_document({})))
        order = StreamOrder("t/1", "m", "p", 5000, deadline=deadline_in(TIMEOUT))
        held = []
        async with contextlib.aclosing(engine.stream(self.backend, order)) as items:
            async for _ in items:
                held.append(limits.RECEIVE_BUDGET.held_bytes)
                await asyncio.sleep(0.01)
                if len(held) == 100:
                    break
        self.assertGreater(max(held), 0)
        self.assertLess(max(held), 300_000)

    async def test_line_among_others_is_given_up_for_the_total(self):
        """Guards against streams that the bound on all answers does not count."""
        with mock.patch.object(limits.RECEIVE_BUDGET, "total_limit", 300_000):
            await self.start_endless(b'{"offset":0,"text":"', b"x" * 10_000)
            ends = await asyncio.gather(*(self.stream() for _ in range(4)))
        reasons = [end.reason for end in ends]
        self.assertTrue(any("too long" in reason for reason in reasons), reasons)
        self.assertEqual(limits.RECEIVE_BUDGET.held_bytes, 0)


if __name__ == "__main__":
    unittest.main()
