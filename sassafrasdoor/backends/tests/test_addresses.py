"""Tests of ``Connections`` with addresses that can't be used."""

import unittest

from sassafrasdoor.backends.connections import Connections, OutgoingRequest
from sassafrasdoor.backends.interface import Broken
from sassafrasdoor.clock import deadline_in

LONG = 2**20
ADDRESSES = [
    "",
    "nowhere",
    ":",
    "127.0.0.1:",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:65536",
    "127.0.0.1:70000",
    "127.0.0.1:9999999999",
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.1:http",
    "127.0.0.1:\N{SUPERSCRIPT TWO}",
    "127.0.0.1\0:80",
    "127.0.0.1\r\n:80",
    "10.0.0.1 x:80",
    "[::1]:80",
    "::1:80",
    "a..b:80",
    "\ud800:80",
    "a" * LONG + ":80",
]


class AddressesTest(unittest.IsolatedAsyncioTestCase):
    async def test_unusable_address_is_a_broken_connection(self):
        """Guards against a process that ends by the address of a replica.

        A port out of range raised an error that the tasks which place items and order
        loads do not expect.
        """
        connections = Connections()
        self.addCleanup(connections.close)
        for address in ADDRESSES:
            with self.subTest(address[:40]):
                request = OutgoingRequest("GET", "/", deadline=deadline_in(5.0))
                for result in (
                    await connections.try_connect(address),
                    await connections.send(address, request),
                ):
                    self.assertIsInstance(result, Broken)
                    self.assertFalse(result.began)


if __name__ == "__main__":
    unittest.main()
