"""Tests of ``WireReplicas``: answers, streams and orders, with one fault each."""

import asyncio
import json
import unittest
from unittest import mock

from sassafrasdoor.backends import connections
from sassafrasdoor.backends.interface import Answer, Broken, Stale
from sassafrasdoor.backends.replicas import (
    DirectCall,
    OrderMisdirected,
    OrderRefused,
    SampleFailed,
    SampleOrder,
    VersionOrder,
    WrongReplica,
)
from sassafrasdoor.clock import deadline_in
from sassafrasdoor.outcomes import NotRun
from sassafrasdoor.platform import wire
from sassafrasdoor.platform.servers import WireReplicas
from sassafrasdoor.routing.replicas import Listing, Replica
from sassafrasdoor.steps.durable.records import Item

STAMP = f"{wire.STAMP}: x"
EVENTS = b"id: 0\ndata: a\n\nid: 1\nsassafrasdoor-weight-versions: 4\ndata: b\n\n"


def answer(status, *headers, body=b""):
    lines = [f"HTTP/1.1 {status} X", *headers, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def unframed_answer(id_header, body):
    """Return an answer that ends with its connection."""
    return "\r\n".join(["HTTP/1.1 200 X", id_header, STAMP, "", ""]).encode() + body


def with_request_id(data, head):
    """Return an answer with the id of the request that ``head`` belongs to."""
    name = f"{wire.REQUEST_ID}: ".encode()
    header = name + head.partition(name)[2].split(b"\r\n")[0]
    status_line, _, rest = data.partition(b"\r\n")
    return b"\r\n".join([status_line, header, rest])


class RecordedStream:
    """Records the forwarded headers and events of a stream."""

    def __init__(self):
        self.headers = []
        self.events = []

    def head(self, headers):
        self.headers = headers

    async def event(self, number, block):
        self.events.append((number, block))


class ServersTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, data, cut=False, echo=True):
        """Answer each request with ``data``.

        Adds the request's id unless ``echo`` is false or ``data`` contains an id.
        """
        self.heads = []
        self.bodies = []

        async def serve(reader, writer):
            head = await reader.readuntil(b"\r\n\r\n")
            self.heads.append(head.decode())
            length = head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
            self.bodies.append(await reader.readexactly(int(length or 0)))
            add_request_id = echo and wire.REQUEST_ID.encode() not in data
            writer.write(data if not add_request_id else with_request_id(data, head))
            await writer.drain()
            if cut:
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        listing = Listing("s", f"127.0.0.1:{port}", "z", 4, False, {"m": 1})
        self.replica = Replica("i-1", listing)
        self.client = WireReplicas()
        self.addCleanup(self.client.close)

    async def call(self):
        headers = [("Host", "h.example"), ("X", "1"), ("X", "2")]
        call = DirectCall("POST", "/p?q=1", headers, b"body", "r1", deadline_in(5))
        return await self.client.call(self.replica, call)

    async def generate(self, after=None, wants_more=lambda event: True):
        self.events = []
        item = Item("i1", "/p", {"Model": "m"}, b"b", 1, 0, "g", "m")

        def take(event):
            self.events.append((event.number, event.data, event.version))
            return wants_more(event)

        order = SampleOrder(item, "h.example", deadline_in(5), after)
        return await self.client.generate(self.replica, order, take)

    async def test_call_outcomes(self):
        cases = [
            (answer(200, STAMP, body=b"x"), Answer),
            (answer(500, STAMP), Answer),
            (answer(200), Broken),
            (answer(503, f"{wire.NOT_RUN}: 1"), NotRun),
            (answer(421, f"{wire.INSTANCE_ID}: i-2"), WrongReplica),
            (answer(200, STAMP, f"{wire.REQUEST_ID}: other"), Broken),
        ]
        for data, outcome in cases:
            with self.subTest(data=data):
                await self.start(data)
                self.assertIsInstance(await self.call(), outcome)

    async def test_call_learns_the_signature_of_its_answer(self):
        await self.start(answer(500, STAMP))
        headers = [("Host", "h.example")]
        call = DirectCall("GET", "/p", headers, b"", "r1", deadline_in(5))
        await self.client.call(self.replica, call)
        self.assertEqual(f"{wire.STAMP}: {call.signature}", STAMP)
        self.assertEqual(call.earlier_exchanges, 0)

    async def test_answers_without_their_id_are_counted(self):
        await self.start(answer(200, STAMP), echo=False)
        with mock.patch.object(connections, "DROPPED") as dropped:
            await self.call()
        dropped.inc.assert_called_once_with({"kind": "no id"})

    async def test_answer_without_request_id_is_rejected(self):
        """Guards against a caller getting the answer to another caller's request.

        A replica sends a late duplicate answer without a request id; it arrives on a
        reused connection just after the next request was sent. Only answers with the id
        of another request used to be rejected.
        """
        cases = [
            (answer(200, STAMP, body=b"x"), Broken),
            (answer(500, STAMP), Broken),
            (answer(503, f"{wire.NOT_RUN}: 1"), NotRun),
            (answer(421, f"{wire.INSTANCE_ID}: i-2"), WrongReplica),
        ]
        for data, outcome in cases:
            with self.subTest(data=data):
                await self.start(data, echo=False)
                self.assertIsInstance(await self.call(), outcome)
        await self.start(answer(200, STAMP, body=EVENTS), echo=False)
        self.assertIsInstance(await self.generate(), Broken)
        self.assertEqual(self.events, [])

    async def test_cut_answer_lends_no_status_to_the_next(self):
        """Guards against a success for a request that its server answered with a failure.

        The extra answer to an earlier request is cut inside its head, and the next
        answer, which has the right id and signature, continues the cut line.
        """
        request_id = f"{wire.REQUEST_ID}: r1"
        for extra_status, status in ((200, 504), (200, 500), (500, 200), (504, 200)):
            extra = answer(extra_status, "Server: s", "Content-Type: a/b")
            own = answer(status, request_id, STAMP, body=b"own")
            wrong = []
            for cut in range(extra.index(b"Content-Length")):
                await self.start(extra[:cut] + own, cut=True, echo=False)
                result = await self.call()
                if isinstance(result, Answer) and result.status != status:
                    wrong.append(extra[:cut])
            with self.subTest(status=status):
                self.assertEqual(wrong, [])

    async def test_cut_answer_fails_no_item(self):
        """Guards against an item that counts a failure which no server answered."""
        item_id = f"{wire.REQUEST_ID}: i1"
        own = answer(200, item_id, STAMP, body=EVENTS)
        for extra in (b"HTTP/1.1 500 X", b"HTTP/1.1 422 X\r\nServer: s"):
            with self.subTest(extra=extra):
                await self.start(extra + own, cut=True, echo=False)
                self.assertIsInstance(await self.generate(), Broken)

    async def test_answer_cut_in_its_body_and_sent_whole_is_not_joined(self):
        """Guards against a body that goes on with the head of the answer behind it."""
        request_id = f"{wire.REQUEST_ID}: r1"
        body = b"".join(b"id: %d\ndata: %s\n\n" % (at, b"x" * 40) for at in range(9))
        whole = answer(200, request_id, STAMP, body=body)
        begin = whole.index(body)
        for cut in range(begin, len(whole)):
            for send in (self.call, self.stream):
                await self.start(whole[:cut] + whole, cut=True, echo=False)
                with self.subTest(cut=cut - begin, send=send.__name__):
                    self.assertIsInstance(await send(), Broken)

    async def test_sample_cut_and_sent_whole_is_not_joined(self):
        """Guards against a text that goes on with the head of the answer behind it."""
        head = f"HTTP/1.1 200 X\r\n{wire.REQUEST_ID}: i1\r\n{STAMP}\r\n\r\n"
        whole = head.encode() + EVENTS
        for cut in range(len(head), len(whole)):
            await self.start(whole[:cut] + whole, cut=True, echo=False)
            result = await self.generate()
            with self.subTest(cut=cut - len(head)):
                self.assertIsInstance(result, Broken)
                texts = [data for _, data, _ in self.events]
                self.assertTrue(set(texts) <= {"a", "b"}, texts)

    async def test_answer_without_length_ends_before_an_extra_one(self):
        """Guards against a body that has an extra answer behind the server's own."""
        own = unframed_answer(f"{wire.REQUEST_ID}: r1", b"own")
        for extra in (own, answer(200, f"{wire.REQUEST_ID}: r1", STAMP, body=b"own")):
            with self.subTest(extra=extra):
                await self.start(own + extra, cut=True, echo=False)
                result = await self.call()
                self.assertEqual(getattr(result, "body", b"own"), b"own")

    async def test_sample_without_length_ends_before_an_extra_one(self):
        """Guards against events that stand twice in the text of an item."""
        own = unframed_answer(f"{wire.REQUEST_ID}: i1", EVENTS)
        await self.start(own + own, cut=True, echo=False)
        result = await self.generate()
        numbers = [number for number, *_ in self.events]
        self.assertEqual(numbers, [0, 1] if result is True else [0, 1][: len(numbers)])

    async def test_call_sends_identity_and_remaining_time(self):
        await self.start(answer(200, STAMP, f"{wire.LOAD}: 3,1,4"))
        await self.call()
        (head,) = self.heads
        self.assertIn(f"{wire.EXPECT_INSTANCE}: i-1\r\n", head)
        self.assertIn(f"{wire.REQUEST_ID}: r1\r\n", head)
        self.assertIn("X: 1\r\nX: 2\r\n", head)
        remaining_ms = int(head.partition(f"{wire.DEADLINE}: ")[2].split("\r\n")[0])
        self.assertTrue(0 < remaining_ms <= 5000)
        self.assertTrue(head.startswith("POST /p?q=1 HTTP/1.1\r\n"))
        self.assertEqual(self.bodies, [b"body"])
        self.assertEqual(self.replica.load, 4)

    async def test_load_report_with_a_pace_counts(self):
        """Guards against load reports dropped whole because of a fourth figure."""
        cases = [
            ("3,1,4", 4, 1.0, False),
            ("3,1,4,100", 4, 1.0, True),
            ("2, 0, 4, 250", 2, 2.5, True),
            ("3,1,4,250,7", 4, 2.5, True),
            ("3,1,4,250,x,-1", 4, 2.5, True),
            ("3,1,4,x", 0, 1.0, False),
            ("3,1", 0, 1.0, False),
            ("3,-1,4,100", 0, 1.0, False),
            ("3,1,4," + "9" * 400, 0, 1.0, False),
            ("", 0, 1.0, False),
        ]
        for report, load, pace, reports_pace in cases:
            with self.subTest(report):
                await self.start(answer(200, STAMP, f"{wire.LOAD}: {report}"))
                await self.call()
                replica = self.replica
                self.assertEqual((replica.load, replica.pace), (load, pace))
                self.assertIs(replica.reports_pace, reports_pace)

    async def test_refusals_are_counted_for_other_instances(self):
        report = f"{wire.LOAD}: 4,24,4,100"
        await self.start(answer(503, f"{wire.NOT_RUN}: 1", report))
        await self.call()
        observed = self.replica.observed_load
        self.assertEqual((observed.refusals, observed.report.total), (1, 28))

    async def test_load_in_an_answer_to_another_request_is_ignored(self):
        """Guards against the load of a late answer that belongs to another request."""
        late = f"{wire.REQUEST_ID}: other"
        await self.start(answer(200, STAMP, late, f"{wire.LOAD}: 3,1,4,250"))
        await self.call()
        self.assertEqual((self.replica.load, self.replica.pace), (0, 1.0))

    async def test_stream_is_split_into_events_with_versions(self):
        await self.start(answer(200, STAMP, f"{wire.VERSIONS}: 3", body=EVENTS))
        self.assertIs(await self.generate(), True)
        self.assertEqual(self.events, [(0, "a", 3), (1, "b", 4)])

    async def stream(self, after=None):
        """Forward a stream, recording its headers and events; return the outcome."""
        call = DirectCall("POST", "/p", [], b"", "r1", deadline_in(5))
        call.after = after
        self.passed = RecordedStream()
        return await self.client.stream(self.replica, call, self.passed)

    async def test_stream_is_forwarded_unchanged(self):
        await self.start(answer(200, STAMP, body=EVENTS))
        self.assertIs(await self.stream(after=4), True)
        self.assertIn((wire.STAMP, "x"), self.passed.headers)
        self.assertEqual([number for number, _ in self.passed.events], [0, 1])
        self.assertEqual(b"".join(block for _, block in self.passed.events), EVENTS)
        self.assertIn(f"{wire.LAST_EVENT}: 4\r\n", self.heads[0])

    async def test_forwarded_stream_outcomes(self):
        half = EVENTS + b"id: 2\ndata: c"
        cases = [
            (answer(200, STAMP, body=half), Broken, 2),
            (answer(200, body=EVENTS), Broken, 0),
            (answer(200, STAMP, f"{wire.REQUEST_ID}: r0", body=EVENTS), Broken, 0),
            (answer(500, STAMP), Answer, 0),
            (answer(503, f"{wire.NOT_RUN}: 1"), NotRun, 0),
            (answer(421), WrongReplica, 0),
        ]
        for data, outcome, events in cases:
            with self.subTest(data=data):
                await self.start(data)
                self.assertIsInstance(await self.stream(), outcome)
                self.assertEqual(len(self.passed.events), events)

    async def test_incomplete_event_is_dropped(self):
        """Guards against texts with an event that is incomplete or occurs twice.

        A replica stops in the middle of an event and the item is resumed: the
        incomplete event was used, and the complete one followed.
        """
        await self.start(answer(200, STAMP, body=EVENTS + b"id: 2\ndata: c"))
        self.assertIsInstance(await self.generate(), Broken)
        self.assertEqual([number for number, _, _ in self.events], [0, 1])

    async def test_events_of_another_request_are_dropped(self):
        """Guards against texts with parts of another sample.

        On a reused connection the late answer to an earlier request arrives first and
        is read in one piece. It is rejected by its headers, but the part of its body
        that had already been read was still passed on.
        """
        await self.start(answer(200, STAMP, f"{wire.REQUEST_ID}: i0", body=EVENTS))
        self.assertIsInstance(await self.generate(), Broken)
        self.assertEqual(self.events, [])

    async def test_resumed_stream_sends_last_event_id(self):
        await self.start(answer(200, STAMP, body=EVENTS))
        await self.generate(after=7)
        self.assertIn(f"{wire.LAST_EVENT}: 7\r\n", self.heads[0])

    async def test_events_stop_when_the_consumer_declines(self):
        await self.start(answer(200, STAMP, body=EVENTS))
        await self.generate(wants_more=lambda event: False)
        self.assertEqual(len(self.events), 1)

    async def test_sample_stream_outcomes(self):
        cases = [
            (answer(500, STAMP), SampleFailed, False),
            (answer(422, STAMP), SampleFailed, True),
            (answer(503, f"{wire.NOT_RUN}: 1"), NotRun, None),
            (answer(421), WrongReplica, None),
        ]
        for data, outcome, final in cases:
            with self.subTest(data=data):
                await self.start(data)
                result = await self.generate()
                self.assertIsInstance(result, outcome)
                self.assertEqual(getattr(result, "final", None), final)

    async def test_order_outcomes(self):
        cases = [
            (answer(202), True),
            (answer(200), True),
            (answer(412), Stale),
            (answer(409), OrderRefused),
            (answer(421), OrderMisdirected),
            (answer(400), OrderRefused),
        ]
        for data, outcome in cases:
            with self.subTest(data=data):
                await self.start(data)
                order = VersionOrder("m", 5, "me", 9, False, deadline_in(5))
                result = await self.client.order(self.replica, order)
                if outcome is True:
                    self.assertIs(result, True)
                else:
                    self.assertIsInstance(result, outcome)
                document = json.loads(self.bodies[0])
                self.assertEqual(document["FencingToken"], 9)
                self.assertEqual(document["SwitchMode"], "keep")
