"""Membership as a library: three members in one process, one leaves."""

import asyncio

from sassafrasdoor import settings
from sassafrasdoor.membership.node import Membership
from sassafrasdoor.support import until
from sassafrasdoor.view import Member


async def main():
    """Start three members, have one leave, print what another sees."""
    options = settings.from_document({"membership": {"gossip_interval": 0.05}})
    nodes = [Membership(options, Member(name)) for name in ("ada", "kofi", "rosa")]
    for node in nodes:
        await node.start()
        node.join([nodes[0].address])
    await until(lambda: len(nodes[2].members) == len(nodes))
    nodes[0].leave()
    await until(lambda: any(m.state == "leaving" for m in nodes[2].members))
    for member in sorted(nodes[2].members, key=lambda member: member.name):
        print(member.name, member.state.value)
    for node in nodes:
        await node.stop()


asyncio.run(main())
