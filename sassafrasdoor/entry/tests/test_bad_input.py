"""Malformed input at any port of an instance is refused and does not stop it."""

import asyncio
import contextlib
import copy
import json
import os
import unittest

import capnp

from sassafrasdoor import settings as settings_module
from sassafrasdoor.cluster import KEYS, TABLE, Cluster
from sassafrasdoor.control import messages
from sassafrasdoor.outcomes import Unavailable
from sassafrasdoor.peers.link import PeerLink
from sassafrasdoor.security import key_hash
from sassafrasdoor.support import until

BODY_LIMIT = 20_000
CALL, GENERATE = "/v1/call/idempotent/work", "/v1/generate/chat"
STEPS, FETCH = "/v1/steps/trainer", "/v1/steps/trainer/step-1/fetch"
PROMPT = {"prompt": "p", "max_tokens": 2}
STEP = {
    "step": "step-1",
    "attach": 1,
    "groups": [{"prompt": "p"}],
    "samples_per_group": 2,
    "max_tokens": 4,
}
OK, WRONG_KEY = KEYS["idempotent"], "wrong-key"
TRAINER = KEYS["trainer"]
MANY_DIGITS = "9" * 5000
LONE_SURROGATE = b'{"prompt": "\\ud800", "max_tokens": 2}'
DEEPLY_NESTED = b"[" * 9000


def merge(document, **changes):
    return {**document, **changes}


# method, path, key, headers, body, status, place of a finding (empty: no findings)
CASES = [
    ("GET", "/no/such/path", OK, {}, None, 404, ""),
    ("BREW", "/no/such/path", OK, {}, None, 405, ""),
    ("POST", "/healthz", "", {}, b"", 405, ""),
    ("BREW", "/v1/status", "", {}, None, 405, ""),
    ("POST", "/v1/addresses", "", {}, b"", 405, ""),
    ("GET", "/v1/addresses?row=%ff", "", {}, None, 400, ""),
    ("GET", GENERATE, OK, {}, None, 405, ""),
    ("GET", STEPS, TRAINER, {}, None, 405, ""),
    ("BREW", CALL, OK, {}, None, 405, ""),
    ("GET", "/v1/events?since=soon", "", {}, None, 400, "since"),
    ("GET", "/v1/events?since=-1", "", {}, None, 400, "since"),
    ("GET", f"/v1/events?since={MANY_DIGITS}", "", {}, None, 400, "since"),
    ("POST", "/v1/call/nobody/work", OK, {}, b"", 401, ""),
    ("POST", CALL, WRONG_KEY, {}, b"", 401, ""),
    ("POST", CALL, TRAINER, {}, b"", 401, ""),
    ("POST", CALL, "", {}, b"", 401, ""),
    ("POST", CALL, "", {"Authorization": "Basic eA=="}, b"", 401, ""),
    ("POST", CALL, "k" * 9000, {}, b"", 401, ""),
    ("POST", STEPS, OK, {}, STEP, 401, ""),
    ("DELETE", "/v1/steps/trainer/step-1", OK, {}, None, 401, ""),
    ("DELETE", "/v1/steps/trainer/step-9", TRAINER, {}, None, 404, ""),
    ("POST", "/v1/steps/other/step-1/fetch", TRAINER, {}, {"attach": 1}, 401, ""),
    ("POST", CALL, OK, {"X-Deadline-Ms": "soon"}, b"", 400, "X-Deadline-Ms"),
    ("POST", CALL, OK, {"X-Deadline-Ms": "-1"}, b"", 400, "X-Deadline-Ms"),
    ("POST", CALL, OK, {"X-Deadline-Ms": MANY_DIGITS}, b"", 400, "X-Deadline-Ms"),
    ("POST", CALL, OK, {"X-Deadline-Ms": "0"}, b"", 503, ""),
    ("POST", CALL, OK, {"X-Repeatable": "maybe"}, b"", 400, "X-Repeatable"),
    ("POST", CALL, OK, {"Idempotency-Key": "k" * 300}, b"", 400, "Idempotency-Key"),
    ("POST", CALL, OK, {"Idempotency-Key": "schlüssel"}, b"", 400, "Idempotency-Key"),
    ("POST", CALL, OK, {}, b"x" * (BODY_LIMIT + 1), 413, ""),
    ("POST", STEPS, TRAINER, {}, b"x" * (BODY_LIMIT + 1), 413, ""),
    ("POST", FETCH, TRAINER, {}, b"x" * (BODY_LIMIT + 1), 413, ""),
    ("GET", "/healthz", "", {}, b"x" * (BODY_LIMIT + 1), 413, ""),
    ("POST", GENERATE, OK, {}, b"", 400, "(root)"),
    ("POST", GENERATE, OK, {}, b"{", 400, "(root)"),
    ("POST", GENERATE, OK, {}, b"\xff\xfe", 400, "(root)"),
    ("POST", GENERATE, OK, {}, DEEPLY_NESTED, 400, "(root)"),
    ("POST", GENERATE, OK, {}, LONE_SURROGATE, 400, "(root)"),
    ("POST", GENERATE, OK, {}, [], 400, "(root)"),
    ("POST", GENERATE, OK, {}, merge(PROMPT, prompt=1), 400, "prompt"),
    ("POST", GENERATE, OK, {}, merge(PROMPT, max_tokens="2"), 400, "max_tokens"),
    ("POST", GENERATE, OK, {}, merge(PROMPT, max_tokens=10**30), 400, "max_tokens"),
    ("POST", GENERATE, OK, {}, merge(PROMPT, colour=1), 400, "colour"),
    ("POST", STEPS, TRAINER, {}, b"{", 400, "(root)"),
    ("POST", STEPS, TRAINER, {}, DEEPLY_NESTED, 400, "(root)"),
    ("POST", STEPS, TRAINER, {}, merge(STEP, step="a/b"), 400, "step"),
    ("POST", STEPS, TRAINER, {}, merge(STEP, attach=0), 400, "attach"),
    ("POST", STEPS, TRAINER, {}, merge(STEP, attach="1"), 400, "attach"),
    ("POST", STEPS, TRAINER, {}, merge(STEP, groups=[]), 400, "groups"),
    ("POST", STEPS, TRAINER, {}, merge(STEP, groups=[{}]), 400, "groups.0.prompt"),
    ("POST", STEPS, TRAINER, {}, merge(STEP, token="*"), 400, "token"),
    ("POST", STEPS, TRAINER, {}, merge(STEP, token="AAAA"), 400, "token"),
    ("POST", STEPS, TRAINER, {}, merge(STEP, token="/w=="), 400, "token"),
    ("POST", STEPS, TRAINER, {}, merge(STEP, seed=-1), 400, "seed"),
    (
        "POST",
        STEPS,
        TRAINER,
        {},
        merge(STEP, samples_per_group=10**6),
        400,
        "samples_per_group",
    ),
    ("POST", FETCH, TRAINER, {}, {"attach": 1, "token": "*"}, 400, "token"),
    ("POST", FETCH, TRAINER, {}, {"attach": 1, "wait_ms": -1}, 400, "wait_ms"),
    ("POST", "/v1/steps/trainer/step-9/fetch", TRAINER, {}, {"attach": 1}, 404, ""),
]

# Requests that Tornado rejects before they reach a handler.
GARBAGE = {
    "no HTTP at all": b"\x00\xff\x16\x03\x01 garbage\r\n\r\n",
    "a request line cut short": b"GET\r\n\r\n",
    "no version": b"GET / FTP/9.9\r\nHost: x\r\n\r\n",
    "a header without a colon": b"GET / HTTP/1.1\r\nHost: x\r\nnonsense\r\n\r\n",
    "two lengths": b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
    b"Content-Length: 2\r\n\r\nxx",
    "a negative length": b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
    "a length and chunks": b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "a bad chunk": b"POST /v1/generate/chat HTTP/1.1\r\nHost: x\r\n"
    b"Authorization: Bearer " + OK.encode() + b"\r\n"
    b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
    "an oversize header": b"GET /healthz HTTP/1.1\r\nX: " + b"x" * 70_000 + b"\r\n\r\n",
}

FRAMES = {
    "garbage": os.urandom(64),
    "HTTP": b"GET / HTTP/1.1\r\n\r\n",
    "a claim of 4 GB": b"\x00\x00\x00\x00\xff\xff\xff\x1f" + b"x" * 64,
    "half a million segments": b"\xff\xff\x07\x00" + b"\x01" * 64,
    "a segment too few": b"\1\0\0\0\1\0\0\0\xe8\3\0\0\0\0\0\0" + b"\1" * 8,
    "a frame cut short": b"\x00\x00\x00\x00\x10\x00\x00\x00\x00",
}
DATAGRAMS = [b"", b"\x00", b"\xff", b"\x10" + b"x" * 40, os.urandom(1200), b"x" * 9000]
TRACEBACK_MARKERS = ("Traceback", "Exception", "Error:", 'File "')


class SingleInstanceCluster:
    """A cluster of one instance, one engine and one service."""

    async def start(self, **settings):
        self.cluster = await self.enterAsyncContext(Cluster(settings))
        await self.cluster.start(instances=1, engines=1)
        self.instance = self.cluster.instances[0]
        self.address = self.instance.address

    async def serves_calls(self):
        """Return whether a valid call is answered, so that the instance still serves."""
        status, _ = await self.cluster.post(self.address, CALL, {}, OK)
        return status == 200

    def assert_no_tracebacks(self):
        for process in (self.instance.entry, self.instance.control):
            self.assertIsNone(process.returncode)
            for line in process.output:
                self.assertFalse(
                    [marker for marker in TRACEBACK_MARKERS if marker in line], line
                )

    async def counter_sum(self, name):
        """Return the sum of a counter on the entry's metrics page."""
        page = await self.cluster.raw("GET", self.address, "/metrics")
        lines = page.body.decode().splitlines()
        return sum(float(line.split()[-1]) for line in lines if line.startswith(name))


async def send_raw(address, data, half_close=True):
    """Send raw bytes; return all bytes received until the peer closes."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    received = b""
    try:
        writer.write(data)
        if half_close:
            # The peer may have refused and closed before all was sent; its reply is
            # checked all the same.
            with contextlib.suppress(OSError):
                writer.write_eof()
        async with asyncio.timeout(10):
            received = await reader.read()
    except ConnectionError:
        pass
    finally:
        writer.close()
    return received


class BadInputTest(SingleInstanceCluster, unittest.IsolatedAsyncioTestCase):
    async def test_malformed_requests_are_refused(self):
        """Guards against malformed requests that end a process or expose a traceback."""
        await self.start(requests={"body_limit": BODY_LIMIT})
        status, _ = await self.cluster.post(self.address, STEPS, STEP, TRAINER)
        self.assertEqual(status, 202)
        for method, path, key, headers, body, status, place in CASES:
            with self.subTest(f"{method} {path[:40]}", sent=str((headers, body))[:60]):
                await self.assert_refused(
                    method, path, key, headers, body, status, place
                )
        for name, data in GARBAGE.items():
            with self.subTest(name):
                answer = await send_raw(self.address, data)
                self.assertNotIn(b"Traceback", answer)
                self.assertIn(answer[:12], (b"", b"HTTP/1.1 400"), answer)
        self.assertTrue(await self.serves_calls())
        self.assert_no_tracebacks()

    async def assert_refused(self, method, path, key, headers, body, status, place):
        document = body if isinstance(body, dict | list) else None
        raw = json.dumps(body).encode() if document is not None else body
        reply = await self.request(method, path, key, headers, raw)
        self.assertEqual(reply.code, status, reply.body)
        answer = json.loads(reply.body)
        self.assertIn("json", reply.headers["Content-Type"])
        expected = "not-run" if status == 503 else "rejected"
        self.assertEqual(answer["outcome"], expected)
        self.assertEqual(reply.headers["X-Outcome"], expected)
        self.assertTrue(answer["reason"])
        self.assertNotIn("Traceback", reply.body.decode())
        places = [finding["place"] for finding in answer["findings"]]
        self.assertTrue(place in places if place else not places, places)

    async def request(self, method, path, key, headers, body):
        lines = [f"{method} {path} HTTP/1.1", "Host: x", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if key:
            lines.append(f"Authorization: Bearer {key}")
        if body is not None:
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines) + "\r\n\r\n"
        answer = await send_raw(self.address, head.encode() + (body or b""), False)
        return Reply(answer)


class Reply:
    """The status code, headers and body of a raw HTTP reply."""

    def __init__(self, data):
        head, _, self.body = data.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        self.code = int(first.split()[1]) if first else 0
        self.headers = dict(line.split(": ", 1) for line in lines)


class KeyRotationTest(SingleInstanceCluster, unittest.IsolatedAsyncioTestCase):
    async def test_replaced_key_is_refused_under_the_new_table(self):
        """Guards against a key that stays valid after its table was replaced."""
        await self.start()
        status, document = await self.cluster.get(self.address, "/v1/status")
        self.assertEqual(status, 200)
        base = document["revision"]
        steps = [
            ([OK, "new-key"], {OK: 200, "new-key": 200}),
            (["new-key"], {OK: 401, "new-key": 200}),
        ]
        for number, (keys, expected) in enumerate(steps):
            table = copy.deepcopy(TABLE)
            table["rows"][1]["key_hashes"] = [key_hash(key) for key in keys]
            base = await self.cluster.propose(table, base, f"rotation-{number}")
            await until(lambda base=base: self.is_in_force(base), what="the new table")
            for key, code in expected.items():
                status, _ = await self.cluster.post(self.address, CALL, {}, key)
                self.assertEqual(status, code, (keys, key))

    async def is_in_force(self, revision):
        _, document = await self.cluster.get(self.address, "/v1/status")
        return document["revision"] == revision


class PeerPortsTest(SingleInstanceCluster, unittest.IsolatedAsyncioTestCase):
    async def test_malformed_frames_close_only_their_connection(self):
        """Guards against malformed frames and datagrams that end a process."""
        await self.start()
        ready = self.instance.control.ready
        peer = self.instance.entry.ready["peer"]
        for port in (peer, ready["control"]):
            for name, frame in FRAMES.items():
                with self.subTest(name, port=port):
                    self.assertNotIn(b"Traceback", await send_raw(port, frame))
        self.assertGreater(await self.counter_sum("peer_broken_total"), 0)
        loop = asyncio.get_running_loop()
        host, port = ready["gossip"].split(":")
        transport, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, remote_addr=(host, int(port))
        )
        for datagram in DATAGRAMS:
            transport.sendto(datagram)
        transport.close()
        for keys in ([], ["another-key-for-peers"]):
            document = {"membership": {"peer_keys": keys}}
            link = PeerLink(
                settings_module.from_document(document),
                ready["control"],
                messages.SCHEMA.Control,
            )
            async with capnp.kj_loop():
                self.assertIsInstance(await link.open(), Unavailable)
        self.assertTrue(await self.serves_calls())
        self.assert_no_tracebacks()
