"""Callers on the wire: what they are answered, and what they never are."""

import asyncio
import json
import unittest

from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from sassafrasdoor.backends.interface import Answer
from sassafrasdoor.outcomes import NotRun, Unknown
from sassafrasdoor.platform import front, handlers, wire
from sassafrasdoor.steps.durable.service import NotFound, Page
from sassafrasdoor.steps.durable.tests.fixtures import (
    HOST,
    PREFIX,
    route,
    routes_in_force,
)
from sassafrasdoor.table.routes import Repeat, RoutesInForce

PLAIN = "/plain/"
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


class Service:
    """Answers by a script: outcomes, or ``HANG``."""

    HANG = object()

    def __init__(self):
        self.result = None
        self.seen = []
        self.waiting = asyncio.Event()

    async def _answer(self, *request):
        self.seen.append(request)
        if self.result is self.HANG:
            self.waiting.set()
            await asyncio.Event().wait()
        return self.result

    answer = submit = read = body = end = _answer


class Instances:
    def addresses(self, zone):
        return [f"address-in-{zone}"]

    def peers(self):
        return []


class Process:
    ready = True
    closing = False

    def __init__(self):
        self.in_flight = set()


class FrontTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.service = Service()
        plain = route(prefix=PLAIN, repeat=Repeat.SAFE)
        self.routes = routes_in_force(route(), plain)
        self.process = Process()
        self.parts = handlers.Parts(
            self.service, Instances(), self.process, self.routes, self.service
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

    async def test_outcomes_have_their_status(self):
        """Each outcome says on the wire exactly what it promises."""
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

    async def test_refusal_says_when_to_come_back(self):
        self.service.result = NotRun("full", 0.25)
        response = await self.call(PLAIN)
        self.assertEqual(response.headers["Retry-After"], "0.25")

    async def test_no_configuration_is_no_missing_route(self):
        """Symptom: callers are told 404 for what is allowed, right after a start.

        Sequence: an instance starts while the store is away. Cause: no known route
        was taken for no route.
        """
        self.parts.routes = RoutesInForce()
        self.assertEqual((await self.call(PLAIN)).code, 503)
        self.parts.routes = self.routes
        self.assertEqual((await self.call("/unknown/")).code, 404)

    async def test_stop_of_the_process_is_no_answer(self):
        """Symptom: a step counts as accepted that no instance has; a call gets an
        empty answer of 200.

        Sequence: a process ends with a submission in progress; its tasks are
        cancelled. Cause: the handler returned, and Tornado finished it with 200.
        """
        self.service.result = Service.HANG
        for request in (self.submit(), self.call(PLAIN)):
            self.service.waiting.clear()
            calling = asyncio.ensure_future(request)
            await self.service.waiting.wait()
            for handler in list(self.process.in_flight):
                handler._work.cancel()
            await asyncio.sleep(0)
            finished, _ = await asyncio.wait([calling], timeout=0.3)
            if finished:
                self.assertNotIn(calling.result().code, (200, 202))
            calling.cancel()

    async def test_caller_who_leaves_ends_the_work(self):
        self.service.result = Service.HANG
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

    async def test_malformed_steps_are_refused_with_the_place(self):
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
            found = json.loads(response.body)["findings"][0]["place"]
            self.assertEqual(found, place)
        self.assertEqual(self.service.seen, [])

    async def test_directory_and_readiness(self):
        self.address = self.serve(front.directory_application(self.parts))
        response = await self.call("/-/resolve?Name=x&Zone=z")
        self.assertEqual(json.loads(response.body)["Addresses"], ["address-in-z"])
        self.address = self.serve(front.ready_application(self.parts))
        self.assertEqual((await self.call("/-/ready")).code, 200)
        self.process.ready = False
        self.assertEqual((await self.call("/-/ready")).code, 503)
        self.assertIn(b"front_answers_total", (await self.call("/metrics")).body)

    async def test_closing_process_asks_for_another_connection(self):
        self.service.result = Answer(200, [], b"")
        self.process.closing = True
        response = await self.call(PLAIN)
        self.assertEqual(response.headers["Connection"], "close")
