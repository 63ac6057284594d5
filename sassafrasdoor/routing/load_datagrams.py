"""UDP transport of the load reports that entry points exchange."""

import asyncio
import ipaddress
import random

from sassafrasdoor.clock import now
from sassafrasdoor.decisions import note
from sassafrasdoor.metrics import counter
from sassafrasdoor.routing.load_exchange import SEND_INTERVAL, LoadExchange

MAX_OFFSET = 1024

SENT = counter("load_exchange_datagrams_sent_total", "Datagrams with load reports.")
SENT_BYTES = counter("load_exchange_bytes_sent_total", "Bytes of these datagrams.")
RECEIVED = counter("load_exchange_datagrams_received_total", "Datagrams received.")
REPORTS = counter(
    "load_exchange_reports_total", "Received reports and dropped datagrams, by result."
)


class LoadDatagrams(asyncio.DatagramProtocol):
    """Sends load reports to other entry points and records those received.

    ``other_entry_points()`` returns the addresses of this zone's and of all others'. The
    datagrams go to ``port`` of the same hosts. ``address`` is that of this instance.
    """

    def __init__(self, address, port, replicas, other_entry_points):
        self._host = _host(address)
        self._port = port
        self._replicas = replicas
        self._other_entry_points = other_entry_points
        self._endpoint = None
        self._exchange = LoadExchange(random.randrange(MAX_OFFSET), now())

    async def run(self):
        """Exchange reports until cancelled; without the port the exchange is off."""
        loop = asyncio.get_running_loop()
        if self._host is None:
            note("load_exchange.off", port=self._port, reason="no IP address")
            return
        try:
            await loop.create_datagram_endpoint(
                lambda: self, local_addr=(self._host, self._port)
            )
        except OSError as error:
            note("load_exchange.off", port=self._port, reason=str(error))
            return
        note("load_exchange.on", port=self._port)
        try:
            while True:
                self._send()
                await asyncio.sleep(SEND_INTERVAL)
        finally:
            self.close()

    def close(self):
        """Close the endpoint."""
        if self._endpoint is not None:
            self._endpoint.close()

    def connection_made(self, transport):
        self._endpoint = transport

    def _send(self):
        self._exchange.begin_round(now())
        near, far = self._other_entry_points()
        if not near and not far:
            return
        data = self._exchange.next_datagram(self._replicas.observed_loads(), now())
        if not data:
            return
        for address in self._exchange.receivers(near, far):
            host = _host(address)
            if host is not None:
                SENT.inc({})
                SENT_BYTES.add({}, len(data))
                self._endpoint.sendto(data, (host, self._port))

    def datagram_received(self, data, source):
        RECEIVED.inc({})
        reports, results = self._exchange.receive(
            data, now(), self._replicas.load_state
        )
        for result in results:
            REPORTS.inc({"result": result})
        for report in reports:
            self._replicas.get(report.identity).record_neighbour_load(report)

    def error_received(self, error):
        """Ignored: a datagram that does not arrive counts as lost."""


def _host(address):
    """Return the IP number of ``host:port``, None for a name.

    The event loop would wait for the resolution of a name.
    """
    host = address.rpartition(":")[0]
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return None
    return host
