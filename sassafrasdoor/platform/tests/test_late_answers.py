"""Replicas that answer twice: each caller gets the answer to its own send."""

import asyncio
import unittest
from unittest import mock

from sassafrasdoor.backends import connections
from sassafrasdoor.backends.interface import Answer, Broken
from sassafrasdoor.backends.replicas import (
    DirectCall,
    SampleFailed,
    SampleOrder,
    VersionOrder,
)
from sassafrasdoor.clock import deadline_in
from sassafrasdoor.platform import wire
from sassafrasdoor.platform.servers import WireReplicas
from sassafrasdoor.routing.replicas import Listing, Replica
from sassafrasdoor.steps.durable.records import Item

CALLS = 20
LONG = b"x" * 100_000
BODY = b"abcdefgh" * 40
STATUS_LINE = len(b"HTTP/1.1 200 X\r\n")  # bytes
SEGMENT_INTERVAL = 0.02  # seconds


def answer(status, request_id, body=b"", stamp="s", framing="length", headers=()):
    """Return the bytes of an answer; without ``request_id`` or ``stamp`` if None."""
    lines = [f"HTTP/1.1 {status} X", "Keep-Alive: timeout=10", *headers]
    if request_id is not None:
        lines.append(f"{wire.REQUEST_ID}: {request_id}")
    if stamp is not None:
        lines.append(f"{wire.STAMP}: {stamp}")
    if framing == "length":
        lines.append(f"Content-Length: {len(body)}")
    elif framing == "chunks":
        lines.append("Transfer-Encoding: chunked")
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    return "\r\n".join([*lines, "", ""]).encode() + body


def refusal(request_id):
    return answer(503, request_id, stamp=None, headers=[f"{wire.NOT_RUN}: 1"])


def event(number, data):
    return f"id: {number}\ndata: {data}\n\n".encode()


class StutteringServer:
    """Answers with ``answer(id, number)``, and with late ones of its connection.

    ``late(id, number)`` are the bytes that follow an answer: at once, or if ``delayed``
    in one piece with the next answer on that connection. ``number`` counts the requests.
    """

    def __init__(self, answer, late, delayed):
        self._answer = answer
        self._late = late
        self._delayed = delayed
        self.connections = 0
        self.requests = 0
        self.closed = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        late = b""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                length = head.partition("Content-Length: ")[2].split("\r\n")[0]
                await reader.readexactly(int(length))
                request_id = head.partition(f"{wire.REQUEST_ID}: ")[2].split("\r\n")[0]
                self.requests += 1
                own = self._answer(request_id, self.requests)
                copy = self._late(request_id, self.requests)
                writer.write(late + own if self._delayed else own + copy)
                late = copy
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed += 1
        finally:
            writer.close()


class LateAnswersTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, answer, late=lambda request_id, number: b"", delayed=True):
        self.server = StutteringServer(answer, late, delayed)
        port = await self.server.start()
        self.addCleanup(self.server.stop)
        listing = Listing("s", f"127.0.0.1:{port}", "z", 4, False, {"m": 1})
        self.replica = Replica("i-1", listing)
        self.client = WireReplicas()
        self.addCleanup(self.client.close)

    async def call(self, request_id, seconds=5):
        call = DirectCall(
            "POST", "/p", [("Host", "h")], b"b", request_id, deadline_in(seconds)
        )
        return await self.client.call(self.replica, call)

    async def generate(self, item_id, after=None):
        """Return the result of an item and its events."""
        events = []

        def take(event):
            events.append((event.number, event.data))
            return True

        item = Item(item_id, "/p", {}, b"b", 1, 0, "g", "m")
        order = SampleOrder(item, "h", deadline_in(5), after)
        return await self.client.generate(self.replica, order, take), events

    async def order(self):
        order = VersionOrder("m", 5, "me", 9, False, deadline_in(5))
        return await self.client.order(self.replica, order)

    async def test_late_failure_is_not_counted_as_a_second_run_of_its_item(self):
        """Guards against items given up after fewer failures than attempts."""

        def respond(request_id, number):
            body = event(0, request_id)
            return answer(500, request_id) if number == 1 else answer(200, "i1", body)

        await self.start(respond, lambda request_id, number: answer(500, request_id))
        result, _ = await self.generate("i1")
        self.assertIsInstance(result, SampleFailed)
        self.assertEqual(await self.generate("i1"), (True, [(0, "i1")]))

    async def test_late_refusal_without_id_is_not_believed(self):
        """Guards against a promise that a request was not run, though it was."""
        await self.start(
            lambda request_id, number: answer(200, request_id, request_id.encode()),
            lambda request_id, number: refusal(None),
        )
        for number in range(CALLS):
            result = await self.call(f"r{number}")
            self.assertIsInstance(result, Answer)
            self.assertEqual(result.body, b"r%d" % number)
        self.assertEqual(self.server.connections, 1)

    async def test_extra_answers_cost_neither_the_answer_nor_the_connection(self):
        """Guards against a late answer that costs the next caller its own."""
        interim = b"HTTP/1.1 102 Processing\r\n\r\n"
        kinds = {
            "copy": lambda name: answer(200, name, name.encode()),
            "no id": lambda name: answer(200, None, b"none"),
            "failure": lambda name: answer(500, name),
            "refusal": refusal,
            "chunks": lambda name: answer(200, name, b"late", framing="chunks"),
            "interim": lambda name: interim + answer(200, name, b"late"),
            "long": lambda name: answer(200, name, LONG),
            "two": lambda name: 2 * answer(500, name, b"late"),
        }
        for delayed in (True, False):
            for kind, late in kinds.items():
                with self.subTest(kind=kind, delayed=delayed):
                    await self.start(
                        lambda name, number: interim + answer(200, name, name.encode()),
                        lambda name, number, late=late: late(name),
                        delayed,
                    )
                    for number in range(CALLS):
                        result = await self.call(f"r{number}")
                        self.assertIsInstance(result, Answer)
                        self.assertEqual(result.body, b"r%d" % number)
                        if kind == "long":
                            await asyncio.sleep(0.01)
                    self.assertEqual(self.server.connections, 1)

    async def test_own_failure_is_returned_after_a_late_success(self):
        """Guards against a success where the replica answered with a failure."""
        await self.start(
            lambda name, number: answer(200 if number % 2 else 500, name),
            lambda name, number: answer(500 if number % 2 else 200, name, b"late"),
        )
        for number in range(CALLS):
            result = await self.call(f"r{number}")
            self.assertEqual(result.status, 500 if number % 2 else 200)
        self.assertEqual(self.server.connections, 1)

    async def test_call_sent_again_gets_no_answer_of_its_first_send(self):
        """Guards against a reward call that fails twice by one failure."""
        await self.start(
            lambda name, number: answer(500 if number == 1 else 200, name),
            lambda name, number: answer(500, name),
        )
        self.assertEqual((await self.call("r1")).status, 500)
        self.assertEqual((await self.call("r1")).status, 200)

    async def test_resumed_stream_gets_no_events_of_its_first_send(self):
        """Guards against events that stand twice in a text."""

        def respond(name, number):
            return answer(200, name, event(number, f"run {number}"))

        await self.start(respond, respond)
        self.assertEqual(await self.generate("i1"), (True, [(1, "run 1")]))
        self.assertEqual(await self.generate("i1", 1), (True, [(2, "run 2")]))
        self.assertEqual(await self.generate("i2"), (True, [(3, "run 3")]))

    async def test_answer_to_an_order_is_not_a_late_answer_to_a_call(self):
        """Guards against an order taken for refused because of another's refusal."""
        await self.start(
            lambda name, number: (
                answer(200, name) if name else answer(202, None, stamp=None)
            ),
            lambda name, number: refusal(None),
        )
        for number in range(3):
            self.assertIsInstance(await self.call(f"r{number}"), Answer)
            self.assertIs(await self.order(), True)

    async def test_extra_answer_without_length_ends_its_connection(self):
        """Guards against an answer read as a part of another's body."""
        await self.start(
            lambda name, number: answer(200, name, name.encode()),
            lambda name, number: answer(200, name, b"late", framing="none"),
        )
        self.assertEqual((await self.call("r1")).body, b"r1")
        self.assertIsInstance(await self.call("r2"), Broken)
        self.assertEqual((await self.call("r3")).body, b"r3")

    async def test_bytes_after_an_answer_do_not_reach_the_next_request(self):
        """Guards against a request sent behind bytes that are no answer."""
        for junk in (b"junk", b"junk\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-"):
            with self.subTest(junk):
                await self.start(
                    lambda name, number: answer(200, name, name.encode()),
                    lambda name, number, junk=junk: junk,
                    delayed=False,
                )
                for number in range(3):
                    result = await self.call(f"r{number}")
                    self.assertIsInstance(result, Answer)
                    self.assertEqual(result.body, b"r%d" % number)

    async def test_extra_answers_without_end_close_their_connection(self):
        """Guards against a connection that is read forever for another's answers."""
        floods = {
            "answers": 100 * answer(200, "other"),
            "bytes": answer(200, "other", 5_000_000 * b"x"),
        }
        for kind, flood in floods.items():
            with self.subTest(kind):
                await self.start(
                    lambda name, number: answer(200, name),
                    lambda name, number, flood=flood: flood,
                )
                self.assertIsInstance(await self.call("r1"), Answer)
                self.assertIsInstance(await self.call("r2"), Broken)
                self.assertIsInstance(await self.call("r3"), Answer)

    async def test_connection_is_replaced_after_many_exchanges(self):
        await self.start(lambda name, number: answer(200, name))
        with mock.patch("sassafrasdoor.backends.attribution.MAX_EXCHANGES", 5):
            for number in range(10):
                self.assertIsInstance(await self.call(f"r{number}"), Answer)
        self.assertEqual(self.server.connections, 2)

    async def test_extra_answers_are_counted_by_kind(self):
        await self.start(
            lambda name, number: answer(200, name),
            lambda name, number: answer(200, name),
            delayed=False,
        )
        with mock.patch.object(connections.DROPPED, "inc") as inc:
            for number in range(3):
                await self.call(f"r{number}")
        self.assertEqual(inc.mock_calls, [mock.call({"kind": "another id"})] * 3)


class JoinedAnswersTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, *scripts, close=False):
        """Answer request n of a connection with the segments of script n."""

        async def serve(reader, writer):
            try:
                for segments in scripts:
                    await reader.readuntil(b"\r\n\r\n")
                    for number, segment in enumerate(segments):
                        await asyncio.sleep(SEGMENT_INTERVAL if number else 0)
                        writer.write(segment)
                        await writer.drain()
                if not close:
                    await reader.read()
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        listing = Listing("s", f"127.0.0.1:{port}", "z", 4, False, {"m": 1})
        self.replica = Replica("i-1", listing)
        self.client = WireReplicas()
        self.addCleanup(self.client.close)

    async def call(self, request_id="r1"):
        headers = [("Host", "h")]
        call = DirectCall("GET", "/p", headers, b"", request_id, deadline_in(20))
        return await self.client.call(self.replica, call)

    async def assert_not_joined(self):
        result = await self.call()
        self.client.close()
        if isinstance(result, Answer):
            self.assertEqual(result.body, BODY)
        else:
            self.assertIsInstance(result, Broken)
            self.assertNotEqual(result.reason, "timeout")

    async def test_cut_extra_answer_behind_one_without_length(self):
        """Guards against a body that ends with a part of another answer's head."""
        own = answer(200, "r1", BODY, framing="none")
        for extra in (answer(200, "r0", b"late"), refusal(None)):
            # A status line alone could be a text of the server.
            for cut in range(STATUS_LINE + 1, len(extra) + 1):
                with self.subTest(cut=cut):
                    await self.start([own + extra[:cut]], close=True)
                    await self.assert_not_joined()

    async def test_extra_answer_without_id_behind_one_without_length(self):
        """Guards against a body that holds an answer known only by its stamp."""
        own = answer(200, "r1", BODY, framing="none")
        await self.start([own + answer(200, None, b"late")], close=True)
        self.assertIsInstance(await self.call(), Broken)

    async def test_cut_chunk_that_ends_with_the_head_of_the_next_answer(self):
        """Guards against a joined body in which the head lacks its empty line."""
        whole = answer(200, "r1", BODY, framing="chunks")
        for cut in range(1, len(whole)):
            with self.subTest(cut=cut):
                await self.start([whole[:cut] + whole])
                await self.assert_not_joined()

    async def test_cut_body_that_ends_inside_the_next_head(self):
        """Guards against a joined body whose second head arrives in two segments."""
        whole = answer(200, "r1", BODY)
        for missing in range(STATUS_LINE + 1, 120):
            with self.subTest(missing=missing):
                first = whole[:-missing] + whole[:missing]
                await self.start([first, whole[missing:]])
                await self.assert_not_joined()

    async def test_own_answer_inside_a_cut_extra_one_fails_at_once(self):
        """Guards against a call that waits for an answer that was read as another's."""
        own = answer(200, "r2", b"two")
        for framing in ("length", "chunks"):
            extra = answer(200, "r1", 10 * BODY, framing=framing)[: -9 * len(BODY)]
            segments = [[own]]
            # The last byte of a segment may be that of the status line.
            segments += [[own[:cut], own[cut:]] for cut in range(1, 60)]
            for first, *rest in segments:
                with self.subTest(framing=framing, first=first):
                    await self.start([answer(200, "r1", b"1")], [extra + first, *rest])
                    self.assertIsInstance(await self.call("r1"), Answer)
                    result = await self.call("r2")
                    self.client.close()
                    self.assertIsInstance(result, Broken)
                    self.assertTrue(result.began)
                    self.assertEqual(result.reason, "two answers in one body")

    async def test_long_extra_answer_costs_no_answer(self):
        """Guards against an own answer lost for an extra one that quotes status lines."""
        text = b"HTTP/1.1 200 OK\nServer: s\n" * 5000
        extra = answer(200, "r0", text, framing="chunks")
        own = answer(200, "r2", BODY)
        await self.start([answer(200, "r1")], [extra[:70_001], extra[70_001:] + own])
        self.assertIsInstance(await self.call("r1"), Answer)
        self.assertEqual((await self.call("r2")).body, BODY)
