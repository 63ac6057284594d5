"""The life of an entry process: start, serve, drain, end."""

import asyncio

import capnp

from sassafrasdoor import logs
from sassafrasdoor.clock import deadline_in, passed, remaining
from sassafrasdoor.control.link import ControlLink
from sassafrasdoor.entry.parts import Parts
from sassafrasdoor.entry.server import EntryServer
from sassafrasdoor.events import EVENTS
from sassafrasdoor.peers.server import PeerServer
from sassafrasdoor.requests.peer import capability
from sassafrasdoor.stopping import install_stop_handler, print_ready_line

DRAIN_POLL = 0.05


async def run(settings, control_address):
    """Serve callers until a planned stop has finished."""
    EVENTS.process = f"{settings.instance.name}/entry"
    logs.start(EVENTS.process)
    async with capnp.kj_loop():
        await _serve(settings, control_address)


async def _serve(settings, control_address):
    link = ControlLink(settings, control_address)
    parts = Parts(settings, link)
    server = EntryServer(settings, parts)
    address = server.listen()
    peers = PeerServer(
        settings,
        settings.instance.host,
        settings.instance.peer_port,
        capability(parts.requests),
    )
    await peers.start()
    link.set_addresses(address, peers.address)
    parts.start()
    stop = install_stop_handler()
    print_ready_line(settings.instance.name, entry=address, peer=peers.address)
    await stop.wait()
    await _drain(settings, parts)
    await peers.close()
    await parts.close()
    await server.close()
    logs.changed("entry:stopped")


async def _drain(settings, parts):
    """Leave without cutting a request off.

    Callers keep a discovery answer for ``discovery_valid`` seconds and connect
    on it. An instance that refused at once would cut them off although another
    would have served them; so it is announced as leaving first, serves until
    the last answer that names it has lapsed, then refuses, then finishes.
    Other instances go on naming it until the news has reached them, which is
    what ``drain.spread`` allows for: without it, calls are cut just before the end.
    """
    parts.leaving = True
    logs.changed("entry:leaving")
    EVENTS.add("drain-started")
    await parts.link.leave()
    lapsed = deadline_in(settings.routing.discovery_valid + settings.drain.spread)
    await asyncio.sleep(remaining(lapsed))
    parts.requests.refuse_new()
    await parts.steps.drain()
    limit = deadline_in(settings.drain.deadline)
    while parts.requests.in_progress() and not passed(limit):  # noqa: ASYNC110
        await asyncio.sleep(DRAIN_POLL)
    EVENTS.add("drain-finished", left=parts.requests.in_progress())
