"""The calling end of an authenticated connection to one peer."""

import asyncio
import random

import capnp

from sassafrasdoor import metrics
from sassafrasdoor.clock import deadline_in, remaining
from sassafrasdoor.events import EVENTS
from sassafrasdoor.outcomes import Unavailable
from sassafrasdoor.peers import proof
from sassafrasdoor.peers.server import MAX_MESSAGE_WORDS, SCHEMA

HEARTBEAT_INTERVAL = 1.0  # seconds
CALL_TIMEOUT = 3.0  # seconds
MIN_RETRY_DELAY = 0.2  # seconds
MAX_RETRY_DELAY = 3.0  # seconds

FAILED = metrics.counter("peer_call_failures_total", "Calls to peers that failed.")


class PeerLink:
    """One connection to ``address``; calls go to its ``interface``.

    A frozen peer, or a connection that a middlebox has dropped silently, accepts
    bytes and never answers, and callers would wait for ever. So each call ends at its
    timeout with ``Unavailable``, and a failed call closes the connection.
    """

    __slots__ = (
        "_address",
        "_capability",
        "_client",
        "_door",
        "_interface",
        "_keys",
        "_name",
        "_stream",
    )

    def __init__(self, settings, address, interface):
        self._address = address
        self._interface = interface
        self._keys = settings.membership.peer_keys
        self._name = settings.instance.name
        self._stream = None
        self._client = None
        self._door = None
        self._capability = None

    @property
    def address(self):
        """The peer's ``host:port``."""
        return self._address

    @property
    def connected(self):
        """Whether the connection is authenticated and no call has failed since."""
        return self._capability is not None

    async def open(self, timeout=CALL_TIMEOUT):
        """Connect and authenticate; return None or ``Unavailable``."""
        self.close()
        try:
            async with asyncio.timeout(timeout):
                await self._connect()
        except PermissionError as error:
            return self._close_after_failure(str(error))
        except (capnp.KjException, OSError, ValueError, TimeoutError) as error:
            return self._close_after_failure(_describe(error))
        return None

    async def _connect(self):
        host, _, port = self._address.rpartition(":")
        self._stream = await capnp.AsyncIoStream.create_connection(host, int(port))
        self._client = capnp.TwoPartyClient(
            self._stream, traversal_limit_in_words=MAX_MESSAGE_WORDS
        )
        self._door = self._client.bootstrap().cast_as(SCHEMA.Door)
        own_nonce = proof.new_nonce()
        answer = await self._door.challenge(nonce=own_nonce)
        peer_nonce = bytes(answer.nonce)
        if not proof.verify_server(self._keys, own_nonce, peer_nonce, answer.mac):
            raise PermissionError("the peer shows no valid key")
        stamp = EVENTS.clock.stamp()
        mac = proof.prove_client(self._keys, peer_nonce, self._name, stamp)
        entered = await self._door.enter(caller=self._name, stamp=stamp, mac=mac)
        EVENTS.clock.observe(entered.stamp)
        self._capability = entered.capability.as_interface(self._interface)

    async def call(self, method, timeout=CALL_TIMEOUT, **arguments):
        """Call ``method``; return its results or ``Unavailable``."""
        if not self.connected:
            return Unavailable("not connected")
        return await self._call_with_timeout(
            getattr(self._capability, method), timeout, arguments
        )

    async def ping(self, timeout=CALL_TIMEOUT):
        """Check that the connection is alive; return the answer or ``Unavailable``."""
        if not self.connected:
            return Unavailable("not connected")
        stamp = EVENTS.clock.stamp()
        return await self._call_with_timeout(self._door.ping, timeout, {"stamp": stamp})

    async def _call_with_timeout(self, method, timeout, arguments):
        try:
            async with asyncio.timeout(timeout):
                return await method(**arguments)
        except (capnp.KjException, OSError, TimeoutError) as error:
            return self._close_after_failure(_describe(error))

    def _close_after_failure(self, reason):
        FAILED.inc({})
        self.close()
        return Unavailable(reason)

    def close(self):
        """Close the connection; calls in flight end with ``Unavailable``."""
        client, stream = self._client, self._stream
        self._capability = self._door = self._client = self._stream = None
        if client is not None:
            client.close()
        if stream is not None:
            stream.close()

    async def run(self):
        """Keep the connection open, with heartbeats and reconnects, until cancelled."""
        delay = MIN_RETRY_DELAY
        try:
            while True:
                if self.connected or await self.open() is None:
                    delay = MIN_RETRY_DELAY
                    await self._heartbeat()
                await asyncio.sleep(delay * random.uniform(0.5, 1.0))
                delay = min(MAX_RETRY_DELAY, delay * 2)
        finally:
            self.close()

    async def _heartbeat(self):
        while self.connected:
            next_heartbeat = deadline_in(HEARTBEAT_INTERVAL)
            if not await self.ping():
                return
            await asyncio.sleep(remaining(next_heartbeat))


def _describe(error):
    text = str(error).strip().splitlines()
    return f"{type(error).__name__}: {text[0] if text else 'no answer in time'}"
