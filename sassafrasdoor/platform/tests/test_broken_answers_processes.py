"""Real processes before replicas whose answers are broken; callers read raw bytes."""

import asyncio
import re
import unittest

from sassafrasdoor.clock import now
from sassafrasdoor.platform import configuration, wire
from sassafrasdoor.platform.standin import ReplicaStandin
from sassafrasdoor.platform.tests.cases import (
    HOST,
    PLAIN,
    ROUTE,
    ROUTES,
    SERVICES,
    ProcessCase,
)
from sassafrasdoor.tests.broken_answers import BROKEN_ANSWERS, BrokenServer

MAX_CALLS = 40  # until a call has reached the broken replica
TARGET = 500  # ms
AT_ONCE = 2.0  # seconds; the deadline of the calls is four times as long
STATUS_LINE = re.compile(rb"HTTP/1\.1 ([1-5]\d\d) [\x20-\x7e]*")
FIELD = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[\t ]*([\t\x20-\x7e]*)")
GATEWAY_FAILURES = {502, 504}
SAFE, UNSAFE, STREAM, RESUMABLE = "safe", "unsafe", "streaming", "resumable"
BROKEN_STAMP = "broken"


def fields_of(head):
    """Return the fields of a broken replica's answer to a request."""
    name = re.search(rf"{wire.REQUEST_ID}: (\S+)".encode(), head, re.IGNORECASE)
    request_id = name.group(1).decode() if name else ""
    return (
        f"{wire.REQUEST_ID}: {request_id}\r\n{wire.STAMP}: {BROKEN_STAMP}\r\n".encode()
    )


class RawAnswer:
    """An answer as its bytes say: ``status``, ``headers`` by lower-case name, ``body``."""

    def __init__(self, head, body):
        first, *lines = head.removesuffix(b"\r\n\r\n").split(b"\r\n")
        self.status = int(STATUS_LINE.fullmatch(first).group(1))
        matches = [FIELD.fullmatch(line) for line in lines]
        self.headers = {
            match[1].decode().lower(): match[2].decode() for match in matches
        }
        self.body = body


async def raw_call(address, path, request_id):
    """Return the ``RawAnswer`` to a call; raises if the bytes are no answer."""
    reader, writer = await asyncio.open_connection(*address.split(":"))
    try:
        writer.write(
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 1\r\n"
            f"{wire.REQUEST_ID}: {request_id}\r\n\r\nb".encode()
        )
        head = await reader.readuntil(b"\r\n\r\n")
        answer = RawAnswer(head, b"")
        if "content-length" in answer.headers:
            answer.body = await reader.readexactly(
                int(answer.headers["content-length"])
            )
        else:
            answer.body = await _chunks(reader)
        return answer
    finally:
        writer.close()


async def _chunks(reader):
    body = b""
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return body
        body += data[:size]


class BrokenAnswersTest(ProcessCase):
    """For each fault and kind of route a service of its own."""

    async def asyncSetUp(self):
        self.faults = dict(enumerate(BROKEN_ANSWERS))
        await super().asyncSetUp()
        self.servers = {}
        routes, services = list(ROUTES), list(SERVICES)
        for number, name in self.faults.items():
            for kind in (SAFE, UNSAFE, STREAM, RESUMABLE):
                service = f"{kind}-{number}"
                services.append({"Name": service})
                routes.append(self.route(kind, service))
                await self.list_broken(service, BROKEN_ANSWERS[name])
                if kind in (SAFE, RESUMABLE):
                    await self.list_sound(service)
        document = {"Version": 2, "Routes": routes, "Services": services}
        await self.store.configure(document)
        for instance in self.instances:
            await self.wait_until(
                lambda instance=instance: self.knows_all(instance.front, service)
            )

    def route(self, kind, service):
        prefix = "/plain/" if kind in (SAFE, UNSAFE) else "/"
        return {
            **ROUTE,
            "Name": service,
            "PathPrefix": f"{prefix}{service}/",
            "Kind": STREAM if kind == RESUMABLE else kind,
            "Resumable": kind == RESUMABLE,
            "TargetLatencyMs": TARGET,
            "Service": service,
        }

    async def list_broken(self, service, data):
        server = BrokenServer(data, fields_of)
        address = await server.start()
        self.addCleanup(server.stop)
        entry = {**self.plain[0].entry(service, []), "Address": address}
        identity = f"broken-{service}"
        await self.store.put(configuration.SERVERS_TOPIC, identity, entry)
        self.servers[service] = server

    async def list_sound(self, service):
        replica = ReplicaStandin(f"sound-{service}")
        self.addCleanup(replica.stop)
        entry = replica.entry(service, [])
        await self.store.put(configuration.SERVERS_TOPIC, replica.identity, entry)

    async def knows_all(self, front, service):
        answer = await raw_call(front, f"/{service}/x", "known")
        return answer.status == 200

    async def until_reached(self, service, path):
        """Call until the broken replica got a call; return the answers with their ids."""
        answers = []
        for number in range(MAX_CALLS):
            front = self.instances[number % len(self.instances)].front
            request_id = f"{service}.{number}"
            answers.append((request_id, await raw_call(front, path, request_id)))
            if self.servers[service].requests:
                break
        self.assertTrue(self.servers[service].requests, "the broken one got no call")
        return answers

    async def check_each(self, kind, check):
        results = await asyncio.gather(
            *(check(f"{kind}-{number}") for number in self.faults),
            return_exceptions=True,
        )
        for name, result in zip(self.faults.values(), results, strict=True):
            with self.subTest(name):
                if isinstance(result, BaseException):
                    raise result

    async def test_repeatable_call_gets_the_answer_of_another_replica(self):
        """Guards against broken answers that reach the callers of repeatable calls."""

        async def check(service):
            path = f"/plain/{service}/x"
            for request_id, answer in await self.until_reached(service, path):
                stamp = answer.headers[wire.STAMP.lower()]
                self.assertEqual(answer.status, 200)
                self.assertTrue(stamp.startswith(f"sound-{service}."), stamp)
                self.assertEqual(answer.headers[wire.REQUEST_ID.lower()], request_id)
                self.assertEqual(answer.body, b"answer to " + request_id.encode())

        await self.check_each(SAFE, check)

    async def test_call_that_may_run_once_fails_at_once(self):
        """Guards against broken answers to calls that are not repeated, and late failures."""

        async def check(service):
            await self.check_failure(service, f"/plain/{service}/x")

        await self.check_each(UNSAFE, check)

    async def test_stream_that_may_run_once_fails_at_once(self):
        """Guards against streams that begin by a broken answer."""

        async def check(service):
            await self.check_failure(service, f"/{service}/x")

        await self.check_each(STREAM, check)

    async def check_failure(self, service, path):
        began_at = now()
        answer = await raw_call(self.instances[0].front, path, service)
        self.assertIn(answer.status, GATEWAY_FAILURES)
        self.assertNotIn(wire.STAMP.lower(), answer.headers)
        self.assertLess(now() - began_at, AT_ONCE)
        self.assertEqual(self.servers[service].requests, 1)

    async def test_resumable_stream_is_that_of_another_replica(self):
        """Guards against events of a broken answer in a stream that may be resumed."""

        async def check(service):
            path = f"/{service}/x"
            for request_id, answer in await self.until_reached(service, path):
                events = [f"id: {at}\ndata: {request_id}.{at}\n\n" for at in range(4)]
                stamp = answer.headers[wire.STAMP.lower()]
                self.assertEqual(answer.status, 200)
                self.assertTrue(stamp.startswith(f"sound-{service}."), stamp)
                self.assertEqual(answer.body, "".join(events).encode())

        await self.check_each(RESUMABLE, check)

    async def test_plain_calls_beside_them_are_served(self):
        """Guards against instances that broken answers end."""
        for instance in self.instances:
            self.assertTrue(instance.running, self.report())
            self.assertTrue(await self.plain_call_returns(instance, 200))
        self.assertEqual(SERVICES[0]["Name"], PLAIN)


if __name__ == "__main__":
    unittest.main()
