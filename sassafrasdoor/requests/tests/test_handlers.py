"""HTTP handlers: outcomes on the wire, limits, headers, aborted streams."""

import asyncio
import contextlib
import json
import unittest

import tornado.httpserver
import tornado.netutil
import tornado.web
from tornado.httputil import HTTPHeaders
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from sassafrasdoor.admission.queues import Admission
from sassafrasdoor.backends.interface import Answer, Broken
from sassafrasdoor.callers.budget import CallerBudget
from sassafrasdoor.callers.requests import CountedRequests
from sassafrasdoor.outcomes import NotRun
from sassafrasdoor.requests.handlers import RequestsService, handlers
from sassafrasdoor.requests.tests.fakes import (
    FakeEngine,
    FakeService,
    row_document,
    settings,
    view,
)
from sassafrasdoor.routing.chooser import Chooser
from sassafrasdoor.support import until

LIMIT = 1000
GENERATE_BODY = {"prompt": "a prompt", "max_tokens": 3}


async def authorize(handler, row_name):
    """Authorise every caller whose row exists."""
    row = handler.application.settings["current_view"].row(row_name)
    if row is None:
        handler.set_status(401)
        handler.finish({"outcome": "rejected"})
    return row


class HandlersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.engine = FakeEngine()
        self.service = FakeService()
        once = row_document("once", repeatable=False)
        plain = row_document("plain", model="")
        self.current_view = view(row_document("app"), once, plain, count=2, revision=7)
        test_settings = settings(requests={"body_limit": LIMIT})
        shared = (
            test_settings,
            lambda: self.current_view,
            Admission(test_settings),
            Chooser(test_settings),
        )
        self.requests = RequestsService(*shared, self.engine, self.service)
        application = tornado.web.Application(
            handlers(self.requests),
            authorize=authorize,
            current_view=self.current_view,
            log_function=lambda handler: None,
        )
        counted = CountedRequests(application, CallerBudget(), awaits_body=False)
        counted.max_body_bytes = LIMIT
        server = tornado.httpserver.HTTPServer(counted)
        sockets = tornado.netutil.bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        self.port = sockets[0].getsockname()[1]
        self.client = SimpleAsyncHTTPClient(force_instance=True)
        self.addAsyncCleanup(server.close_all_connections)
        self.addCleanup(server.stop)

    async def fetch(self, path, method="POST", body=b"", **headers):
        """Send one request."""
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        return await self.client.fetch(
            f"http://127.0.0.1:{self.port}{path}",
            method=method,
            headers=named,
            body=None if method in ("GET", "HEAD") else body,
            raise_error=False,
        )

    async def send(self, path, body, length=None):
        """Send a request on a raw socket; return reader and writer."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        head = f"POST /v1/{path} HTTP/1.1\r\nHost: x\r\n"
        head += f"Content-Length: {length or len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        return reader, writer

    async def generate(self, row="app", **fields):
        """Generate text."""
        return await self.fetch(
            f"/v1/generate/{row}", body=json.dumps({**GENERATE_BODY, **fields})
        )

    async def test_call_is_passed_through(self):
        headers = HTTPHeaders({"X-Mine": "1", "Connection": "close"})
        headers.add("Set-Cookie", "a=1")
        headers.add("Set-Cookie", "b=2")
        answer = Answer(201, headers, b"body")
        self.service.script = {"b0": answer, "b1": answer}
        response = await self.fetch(
            "/v1/call/app/some/path?q=1%202",
            "PUT",
            b"sent",
            Authorization="Bearer key",
            X_Other="kept",
            Connection="X-Private",
            X_Private="dropped",
        )
        self.assertEqual((response.code, response.body), (201, b"body"))
        self.assertEqual(response.headers["X-Mine"], "1")
        self.assertEqual(response.headers.get_list("Set-Cookie"), ["a=1", "b=2"])
        self.assertEqual(response.headers["X-Outcome"], "answered")
        self.assertEqual(response.headers["X-Table-Revision"], "7")
        _, call = self.service.calls[0]
        self.assertEqual((call.method, call.body), ("PUT", b"sent"))
        self.assertEqual(call.path, "/some/path?q=1%202")
        self.assertEqual(call.headers["X-Other"], "kept")
        for name in ("Authorization", "X-Private", "Connection", "Host"):
            self.assertNotIn(name, call.headers)

    async def test_outcomes_on_the_wire(self):
        refused = Broken("refused", began=False)
        cases = [
            (refused, 503, "not-run", True),
            (Broken("cut"), 502, "unknown", False),
            (Answer(404, {}, b"theirs"), 404, "answered", False),
        ]
        for item, status, name, retry_after in cases:
            with self.subTest(name):
                self.service.script = {"b0": item, "b1": item}
                response = await self.fetch("/v1/call/once/x")
                self.assertEqual(response.code, status)
                self.assertEqual(response.headers["X-Outcome"], name)
                self.assertEqual("Retry-After" in response.headers, retry_after)

    async def test_rejected_with_findings(self):
        long_key = "k" * 300
        cases = [
            ("/v1/call/app/", {"X_Deadline_Ms": "soon"}, b"", 400, "X-Deadline-Ms"),
            ("/v1/call/app/", {"X_Repeatable": "often"}, b"", 400, "X-Repeatable"),
            ("/v1/call/app/", {"Idempotency_Key": long_key}, b"", 400, "Idempotency"),
            ("/v1/generate/app", {}, b"{", 400, "(root)"),
            ("/v1/generate/app", {}, b'{"prompt": 1, "max_tokens": 0}', 400, "prompt"),
            ("/v1/generate/app", {}, b"[" + b"{}," * 200 + b"0]", 400, "(root)"),
            ("/v1/generate/plain", {}, json.dumps(GENERATE_BODY), 400, "row.model"),
            ("/v1/call/app/", {}, b"x" * (LIMIT + 1), 413, ""),
            ("/v1/call/nobody/", {}, b"", 401, ""),
        ]
        for path, headers, body, status, place in cases:
            with self.subTest(path=path, headers=headers, status=status):
                response = await self.fetch(path, body=body, **headers)
                self.assertEqual(response.code, status, response.body)
                self.assertIn(place, response.body.decode())
        self.assertEqual(self.service.calls, [])
        self.assertEqual(self.engine.offsets, [])

    async def test_body_too_long_is_refused_before_it_is_sent(self):
        reader, writer = await self.send("call/app/", b"", length=LIMIT + 1)
        self.assertIn(b" 413 ", await reader.readline())
        writer.close()

    async def test_query_of_many_arguments_is_passed_on_as_it_came(self):
        """Guards against legal requests refused for fields that nobody here reads."""
        query = "&".join(f"{number:x}" for number in range(3500))
        answer = Answer(200, HTTPHeaders(), b"")
        self.service.script = {"b0": answer, "b1": answer}
        response = await self.fetch(f"/v1/call/app/a?{query}")
        self.assertEqual(response.code, 200)
        self.assertEqual(self.service.calls[-1][1].path, f"/a?{query}")

    async def test_caller_that_leaves_inside_a_body_leaves_no_task(self):
        """Guards against memory that each caller takes who leaves inside a body."""
        before = asyncio.all_tasks()
        _, writer = await self.send("call/app/", b"x", length=LIMIT)
        await until(lambda: asyncio.all_tasks() - before, what="the request")
        writer.close()
        await until(lambda: not asyncio.all_tasks() - before, what="its end")

    async def test_body_without_length_is_bounded_too(self):
        async def produce(write):
            for _ in range(4):
                await write(b"x" * (LIMIT // 2))

        response = await self.client.fetch(
            f"http://127.0.0.1:{self.port}/v1/call/app/",
            method="POST",
            body_producer=produce,
            raise_error=False,
        )
        self.assertEqual(response.code, 413)
        self.assertEqual(self.service.calls, [])

    async def test_expired_and_leaving_are_not_run(self):
        for path, body in (("/v1/call/app/", b""), ("/v1/generate/app", b"")):
            with self.subTest(path):
                body = body or json.dumps({**GENERATE_BODY, "stream": True})
                response = await self.fetch(path, body=body, X_Deadline_Ms="0")
                self.assertEqual(response.code, 503)
                self.assertEqual(response.headers["X-Outcome"], "not-run")
        self.requests.refuse_new()
        response = await self.generate()
        self.assertEqual(response.code, 503)
        self.assertIn("leaving", response.body.decode())
        self.assertEqual(self.requests.key_prefix(), "")
        self.assertEqual(self.service.calls + self.engine.offsets, [])

    async def test_generate_whole_and_streamed(self):
        whole = json.loads((await self.generate()).body)
        self.assertEqual(whole, {"text": "w0 w1 w2 ", "spans": [[1, 0, 3]]})
        response = await self.generate(stream=True)
        lines = [json.loads(line) for line in response.body.splitlines()]
        self.assertEqual([line.get("offset") for line in lines], [0, 1, 2, None])
        last = {"done": True, "length": 3, "spans": [[1, 0, 3]]}
        self.assertEqual(lines[-1], last)

    async def test_stream_that_never_began_has_a_status(self):
        self.engine.faults = {name: [(0, NotRun("full"))] for name in ("b0", "b1")}
        response = await self.generate(stream=True)
        self.assertEqual(response.code, 503)

    async def test_part_of_a_stream_is_never_passed_as_complete(self):
        """Guards against a truncated text that the caller takes for complete.

        The engine dies in the middle of a stream, so the reply must not end regularly.
        """
        self.engine.faults = {name: [(2, Broken("cut"))] for name in ("b0", "b1")}
        self.engine.forgets = {"b0", "b1"}
        body = json.dumps({**GENERATE_BODY, "stream": True}).encode()
        reader, writer = await self.send("generate/app", body)
        reply = await reader.read()
        writer.close()
        self.assertIn(b'{"outcome": "unknown"', reply)
        self.assertNotIn(b"\r\n0\r\n", reply)
        response = await self.generate()
        self.assertEqual(response.code, 200)

    async def test_disconnected_caller_cancels_the_work(self):
        self.service.gate = asyncio.Event()
        self.engine.gate = asyncio.Event()
        for path, body in (
            ("call/app/", b""),
            ("generate/app", json.dumps(GENERATE_BODY).encode()),
            ("generate/app", json.dumps({**GENERATE_BODY, "stream": True}).encode()),
        ):
            with self.subTest(path=path, body=body):
                _, writer = await self.send(path, body)
                await until(lambda: self.requests.in_progress() == 1)
                await until(lambda: self.service.calls or self.engine.known)
                writer.close()
                with contextlib.suppress(ConnectionError):
                    await writer.wait_closed()
                await until(lambda: self.requests.in_progress() == 0)
                self.engine.known.clear()
        await until(lambda: len(self.engine.cancelled) == 2)


if __name__ == "__main__":
    unittest.main()
