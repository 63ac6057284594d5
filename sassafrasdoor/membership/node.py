"""Membership by random probing (SWIM), as a library.

In each interval a member probes one other, mostly in its own region. If that one does
not answer, it asks a few others to probe it, then suspects it, and declares it dead
unless it refutes this in time by a higher incarnation. Updates are piggybacked on the
messages. The load on a member grows only with the logarithm of the member count. The
result is advisory: nothing that needs agreement depends on it.
"""

import asyncio
import random
import time

from sassafrasdoor import logs
from sassafrasdoor.clock import PauseDetector, deadline_in, now, passed, remaining
from sassafrasdoor.events import EVENTS
from sassafrasdoor.membership import messages, order
from sassafrasdoor.membership.broadcasts import Broadcasts
from sassafrasdoor.membership.delegate import Delegate, LogPosition
from sassafrasdoor.membership.regions import Regions
from sassafrasdoor.membership.roster import Roster
from sassafrasdoor.membership.suspicions import Suspicions
from sassafrasdoor.membership.targets import TargetSelector
from sassafrasdoor.membership.transport import Transport
from sassafrasdoor.view import State

# One round, in which each member that receives a position sends it to
# ``gossip_fanout`` others, reaches nearly all; probes reach the rest in 1 to 2 s.
LOG_POSITION_ROUNDS = 1
DEPART_ROUNDS = 2
# In probe intervals. A probe ends within one; if it took longer, this process is late.
LATE_PROBE_FACTOR = 1.2
MAX_RELAYED_REPAIRS = 3
UNKNOWN_AGE_MS = 0xFFFFFFFF
SEQUENCE_MODULUS = 1 << 32


class Membership:
    """One member: ``await start(...)``, then read ``members``.

    ``own`` is this process's ``Member``; its incarnation and gossip address are
    set here. Needs a running asyncio loop but no ``kj_loop``.
    """

    def __init__(self, settings, own, delegate=None, rng=None):
        self._settings = settings.membership
        self._delegate = delegate or Delegate()
        self._rng = rng or random.Random()
        self._transport = Transport(settings, self._handle_message)
        self._roster = Roster()
        self._broadcasts = Broadcasts()
        self._regions = Regions(self._settings)
        self._silent_regions = set()
        self._suspicions = Suspicions(self._settings, own.region, self._regions)
        self._selector = TargetSelector(
            self._settings, own, self._roster, self._regions, self._rng
        )
        self._pending = {}
        self._relays = {}
        self._sequence = self._rng.randrange(SEQUENCE_MODULUS)
        self._compare_after = now()
        self._reconnect_after = now()
        self._refresh_deadline = None
        self._position_rounds_left = 0
        self._pause_detector = PauseDetector(2 * self._settings.probe_interval)
        self._seeds = list(self._settings.seeds)
        self._tasks = []
        # Wall-clock milliseconds: above every incarnation of an earlier process of
        # this name. If the clock was set back, the first update about the earlier
        # process is refuted like any other.
        self._own = order.changed(own, incarnation=int(time.time() * 1000))

    @property
    def address(self):
        """The bound gossip ``host:port``."""
        return self._transport.address

    @property
    def own(self):
        """This process's ``Member``."""
        return self._own

    @property
    def traffic(self):
        """Datagrams and bytes sent and received."""
        return self._transport.traffic

    @property
    def is_view_trusted(self):
        """False from a pause of this process until a member's roster has arrived."""
        return not self._pause_detector.paused

    @property
    def members(self):
        """All members that are not dead, this one included.

        Members of a silent region are suspect, and left out after ``silence_timeout``.
        """
        visible = (self._with_region_state(member) for member in self._roster.living())
        return [member for member in visible if member.state is not State.DEAD]

    @property
    def undeparted_names(self):
        """Names of all known members except those that departed on purpose."""
        return [m.name for m in self._roster.all() if not order.has_departed(m)]

    def _with_region_state(self, member):
        since = (
            self._regions.silent_since(member.region) if self._silent_regions else None
        )
        if since is None or member.state is not State.ALIVE:
            return member
        gone = now() - since > self._settings.silence_timeout
        return order.changed(member, state=State.DEAD if gone else State.SUSPECT)

    async def start(self, host="127.0.0.1", port=0):
        """Bind, join the seeds and start probing."""
        await self._transport.open(host, port)
        self._update_own(gossip_address=self.address)
        self.join(self._seeds)
        self._tasks = [
            asyncio.create_task(self._probe_forever()),
            asyncio.create_task(self._gossip_forever()),
        ]

    def join(self, addresses):
        """Start a comparison of rosters with the members at these gossip addresses."""
        for address in addresses:
            if address and address != self._own.gossip_address:
                self._compare(address)

    def update(self, **addresses):
        """Announce changed addresses of this process."""
        if any(getattr(self._own, name) != to for name, to in addresses.items()):
            self._update_own(incarnation=self._own.incarnation + 1, **addresses)

    def leave(self):
        """Announce a planned stop of this process."""
        if self._own.state is State.ALIVE:
            self._update_own(state=State.LEAVING)

    async def depart(self):
        """Announce that this process has stopped; to be called before ``stop``."""
        gone = dict.fromkeys(order.ADDRESSES, "")
        incarnation = self._own.incarnation + 1
        self._update_own(state=State.DEAD, incarnation=incarnation, **gone)
        for _ in range(DEPART_ROUNDS):
            self._gossip()
            await asyncio.sleep(self._settings.gossip_interval)

    def broadcast_log_position(self):
        """Gossip the delegate's changed ``log_position`` without delay."""
        self._position_rounds_left = LOG_POSITION_ROUNDS

    async def stop(self):
        """Stop probing and close the socket."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._transport.close()

    # Sending

    def _send(self, address, kind, updates=None, **fields):
        if updates is None:
            updates = self._broadcasts.take(len(self._roster))
        log_position = self._delegate.log_position()
        age = log_position.age
        self._transport.send(
            address,
            kind=kind,
            sender=self._own.name,
            region=self._own.region,
            stamp=EVENTS.clock.stamp(),
            digest=self._roster.digest,
            asOf=log_position.as_of,
            confirmedAgeMs=UNKNOWN_AGE_MS
            if age is None
            else min(int(age * 1000), UNKNOWN_AGE_MS),
            confirmedHops=log_position.hops,
            changedAsOf=log_position.changed_as_of,
            updates=[messages.encode_update(member) for member in updates],
            contacts=[
                {"region": region, "ageMs": min(int(seconds * 1000), UNKNOWN_AGE_MS)}
                for region, seconds in self._regions.contact_ages()
            ],
            **fields,
        )

    def _compare(self, address):
        delay = self._settings.compare_interval * self._rng.uniform(0.5, 1.5)
        self._compare_after = deadline_in(delay)
        self._send(address, "compare", [self._own], buckets=self._roster.buckets)

    # Receiving

    def _handle_message(self, message, address):
        if message.sender == self._own.name:
            return
        EVENTS.clock.observe(message.stamp)
        if not self._pause_detector.tick():
            # Messages read right after a pause may be as old as the pause and do not
            # show who can be reached now.
            self._suspicions.last_received_at = now()
            self._record_contacts(message)
        relay_updates = _should_relay_updates(message)
        for update in message.updates:
            self._merge(messages.decode_update(bytes(update)), relay_updates)
        self._delegate.position_received(message.sender, self._log_position_of(message))
        handler = self._HANDLERS.get(str(message.kind))
        if handler is not None:
            handler(self, message, address)

    def _log_position_of(self, message):
        age = message.confirmedAgeMs
        # A message that was queued during a pause of this process is older than it
        # states by an unknown time: its confirmation would seem too recent.
        if age == UNKNOWN_AGE_MS or self._pause_detector.paused:
            return LogPosition(message.asOf, message.changedAsOf)
        confirmed_at = now() - age / 1000
        hops = message.confirmedHops
        return LogPosition(message.asOf, message.changedAsOf, confirmed_at, hops)

    def _record_contacts(self, message):
        if message.region != self._own.region:
            self._regions.record_contact(message.region)
            return
        for contact in message.contacts:
            if contact.region != self._own.region:
                self._regions.record_reported_contact(
                    contact.region, contact.ageMs / 1000
                )

    def _handle_ping(self, message, address):
        # Another instance may have taken over the address: only the target answers,
        # or a dead member would seem alive for ever.
        if message.target == self._own.name:
            known_sender = self._roster.get(message.sender)
            updates = self._broadcasts.take(len(self._roster))
            if known_sender is not None and known_sender.state in (
                State.SUSPECT,
                State.DEAD,
            ):
                updates = [known_sender, *updates[1:]]
            self._send(address, "ack", updates, sequence=message.sequence)
        self._compare_if_different(message, address)

    def _handle_ack(self, message, address):
        relay = self._relays.pop(message.sequence, None)
        if relay is not None:
            requester, sequence = relay
            self._send(requester, "ack", sequence=sequence, target=message.sender)
        pending = self._pending.get(message.sequence)
        if pending is not None and not pending.done():
            pending.set_result(True)
        self._compare_if_different(message, address)

    def _handle_probe_request(self, message, address):
        target = self._roster.get(message.target)
        if target is None:
            return
        sequence = self._next_sequence()
        self._relays[sequence] = (address, message.sequence)
        loop = asyncio.get_running_loop()
        delay = self._settings.probe_interval
        loop.call_later(delay, self._relays.pop, sequence, None)
        self._send(target.gossip_address, "ping", sequence=sequence, target=target.name)

    def _handle_compare(self, message, address):
        differing = self._roster.differing(list(message.buckets))
        *chunks_before_last, last_chunk = messages.chunks(differing)
        for chunk in chunks_before_last:
            self._send(address, "differ", chunk)
        self._send(address, "differ", last_chunk, buckets=self._roster.buckets)

    def _mark_refreshed(self):
        self._pause_detector.clear_pause()
        self._refresh_deadline = None

    def _handle_differ(self, message, address):
        self._mark_refreshed()
        if not len(message.buckets):
            return
        for chunk in messages.chunks(self._roster.differing(list(message.buckets))):
            if chunk:
                self._send(address, "differ", chunk)

    def _compare_if_different(self, message, address):
        if message.digest != self._roster.digest and passed(self._compare_after):
            self._compare(address)

    _HANDLERS = {
        "ping": _handle_ping,
        "ack": _handle_ack,
        "probe": _handle_probe_request,
        "compare": _handle_compare,
        "differ": _handle_differ,
    }

    # Updates

    def _update_own(self, **fields):
        self._own = order.changed(self._own, **fields)
        self._apply(self._own)

    def _merge(self, update, relay_updates=True):
        if update.name != self._own.name:
            self._apply(update, relay_updates)
        elif order.is_newer(update, self._own):
            # Refutes a suspicion, or an update about an earlier process of this name.
            self._update_own(incarnation=update.incarnation + 1)

    def _apply(self, update, relay_updates=True):
        is_new = self._roster.get(update.name) is None
        if not self._roster.apply(update):
            return
        if relay_updates:
            self._broadcasts.add(update)
        if is_new:
            self._selector.add_to_round(update)
        if update.state is State.SUSPECT:
            self._suspicions.begin(update.name)
        else:
            self._suspicions.end(update.name)
            self._regions.clear_failed_probe(update.name)
        EVENTS.add("member", member=update.name, state=update.state.value)
        logs.changed("member:changed", member=update.name, state=update.state.value)
        self._delegate.member_changed(update)

    # Probing

    async def _probe_forever(self):
        while True:
            next_round = deadline_in(self._settings.probe_interval)
            if self._pause_detector.tick():
                self._recover()
            member = self._selector.next_probe_target()
            if member is not None:
                await self._probe(member, next_round)
            self._run_checks()
            await asyncio.sleep(remaining(next_round))

    def _next_sequence(self):
        self._sequence = (self._sequence + 1) % SEQUENCE_MODULUS
        return self._sequence

    async def _probe(self, member, deadline):
        began = now()
        sequence = self._next_sequence()
        answer = asyncio.get_running_loop().create_future()
        self._pending[sequence] = answer
        try:
            probe_fields = {"sequence": sequence, "target": member.name}
            self._send(member.gossip_address, "ping", **probe_fields)
            if await _within(answer, self._settings.probe_timeout):
                return self._probe_succeeded(member)
            for prober in self._selector.indirect_probers(member):
                self._send(prober.gossip_address, "probe", **probe_fields)
            if await _within(answer, remaining(deadline)):
                return self._probe_succeeded(member)
        finally:
            del self._pending[sequence]
        return self._probe_failed(member, began)

    def _probe_succeeded(self, member):
        self._regions.clear_failed_probe(member.name)
        if member.region != self._own.region:
            self._regions.record_contact(member.region)

    def _probe_failed(self, member, began):
        # After a pause of this process its timeouts expire before it reads the answers
        # in its socket, and on a busy processor it reads answers late. Neither is a
        # failure of the member.
        late = now() - began > LATE_PROBE_FACTOR * self._settings.probe_interval
        if self._pause_detector.tick() or late:
            return
        current = self._roster.get(member.name)
        if current is None or current.incarnation != member.incarnation:
            return
        if member.region == self._own.region or self._regions.record_failed_probe(
            member, began
        ):
            self._suspect(current)

    def _suspect(self, member):
        if member.state is State.LEAVING:
            self._merge(order.changed(member, state=State.DEAD))
        elif member.state is State.ALIVE:
            self._merge(order.changed(member, state=State.SUSPECT))

    def _run_checks(self):
        if self._pause_detector.tick():
            return
        others = len(self._selector.others())
        for member in self._suspicions.pop_expired(self._roster, others):
            self._merge(order.changed(member, state=State.DEAD))
        self._update_silent_regions()
        self._roster.drop_expired()
        self._reconnect()

    def _update_silent_regions(self):
        regions = {m.region for m in self._roster.living()} - {self._own.region}
        silent = {r for r in regions if self._regions.silent_since(r) is not None}
        for region in silent ^ self._silent_regions:
            logs.changed("region:silent", region=region, silent=region in silent)
            EVENTS.add("region", region=region, silent=int(region in silent))
        changed, self._silent_regions = silent ^ self._silent_regions, silent
        for region in changed:
            self._delegate.region_changed(region, region in silent)

    def _reconnect(self):
        if not passed(self._reconnect_after):
            return
        self._reconnect_after = deadline_in(self._settings.reconnect_interval)
        unreachable = [m.gossip_address for m in self._roster.dead()]
        known = {m.gossip_address for m in self._roster.living()}
        unreachable += [seed for seed in self._seeds if seed not in known]
        if unreachable:
            self.join([self._rng.choice(unreachable)])

    def _recover(self):
        logs.changed("member:paused", member=self._own.name)
        EVENTS.add("paused", member=self._own.name)
        self._suspicions.restart_timers()
        self._regions.reset()
        others = self._selector.others()
        self._refresh_deadline = self._refresh_deadline or deadline_in(
            self._settings.suspicion_timeout
        )
        if not others or passed(self._refresh_deadline):
            # No member to refresh from: equivalent to an isolated member without a
            # pause.
            self._mark_refreshed()
            return
        count = min(len(others), self._settings.indirect_probes or 1)
        self.join([m.gossip_address for m in self._rng.sample(others, count)])

    async def _gossip_forever(self):
        while True:
            self._pause_detector.tick()
            if self._broadcasts or self._position_rounds_left:
                self._gossip()
            await asyncio.sleep(self._settings.gossip_interval)

    def _gossip(self):
        self._position_rounds_left = max(0, self._position_rounds_left - 1)
        for member in self._selector.gossip_targets():
            self._send(member.gossip_address, "gossip")


def _should_relay_updates(message):
    """Say whether the updates of a message are gossiped further.

    A joining member receives all members, which all others know already. Sending each
    on a dozen times would exceed its byte budget. A difference of a few members is a
    lost update, which other members may have missed too.
    """
    return str(message.kind) != "differ" or len(message.updates) <= MAX_RELAYED_REPAIRS


async def _within(answer, seconds):
    done, _ = await asyncio.wait([answer], timeout=seconds)
    return bool(done)
