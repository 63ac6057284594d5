"""The lifecycle of an entry process: start, serve, drain, stop."""

import asyncio

import capnp

from sassafrasdoor import logs
from sassafrasdoor.clock import deadline_in, passed, remaining
from sassafrasdoor.control.link import ControlLink
from sassafrasdoor.entry.components import Components
from sassafrasdoor.entry.server import EntryServer
from sassafrasdoor.events import EVENTS
from sassafrasdoor.peers.server import PeerServer
from sassafrasdoor.requests.peer import capability
from sassafrasdoor.requests.stop_policy import StopTimes
from sassafrasdoor.stopping import install_stop_handler, print_ready_line

DRAIN_POLL_INTERVAL = 0.05  # seconds


async def run(settings, control_address):
    """Serve callers until a planned stop has finished."""
    EVENTS.process = f"{settings.instance.name}/entry"
    logs.start(EVENTS.process)
    async with capnp.kj_loop():
        await _serve(settings, control_address)


async def _serve(settings, control_address):
    link = ControlLink(settings, control_address)
    components = Components(settings, link)
    server = EntryServer(settings, components)
    address = server.listen()
    peer_server = PeerServer(
        settings,
        settings.instance.host,
        settings.instance.peer_port,
        capability(components.requests),
    )
    await peer_server.start()
    link.set_addresses(address, peer_server.address)
    components.start()
    stop_requested = install_stop_handler()
    print_ready_line(settings.instance.name, entry=address, peer=peer_server.address)
    await stop_requested.wait()
    await _drain(settings, components)
    await peer_server.close()
    await components.close()
    await server.close()
    logs.changed("entry:stopped")


async def _drain(settings, components):
    """Drain without interrupting a request.

    Callers cache a discovery answer for ``discovery_valid`` seconds. An instance
    that refused at once would fail calls which another one could serve, so it first
    announces that it is leaving, serves until the last answer that lists it has
    expired, then refuses new calls and finishes those in progress. From the start it
    refuses what it could not finish within ``drain.deadline`` after that. Other instances
    list it until the announcement reaches them, which ``drain.spread`` allows for:
    without it, calls are interrupted just before the stop.
    """
    components.leaving = True
    logs.changed("entry:leaving")
    EVENTS.add("drain-started")
    await components.link.leave()
    estimate_deadline = deadline_in(settings.routing.discovery_valid)
    discovery_expiry = estimate_deadline + settings.drain.spread
    components.requests.stop_admission.begin_stop(
        StopTimes(
            estimate_deadline,
            discovery_expiry,
            discovery_expiry + settings.drain.deadline,
        )
    )
    await asyncio.sleep(remaining(discovery_expiry))
    components.requests.refuse_new()
    await components.steps.drain()
    deadline = deadline_in(settings.drain.deadline)
    while components.requests.in_progress() and not passed(deadline):  # noqa: ASYNC110
        await asyncio.sleep(DRAIN_POLL_INTERVAL)
    EVENTS.add("drain-finished", left=components.requests.in_progress())
