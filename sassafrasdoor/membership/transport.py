"""UDP transport that counts datagrams and drops invalid ones."""

import asyncio

from sassafrasdoor import metrics
from sassafrasdoor.membership import messages

SENT = metrics.counter("gossip_sent_total", "Datagrams sent.")
RECEIVED = metrics.counter("gossip_received_total", "Datagrams received.")
MALFORMED = metrics.counter("gossip_malformed_total", "Datagrams of no sense.")
FORGED = metrics.counter("gossip_forged_total", "Datagrams without a valid MAC.")


class Traffic:
    """Counts of datagrams and bytes of one transport."""

    __slots__ = ("received", "received_bytes", "sent", "sent_bytes")

    def __init__(self):
        self.sent = self.sent_bytes = self.received = self.received_bytes = 0


class Transport(asyncio.DatagramProtocol):
    """Sends messages; calls ``receiver(message, address)`` for each received one."""

    def __init__(self, settings, receiver):
        self._keys = settings.membership.peer_keys
        self._receiver = receiver
        self._endpoint = None
        self._closed = asyncio.Event()
        self.traffic = Traffic()

    @property
    def address(self):
        """The bound ``host:port``."""
        host, port = self._endpoint.get_extra_info("sockname")[:2]
        return f"{host}:{port}"

    async def open(self, host, port):
        """Bind; raises OSError if the port is taken."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    def connection_made(self, transport):
        self._endpoint = transport

    def datagram_received(self, data, source):
        self.traffic.received += 1
        self.traffic.received_bytes += len(data)
        RECEIVED.inc({})
        try:
            message = messages.decode(self._keys, data)
            self._receiver(message, f"{source[0]}:{source[1]}")
        except messages.Forged:
            FORGED.inc({})
        except (messages.Malformed, messages.capnp.KjException, ValueError, KeyError):
            # Anyone who can reach the port can send anything: an unreadable
            # datagram must have no effect but the count.
            MALFORMED.inc({})

    def error_received(self, error):
        """Ignored: an unreachable port shows as a probe timeout."""

    def send(self, address, **fields):
        """Send one message; a datagram that can't be sent is treated as lost."""
        if self._endpoint is None or self._endpoint.is_closing():
            return
        datagram = messages.encode(self._keys, **fields)
        host, _, port = address.rpartition(":")
        self.traffic.sent += 1
        self.traffic.sent_bytes += len(datagram)
        SENT.inc({})
        try:
            self._endpoint.sendto(datagram, (host, int(port)))
        except (OSError, ValueError):
            MALFORMED.inc({})

    def connection_lost(self, error):
        self._closed.set()

    async def close(self):
        """Close the socket and wait until its port is free."""
        if self._endpoint is not None:
            self._endpoint.close()
            await self._closed.wait()
