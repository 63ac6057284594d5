import asyncio
import random
import socket
import unittest
from unittest import mock

import capnp

from sassafrasdoor import settings
from sassafrasdoor.control import messages
from sassafrasdoor.events import EVENTS
from sassafrasdoor.outcomes import Unavailable
from sassafrasdoor.peers import proof
from sassafrasdoor.peers.link import PeerLink
from sassafrasdoor.peers.server import REFUSED, SCHEMA, UNAUTHENTICATED, PeerServer
from sassafrasdoor.support import until

CONTROL = messages.SCHEMA.Control
NEVER = asyncio.Event


class FakeControl(CONTROL.Server):
    """Answers ``leave``, never answers ``events``, fails ``fetch``."""

    async def leave(self, stamp, _context, **_):
        return stamp + 1

    async def events(self, since, stamp, _context, **_):
        await NEVER().wait()

    async def fetch_context(self, context):
        raise ValueError("broken")


def counter_value(counter):
    return counter.values.store.get("__EMPTY__", 0)


def settings_with(*keys):
    return settings.from_document({"membership": {"peer_keys": list(keys)}})


def on_kj_loop(test):
    async def run(self):
        async with capnp.kj_loop():
            await test(self)

    run.__doc__ = test.__doc__
    return run


class PeerLinkTests(unittest.IsolatedAsyncioTestCase):
    async def serve(self, *keys):
        server = PeerServer(settings_with(*keys), "127.0.0.1", 0, FakeControl())
        await server.start()
        return server

    def link(self, address, *keys):
        return PeerLink(settings_with(*keys), address, CONTROL)

    @on_kj_loop
    async def test_accepted_and_refused_keys(self):
        """Guards against unauthenticated links, and failures during a key rotation."""
        cases = [
            (("new", "old"), ("old",), True),
            (("new", "old"), ("new", "old"), True),
            (("old", "new"), ("new", "old"), True),
            (("new",), ("other",), False),
            (("new",), (), False),
            ((), ("new",), False),
            ((), (), True),
        ]
        for server_keys, caller_keys, is_accepted in cases:
            with self.subTest(server=server_keys, caller=caller_keys):
                server = await self.serve(*server_keys)
                link = self.link(server.address, *caller_keys)
                opened = await link.open()
                self.assertEqual(opened is None, is_accepted, opened)
                answer = await link.call("leave", stamp=4)
                self.assertEqual(bool(answer), is_accepted)
                link.close()
                await server.close()

    @on_kj_loop
    async def test_caller_with_a_replayed_proof_is_refused(self):
        """Guards against a replayed proof."""
        server = await self.serve("key")
        before = counter_value(REFUSED)
        host, _, port = server.address.rpartition(":")
        stream = await capnp.AsyncIoStream.create_connection(host, int(port))
        door = capnp.TwoPartyClient(stream).bootstrap().cast_as(SCHEMA.Door)
        recorded = proof.prove_client(["key"], b"another nonce 16", "x", 5)
        with self.assertRaises(capnp.KjException):
            await door.enter(caller="x", stamp=5, mac=recorded)
        self.assertEqual(counter_value(REFUSED), before + 1)
        with self.assertRaises(capnp.KjException):
            await door.ping(stamp=1 << 60)
        self.assertLess(EVENTS.clock.stamp(), 1 << 60)
        stream.close()
        await server.close()

    @on_kj_loop
    async def test_call_to_a_silent_peer_times_out(self):
        """Guards against a call to a silent peer that never ends."""
        server = await self.serve()
        link = self.link(server.address)
        await link.open()
        self.assertIsInstance(
            await link.call("events", timeout=0.1, since=0, stamp=0), Unavailable
        )
        self.assertFalse(link.connected)
        self.assertIsNone(await link.open())
        await server.close()
        with socket.create_server(("127.0.0.1", 0)) as unresponsive:
            link = self.link(f"127.0.0.1:{unresponsive.getsockname()[1]}")
            self.assertIsInstance(await link.open(timeout=0.1), Unavailable)

    @on_kj_loop
    async def test_failing_method_is_unavailable(self):
        server = await self.serve()
        link = self.link(server.address)
        await link.open()
        self.assertIsInstance(await link.call("fetch", asOf=0, stamp=0), Unavailable)
        self.assertFalse(link.connected)
        await server.close()

    @on_kj_loop
    async def test_bad_frames_end_only_their_connection(self):
        """Guards against a malformed frame that ends other connections."""
        server = await self.serve()
        link = self.link(server.address)
        await link.open()
        frames = {
            "garbage": b"garbage" * 50,
            "too many segments": b"\xff" * 64,
            "truncated": b"\x00\x00\x00\x00\x05\x00\x00\x00abc",
            "header claims 16 GB": b"\x00\x00\x00\x00\xff\xff\xff\x7f" + bytes(64),
        }
        rng = random.Random(11)
        for number in range(30):
            # One segment of 8 words: a valid frame with arbitrary contents.
            head = b"\0\0\0\0\x08\0\0\0" if number % 2 else b""
            words = rng.choices((0, 1, 2, 4, 0xFF, rng.randrange(256)), k=64)
            frames[f"seeded {number}"] = head + bytes(words)
        host, _, port = server.address.rpartition(":")
        for name, frame in frames.items():
            with self.subTest(name):
                before = counter_value(UNAUTHENTICATED)
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(frame)
                writer.write_eof()
                self.assertIsNotNone(await reader.read())
                writer.close()
                await until(
                    lambda: server.connections == 1, what="the bad connection's end"
                )
                self.assertGreater(counter_value(UNAUTHENTICATED), before)
                self.assertTrue(await link.call("leave", stamp=1))
        link.close()
        await server.close()

    @on_kj_loop
    async def test_unauthenticated_connection_is_closed(self):
        """Guards against unauthenticated connections that use up the descriptors."""
        server = await self.serve("key")
        link = self.link(server.address, "key")
        before = counter_value(UNAUTHENTICATED)
        with mock.patch("sassafrasdoor.peers.server.AUTHENTICATION_TIMEOUT", 0.2):
            await link.open()
            host, _, port = server.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            self.assertEqual(await reader.read(), b"")
        await until(lambda: server.connections == 1, what="only the peer left")
        self.assertEqual(counter_value(UNAUTHENTICATED), before + 1)
        self.assertTrue(await link.ping())
        writer.close()
        link.close()
        await server.close()

    @on_kj_loop
    async def test_run_reconnects(self):
        server = await self.serve()
        link = self.link(server.address)
        task = asyncio.create_task(link.run())
        await until(lambda: link.connected, what="connection")
        await server.close()
        await until(lambda: not link.connected, what="heartbeat to fail")
        port = int(link.address.rpartition(":")[2])
        server = PeerServer(settings_with(), "127.0.0.1", port, FakeControl())
        await server.start()
        await until(lambda: link.connected, what="reconnection")
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await server.close()

    @on_kj_loop
    async def test_messages_carry_clock_stamps(self):
        server = await self.serve()
        link = self.link(server.address)
        future = EVENTS.clock.stamp() + (60_000 << 16)
        await link.open()
        EVENTS.clock.observe(future)
        self.assertGreater((await link.ping()).stamp, future)
        link.close()
        await server.close()
