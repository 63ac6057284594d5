"""Tests of the bounds on what an instance holds for callers and replicas."""

import asyncio
import unittest
from unittest import mock

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from sassafrasdoor.requests.bounded_bodies import BoundedBodies
from sassafrasdoor.requests.buffers import BufferBudget
from sassafrasdoor.support import until

MEMORY = 160_000_000  # bytes
MB = 1_000_000


class BufferBudgetTest(unittest.TestCase):
    def test_bodies_of_slow_callers(self):
        """Guards against a process killed for memory held by slow callers."""
        budget = BufferBudget(MEMORY)
        admitted = 0
        for _ in range(60):
            if budget.may_read_body(4 * MB):
                budget.add_body(4 * MB)
                admitted += 1
        self.assertLessEqual(budget.held_bytes, MEMORY / 4)
        self.assertEqual(admitted, 10)
        self.assertTrue(budget.may_read_body(600))

    def test_unread_answers_leave_less_for_bodies(self):
        """Guards against bodies that fill the memory beside unread answers."""
        budget = BufferBudget(MEMORY)
        budget.add_answer(38 * MB)
        self.assertFalse(budget.may_read_body(4 * MB))
        budget.add_answer(-38 * MB)
        self.assertTrue(budget.may_read_body(4 * MB))

    def test_replica_gets_a_bounded_number_of_bytes(self):
        """Guards against a replica that crashes under the requests that it holds."""
        budget = BufferBudget(MEMORY)
        self.assertTrue(budget.may_send("i-1", 30 * MB))
        budget.add_sent("i-1", 7 * MB)
        self.assertFalse(budget.may_send("i-1", 4 * MB))
        self.assertTrue(budget.may_send("i-2", 4 * MB))
        budget.add_sent("i-1", -7 * MB)
        self.assertTrue(budget.may_send("i-1", 4 * MB))

    def test_no_bound_without_a_stated_memory(self):
        budget = BufferBudget()
        budget.add_body(500 * MB)
        budget.add_sent("i-1", 500 * MB)
        self.assertTrue(budget.may_read_body(50 * MB))
        self.assertTrue(budget.may_send("i-1", 50 * MB))


class Echo(RequestHandler):
    calls = 0

    def post(self):
        type(self).calls += 1
        self.write(str(len(self.request.body)))


class BoundedBodiesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        Echo.calls = 0
        self.budget = BufferBudget(4 * MB)  # one MB for bodies
        server = HTTPServer(BoundedBodies(Application([("/", Echo)]), self.budget))
        sock, self.port = bind_unused_port()
        server.add_sockets([sock])
        self.addCleanup(server.stop)
        self.reader, self.writer = await self.connect()

    async def connect(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def post(self, *head, body):
        lines = ["POST / HTTP/1.1", "Host: x", *head, "", ""]
        self.writer.write("\r\n".join(lines).encode() + body)
        answer = await self.reader.readuntil(b"\r\n\r\n")
        length = int(answer.partition(b"Content-Length: ")[2].split(b"\r\n")[0])
        return int(answer.split()[1]), await self.reader.readexactly(length)

    async def test_body_over_the_limit_is_refused_and_the_connection_kept(self):
        """Guards against a reset after which a caller cannot tell what has run."""
        size = 2 * MB
        status, _ = await self.post(f"Content-Length: {size}", body=bytes(size))
        self.assertEqual((status, Echo.calls, self.budget.held_bytes), (503, 0, 0))
        status, body = await self.post("Content-Length: 3", body=b"abc")
        self.assertEqual((status, body), (200, b"3"))

    async def test_chunked_body_over_the_limit_is_refused(self):
        """Guards against a body that states no length and grows beyond the memory."""
        chunk = b"%x\r\n%s\r\n" % (MB // 2, bytes(MB // 2))
        body = chunk * 4 + b"0\r\n\r\n"
        status, _ = await self.post("Transfer-Encoding: chunked", body=body)
        self.assertEqual((status, Echo.calls, self.budget.held_bytes), (503, 0, 0))

    async def test_refused_request_with_head_is_answered(self):
        """Guards against a reset of the connection, as the answer must have no body."""
        size = 2 * MB
        head = f"HEAD / HTTP/1.1\r\nHost: x\r\nContent-Length: {size}\r\n\r\n"
        self.writer.write(head.encode() + bytes(size))
        answer = await self.reader.readuntil(b"\r\n\r\n")
        self.assertEqual(answer.split()[1], b"503")
        status, body = await self.post("Content-Length: 3", body=b"abc")
        self.assertEqual((status, body), (200, b"3"))

    async def test_chunks_of_a_refused_body_are_freed_at_once(self):
        """Guards against memory that is held but not counted while a body continues."""
        delegate = mock.Mock(spec=HTTPMessageDelegate)
        application = mock.Mock(start_request=lambda *_: delegate)
        request = BoundedBodies(application, self.budget).start_request(None, None)
        start_line = RequestStartLine("POST", "/", "HTTP/1.1")
        request.headers_received(start_line, HTTPHeaders())
        request.data_received(bytes(MB))
        delegate.on_connection_close.assert_not_called()
        request.data_received(bytes(MB))
        self.assertEqual(self.budget.held_bytes, 0)
        delegate.on_connection_close.assert_called_once()

    async def test_body_is_held_once(self):
        """Guards against a large body held twice, in its chunks and joined."""
        delegate = mock.Mock(spec=HTTPMessageDelegate)
        application = mock.Mock(start_request=lambda *_: delegate)
        request = BoundedBodies(application, self.budget).start_request(None, None)
        start_line = RequestStartLine("POST", "/", "HTTP/1.1")
        request.headers_received(start_line, HTTPHeaders())
        for chunk in (b"ab", b"c"):
            request.data_received(chunk)
        delegate.data_received.assert_not_called()
        request.finish()
        delegate.data_received.assert_called_once_with(b"abc")
        delegate.finish.assert_called_once()

    async def test_caller_that_leaves_halfway_frees_its_room(self):
        """Guards against room that stays taken after its caller has left."""
        head = f"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {MB // 2}\r\n\r\n"
        self.writer.write(head.encode() + bytes(1000))
        await until(lambda: self.budget.held_bytes, what="the body")
        self.writer.close()
        await until(lambda: not self.budget.held_bytes, what="release")
        self.assertEqual(Echo.calls, 0)


if __name__ == "__main__":
    unittest.main()
