"""Many members in one process, for ``measure_membership.py``.

One real control process follows the log; the other members share what it knows
and answer probes and fetches like any member. They learn each other from a file
that names all members, not by joining: hundreds that join at once in one process
are late to answer and suspect each other. ``--churn`` seconds replaces one.
"""

import asyncio
import itertools
import json
import pathlib

import capnp
import typer
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from sassafrasdoor import settings as settings_module
from sassafrasdoor.control.process import ControlProcess
from sassafrasdoor.control.state_sync import MAX_HOPS
from sassafrasdoor.membership.broadcasts import Broadcasts
from sassafrasdoor.membership.delegate import Delegate, LogPosition
from sassafrasdoor.membership.messages import decode_update, encode_update
from sassafrasdoor.membership.node import Membership
from sassafrasdoor.view import Member

ZONES = ("zone-a", "zone-b", "zone-c")
POLL = 0.1
ENTRY_ADDRESS = "127.0.0.1:9"


class SharedNews(Delegate):
    """Has read as far as the one control process, but confirms on its own.

    Only a ``poller`` counts as having asked the log itself; the others know what
    they are told, as control processes do.
    """

    def __init__(self, process, poller):
        self._process = process
        self._poller = poller
        self._heard_at = None
        self._hops = 0

    def log_position(self):
        spread, follower = self._process.state_sync, self._process.follower
        as_of, changed = follower.as_of, spread.changed_as_of
        if self._poller:
            return LogPosition(as_of, changed, follower.confirmed_at)
        if self._hops > MAX_HOPS:
            return LogPosition(as_of, changed)
        return LogPosition(as_of, changed, self._heard_at, self._hops)

    def position_received(self, name, log_position):
        at = log_position.confirmed_at
        if at is not None and (self._heard_at is None or at > self._heard_at):
            self._heard_at, self._hops = at, log_position.hops + 1


class Fakes:
    """The members of this process."""

    def __init__(self, settings, prefix, pollers):
        self._pollers = pollers
        self._settings = settings
        self._prefix = prefix
        self._numbers = itertools.count()
        self._http = SimpleAsyncHTTPClient(force_instance=True)
        self.nodes = []
        self.process = ControlProcess(settings)
        self.process.follower.may_poll = lambda: True

    async def add(self):
        """Start one member, joined by way of the control process."""
        number = next(self._numbers)
        name = f"{self._prefix}-{number:04}"
        own = Member(
            name,
            availability_zone=ZONES[number % len(ZONES)],
            region="region-1",
            control_address=self.process.address,
            entry_address=ENTRY_ADDRESS,
            peer_address=ENTRY_ADDRESS,
        )
        node = Membership(
            self._settings, own, SharedNews(self.process, number < self._pollers)
        )
        await node.start()
        self.nodes.append(node)
        await self._list("PUT", node)
        return node

    def meet(self, members):
        """Make all members known to each one here."""
        for node in (self.process.membership, *self.nodes):
            for member in members:
                node._roster.apply(member)
            node._broadcasts = Broadcasts()

    async def tell(self):
        """Have all members spread each change, as control processes do."""
        told = 0
        while True:
            changed = self.process.state_sync.changed_as_of
            if changed > told:
                told = changed
                for node in self.nodes:
                    node.broadcast_log_position()
            await asyncio.sleep(0.05)

    async def replace(self):
        """Stop the oldest member as planned and start another."""
        node = self.nodes.pop(0)
        node.leave()
        await node.depart()
        await node.stop()
        await self._list("DELETE", node)
        (await self.add()).join([self.process.membership.address])

    async def _list(self, method, node):
        own = node.own
        document = {
            "name": own.name,
            "kind": "entry",
            "address": own.entry_address,
            "availability_zone": own.availability_zone,
            "region": own.region,
            "state": "alive",
            "gossip_address": own.gossip_address,
            "control_address": own.control_address,
        }
        await self._http.fetch(
            f"{self._settings.platform.instances_url}/instances/{own.name}",
            method=method,
            body=json.dumps(document) if method == "PUT" else None,
        )


async def _run(settings, prefix, count, churn, pollers, members):
    async with capnp.kj_loop():
        fakes = Fakes(settings, prefix, pollers)
        await fakes.process.start()
        for _ in range(count - 1):
            await fakes.add()
        own = [fakes.process.membership.own, *(node.own for node in fakes.nodes)]
        ready = {
            "ready": True,
            "name": prefix,
            "gossip": fakes.process.membership.address,
            "control": fakes.process.address,
            "members": [encode_update(member).hex() for member in own],
        }
        print(json.dumps(ready), flush=True)
        while not members.exists():  # noqa: ASYNC110
            await asyncio.sleep(POLL)
        known = json.loads(members.read_text())
        fakes.meet([decode_update(bytes.fromhex(update)) for update in known])
        telling = asyncio.create_task(fakes.tell())
        while not telling.done():
            await asyncio.sleep(churn)
            await fakes.replace()


def main(
    settings: str = typer.Option(...),
    prefix: str = typer.Option(...),
    count: int = typer.Option(...),
    churn: float = typer.Option(3600.0),
    pollers: int = typer.Option(0),
    members: str = typer.Option(..., help="The file that will name all members."),
):
    """Run ``count`` members until ended."""
    loaded = settings_module.load(settings)
    file = pathlib.Path(members)
    asyncio.run(_run(loaded, prefix, count, churn, pollers, file))


if __name__ == "__main__":
    typer.run(main)
