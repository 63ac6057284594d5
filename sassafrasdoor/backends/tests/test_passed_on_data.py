"""Tests of ``Connections.send`` whose caller takes the data piece by piece."""

import asyncio
import unittest

from sassafrasdoor.backends.connections import Connections, OutgoingRequest
from sassafrasdoor.backends.interface import Broken
from sassafrasdoor.clock import deadline_in

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"
TIMEOUT = 20.0  # seconds


class PassedOnDataTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.closed = asyncio.Event()
        self.taking = asyncio.Event()
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.connections = Connections()
        self.addCleanup(self.connections.close)

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + b"piece")
        await reader.read()
        self.closed.set()
        writer.close()

    async def take_slowly(self, data):
        self.taking.set()
        await asyncio.sleep(TIMEOUT)

    def send(self, seconds):
        request = OutgoingRequest("GET", "/", deadline=deadline_in(seconds))
        return self.connections.send(self.address, request, on_data=self.take_slowly)

    async def test_cancellation_while_data_is_taken_ends_the_call(self):
        """Guards against another attempt for a caller that has left.

        The call was cancelled while the caller's connection took an event; it returned as
        broken, and the stream was resumed at another replica.
        """
        call = asyncio.ensure_future(self.send(TIMEOUT))
        async with asyncio.timeout(TIMEOUT):
            await self.taking.wait()
            call.cancel()
            with self.assertRaises(asyncio.CancelledError):
                await call
            await self.closed.wait()

    async def test_deadline_that_passes_while_data_is_taken_is_a_timeout(self):
        """Guards against a replica counted as broken whose answer was late."""
        async with asyncio.timeout(TIMEOUT):
            result = await self.send(0.2)
            await self.closed.wait()
        self.assertIsInstance(result, Broken)
        self.assertEqual((result.reason, result.began), ("timeout", True))


if __name__ == "__main__":
    unittest.main()
