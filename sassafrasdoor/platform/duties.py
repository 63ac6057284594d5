"""HTTP client of the platform's address for duties."""

import json

from sassafrasdoor.backends.connections import Connections, OutgoingRequest
from sassafrasdoor.backends.interface import Broken
from sassafrasdoor.duties.reporter import DutyClient, Fenced
from sassafrasdoor.outcomes import Unavailable
from sassafrasdoor.platform import wire

ACCEPTED, FENCED = 200, 409


class WireDuties(DutyClient):
    """Calls the platform under the fencing number of a duty's holder."""

    __slots__ = ("_address", "_connections")

    def __init__(self, address):
        self._address = address
        self._connections = Connections()

    def close(self):
        """Close all connections."""
        self._connections.close()

    async def report_usage(self, holder, fence, window, counts, deadline):
        """Return True if accepted, ``Fenced`` or ``Unavailable``."""
        document = {"Window": window, "Counts": counts}
        return await self._call("/usage", holder, fence, document, deadline)

    async def order_replicas(self, holder, fence, service, place, count, deadline):
        """Return True if accepted, else ``Unavailable``.

        The platform refuses alike if none are to be had and if the number is too low.
        """
        zone, interruptible = place
        document = {"Service": service, "Zone": zone, "Desired": count}
        if interruptible:
            document["Spot"] = True
        result = await self._call("/scale", holder, fence, document, deadline)
        if isinstance(result, Fenced):
            return Unavailable("none are to be had, or the fencing number is too low")
        return result

    async def _call(self, path, holder, fence, document, deadline):
        headers = {
            "Host": self._address,
            "Content-Type": wire.JSON_TYPE,
            wire.HOLDER: holder,
            wire.FENCE: str(fence),
        }
        body = json.dumps(document).encode()
        request = OutgoingRequest("POST", path, headers, body, deadline)
        reply = await self._connections.send(self._address, request)
        if isinstance(reply, Broken):
            self._connections.close_idle(self._address)
            return Unavailable(reply.reason)
        if reply.status == ACCEPTED:
            return True
        if reply.status == FENCED:
            return Fenced(f"fencing number {fence} is lower than one already seen")
        return Unavailable(f"platform answered {reply.status}")
