"""The control process of one instance: its components and lifecycle."""

import asyncio
import random

import capnp

from sassafrasdoor import logs
from sassafrasdoor.clock import deadline_in, passed
from sassafrasdoor.control import messages
from sassafrasdoor.control.confirmation import Confirmation
from sassafrasdoor.control.instances import InstanceList
from sassafrasdoor.control.quota import Quota
from sassafrasdoor.control.service import ControlService
from sassafrasdoor.control.source import ViewSource
from sassafrasdoor.control.state_sync import StateSync
from sassafrasdoor.control.weights import WeightsRollout
from sassafrasdoor.events import EVENTS
from sassafrasdoor.log.agreed import Agreed, fold
from sassafrasdoor.log.follower import Follower
from sassafrasdoor.log.http import HttpLog
from sassafrasdoor.membership import order
from sassafrasdoor.membership.delegate import Delegate
from sassafrasdoor.membership.node import Membership
from sassafrasdoor.peers.link import PeerLink
from sassafrasdoor.peers.server import PeerServer
from sassafrasdoor.stopping import (
    install_stop_handler,
    print_ready_line,
    start_critical_tasks,
)
from sassafrasdoor.view import Member, State

PUBLISH_DELAY = 0.05  # seconds; batches member changes, which come in bursts
MAX_JOINS_PER_READ = 3  # instances on the list that are unknown to membership
MIN_LIST_INTERVAL = 2.0  # seconds
# Bounds the mean rate of reads of a changing list: a list of 1,000 instances has
# 200 KB, and the whole process must stay below 11 KB/s.
MAX_LIST_BYTES_PER_SECOND = 4000
MIN_REGISTER_INTERVAL = 5.0  # seconds
ENTRY_TIMEOUT = 4.0  # seconds without an exchange; entries send at least one a second


class ControlProcess(Delegate):
    """Follows the log and the membership, and serves the view to its entry."""

    def __init__(self, settings, log=None):
        self._settings = settings
        self.source = ViewSource()
        self.log = log or HttpLog(settings)
        self.follower = Follower(settings, self.log, fold, Agreed())
        self.instances = InstanceList(settings)
        self.membership = None
        self.state_sync = StateSync(settings, self.follower, self.members)
        self._confirmation = Confirmation(self.follower, self.members)
        self.quota = Quota(settings, self)
        self.weights = WeightsRollout(settings, self)
        self._server = PeerServer(
            settings,
            settings.instance.host,
            settings.instance.control_port,
            ControlService(self),
        )
        self._tasks = []
        self._accepted = None
        self._announced = {}
        self._listing = None
        self._members = []
        self._members_stale = True
        self._published_as_of = 0
        self._members_changed = asyncio.Event()
        self._register_after = deadline_in(0)
        self._registered = None
        self._registering = asyncio.Lock()
        self._departing = False
        self._entry_deadline = None
        self.follower.may_poll = self.state_sync.may_poll
        self.follower.may_checkpoint = self._may_checkpoint
        self.follower.on_change(self._on_agreed_state)

    @property
    def address(self):
        """The bound control ``host:port``."""
        return self._server.address

    def members(self):
        """Return the members that are not dead; the same list until a change."""
        if self._members_stale and self.membership:
            self._members = self.membership.members
            self._members_stale = False
        return self._members

    async def confirm(self, seconds):
        """Read the log to its end, for at most some seconds; publish that it was."""
        await self._confirmation.confirm(deadline_in(seconds))
        self.source.confirmed_at = self.follower.confirmed_at

    def possible_grant_holders(self):
        """Return the names of all instances that may use slots, reachable or not."""
        return self.membership.undeparted_names

    async def start(self):
        """Bind, join and start all tasks; raises OSError if a port is taken."""
        instance = self._settings.instance
        await self._server.start()
        own = Member(
            instance.name,
            availability_zone=instance.availability_zone,
            region=instance.region,
            control_address=self.address,
        )
        self.membership = Membership(self._settings, own, self)
        await self.membership.start(instance.host, instance.gossip_port)
        jobs = [
            self.follower.run(),
            self.state_sync.run(),
            self._publish_members(),
            self._watch_confirmation(),
            self._read_list(),
            self._watch_entry(),
        ]
        self._tasks = start_critical_tasks(jobs)
        self.weights.start()

    async def close(self):
        """Stop all tasks and close all connections, without notifying members."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.quota.close()
        await self.weights.close()
        await self.membership.stop()
        await self._server.close()
        self.instances.close()

    async def depart(self):
        """Leave the membership and the platform's list, then close."""
        self.membership.leave()
        self._departing = True
        await self.quota.close()
        await self.weights.depart()
        # A registration in flight could reach the platform after the removal, and
        # the list would keep this instance forever.
        async with self._registering:
            await self.instances.deregister()
        await self.membership.depart()
        await self.close()

    # Agreed state

    def _may_checkpoint(self):
        return self.state_sync.is_chosen("checkpoint")

    def _on_agreed_state(self, state):
        if state.accepted is not self._accepted:
            known = self._accepted.revision if self._accepted else 0
            if state.revision != known:
                EVENTS.add("table-accepted", revision=state.revision)
            self._accepted = state.accepted
            table = state.table.model_dump_json() if state.table else ""
            self.source.set_table(table, state.revision)
            self.quota.update_services(state.table)
        for model, version in state.weights.items():
            if self._announced.get(model) != version:
                EVENTS.add("weights-announced", model=model, version=version)
        self._announced = state.weights
        self.source.set_weights(state.weights)

    async def _watch_confirmation(self):
        while True:
            self.source.confirmed_at = self.follower.confirmed_at
            if self.state_sync.changed_as_of > self._published_as_of:
                self._published_as_of = self.state_sync.changed_as_of
                self.membership.broadcast_log_position()
            await asyncio.sleep(PUBLISH_DELAY)

    def log_position(self):
        return self.state_sync.log_position()

    def position_received(self, name, log_position):
        self.state_sync.position_received(name, log_position)

    # Members

    def member_changed(self, member):
        self._members_stale = True
        self._members_changed.set()
        if order.has_departed(member):
            self.quota.remove_instance(member.name)

    def region_changed(self, region, silent):
        self._members_stale = True
        self._members_changed.set()

    async def _publish_members(self):
        while True:
            await self._members_changed.wait()
            await asyncio.sleep(PUBLISH_DELAY)
            # After a pause of this process its member states are outdated; the
            # entry keeps the view that it has.
            if self.membership.is_view_trusted:
                self._members_changed.clear()
                self.source.set_members(self.members())

    # The platform's list

    async def _read_list(self):
        while True:
            listing = await self.instances.fetch()
            if listing:
                self._apply_list(listing)
            elif self._listing is None:
                await self._fetch_list_from_peer()
            await self._register()
            await asyncio.sleep(self._list_interval() * random.uniform(0.8, 1.2))

    async def _fetch_list_from_peer(self):
        """Use the backend servers known to a random peer.

        An instance started while the platform is down can't read the list. It would
        have the table but refuse every call for lack of a backend server.
        """
        own = self._settings.instance.name
        others = [m for m in self.members() if m.control_address and m.name != own]
        if not others:
            return
        address = random.choice(others).control_address
        link = PeerLink(self._settings, address, messages.SCHEMA.Control)
        if await link.open() is not None:
            return
        answer = await link.call("listing", stamp=EVENTS.clock.stamp())
        link.close()
        if answer and answer.backends:
            EVENTS.clock.observe(answer.stamp)
            self.source.set_backends(
                [messages.backend_from(backend) for backend in answer.backends]
            )

    def _list_interval(self):
        spread_out = self.instances.changed_bytes / MAX_LIST_BYTES_PER_SECOND
        return max(MIN_LIST_INTERVAL, self._settings.platform.poll_interval, spread_out)

    def _apply_list(self, listing):
        if listing is not self._listing:
            self._listing = listing
            self.source.set_backends(listing.backends)
        known = {member.name for member in self.members()}
        unknown = [
            member.gossip_address
            for member in listing.members
            if member.name not in known and member.gossip_address
        ]
        self.membership.join(
            random.sample(unknown, min(MAX_JOINS_PER_READ, len(unknown)))
        )
        if self._settings.instance.name not in {m.name for m in listing.members}:
            # The list lags, or the platform has lost this instance's entry.
            self._registered = None

    async def _register(self):
        document = self._own_document()
        if document == self._registered or not passed(self._register_after):
            return
        async with self._registering:
            await self._put(document)

    async def _put(self, document):
        if not self._departing and await self.instances.register(document):
            self._registered = document
            self._register_after = deadline_in(MIN_REGISTER_INTERVAL)

    def _own_document(self):
        own = self.membership.own
        return {
            "name": own.name,
            "kind": "entry",
            "service": "",
            "address": own.entry_address,
            "availability_zone": own.availability_zone,
            "region": own.region,
            "capacity": 1,
            "checks_fencing": False,
            "models": [],
            "state": "leaving" if own.state is State.LEAVING else "alive",
            "gossip_address": own.gossip_address,
            "control_address": own.control_address,
            "peer_address": own.peer_address,
        }

    # The entry

    def handle_entry_report(self, entry_address, peer_address, report, number):
        """Process the entry's addresses and report; its view has ``number``."""
        self._entry_deadline = deadline_in(ENTRY_TIMEOUT)
        self.membership.update(entry_address=entry_address, peer_address=peer_address)
        self.quota.handle_entry_report(report, number)

    async def _watch_entry(self):
        """Withdraw the addresses of an entry that has sent no exchange for a while.

        Members probe this process, which still answers when its entry has died.
        Discovery would keep returning the dead entry, and callers' first connection
        would be refused every time.
        """
        while True:
            await asyncio.sleep(ENTRY_TIMEOUT / 4)
            if self._entry_deadline is not None and passed(self._entry_deadline):
                self._entry_deadline = None
                logs.changed("control:entry-silent")
                EVENTS.add("entry-silent")
                self.membership.update(entry_address="", peer_address="")

    def leave(self):
        """Announce that the entry has begun to shut down."""
        self.membership.leave()
        self._register_after = deadline_in(0)


async def run(settings):
    """Run a control process until SIGTERM."""
    EVENTS.process = f"{settings.instance.name}/control"
    logs.start(EVENTS.process)
    async with capnp.kj_loop():
        process = ControlProcess(settings)
        await process.start()
        stop = install_stop_handler()
        print_ready_line(
            settings.instance.name,
            control=process.address,
            gossip=process.membership.address,
        )
        await stop.wait()
        EVENTS.add("leaving")
        logs.changed("control:leaving")
        await process.depart()
