"""Tests of the entry's listeners."""

import unittest
from unittest import mock

from tornado.httpclient import AsyncHTTPClient
from tornado.netutil import bind_sockets

from sassafrasdoor.control.link import ControlLink
from sassafrasdoor.entry.components import Components
from sassafrasdoor.entry.server import EntryServer
from sassafrasdoor.settings import from_document

LOOPBACK = "127.0.0.1"


class ListenersTest(unittest.IsolatedAsyncioTestCase):
    async def test_host_name_with_several_addresses_is_served_at_each(self):
        """Guards against an entry that does not start where its host has two addresses."""
        settings = from_document({})
        components = Components(settings, ControlLink(settings, f"{LOOPBACK}:1"))
        self.addAsyncCleanup(components.close)
        sockets = [sock for _ in range(2) for sock in bind_sockets(0, LOOPBACK)]
        ports = [sock.getsockname()[1] for sock in sockets]
        server = EntryServer(settings, components)
        with mock.patch("tornado.netutil.bind_sockets", return_value=sockets):
            server.listen()
        client = AsyncHTTPClient(force_instance=True)
        self.addCleanup(client.close)
        for port in ports:
            reply = await client.fetch(f"http://{LOOPBACK}:{port}/healthz")
            self.assertEqual(reply.code, 200)
        await server.close()
        self.assertEqual([sock.fileno() for sock in sockets], [-1, -1])


if __name__ == "__main__":
    unittest.main()
