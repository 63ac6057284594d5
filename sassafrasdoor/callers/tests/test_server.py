"""Tests of callers' connections over HTTP: refusals, early answers, what is released."""

import asyncio
import contextlib
import errno
import gc
import socket
import struct
import tracemalloc
import unittest
from unittest import mock

from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler, stream_request_body

from sassafrasdoor.callers.accounting import GarbageCollector
from sassafrasdoor.callers.budget import (
    Caller,
    CallerBudget,
    CallerLimits,
    Kind,
    Phase,
)
from sassafrasdoor.callers.requests import CountedRequests
from sassafrasdoor.callers.server import CallerServer
from sassafrasdoor.support import until

MB = 1_000_000
ANSWER_TIMEOUT = 5.0  # seconds; a refusal comes at once
CONNECTION_BYTES = 100_000  # above those of one connection
LINGER_RESET = struct.pack("ii", 1, 0)


@stream_request_body
class Echo(RequestHandler):
    """Answers with the length of the body, once ``may_answer`` is set."""

    calls = 0
    may_answer = None

    def initialize(self):
        self._size = 0

    def data_received(self, chunk):
        self._size += len(chunk)

    async def post(self):
        type(self).calls += 1
        await self.may_answer.wait()
        self.write(str(self._size))


class Large(RequestHandler):
    """Answers with more than the buffers of a connection take."""

    size = 32_000_000

    def post(self):
        self.write(bytes(self.size))


class Chunks(RequestHandler):
    """Answers with one chunk of that size, kept until it is taken."""

    async def post(self):
        chunk = bytes(Large.size)
        self.write(chunk)
        with contextlib.suppress(StreamClosedError):
            await self.flush()


@stream_request_body
class Early(RequestHandler):
    """Answers before it has got a body."""

    def prepare(self):
        self.set_status(401)
        self.finish("no")

    def data_received(self, chunk):
        pass


def _fail_or_accept(failures, sock):
    if failures:
        raise failures.pop()
    return sock.accept()


class CallerServerTest(unittest.IsolatedAsyncioTestCase):
    awaits_body = True
    # Callers may take 1.4 MB.
    limits = CallerLimits(
        memory_share=0.35,
        memory_bytes=4 * MB,
        process_bytes=0,
        unfreed_share=0.4,
        reserved_share=0.0,
    )

    async def asyncSetUp(self):
        Echo.calls = 0
        Echo.may_answer = asyncio.Event()
        Echo.may_answer.set()
        collector = GarbageCollector()
        collector.budget = self.budget = CallerBudget(self.limits, collector)
        handlers = [("/", Echo), ("/large", Large), ("/chunks", Chunks)]
        application = Application([*handlers, ("/early", Early)])
        requests = CountedRequests(application, self.budget, self.awaits_body)
        requests.max_body_bytes = 8 * MB
        self.server = CallerServer(requests, header_bytes=16_384)
        (sock,) = bind_sockets(0, "127.0.0.1")
        self.port = sock.getsockname()[1]
        self.server.start(sock)
        self.addCleanup(self.server.stop)
        self.reader, self.writer = await self.connect()

    async def connect(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        return reader, writer

    def send(self, *head, body=b"", path="/", method="POST"):
        lines = [f"{method} {path} HTTP/1.1", "Host: x", *head, "", ""]
        self.writer.write("\r\n".join(lines).encode() + body)

    async def answer(self):
        """Return the status and the body of the next answer."""
        head = await self.reader.readuntil(b"\r\n\r\n")
        length = int(head.partition(b"Content-Length: ")[2].split(b"\r\n")[0])
        return int(head.split()[1]), await self.reader.readexactly(length)

    async def post(self, *head, body):
        self.send(*head, body=body)
        return await self.answer()

    def held(self, kind):
        return self.budget.held_by_kind()[kind]

    async def until_only_connections_are_held(self):
        await until(
            lambda: (
                self.budget.held_bytes <= CONNECTION_BYTES and not self.held("body")
            ),
            what="release",
        )


class BodiesTest(CallerServerTest):
    async def test_body_over_the_limit_is_refused_and_the_connection_kept(self):
        """Guards against a reset after which a caller cannot tell what has run."""
        size = 2 * MB
        status, _ = await self.post(f"Content-Length: {size}", body=bytes(size))
        self.assertEqual((status, Echo.calls, self.held("body")), (503, 0, 0))
        status, body = await self.post("Content-Length: 3", body=b"abc")
        self.assertEqual((status, body), (200, b"3"))

    async def test_chunked_body_over_the_limit_is_refused(self):
        """Guards against a body that states no length and grows beyond the memory."""
        chunk = b"%x\r\n%s\r\n" % (MB // 2, bytes(MB // 2))
        body = chunk * 4 + b"0\r\n\r\n"
        status, _ = await self.post("Transfer-Encoding: chunked", body=body)
        self.assertEqual((status, Echo.calls, self.held("body")), (503, 0, 0))

    async def test_refused_request_with_head_is_answered(self):
        """Guards against a reset of the connection, as the answer must have no body."""
        size = 2 * MB
        self.send(f"Content-Length: {size}", body=bytes(size), method="HEAD")
        answer = await self.reader.readuntil(b"\r\n\r\n")
        self.assertEqual(answer.split()[1], b"503")
        status, body = await self.post("Content-Length: 3", body=b"abc")
        self.assertEqual((status, body), (200, b"3"))

    async def test_refusal_comes_before_the_body(self):
        """Guards against a refusal that waits for the body it refuses."""
        for size, status in ((2 * MB, 503), (9 * MB, 413)):
            with self.subTest(size=size):
                self.reader, self.writer = await self.connect()
                self.send(f"Content-Length: {size}")
                self.assertEqual((await self.answer())[0], status)

    async def test_lengths_that_are_hard_to_read(self):
        """Guards against requests that get no answer, or a late one, for their length."""
        repeated = f"{2 * MB},{2 * MB}"
        for length, status in (("9" * 5000, 413), ("9" * 30, 413), (repeated, 503)):
            with self.subTest(length=length[:40]):
                self.reader, self.writer = await self.connect()
                self.send(f"Content-Length: {length}")
                answer = await asyncio.wait_for(self.answer(), ANSWER_TIMEOUT)
                self.assertEqual(answer[0], status)
        self.reader, self.writer = await self.connect()
        answer = await self.post("Content-Length: 3, 3", body=b"abc")
        self.assertEqual(answer, (200, b"3"))

    async def test_refused_caller_that_awaits_the_word_is_not_asked_for_the_body(self):
        """Guards against a next request that is read as the body of a refused one."""
        self.send(f"Content-Length: {2 * MB}", "Expect: 100-continue")
        self.assertEqual((await self.answer())[0], 503)
        self.assertEqual(await self.reader.read(), b"")

    async def test_body_longer_than_the_limit_without_a_length_is_refused(self):
        """Guards against a body that is read as long as it comes."""
        self.budget.limits = CallerLimits()
        chunk = b"%x\r\n%s\r\n" % (MB, bytes(MB))
        self.send("Transfer-Encoding: chunked", body=chunk * 9)
        self.assertEqual((await self.answer())[0], 413)

    async def test_caller_that_leaves_halfway_frees_its_room(self):
        """Guards against room that stays taken after its caller has left."""
        self.send(f"Content-Length: {MB // 2}", body=bytes(1000))
        await until(lambda: self.held("body"), what="the body")
        self.writer.close()
        await until(lambda: not self.budget.connections, what="release")
        self.assertEqual((Echo.calls, self.budget.held_bytes), (0, 0))

    async def test_stalled_body_yields_with_a_refusal(self):
        """Guards against a caller that cannot tell whether its request has run."""
        self.send(f"Content-Length: {MB}", body=bytes(MB - 1))
        await until(lambda: self.held("body") == MB - 1, what="the body")
        stalled_reader = self.reader
        await asyncio.sleep(self.limits.stall_time)
        self.reader, self.writer = await self.connect()
        status, body = await self.post(f"Content-Length: {MB}", body=bytes(MB))
        self.assertEqual((status, body), (200, str(MB).encode()))
        self.assertIn(b"HTTP/1.1 503 ", await stalled_reader.read())


class ConnectionsTest(CallerServerTest):
    async def test_connection_without_room_is_refused(self):
        """Guards against connections accepted beyond the descriptors of the process."""
        self.budget.limits = CallerLimits(descriptors=202)
        first, second = await self.connect(), await self.connect()
        await until(lambda: self.budget.connections == 1, what="one connection")
        second[1].write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertIn(b"HTTP/1.1 503 ", await second[0].read())
        first[1].close()

    async def test_connections_are_accepted_once_there_are_descriptors_again(self):
        """Guards against a listener that fails without end, or for good."""
        failures = [OSError(errno.EMFILE, "too many open files")] * 3
        sock = self.server._sock
        self.server._sock = mock.Mock(wraps=sock)
        self.server._sock.accept.side_effect = lambda: _fail_or_accept(failures, sock)
        self.reader, self.writer = await self.connect()
        self.assertEqual(await self.post("Content-Length: 1", body=b"b"), (200, b"1"))
        self.assertEqual(failures, [])

    async def test_idle_connection_yields_to_a_new_one(self):
        """Guards against new callers refused for connections that are only kept."""
        await self.post("Content-Length: 3", body=b"abc")
        self.budget.limits = CallerLimits(descriptors=202)
        await asyncio.sleep(self.limits.stall_time)
        idle_reader = self.reader
        self.reader, self.writer = await self.connect()
        status, _ = await self.post("Content-Length: 3", body=b"abc")
        self.assertEqual((status, await idle_reader.read()), (200, b""))

    async def test_requests_read_ahead_are_not_run_after_their_caller_has_left(self):
        """Guards against work for callers that are gone, before that for others."""
        Echo.may_answer.clear()
        for _ in range(200):
            self.send("Content-Length: 3", body=b"abc")
        await until(lambda: Echo.calls == 1, what="the first request")
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.writer.transport.abort()
        Echo.may_answer.set()
        await until(lambda: not self.budget.connections, what="the reset")
        self.reader, self.writer = await self.connect()
        self.assertEqual((await self.post("Content-Length: 0", body=b""))[0], 200)
        self.assertEqual(Echo.calls, 2)

    async def test_head_without_room_is_refused_before_it_is_decoded(self):
        """Guards against the memory of fields that are decoded before they are counted."""
        self.budget.limits = CallerLimits(memory_bytes=2 * MB, process_bytes=0)
        fields = [f"{number:x}:" for number in range(2000)]
        self.reader, self.writer = await self.connect()
        self.send(*fields, "Content-Length: 0")
        self.assertIn(b"HTTP/1.1 503 ", await self.reader.read())
        self.assertEqual(Echo.calls, 0)

    async def test_unread_answer_counts_until_it_is_taken(self):
        """Guards against answers that are held but not counted."""
        self.budget.limits = CallerLimits()
        self.send("Content-Length: 0", path="/large")
        await self.reader.readuntil(b"\r\n\r\n")
        self.assertEqual(self.held("answer"), Large.size)
        await self.reader.readexactly(Large.size)
        await until(lambda: not self.held("answer"), what="the end of the answer")

    async def test_chunk_counts_as_often_as_it_is_held(self):
        """Guards against streams whose unread events take more than is counted."""
        self.budget.limits = CallerLimits()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        self.send("Content-Length: 0", path="/chunks")
        await self.reader.readuntil(b"\r\n\r\n")
        size, _ = tracemalloc.get_traced_memory()
        self.assertLess(size, 1.25 * self.held("answer"))
        self.writer.close()
        await until(lambda: not self.held("answer"), what="the end of the answer")

    async def test_large_answer_is_held_once(self):
        """Guards against twice the memory of an answer that is read slowly."""
        self.budget.limits = CallerLimits()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        self.send("Content-Length: 0", path="/large")
        await self.reader.readuntil(b"\r\n\r\n")
        _, peak = tracemalloc.get_traced_memory()
        self.assertLess(peak, Large.size * 1.25)

    async def test_memory_of_closed_connections_is_collected(self):
        """Guards against heads and bodies that wait for the interpreter's collector."""
        gc.disable()
        self.addCleanup(gc.enable)
        self.budget.limits = CallerLimits(
            memory_bytes=4 * MB, process_bytes=0, unfreed_share=0.1
        )
        for _ in range(20):
            self.reader, self.writer = await self.connect()
            self.send(f"Content-Length: {MB // 10}", body=bytes(MB // 20))
            await until(lambda: self.held("body") >= MB // 20, what="the body")
            self.writer.close()
            await until(lambda: not self.held("body"), what="release")
        await until(
            lambda: self.budget.unfreed_bytes <= self.budget.limits.unfreed_bytes / 2,
            what="collection",
        )


class EarlyAnswersTest(CallerServerTest):
    awaits_body = False

    async def test_answer_before_the_body_is_read_by_its_caller(self):
        """Guards against a reset by a connection that is closed with unread bytes."""
        size = MB
        self.send(f"Content-Length: {size}", body=bytes(size), path="/early")
        self.assertEqual(await self.answer(), (401, b"no"))
        status, body = await self.post("Content-Length: 3", body=b"abc")
        self.assertEqual((status, body), (200, b"3"))

    async def test_early_answer_is_followed_by_no_other(self):
        """Guards against a second answer where the rest of a request is invalid."""
        self.send("Transfer-Encoding: chunked", body=b"zz\r\n", path="/early")
        self.assertEqual(await self.answer(), (401, b"no"))
        self.assertEqual(await self.reader.read(), b"")


class CountedRequestsTest(unittest.TestCase):
    def setUp(self):
        self.budget = CallerBudget(CallerLimits(memory_bytes=4 * MB, process_bytes=0))
        self.delegate = mock.Mock(spec=HTTPMessageDelegate)
        application = mock.Mock(start_request=lambda *_: self.delegate)
        requests = CountedRequests(application, self.budget)
        self.connection = mock.Mock()
        caller = self.connection.stream.caller = Caller(lambda phase: None)
        self.budget.connect(caller, 0, 0.0)
        self.request = requests.start_request(None, self.connection)
        self.start_line = RequestStartLine("POST", "/a?b=c", "HTTP/1.1")

    def test_chunks_of_a_refused_body_are_freed_at_once(self):
        """Guards against memory that is held but not counted while a body continues."""
        self.request.headers_received(self.start_line, HTTPHeaders())
        self.request.data_received(bytes(MB))
        self.connection.write_headers.assert_not_called()
        self.request.data_received(bytes(MB))
        self.assertEqual(self.budget.held_by_kind()[Kind.BODY], 0)
        self.connection.write_headers.assert_called_once()

    def test_body_is_held_once(self):
        """Guards against a large body held twice, in its chunks and joined."""
        self.request.headers_received(self.start_line, HTTPHeaders())
        for chunk in (b"ab", b"c"):
            self.request.data_received(chunk)
        self.delegate.data_received.assert_not_called()
        self.request.finish()
        self.delegate.data_received.assert_called_once_with(b"abc")
        self.delegate.finish.assert_called_once()

    def test_query_is_kept_apart(self):
        """Guards against the arguments of a query that are decoded to be passed on."""
        self.request.headers_received(self.start_line, HTTPHeaders())
        self.request.finish()
        start_line, _ = self.delegate.headers_received.call_args.args
        self.assertEqual(start_line.path, "/a")
        self.assertEqual(self.budget.connections, 1)

    def test_caller_is_serving_once_its_request_is_whole(self):
        self.request.headers_received(self.start_line, HTTPHeaders())
        self.request.finish()
        self.assertIs(self.connection.stream.caller.phase, Phase.SERVING)


if __name__ == "__main__":
    unittest.main()
