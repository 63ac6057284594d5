"""The contract of all log adapters: each fault and its required outcome."""

import asyncio
import os
import unittest
from unittest import mock

from tornado.iostream import StreamClosedError
from tornado.tcpserver import TCPServer

from sassafrasdoor import settings
from sassafrasdoor.clock import deadline_in, remaining
from sassafrasdoor.log.http import HttpLog
from sassafrasdoor.log.memory import MemoryLog
from sassafrasdoor.outcomes import Expired, ReplyLost, Unavailable
from sassafrasdoor.standin import platform
from sassafrasdoor.support import until

STREAM = "contract"


def settings_at(url, **more):
    """Return settings whose log is at ``url``."""
    section = {"log_url": url, "call_timeout": 0.5, **more}
    return settings.from_document({"platform": section})


class MemoryFixture:
    """The in-memory log, with its own fault injection."""

    async def start(self):
        self.log = MemoryLog(stride=3)

    async def stop(self):
        self.log.close()

    def fault(self, down=False, lose_reply=0, duplicate=0, retain=0):
        self.log.down = down
        self.log.lose_replies = lose_reply
        self.log.duplicates = duplicate
        if retain:
            self.log.expire(STREAM, self.written()[-retain].offset)

    def written(self):
        return self.log._records[STREAM]


class HttpFixture:
    """The HTTP adapter with the stand-in platform, over real sockets."""

    async def start(self):
        self.server, self.url, self.platform = platform.start()
        self.log = HttpLog(settings_at(self.url))

    async def stop(self):
        self.log.close()
        self.server.stop()
        await self.server.close_all_connections()

    def fault(self, **faults):
        self.platform.faults = platform.Faults(**faults)

    def written(self):
        return self.platform.stream(STREAM).records


class ContractTests:
    """Tests that every adapter's test case below inherits."""

    fixture_class = None

    async def asyncSetUp(self):
        self.fixture = self.fixture_class()
        await self.fixture.start()
        self.log = self.fixture.log

    async def asyncTearDown(self):
        await self.fixture.stop()

    async def fill(self, count):
        return [await self.log.append(STREAM, {"n": n}) for n in range(count)]

    async def test_offsets_are_positive_and_grow_and_reading_resumes(self):
        offsets = await self.fill(30)
        self.assertGreater(offsets[0], 0)
        self.assertEqual(offsets, sorted(set(offsets)))
        seen, at = [], 0
        while len(seen) < 30:
            batch = await self.log.read(STREAM, at, 7, 0)
            seen += batch.records
            at = batch.next_offset
        self.assertEqual([record.offset for record in seen], offsets)
        self.assertEqual([record.body["n"] for record in seen], list(range(30)))
        self.assertEqual(at, await self.log.end(STREAM))

    async def test_faults_of_an_append(self):
        table = [
            ({"down": True}, Unavailable, 0),
            ({"lose_reply": 1}, ReplyLost, 1),
            ({"duplicate": 1}, int, 2),
        ]
        for fault, outcome, records in table:
            with self.subTest(fault):
                before = len(self.fixture.written())
                self.fixture.fault(**fault)
                result = await self.log.append(STREAM, {"fault": str(fault)})
                self.assertIsInstance(result, outcome)
                self.assertEqual(len(self.fixture.written()) - before, records)

    async def test_a_log_that_is_down_is_unavailable_to_readers(self):
        self.fixture.fault(down=True)
        self.assertIsInstance(await self.log.read(STREAM, 0, 5, 0), Unavailable)
        self.assertIsInstance(await self.log.end(STREAM), Unavailable)

    async def test_an_expired_offset_returns_the_first_kept_one(self):
        offsets = await self.fill(9)
        self.fixture.fault(retain=4)
        expired = await self.log.read(STREAM, offsets[2], 5, 0)
        self.assertIsInstance(expired, Expired)
        self.assertEqual(expired.first, offsets[-4])
        batch = await self.log.read(STREAM, expired.first, 50, 0)
        self.assertEqual([record.offset for record in batch.records], offsets[-4:])
        self.assertEqual(batch.first_offset, expired.first)

    async def test_a_waiting_read_ends_with_the_first_record(self):
        end = await self.log.end(STREAM)
        deadline = deadline_in(20)
        reading = asyncio.create_task(self.log.read(STREAM, end, 5, 20))
        offset = await self.log.append(STREAM, {})
        batch = await reading
        self.assertEqual([record.offset for record in batch.records], [offset])
        self.assertGreater(remaining(deadline), 0)


class MemoryContractTest(ContractTests, unittest.IsolatedAsyncioTestCase):
    fixture_class = MemoryFixture

    async def test_a_read_cancelled_as_its_record_comes_is_cancelled(self):
        """Guards against a stop that occasionally hangs.

        A reader is cancelled in the same iteration of the event loop as a record is
        appended. Until Python 3.12 asyncio.wait_for returns the result and drops the
        cancellation, and the reader's loop continues.
        """
        reading = asyncio.create_task(self.log.read(STREAM, 1, 5, 20))
        for _ in range(5):
            await asyncio.sleep(0)
        await self.log.append(STREAM, {})
        reading.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await reading


class HttpContractTest(ContractTests, unittest.IsolatedAsyncioTestCase):
    fixture_class = HttpFixture

    async def test_a_dropped_connection_is_a_lost_reply(self):
        self.fixture.fault(refuse=1)
        self.assertIsInstance(await self.log.append(STREAM, {}), ReplyLost)
        self.assertEqual(len(self.fixture.written()), 0)

    async def test_a_slow_append_that_took_effect_is_a_lost_reply(self):
        self.fixture.fault(slow_ms=900)
        self.assertIsInstance(await self.log.append(STREAM, {}), ReplyLost)

    async def test_a_slow_log_is_still_read(self):
        """Guards against accepted tables that do not take effect while the log is slow.

        Each answer takes longer than the timeout, for an hour, and every read had the
        same timeout.
        """
        offset = await self.log.append(STREAM, {})
        self.fixture.fault(slow_ms=1200)

        async def is_read():
            batch = await self.log.read(STREAM, 1, 5, 0)
            return batch and batch.records[0].offset == offset

        await until(is_read, what="an answer")

    async def test_a_log_without_an_end_offset_returns_its_first_offset(self):
        await self.fill(5)
        self.fixture.fault(retain=2)
        with mock.patch.object(platform, "NEWEST", None):
            end = await self.log.end(STREAM)
        self.assertTrue(await self.log.read(STREAM, end, 5, 0))

    async def test_a_proxy_of_the_environment_is_not_used(self):
        with mock.patch.dict(os.environ, {"http_proxy": "http://127.0.0.1:9"}):
            self.assertIsInstance(await self.log.append(STREAM, {}), int)
            self.assertTrue(await self.log.read(STREAM, 0, 5, 0))

    async def test_closing_while_a_poll_is_under_way_is_silent(self):
        """Guards against a traceback on each planned stop.

        The client is closed during a long poll, and a timer that libcurl sets on closing
        fires on the closed handle.
        """
        errors = []
        loop = asyncio.get_running_loop()
        with self.assertNoLogs("tornado.application"):
            loop.set_exception_handler(lambda _, context: errors.append(context))
            reading = asyncio.create_task(self.log.read(STREAM, 1, 5, 20))
            await until(lambda: self.fixture.platform.calls, what="poll")
            reading.cancel()
            self.log.close()
            # Due timers run within a few iterations of the event loop.
            for _ in range(3):
                await asyncio.to_thread(lambda: None)
        self.assertEqual(errors, [])

    async def test_a_refused_connection_is_unavailable(self):
        self.fixture.server.stop()
        log = HttpLog(settings_at(self.fixture.url))
        self.assertIsInstance(await log.append(STREAM, {}), Unavailable)
        log.close()


class SecondRequestDropper(TCPServer):
    """Answers a connection's first request, reads the second and closes it."""

    appends = 0

    async def handle_stream(self, stream, address):
        try:
            for answer in (b'{"records": [], "next": 1, "first": 0}', None):
                head = await stream.read_until(b"\r\n\r\n")
                if head.startswith(b"POST"):
                    self.appends += 1
                    return stream.close()
                if answer is None:
                    return stream.close()
                size = str(len(answer)).encode()
                reply = b"HTTP/1.1 200 OK\r\nContent-Length: " + size
                await stream.write(reply + b"\r\n\r\n" + answer)
        except StreamClosedError:
            pass


class SingleAppendTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_append_is_sent_once_although_its_connection_breaks(self):
        """Guards against a published table that is stored twice.

        An append reuses the connection of a read; the log reads the append and closes
        the connection. libcurl takes a reused connection that closes without a byte of
        reply for one that had timed out, and repeats the request, whatever its method.
        """
        server = SecondRequestDropper()
        server.listen(0, "127.0.0.1")
        port = next(iter(server._sockets.values())).getsockname()[1]
        log = HttpLog(settings_at(f"http://127.0.0.1:{port}"))
        self.assertTrue(await log.read(STREAM, 0, 1, 0))
        self.assertIsInstance(await log.append(STREAM, {}), ReplyLost)
        self.assertEqual(server.appends, 1)
        log.close()
        server.stop()
