"""Tests that bytes without end stay within the memory of a real process."""

import asyncio
import contextlib
import pathlib
import unittest

from sassafrasdoor.platform import configuration, wire
from sassafrasdoor.platform.tests.cases import ENGINES, MODEL, PLAIN, ProcessCase
from sassafrasdoor.platform.tests.test_endless_bytes import EndlessServer

MEMORY_MB = 180
JUNK = b"x" * 65536
CALLERS = 12  # of each kind
MAX_SENT_BYTES = 200_000_000  # of one caller; beyond that its connection is not bounded
# By name, what a caller sends first and then without end.
ENDLESS_REQUESTS = {
    "request line": (b"GET /", JUNK),
    "header": (b"GET /plain/x HTTP/1.1\r\nA: ", JUNK),
    "headers": (b"GET /plain/x HTTP/1.1\r\n", b"A: b\r\n" * 4096),
    "chunked body": (
        b"POST /plain/x HTTP/1.1\r\nHost: h.example\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + JUNK + b"\r\n",
    ),
    "body with a length": (
        b"POST /plain/x HTTP/1.1\r\nHost: h.example\r\n"
        b"Content-Length: 33000000\r\n\r\n",
        JUNK,
    ),
}


class EndlessBytesTest(ProcessCase):
    more_settings = f"Limits.MemoryMb={MEMORY_MB}\n"

    def peak_memory_mb(self, instance):
        status = pathlib.Path(f"/proc/{instance.process.pid}/status").read_text("utf-8")
        line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) / 1000

    async def check_instances(self):
        for instance in self.instances:
            self.assertTrue(instance.running, self.report())
            self.assertLess(self.peak_memory_mb(instance), MEMORY_MB)
            self.assertTrue(await self.plain_call_returns(instance, 200))

    async def send_endlessly(self, address, first, block):
        """Send until the connection ends; return the number of bytes sent."""
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        reading = asyncio.ensure_future(reader.read())
        sent = 0
        with contextlib.suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout(20):
                writer.write(first)
                while sent < MAX_SENT_BYTES and not reading.done():
                    writer.write(block)
                    await writer.drain()
                    sent += len(block)
        reading.cancel()
        writer.transport.abort()
        return sent

    async def test_replicas_that_send_without_end(self):
        """Guards against a process over its memory, with all its calls, by some replicas."""
        replicas = []
        for number, (service, head) in enumerate(
            [(PLAIN, b"HTTP/1.1 200 OK\r\n"), (ENGINES, b"HTTP/1.1 200 OK\r\n")] * 3
        ):
            stamped = f"{wire.STAMP}: x\r\n{wire.REQUEST_ID}: endless\r\n\r\n".encode()
            server = EndlessServer(head + stamped, JUNK)
            address = await server.start()
            self.addCleanup(server.stop)
            entry = {
                **self.plain[0].entry(service, [MODEL]),
                "Address": address,
                "Slots": 64,
            }
            await self.store.put(configuration.SERVERS_TOPIC, f"n{number}", entry)
            replicas.append(server)
        headers = {wire.REQUEST_ID: "endless", wire.DEADLINE: "3000"}
        for _ in range(3):
            await asyncio.gather(
                *[
                    self.fetch(instance.front, path, "POST", "b", **headers)
                    for instance in self.instances
                    for path in ["/plain/x", "/o/x"] * CALLERS
                ]
            )
        self.assertTrue(any(server.sent_bytes for server in replicas))
        self.assertEqual((await self.submit("s")).code, 202)
        for number in range(len(replicas)):
            await self.store.put(configuration.SERVERS_TOPIC, f"n{number}", None)
        self.check_texts(await self.wait_until(lambda: self.all_results("s", 1)))
        # Each instance reads within half a second that these replicas are gone.
        for instance in self.instances:
            await self.wait_until(
                lambda instance=instance: self.plain_call_returns(instance, 200)
            )
        await self.check_instances()

    async def test_callers_that_send_without_end(self):
        """Guards against a process over its memory by some callers."""
        instance = self.instances[1]
        for address in (instance.front, instance.directory, instance.control):
            for name, request in ENDLESS_REQUESTS.items():
                with self.subTest(name, address=address):
                    sent = await asyncio.gather(
                        *[
                            self.send_endlessly(address, *request)
                            for _ in range(CALLERS)
                        ]
                    )
                    self.assertLess(max(sent), MAX_SENT_BYTES)
                    self.assertLess(self.peak_memory_mb(instance), MEMORY_MB)
        await self.check_instances()


if __name__ == "__main__":
    unittest.main()
