"""The product's own interface before a plain service whose answers are broken."""

import asyncio
import json
import unittest

from sassafrasdoor.cluster import KEYS
from sassafrasdoor.requests.tests.cases import SHORT_TIMEOUTS, ProcessCase
from sassafrasdoor.support import until
from sassafrasdoor.tests.broken_answers import BROKEN_ANSWERS, BrokenServer

SERVICE = "occupancy"
# Half of the calls that are made at a time meet the broken service.
RETRIES = {"admission": {**SHORT_TIMEOUTS["admission"], "retry_budget": 1.0}}
SETTINGS = {**SHORT_TIMEOUTS, **RETRIES}
CALLS = 20  # at a time, so that each server gets some
MAX_ROUNDS = 20
HEAD_END = b"\r\n\r\n"
LOAD = json.dumps(
    {
        "running": 0,
        "queued": 0,
        "capacity": 64,
        "age_ms": 0,
        "versions": {},
        "role": "",
        "leaving": False,
    }
).encode()
KINDS = (
    "status 600",
    "switch of protocols",
    "another version",
    "blank in a name",
    "cut behind a line",
    "cut behind a status without a body",
    "cut behind a refusal",
)


class Server(BrokenServer):
    """Reports its load soundly; all other answers are broken."""

    def respond(self, head):
        if not head.startswith(b"GET /load "):
            return super().respond(head)
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(LOAD), LOAD)


class BrokenAnswersTest(ProcessCase):
    async def register(self, name, server):
        """List a broken service until the test ends; return once it is known."""
        document = {
            "name": name,
            "kind": "service",
            "service": SERVICE,
            "address": await server.start(),
            "availability_zone": "zone-a",
            "capacity": 64,
            "state": "alive",
        }
        self.addCleanup(server.stop)
        await self.call_platform("PUT", name, document)
        await until(lambda: self.is_known(name))

    async def call_platform(self, method, name, document=None):
        platform = self.cluster.platform_url.removeprefix("http://")
        path = f"/instances/{name}"
        status, _ = await self.cluster.call(method, platform, path, document=document)
        self.assertLess(status, 300)

    async def is_known(self, name):
        _, page = await self.cluster.get(self.address, "/v1/status")
        return name in {backend["name"] for backend in page["backends"]}

    async def raw_call(self, row):
        """Return status, headers by lower-case name, and body of a call's answer."""
        reader, writer = await asyncio.open_connection(*self.address.split(":"))
        writer.write(
            f"POST /v1/call/{row}/do HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
            f"Authorization: Bearer {KEYS[row]}\r\nConnection: close\r\n\r\n{{}}".encode()
        )
        head, _, body = (await reader.read()).partition(HEAD_END)
        writer.close()
        first, *lines = head.decode("ascii").split("\r\n")
        pairs = (line.split(": ", 1) for line in lines)
        return int(first.split()[1]), {n.lower(): v for n, v in pairs}, body

    async def answers_of(self, row, kind):
        """Return the answers to calls of which at least one met a broken service."""
        server = Server(BROKEN_ANSWERS[kind])
        name = f"broken-{row}-{KINDS.index(kind)}"
        await self.register(name, server)
        answers = []
        for _ in range(MAX_ROUNDS):
            calls = (self.raw_call(row) for _ in range(CALLS))
            answers += await asyncio.gather(*calls)
            if server.requests:
                break
        self.assertGreater(server.requests, 0)
        await self.call_platform("DELETE", name)
        return answers

    async def test_callers_get_their_own_answers_or_a_failure(self):
        """Guards against parts of answers that callers get as whole ones."""
        cluster = await self.cluster(SETTINGS, instances=1, engines=1, services=1)
        self.address = cluster.instances[0].address
        for row, failures in (("idempotent", set()), ("once", {502})):
            for kind in KINDS:
                with self.subTest(kind, row=row):
                    for status, headers, body in await self.answers_of(row, kind):
                        if status in failures:
                            self.assertEqual(headers["x-outcome"], "unknown")
                            continue
                        self.assertEqual(status, 200)
                        self.assertEqual(json.loads(body)["service"], "service-1")


if __name__ == "__main__":
    unittest.main()
