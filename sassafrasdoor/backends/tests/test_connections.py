"""Pooled connections to a server that misbehaves, by fault."""

import asyncio
import socket
import struct
import time
import tracemalloc
import unittest

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from sassafrasdoor.backends.connections import (
    READ_CHUNK_BYTES,
    Connections,
    OutgoingRequest,
    Reply,
)
from sassafrasdoor.backends.interface import Broken, Refused
from sassafrasdoor.backends.limits import MAX_ANSWER_BYTES
from sassafrasdoor.clock import deadline_in

COMPLETE_REPLY = b"HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 2\r\n\r\nok"
KEEP_ALIVE_REPLY = COMPLETE_REPLY.replace(
    b"\r\nContent", b"\r\nKeep-Alive: timeout=10\r\nContent"
)
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNFRAMED_REPLY = b"HTTP/1.1 200 OK\r\nId: {id}\r\n\r\nwhole"
CLOSE, RESET, OPEN = "close", "reset", "open"


class ScriptedServer:
    """Replies to requests by a script of ``(bytes, ending)``.

    After each reply the whole process, which is also the client's, does not run for
    ``pause`` seconds.
    """

    def __init__(self, *script):
        self.script = list(script)
        self.pause = 0.0
        self.received = b""
        self.connections = 0
        self.requests = 0
        self.client_closed = asyncio.Event()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while self.script:
                head = await reader.readuntil(b"\r\n\r\n")
                self.received += head
                self.requests += 1
                data, ending = self.script.pop(0)
                name = head.partition(b"\r\nId: ")[2].partition(b"\r\n")[0]
                writer.write(data.replace(b"{id}", name))
                await writer.drain()
                time.sleep(self.pause)  # noqa: ASYNC251
                if ending != OPEN:
                    self._end(writer, ending)
                    return
            self.received += await reader.read()
            self.client_closed.set()
            writer.close()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()

    def _end(self, writer, ending):
        if ending == RESET:
            sock = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()


class ConnectionsTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, *script):
        self.server = ScriptedServer(*script)
        self.address = await self.server.start()
        self.addCleanup(self.server.stop)
        self.connections = Connections()
        self.addCleanup(self.connections.close)

    async def send(self, name="1", seconds=20.0, on_data=None, fresh=False):
        def accept(status, headers):
            request_id = headers.get("Id")
            return "" if request_id in (None, name) else "answer to another request"

        deadline = deadline_in(seconds)
        request = OutgoingRequest("GET", "/", {"Id": name}, b"", deadline, fresh)
        return await self.connections.send(self.address, request, accept, on_data)

    async def test_length_of_a_body_that_does_not_follow(self):
        """Guards against a reply without body refused for the length of one."""
        length = b"Content-Length: %d\r\n\r\n" % (MAX_ANSWER_BYTES + 1)
        cases = [("HEAD", 200, Reply), ("GET", 304, Reply), ("GET", 200, Broken)]
        for method, status, kind in cases:
            with self.subTest(method=method, status=status):
                await self.start((b"HTTP/1.1 %d X\r\n%b" % (status, length), OPEN))
                request = OutgoingRequest(method, "/", deadline=deadline_in(20))
                reply = await self.connections.send(self.address, request)
                self.assertIsInstance(reply, kind)
                self.assertEqual(self.server.connections, 1)

    async def test_complete_and_truncated_replies(self):
        cases = [
            (COMPLETE_REPLY, OPEN, b"ok"),
            (COMPLETE_REPLY, CLOSE, b"ok"),
            (COMPLETE_REPLY[:-1], CLOSE, None),
            (COMPLETE_REPLY[:-1], RESET, None),
            (UNFRAMED_REPLY, CLOSE, b"whole"),
            (UNFRAMED_REPLY, RESET, None),
            (CHUNKED_HEAD + b"2\r\nok\r\n0\r\n\r\n", CLOSE, b"ok"),
            (CHUNKED_HEAD + b"2\r\nok\r\n", CLOSE, None),
            (b"HTTP/1.1 200 OK\r\nContent-Le", CLOSE, None),
            (b"no protocol at all\r\n\r\n", CLOSE, None),
            (b"", CLOSE, None),
            (b"", RESET, None),
        ]
        for data, ending, body in cases:
            with self.subTest(data=data, ending=ending):
                await self.start((data, ending))
                reply = await self.send()
                if body is None:
                    self.assertIsInstance(reply, Broken)
                    self.assertTrue(reply.began)
                else:
                    self.assertEqual(reply.body, body)

    async def test_connection_is_reused(self):
        await self.start((KEEP_ALIVE_REPLY, OPEN), (KEEP_ALIVE_REPLY, OPEN))
        for name in "12":
            self.assertIsInstance(await self.send(name), Reply)
        self.assertEqual(self.server.connections, 1)

    async def test_request_learns_how_many_exchanges_its_connection_had_carried(self):
        await self.start(*[(KEEP_ALIVE_REPLY, OPEN)] * 3)
        for earlier_exchanges in range(3):
            request = OutgoingRequest("GET", "/", {"Id": "1"}, b"", deadline_in(5))
            await self.connections.send(self.address, request)
            self.assertEqual(request.earlier_exchanges, earlier_exchanges)

    async def test_fresh_request_uses_no_pooled_connection(self):
        await self.start((KEEP_ALIVE_REPLY, OPEN), (KEEP_ALIVE_REPLY, OPEN))
        await self.send("1")
        await self.send("2", fresh=True)
        self.assertEqual(self.server.connections, 2)

    async def test_connections_are_reused_in_turn(self):
        """Guards against a second connection that lapses while the last one is reused."""
        await self.start(*[(KEEP_ALIVE_REPLY, OPEN)] * 4)
        self.assertFalse(self.connections.has_idle(self.address))
        await asyncio.gather(self.send("1"), self.send("2"))
        pool = self.connections._idle[self.address]
        first, second = (connection.stream for connection in pool)
        request = OutgoingRequest("GET", "/", {"Id": "3"}, deadline=deadline_in(5))
        await self.connections.send(self.address, request, oldest_first=True)
        self.assertEqual([idle.stream for idle in pool], [second, first])
        self.assertTrue(self.connections.has_idle(self.address))
        for idle in pool:
            idle.deadline = deadline_in(0.0)
        self.assertFalse(self.connections.has_idle(self.address))

    async def test_duplicate_reply_is_discarded(self):
        """Guards against a duplicate reply taken for the reply to the next request."""
        for extra in (KEEP_ALIVE_REPLY.replace(b"{id}", b"1"), b"junk"):
            with self.subTest(extra=extra):
                await self.start(
                    (KEEP_ALIVE_REPLY + extra, OPEN),
                    (KEEP_ALIVE_REPLY, OPEN),
                    (KEEP_ALIVE_REPLY, OPEN),
                )
                self.assertEqual((await self.send("1")).headers["Id"], "1")
                reply = await self.send("2")
                if isinstance(reply, Broken):
                    reply = await self.send("2")
                self.assertEqual(reply.headers["Id"], "2")

    async def test_late_duplicate_reply_is_detected_before_reuse(self):
        await self.start((KEEP_ALIVE_REPLY, OPEN), (KEEP_ALIVE_REPLY, OPEN))
        await self.send("1")
        (idle,) = self.connections._idle[self.address]
        server_side = socket.socketpair()
        self.addCleanup(server_side[0].close)
        self.addCleanup(server_side[1].close)
        server_side[0].setblocking(False)
        server_side[1].send(KEEP_ALIVE_REPLY)
        idle.stream.socket, real = server_side[0], idle.stream.socket
        self.addCleanup(real.close)
        self.assertIsInstance(await self.send("2"), Reply)
        self.assertEqual(self.server.connections, 2)

    async def test_connection_closed_while_idle_is_replaced(self):
        await self.start((KEEP_ALIVE_REPLY, CLOSE), (KEEP_ALIVE_REPLY, OPEN))
        await self.send("1")
        await asyncio.sleep(0.05)
        self.assertIsInstance(await self.send("2"), Reply)

    async def test_connection_to_silent_server_is_closed_at_the_deadline(self):
        await self.start((b"", OPEN))
        reply = await self.send(seconds=0.2)
        self.assertEqual((reply.reason, reply.began), ("timeout", True))
        async with asyncio.timeout(20):
            await self.server.client_closed.wait()

    async def test_request_whose_deadline_passes_before_it_is_sent_did_not_begin(self):
        """Guards against an unknown outcome of a call that nobody has received.

        A trainer then gets 504 in place of 503, and must ask what became of its step.
        """
        await self.start((COMPLETE_REPLY, OPEN))
        reply = await self.send(seconds=-1.0)
        self.assertEqual((reply.reason, reply.began), ("timeout", False))

    async def test_reply_that_arrived_during_a_pause_is_returned(self):
        """Guards against a refusal reported as unknown after a pause of the process."""
        await self.start((COMPLETE_REPLY, OPEN))
        self.server.pause = 0.4
        self.assertIsInstance(await self.send(seconds=0.2), Reply)

    async def test_body_is_sent_once_the_server_asks_for_it(self):
        class Echo(RequestHandler):
            def post(self):
                self.finish(self.request.body)

        server = HTTPServer(Application([("/", Echo)]))
        sockets = bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        self.addCleanup(server.stop)
        connections = Connections()
        self.addCleanup(connections.close)
        address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        for body in (b"body", b"b" * 500_000, b""):
            request = OutgoingRequest(
                "POST", "/", {"Host": address}, body, deadline_in(20), False, True
            )
            reply = await connections.send(address, request)
            self.assertEqual((reply.status, reply.body), (200, body))

    async def test_large_body_is_not_copied_to_be_sent(self):
        """Guards against twice the memory of a body while a server reads it slowly."""
        size = 32_000_000  # bytes, more than the buffers of a connection take
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0, limit=1)
        self.addCleanup(server.close)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        connections = Connections()
        self.addCleanup(connections.close)
        body = bytes(size)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        request = OutgoingRequest(
            "POST", "/", {"Host": address}, body, deadline_in(0.3)
        )
        reply = await connections.send(address, request)
        self.assertEqual((reply.reason, reply.began), ("timeout", True))
        _, peak = tracemalloc.get_traced_memory()
        self.assertLess(peak, size / 4)

    async def test_paused_server_cannot_handle_a_body_that_it_did_not_ask_for(self):
        """Guards against an unknown outcome of a call to an instance that is paused."""
        await self.start((b"", OPEN))
        request = OutgoingRequest(
            "POST", "/", body=b"body", deadline=deadline_in(0.2), awaits_continue=True
        )
        reply = await self.connections.send(self.address, request)
        self.assertEqual((reply.reason, reply.began), ("timeout", False))
        self.assertNotIn(b"body", self.server.received)

    async def test_refused_connection_differs_from_a_listening_server(self):
        await self.start()
        self.assertIs(await self.connections.try_connect(self.address), True)
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{unused.getsockname()[1]}"
            result = await self.connections.try_connect(address)
        self.assertIsInstance(result, Refused)

    async def test_nothing_is_sent_without_a_listener(self):
        await self.start()
        self.server.stop()
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            self.address = f"127.0.0.1:{unused.getsockname()[1]}"
            reply = await self.send()
        self.assertIsInstance(reply, Broken)
        self.assertFalse(reply.began)

    async def test_cancelled_call_closes_its_connection(self):
        """Guards against a transfer that continues after its call was cancelled."""
        await self.start((b"", OPEN))
        task = asyncio.ensure_future(self.send())
        while not self.server.requests:  # noqa: ASYNC110
            await asyncio.sleep(0.005)
        task.cancel()
        async with asyncio.timeout(20):
            await self.server.client_closed.wait()

    async def test_body_is_passed_on_in_chunks(self):
        chunks = []
        data = CHUNKED_HEAD + b"2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n"
        await self.start((data, OPEN))
        reply = await self.send(on_data=chunks.append)
        self.assertEqual((b"".join(chunks), reply.body), (b"abcd", b""))

    async def test_bytes_after_a_reply_are_not_joined_to_the_next_one(self):
        """Guards against a request sent behind the beginning of another reply."""
        half = KEEP_ALIVE_REPLY[:20]
        await self.start((KEEP_ALIVE_REPLY + half, OPEN), (KEEP_ALIVE_REPLY, OPEN))
        await self.send("1")
        reply = await self.send("2")
        self.assertIsInstance(reply, Reply)
        self.assertEqual(reply.headers["Id"], "2")

    async def test_reply_between_two_requests_closes_the_connection(self):
        """Guards against a connection kept though the server is out of step on it."""
        await self.start((2 * KEEP_ALIVE_REPLY, OPEN), (KEEP_ALIVE_REPLY, OPEN))
        await self.send("1")
        async with asyncio.timeout(20):
            while self.connections.has_idle(self.address):  # noqa: ASYNC110
                await asyncio.sleep(0.005)
        self.assertIsInstance(await self.send("2"), Reply)
        self.assertEqual(self.server.connections, 2)

    async def test_connection_that_the_server_closes_leaves_the_pool(self):
        may_close = asyncio.Event()

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(KEEP_ALIVE_REPLY)
            await may_close.wait()
            writer.close()

        await self.start()
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        await self.connections.send(self.address, OutgoingRequest("GET", "/"))
        self.assertTrue(self.connections.has_idle(self.address))
        may_close.set()
        async with asyncio.timeout(20):
            while self.connections._idle[self.address]:  # noqa: ASYNC110
                await asyncio.sleep(0.005)

    async def test_reply_to_head_has_no_body(self):
        """Guards against a reply read as the body that the one before announced."""
        headers = KEEP_ALIVE_REPLY[: -len(b"ok")]
        await self.start((headers, OPEN), (KEEP_ALIVE_REPLY, OPEN))
        request = OutgoingRequest("HEAD", "/", {"Id": "1"}, deadline=deadline_in(20))
        reply = await self.connections.send(self.address, request)
        self.assertEqual((reply.status, reply.body), (200, b""))
        self.assertEqual((await self.send("2")).body, b"ok")

    async def test_cancelled_consumer_of_data_closes_the_connection(self):
        """Guards against a replica that works on for a caller that reads no more."""
        is_waiting, is_cancelled = asyncio.Event(), asyncio.Event()

        async def take_none(chunk):
            is_waiting.set()
            try:
                await asyncio.Event().wait()
            finally:
                is_cancelled.set()

        await self.start((CHUNKED_HEAD + b"2\r\nab\r\n", OPEN))
        with self.assertNoLogs("tornado.application"):
            task = asyncio.ensure_future(self.send(on_data=take_none))
            async with asyncio.timeout(20):
                await is_waiting.wait()
                task.cancel()
                await is_cancelled.wait()
                await self.server.client_closed.wait()
                with self.assertRaises(asyncio.CancelledError):
                    await task

    async def test_data_waits_for_its_consumer(self):
        """Guards against a stream that is read faster than its caller takes it."""
        chunks, may_take = [], asyncio.Event()

        async def take(chunk):
            chunks.append(chunk)
            await may_take.wait()

        body = bytes(3 * READ_CHUNK_BYTES)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        await self.start((head + body, OPEN))
        task = asyncio.ensure_future(self.send(on_data=take))
        async with asyncio.timeout(20):
            while not chunks:  # noqa: ASYNC110
                await asyncio.sleep(0.005)
            await asyncio.sleep(0.05)
            self.assertEqual(len(chunks), 1)
            may_take.set()
            self.assertIsInstance(await task, Reply)
        self.assertEqual(b"".join(chunks), body)
