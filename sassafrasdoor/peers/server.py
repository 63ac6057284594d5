"""The accepting end of authenticated connections between our processes."""

import asyncio
import pathlib

import capnp

from sassafrasdoor import metrics
from sassafrasdoor.events import EVENTS
from sassafrasdoor.peers import proof

SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("peer.capnp")))

# Words of 8 bytes, 8 MB in all. A larger frame ends the connection, so that a forged
# header can't exhaust the memory of the process.
MAX_MESSAGE_WORDS = 1 << 20
# Seconds. Otherwise idle unauthenticated connections could use up all file
# descriptors, and peers could not connect.
AUTHENTICATION_TIMEOUT = 5.0

ACCEPTED = metrics.counter("peer_connections_total", "Connections accepted.")
REFUSED = metrics.counter("peer_refusals_total", "Peers without a valid key.")
UNAUTHENTICATED = metrics.counter(
    "peer_broken_total", "Connections that ended before a key was proved."
)


class _DoorServer(SCHEMA.Door.Server):
    """Authenticates one connection; returns the capability once a key is proved."""

    def __init__(self, keys, capability):
        self._keys = keys
        self._capability = capability
        self._nonce = proof.new_nonce()
        self.is_authenticated = False

    async def challenge(self, nonce, _context, **_):
        results = _context.results
        results.nonce = self._nonce
        results.mac = proof.prove_server(self._keys, bytes(nonce), self._nonce)

    async def enter(self, caller, stamp, mac, _context, **_):
        if not proof.verify_client(self._keys, self._nonce, caller, stamp, mac):
            REFUSED.inc({})
            raise PermissionError("no valid peer key")
        self.is_authenticated = True
        EVENTS.clock.observe(stamp)
        return self._capability, EVENTS.clock.stamp()

    async def ping(self, stamp, _context, **_):
        if not self.is_authenticated:
            raise PermissionError("no valid peer key")
        EVENTS.clock.observe(stamp)
        return EVENTS.clock.stamp()


class PeerServer:
    """Listens for peers and gives ``capability`` to those that prove a key.

    ``capability`` is a pycapnp server object; needs a running ``kj_loop``.
    """

    __slots__ = ("_capability", "_connections", "_host", "_keys", "_port", "_server")

    def __init__(self, settings, host, port, capability):
        self._keys = settings.membership.peer_keys
        self._host = host
        self._port = port
        self._capability = capability
        self._connections = set()
        self._server = None

    @property
    def address(self):
        """The bound ``host:port``."""
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    @property
    def connections(self):
        """The number of open connections."""
        return len(self._connections)

    async def start(self):
        """Bind and accept connections; raises OSError if the port is taken."""
        self._server = await capnp.AsyncIoStream.create_server(
            self._serve, self._host, self._port
        )

    async def _serve(self, stream):
        ACCEPTED.inc({})
        task = asyncio.current_task()
        self._connections.add(task)
        door = _DoorServer(self._keys, self._capability)
        server = capnp.TwoPartyServer(
            stream,
            bootstrap=door,
            traversal_limit_in_words=MAX_MESSAGE_WORDS,
        )
        timer = asyncio.get_running_loop().call_later(
            AUTHENTICATION_TIMEOUT, _close_if_unauthenticated, door, stream
        )
        try:
            await server.on_disconnect()
        except capnp.KjException:
            # A truncated or invalid frame ends only this connection.
            pass
        except asyncio.CancelledError:
            # Only close() cancels; pycapnp prints a traceback for a cancelled task.
            pass
        finally:
            timer.cancel()
            # Cap'n Proto does not distinguish an invalid frame from a disconnect, so
            # unauthenticated connections are counted instead.
            if not door.is_authenticated:
                UNAUTHENTICATED.inc({})
            self._connections.discard(task)
            server.close()
            stream.close()

    async def close(self):
        """Close the listener and every connection."""
        if self._server is not None:
            self._server.close()
        for task in list(self._connections):
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)


def _close_if_unauthenticated(door, stream):
    if not door.is_authenticated:
        stream.close()
