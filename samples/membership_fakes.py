"""Many members in one process, for ``measure_membership.py``.

One real control process follows the log; the other members share what it knows
and answer probes and fetches like any member. ``--churn`` seconds replaces one.
"""

import asyncio
import itertools
import json

import capnp
import typer
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from sassafrasdoor import settings as settings_module
from sassafrasdoor.control.process import ControlProcess
from sassafrasdoor.membership.delegate import Delegate
from sassafrasdoor.membership.node import Membership
from sassafrasdoor.view import Member

ZONES = ("zone-a", "zone-b", "zone-c")
JOIN_PAUSE = 0.02
ENTRY_ADDRESS = "127.0.0.1:9"


class SharedNews(Delegate):
    """Tells the news of the one control process."""

    def __init__(self, process):
        self._process = process

    def news(self):
        return self._process.spread.news()


class Fakes:
    """The members of this process."""

    def __init__(self, settings, prefix):
        self._settings = settings
        self._prefix = prefix
        self._numbers = itertools.count()
        self._http = SimpleAsyncHTTPClient(force_instance=True)
        self.nodes = []
        self.process = ControlProcess(settings)

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
        node = Membership(self._settings, own, SharedNews(self.process))
        await node.start()
        node.join([self.process.membership.address])
        self.nodes.append(node)
        await self._list("PUT", node)

    async def tell(self):
        """Have all members spread each change, as control processes do."""
        told = 0
        while True:
            changed = self.process.spread.changed_as_of
            if changed > told:
                told = changed
                for node in self.nodes:
                    node.spread_news()
            await asyncio.sleep(0.05)

    async def replace(self):
        """Stop the oldest member as planned and start another."""
        node = self.nodes.pop(0)
        node.leave()
        await node.depart()
        await node.stop()
        await self._list("DELETE", node)
        await self.add()

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


async def _run(settings, prefix, count, churn):
    async with capnp.kj_loop():
        fakes = Fakes(settings, prefix)
        await fakes.process.start()
        ready = {
            "ready": True,
            "name": prefix,
            "gossip": fakes.process.membership.address,
            "control": fakes.process.address,
        }
        print(json.dumps(ready), flush=True)
        for _ in range(count - 1):
            await fakes.add()
            await asyncio.sleep(JOIN_PAUSE)
        telling = asyncio.create_task(fakes.tell())
        while not telling.done():
            await asyncio.sleep(churn)
            await fakes.replace()


def main(
    settings: str = typer.Option(...),
    prefix: str = typer.Option(...),
    count: int = typer.Option(...),
    churn: float = typer.Option(3600.0),
):
    """Run ``count`` members until ended."""
    asyncio.run(_run(settings_module.load(settings), prefix, count, churn))


if __name__ == "__main__":
    typer.run(main)
