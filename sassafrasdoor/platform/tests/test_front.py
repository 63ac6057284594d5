"""Tests of the answers that callers get over HTTP."""

import asyncio
import json
import unittest

from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from sassafrasdoor.backends.interface import Answer
from sassafrasdoor.callers.budget import Caller, CallerLimits, Kind, Phase
from sassafrasdoor.clock import boot_now, now
from sassafrasdoor.outcomes import NotRun, Unknown
from sassafrasdoor.platform import front, handlers, wire
from sassafrasdoor.platform.configuration import OPERATOR_TOPIC
from sassafrasdoor.requests.access import Access
from sassafrasdoor.security import key_hash
from sassafrasdoor.steps.durable.service import NotFound, Page
from sassafrasdoor.steps.durable.tests.fixtures import (
    HOST,
    PREFIX,
    route,
    routes_in_force,
)
from sassafrasdoor.support import until
from sassafrasdoor.table.accounts import Account, Accounts
from sassafrasdoor.table.routes import Configuration, Limits, Repeat, RoutesInForce

PLAIN, STREAM = "/plain/", "/stream/"
EVENTS = [b"id: 0\ndata: a\n\n", b"id: 1\ndata: b\n\n"]
SUBMISSION = {
    "Step": 1,
    "Model": "m",
    "MinVersion": 0,
    "Desired": 1,
    "Items": [
        {
            "Id": "i",
            "Path": f"{PREFIX}1",
            "Headers": {},
            "Body": "YQ==",
            "Tokens": 3,
            "Group": "g",
        }
    ],
}


class ScriptedService:
    """Returns ``result``, or never returns if that is ``HANG``."""

    HANG = object()

    def __init__(self):
        self.result = None
        self.requests = []
        self.waiting = asyncio.Event()

    async def _answer(self, *request):
        self.requests.append(request)
        if self.result is self.HANG:
            self.waiting.set()
            await asyncio.Event().wait()
        return self.result

    answer = submit = read = body = end = _answer


class ScriptedStreams:
    """Forwards the blocks in ``script``, then hangs or returns the result in it."""

    def __init__(self):
        self.script = []
        self.cancelled = asyncio.Event()

    async def answer(self, request, caller):
        for number, step in enumerate(self.script):
            if step is ScriptedService.HANG:
                try:
                    await asyncio.Event().wait()
                finally:
                    self.cancelled.set()
            if not isinstance(step, bytes):
                return step
            if not number:
                await caller.begin([(wire.STAMP, "x")])
            await caller.send_event(step)
        return True


class FakeInstances:
    def addresses(self, zone, serves=True):
        return [f"address-in-{zone}"]

    knows_reader = False

    def reader_candidates(self, limit, excluded=()):
        return []

    def peers(self):
        return []


class FakeOperatorTail:
    """Routes that are old until they are read; ``newest`` is found then, if any.

    They are stale if ``age`` exceeds ``MAX_AGE``; ``held`` are their accounts.
    """

    MAX_AGE = 2.0

    def __init__(self, failing_since, newest, age=3.0, held=None):
        self.failing_since = failing_since
        self.reads = 0
        self._newest = newest
        self._confirmed_at = boot_now() - age
        self._read_at = now() - age
        self.routes = RoutesInForce(
            lambda: self._confirmed_at, lambda: self.MAX_AGE, lambda: self._read_at
        )
        self.routes.take(Configuration(0.5, [], {}, Limits(1, 1, 1.0), held))

    async def confirm(self, deadline):
        self.reads += 1
        if self._newest is None:
            await asyncio.Event().wait()
        self._confirmed_at = boot_now()
        self._read_at = now()
        if self._newest:
            self.routes.take(self._newest)
        return True


class FailingOperatorTail(FakeOperatorTail):
    """A read that fails while another one finds ``newest``."""

    async def confirm(self, deadline):
        await super().confirm(deadline)
        return False


class AccessSettings:
    fail_closed = True
    revoke_within = 5.0


class OpenSettings(AccessSettings):
    fail_closed = False


class FakeProcess:
    ready = True
    closing = False

    def __init__(self):
        self.in_flight = set()
        self.stopping_since = now()


class FrontTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.service = ScriptedService()
        plain = route(prefix=PLAIN, repeat=Repeat.SAFE)
        stream = route(prefix=STREAM, repeat=Repeat.RESUME, streams=True)
        self.routes = routes_in_force(route(), plain, stream)
        self.process = FakeProcess()
        self.streams = ScriptedStreams()
        self.parts = handlers.Parts(
            self.service,
            self.streams,
            FakeInstances(),
            self.process,
            self.routes,
            self.service,
            store=None,
            access=Access(self.routes, AccessSettings()),
        )
        self.address = self.serve(front.front_application(self.parts))
        self.client = AsyncHTTPClient(force_instance=True)
        self.addCleanup(self.client.close)

    def serve(self, application):
        sock, port = bind_unused_port()
        server = HTTPServer(application)
        server.add_sockets([sock])
        self.addCleanup(server.stop)
        return f"http://127.0.0.1:{port}"

    async def call(self, path, method="GET", body=None, **headers):
        return await self.client.fetch(
            self.address + path,
            method=method,
            body=body,
            headers={"Host": HOST, wire.REQUEST_ID: "r1", **headers},
            raise_error=False,
        )

    async def submit(self):
        return await self.call(PREFIX, "POST", json.dumps(SUBMISSION))

    async def test_outcomes_map_to_statuses(self):
        """Each outcome is answered with exactly the status that it stands for."""
        answer = Answer(201, [("X", "y")], b"body")
        cases = [
            (answer, 201),
            (NotRun("full", 0.1), 503),
            (Unknown("lost"), 504),
        ]
        for result, status in cases:
            self.service.result = result
            response = await self.call(PLAIN)
            self.assertEqual(response.code, status)
        self.service.result = answer
        response = await self.call(PLAIN)
        self.assertEqual((response.body, response.headers["X"]), (b"body", "y"))

    async def test_forms_and_queries_are_passed_on_as_they_came(self):
        """Guards against legal requests refused for fields that nobody here reads."""
        part = b'--b\r\nContent-Disposition: form-data; name="a"\r\n\r\n\r\n'
        multipart = "multipart/form-data"
        query = "&".join(f"{number:x}" for number in range(3500))
        form = "&".join(f"{number:x}=1" for number in range(2000)).encode()
        cases = [
            ("", "application/x-www-form-urlencoded", form),
            ("", f"{multipart}; boundary=b", part * 20_000 + b"--b--\r\n"),
            ("", f"{multipart}; boundary=b", b"no parts"),
            ("", multipart, b"no boundary"),
            (f"?{query}", "text/plain", b"x"),
            ("?a=%ff&a=%zz", "text/plain", b"x"),
        ]
        self.service.result = Answer(200, [], b"")
        for query, content_type, body in cases:
            with self.subTest(content_type, query=query[:9], body=body[:9]):
                headers = {"Content-Type": content_type}
                answer = await self.call(PLAIN + query, "POST", body, **headers)
                self.assertEqual(answer.code, 200)
                (request,) = self.service.requests[-1]
                self.assertEqual((request.path, request.body), (PLAIN + query, body))

    async def test_submission_of_very_many_fields_is_refused_undecoded(self):
        """Guards against decoded fields that take many times a legal body's memory."""
        self.service.result = True
        item = {
            **SUBMISSION["Items"][0],
            "Headers": {f"{at:x}": "" for at in range(1000)},
        }
        body = json.dumps({**SUBMISSION, "Items": [item] * 10})
        other = Caller(lambda phase: None)
        self.parts.budget.connect(other, 0, now())
        self.parts.budget.enter(other, Phase.SERVING, now())
        for memory_bytes, held_by_other, status in (
            (0, 0, 202),
            (40_000_000, 0, 202),
            (4_000_000, 0, 503),
            (40_000_000, 10_000_000, 503),
        ):
            with self.subTest(memory_bytes=memory_bytes, held_by_other=held_by_other):
                self.parts.budget.limits = CallerLimits(
                    memory_bytes=memory_bytes, process_bytes=0
                )
                self.parts.budget.hold(other, Kind.BODY, held_by_other, now())
                answer = await self.call(PREFIX, "POST", body)
                self.assertEqual(answer.code, status)
                self.assertEqual("Retry-After" in answer.headers, status == 503)

    async def test_relayed_append_of_very_many_records_is_refused(self):
        """Guards against records that take many times their bytes once unpacked."""
        self.parts.store = ScriptedService()
        self.parts.store.append = self.parts.store.answer
        self.parts.store.result = NotRun("full", 0.1)
        self.parts.budget.limits = CallerLimits(memory_bytes=8_000_000, process_bytes=0)
        self.address = self.serve(front.control_application(self.parts))
        path = "/-/log-append?Topic=t&part=0"
        # Records of four bytes that hold nothing.
        for size, appends in ((400, 1), (800_000, 0)):
            with self.subTest(size=size):
                self.parts.store.requests.clear()
                answer = await self.call(path, "POST", bytes(size))
                self.assertEqual(answer.code, 503)
                self.assertEqual(len(self.parts.store.requests), appends)

    async def test_refusal_has_retry_after(self):
        self.service.result = NotRun("full", 0.25)
        response = await self.call(PLAIN)
        self.assertEqual(response.headers["Retry-After"], "0.25")

    async def test_missing_configuration_returns_503_not_404(self):
        """Guards against a 404 for existing routes right after a start.

        An instance that starts while the store is unavailable has no configuration; its
        lack of routes was treated as a missing route.
        """
        self.parts.routes = RoutesInForce()
        self.assertEqual((await self.call(PLAIN)).code, 503)
        self.parts.routes = self.routes
        self.assertEqual((await self.call("/unknown/")).code, 404)

    async def test_steps_are_not_read_before_the_accounts_are_known(self):
        """Guards against an instance that starts and shows a step to anybody."""
        self.service.result = Page(0, [], 1)
        self.assertEqual((await self.call("/-/lots/s")).code, 200)
        self.parts.routes = RoutesInForce()
        self.assertEqual((await self.call("/-/lots/s")).code, 503)
        self.parts.access = Access(self.parts.routes, OpenSettings())
        self.assertEqual((await self.call("/-/lots/s")).code, 200)

    async def test_unknown_route_in_stale_routes_returns_503(self):
        """Guards against a 404 from stale routes for a route added since."""
        confirmed_at = boot_now()
        old = RoutesInForce(lambda: confirmed_at, lambda: 2.0)
        old.take(self.routes.current)
        self.parts.routes = old
        self.assertEqual((await self.call("/unknown/")).code, 404)
        confirmed_at -= 3.0
        response = await self.call("/unknown/")
        self.assertEqual(response.code, 503)
        self.assertEqual(response.headers["Retry-After"], "1")
        self.service.result = Answer(200, [], b"known")
        self.assertEqual((await self.call(PLAIN)).code, 200)

    async def test_unknown_route_is_looked_up_again_while_the_store_answers(self):
        """Guards against refusals between two long polls at an instance in touch."""
        for failing_since, added, status in (
            (None, False, 404),
            (None, True, 200),
            (now() - 1.0, True, 503),
        ):
            with self.subTest(failing_since=failing_since, added=added):
                tail = FakeOperatorTail(failing_since, added and self.routes.current)
                self.parts.lists = {OPERATOR_TOPIC: tail}
                self.parts.routes = tail.routes
                self.service.result = Answer(200, [], b"known")
                self.assertEqual((await self.call(PLAIN)).code, status)
                self.assertEqual(tail.reads, int(failing_since is None))

    async def test_unknown_route_is_refused_only_by_routes_read_after_it_came(self):
        """Guards against a 404 for a route that was added within the last seconds."""
        for newest, status in ((False, 404), (self.routes.current, 200), (None, 503)):
            with self.subTest(status=status):
                tail = FakeOperatorTail(None, newest, age=0.5)
                self.parts.lists = {OPERATOR_TOPIC: tail}
                self.parts.routes = tail.routes
                self.service.result = Answer(200, [], b"known")
                self.assertEqual((await self.call(PLAIN)).code, status)
                self.assertEqual(tail.reads, 1)

    async def test_route_that_came_while_the_read_failed_is_found(self):
        """Guards against a 404 for a route that is in force by then."""
        tail = FailingOperatorTail(None, self.routes.current, age=0.5)
        self.parts.lists = {OPERATOR_TOPIC: tail}
        self.parts.routes = tail.routes
        self.service.result = Answer(200, [], b"known")
        self.assertEqual((await self.call(PLAIN)).code, 200)

    async def test_unknown_key_is_refused_only_by_accounts_read_after_it_came(self):
        """Guards against a 401 for a key that was added within the last seconds."""
        rows = [route(), route(prefix=PLAIN, repeat=Repeat.SAFE)]
        for held, status in (
            (Accounts([]), 401),
            (Accounts([Account("a", [key_hash("k")])]), 200),
            (None, 200),
        ):
            newest = Configuration(1, rows, {}, Limits(1, 1, 1.0), held)
            for path in (PLAIN, "/-/lots/s"):
                with self.subTest(status=status, path=path):
                    tail = FakeOperatorTail(None, newest, 0.5, Accounts([]))
                    self.parts.lists = {OPERATOR_TOPIC: tail}
                    self.parts.routes = tail.routes
                    self.parts.access = Access(tail.routes, AccessSettings())
                    is_read = path != PLAIN
                    page = Page(0, [], 1)
                    self.service.result = page if is_read else Answer(200, [], b"")
                    key = {wire.AUTHORIZATION: "Bearer k"}
                    self.assertEqual((await self.call(path, **key)).code, status)

    async def test_request_cancelled_by_stop_is_not_answered(self):
        """Guards against lost steps that were reported as accepted, and empty answers.

        When a process ends, the tasks of requests in progress are cancelled. If a
        handler then returns, Tornado finishes the request with status 200.
        """
        self.service.result = ScriptedService.HANG
        for request in (self.submit(), self.call(PLAIN)):
            self.service.waiting.clear()
            calling = asyncio.ensure_future(request)
            await self.service.waiting.wait()
            for handler in list(self.process.in_flight):
                handler._task.cancel()
            await asyncio.sleep(0)
            finished, _ = await asyncio.wait([calling], timeout=0.3)
            if finished:
                self.assertNotIn(calling.result().code, (200, 202))
            calling.cancel()

    async def test_disconnected_caller_cancels_the_request(self):
        self.service.result = ScriptedService.HANG
        cancelled = asyncio.Event()
        answer = self.service.answer

        async def watched(*request):
            try:
                return await answer(*request)
            finally:
                cancelled.set()

        self.service.answer = watched
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", int(self.address.rpartition(":")[2])
        )
        writer.write(f"GET {PLAIN} HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
        await self.service.waiting.wait()
        writer.close()
        async with asyncio.timeout(20):
            await cancelled.wait()

    async def test_answer_counts_as_in_progress_until_it_is_sent(self):
        """Guards against a stop that ends the process while an answer is being read.

        A handler has finished once its answer is handed to the connection, which may
        hold megabytes of it for a slow reader.
        """
        size = 32_000_000  # bytes, more than the system buffers of a connection take
        self.service.result = Answer(200, [], bytes(size))
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", int(self.address.rpartition(":")[2])
        )
        self.addCleanup(writer.close)
        head = f"POST {PLAIN} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 3\r\n\r\n"
        writer.write(head.encode() + b"abc")
        await reader.readuntil(b"\r\n\r\n")
        self.assertEqual(len(self.process.in_flight), 1)
        held = self.parts.budget.held_by_kind()
        self.assertEqual((held[Kind.BODY], held[Kind.ANSWER]), (3, size))
        await reader.readexactly(size)
        await until(lambda: not self.process.in_flight, what="the end of the answer")
        self.assertEqual(self.parts.budget.held_bytes, 0)

    async def test_stream_is_forwarded_without_buffering(self):
        """Guards against streams that are collected before they are forwarded.

        The first event must arrive while the stream pauses after it.
        """
        self.streams.script = [EVENTS[0], ScriptedService.HANG]
        reader, writer = await self.connect(STREAM)
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertIn(f"{wire.STAMP}: x".encode(), head)
        self.assertIn(EVENTS[0], await reader.readuntil(b"data: a\n\n"))
        writer.close()
        await asyncio.wait_for(self.streams.cancelled.wait(), 20)

    async def test_caller_stream_outcomes(self):
        self.streams.script = [*EVENTS, True]
        response = await self.call(STREAM, "POST", "")
        self.assertEqual((response.code, response.body), (200, b"".join(EVENTS)))
        for outcome, status in [(NotRun("full", 0.1), 503), (Unknown("lost"), 504)]:
            self.streams.script = [outcome]
            self.assertEqual((await self.call(STREAM, "POST", "")).code, status)
        self.streams.script = [Answer(500, [], b"no")]
        self.assertEqual((await self.call(STREAM, "POST", "")).code, 500)

    async def test_truncated_stream_is_not_ended_normally(self):
        """Guards against truncated streams that callers take for complete ones.

        The stream is lost after an event, or the handler fails; the response was then
        ended like a complete one.
        """
        for failure in (Unknown("lost"), ValueError("internal error")):
            with self.subTest(failure=failure):
                self.streams.script = [EVENTS[0], failure]
                if isinstance(failure, ValueError):
                    self.streams.answer = self.fail_after_one_event
                reader, _ = await self.connect(STREAM)
                data = await reader.read()
                self.assertIn(EVENTS[0], data)
                self.assertNotIn(b"\r\n0\r\n", data)

    async def fail_after_one_event(self, request, caller):
        """Raise an error after one event."""
        await caller.begin([])
        await caller.send_event(EVENTS[0])
        raise ValueError("internal error")

    async def connect(self, path):
        """Send a request on a new connection; return the reader and the writer."""
        host, _, port = self.address.removeprefix("http://").partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        lines = [f"POST {path} HTTP/1.1", f"Host: {HOST}", "Content-Length: 0", "", ""]
        writer.write("\r\n".join(lines).encode())
        return reader, writer

    async def test_step_calls(self):
        self.service.result = True
        self.assertEqual((await self.submit()).code, 202)
        self.assertEqual((await self.call("/-/lots/s1", "DELETE")).code, 200)
        self.service.result = Page(3, [], 7)
        response = await self.call("/-/lots/s1?After=3")
        expected = {"Total": 7, "NextToken": 3, "Results": []}
        self.assertEqual(json.loads(response.body), expected)
        self.service.result = b"raw"
        self.assertEqual((await self.call("/-/items/s1?Id=i")).body, b"raw")
        self.service.result = NotFound("no such step")
        self.assertEqual((await self.call("/-/lots/s1")).code, 404)

    async def test_malformed_steps_are_rejected_with_their_places(self):
        bad = {**SUBMISSION, "Items": [{**SUBMISSION["Items"][0], "Body": "%%"}]}
        cases = [
            ("{", "(root)"),
            ("[]", "(root)"),
            ("{}", "(root)"),
            (json.dumps(bad), "Items.0"),
        ]
        for body, place in cases:
            response = await self.call(PREFIX, "POST", body)
            self.assertEqual(response.code, 400)
            reported = json.loads(response.body)["findings"][0]["place"]
            self.assertEqual(reported, place)
        self.assertEqual(self.service.requests, [])

    async def test_directory_and_readiness(self):
        self.address = self.serve(front.directory_application(self.parts))
        response = await self.call("/-/resolve?Name=x&Zone=z")
        self.assertEqual(json.loads(response.body)["Addresses"], ["address-in-z"])
        self.address = self.serve(front.ready_application(self.parts))
        self.assertEqual((await self.call("/-/ready")).code, 200)
        self.process.ready = False
        self.assertEqual((await self.call("/-/ready")).code, 503)
        self.assertIn(b"front_answers_total", (await self.call("/metrics")).body)

    async def test_closing_process_sends_connection_close(self):
        self.service.result = Answer(200, [], b"")
        self.process.closing = True
        response = await self.call(PLAIN)
        self.assertEqual(response.headers["Connection"], "close")
