"""Tests of the fault-injecting proxy."""

import asyncio
import contextlib
import unittest

from sassafrasdoor.standin.proxy import Proxy


async def echo(reader, writer):
    with contextlib.suppress(asyncio.CancelledError, OSError):
        while chunk := await reader.read(1024):
            writer.write(chunk)
    writer.close()


class ProxyTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = await asyncio.start_server(echo, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.proxy = await Proxy(f"127.0.0.1:{port}").open()
        self.reader, self.writer = await self.connect()

    async def asyncTearDown(self):
        self.writer.close()
        await self.proxy.close()
        self.server.close()

    async def connect(self):
        host, port = self.proxy.address.split(":")
        return await asyncio.open_connection(host, int(port))

    async def test_passes_bytes_both_ways(self):
        self.writer.write(b"hello")
        self.assertEqual(await self.reader.readexactly(5), b"hello")

    async def test_frozen_bytes_arrive_after_thaw(self):
        self.proxy.set({"freeze": True})
        self.writer.write(b"later")
        pending = asyncio.ensure_future(self.reader.readexactly(5))
        await asyncio.sleep(0)
        self.assertFalse(pending.done())
        self.proxy.set({"freeze": False})
        self.assertEqual(await pending, b"later")

    async def test_faults_end_or_reset_the_connection(self):
        for faults in ({"truncate": 2}, {"refuse": True}):
            with self.subTest(faults=faults):
                self.proxy.set({"clear": True, **faults})
                reader, writer = await self.connect()
                writer.write(b"abcdef")
                with self.assertRaises((asyncio.IncompleteReadError, OSError)):
                    await reader.readexactly(6)
                writer.close()

    async def test_cut_ends_open_connections(self):
        self.writer.write(b"x")
        await self.reader.readexactly(1)
        self.proxy.set({"cut": True})
        with self.assertRaises((asyncio.IncompleteReadError, OSError)):
            await self.reader.readexactly(1)
