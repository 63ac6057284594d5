"""Membership by random probing (SWIM), as a library.

Each member probes one other each interval, mostly in its own region; asks a few
others to probe it when it does not answer; suspects it, and declares it dead
unless it refutes in time by a higher incarnation. Updates ride on the messages.
The cost for a member does not grow with their number, but for a logarithm.
Whatever it says is a hint: nothing that must be agreed rests on it.
"""

import asyncio
import random
import time

from sassafrasdoor import logs
from sassafrasdoor.clock import PauseDetector, deadline_in, now, passed, remaining
from sassafrasdoor.events import EVENTS
from sassafrasdoor.membership import messages, order
from sassafrasdoor.membership.broadcasts import Broadcasts
from sassafrasdoor.membership.delegate import Delegate, News
from sassafrasdoor.membership.regions import Regions
from sassafrasdoor.membership.roster import Roster
from sassafrasdoor.membership.suspicions import Suspicions
from sassafrasdoor.membership.targets import Targets
from sassafrasdoor.membership.transport import Transport
from sassafrasdoor.view import State

# One round to ``gossip_fanout`` members by each that hears it reaches nearly all;
# the probes of the next second or two tell the rest.
NEWS_ROUNDS = 1
DEPART_ROUNDS = 2
# A probe ends within one interval; one that took longer ended late by our fault.
LATE = 1.2
FEW_UPDATES = 3
NEVER_MS = 0xFFFFFFFF
SEQUENCES = 1 << 32


class Membership:
    """One member's part: ``await start(...)``, then read ``members``.

    ``own`` is this process's ``Member``; its incarnation and gossip address are
    filled in here. Needs a running asyncio loop and no kj_loop.
    """

    def __init__(self, settings, own, delegate=None, chance=None):
        self._settings = settings.membership
        self._delegate = delegate or Delegate()
        self._chance = chance or random.Random()
        self._transport = Transport(settings, self._received)
        self._roster = Roster()
        self._broadcasts = Broadcasts()
        self._regions = Regions(self._settings)
        self._silent = set()
        self._suspicions = Suspicions(self._settings, own.region, self._regions)
        self._targets = Targets(
            self._settings, own, self._roster, self._regions, self._chance
        )
        self._pending = {}
        self._relays = {}
        self._sequence = self._chance.randrange(SEQUENCES)
        self._compare_after = now()
        self._reconnect_after = now()
        self._distrust_until = None
        self._news_left = 0
        self._pause = PauseDetector(2 * self._settings.probe_interval)
        self._seeds = list(self._settings.seeds)
        self._tasks = []
        # Milliseconds of the wall clock: above every incarnation of an earlier
        # life of this name. Should the clock have been set back, the first
        # update about the earlier life is refuted like any other.
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
    def trusted(self):
        """False after a pause of this process until a member has answered."""
        return not self._pause.paused

    @property
    def members(self):
        """All members but the dead, as seen from here, this one included.

        Members of a silent region are suspect, after ``silence_timeout`` gone.
        """
        seen = (self._seen(member) for member in self._roster.living())
        return [member for member in seen if member.state is not State.DEAD]

    @property
    def maybe_living(self):
        """Names of all members remembered but those that departed on purpose."""
        return [m.name for m in self._roster.all() if not order.departed(m)]

    def _seen(self, member):
        since = self._regions.silent_since(member.region) if self._silent else None
        if since is None or member.state is not State.ALIVE:
            return member
        gone = now() - since > self._settings.silence_timeout
        return order.changed(member, state=State.DEAD if gone else State.SUSPECT)

    async def start(self, host="127.0.0.1", port=0):
        """Bind, join the seeds and begin to probe."""
        await self._transport.open(host, port)
        self._declare(gossip_address=self.address)
        self.join(self._seeds)
        self._tasks = [
            asyncio.create_task(self._probe_forever()),
            asyncio.create_task(self._gossip_forever()),
        ]

    def join(self, addresses):
        """Compare rosters with the members at these gossip addresses."""
        for address in addresses:
            if address and address != self._own.gossip_address:
                self._compare(address)

    def update(self, **addresses):
        """Tell all members other addresses of this process."""
        if any(getattr(self._own, name) != to for name, to in addresses.items()):
            self._declare(incarnation=self._own.incarnation + 1, **addresses)

    def leave(self):
        """Tell all members that this process leaves on purpose."""
        if self._own.state is State.ALIVE:
            self._declare(state=State.LEAVING)

    async def depart(self):
        """Tell some members that this process is gone now, before ``stop``."""
        gone = dict.fromkeys(order.ADDRESSES, "")
        incarnation = self._own.incarnation + 1
        self._declare(state=State.DEAD, incarnation=incarnation, **gone)
        for _ in range(DEPART_ROUNDS):
            self._gossip()
            await asyncio.sleep(self._settings.gossip_interval)

    def spread_news(self):
        """The delegate's ``news`` changed: tell it on without delay."""
        self._news_left = NEWS_ROUNDS

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
        news = self._delegate.news()
        age = news.age
        self._transport.send(
            address,
            kind=kind,
            sender=self._own.name,
            region=self._own.region,
            stamp=EVENTS.clock.stamp(),
            digest=self._roster.digest,
            asOf=news.as_of,
            confirmedAgeMs=NEVER_MS if age is None else min(int(age * 1000), NEVER_MS),
            confirmedHops=news.hops,
            changedAsOf=news.changed_as_of,
            updates=[messages.encode_update(member) for member in updates],
            contacts=[
                {"region": region, "ageMs": min(int(seconds * 1000), NEVER_MS)}
                for region, seconds in self._regions.ages()
            ],
            **fields,
        )

    def _compare(self, address):
        wait = self._settings.compare_interval * self._chance.uniform(0.5, 1.5)
        self._compare_after = deadline_in(wait)
        self._send(address, "compare", [self._own], buckets=self._roster.buckets)

    # Receiving

    def _received(self, message, address):
        if message.sender == self._own.name:
            return
        EVENTS.clock.observe(message.stamp)
        if not self._pause.tick():
            # Right after a pause, messages as old as the pause are read: they
            # say nothing about who can be reached now.
            self._suspicions.last_heard = now()
            self._hear_regions(message)
        spread = _worth_spreading(message)
        for update in message.updates:
            self._take(messages.decode_update(bytes(update)), spread)
        self._delegate.heard(message.sender, self._news_in(message))
        handler = self._HANDLERS.get(str(message.kind))
        if handler is not None:
            handler(self, message, address)

    def _news_in(self, message):
        age = message.confirmedAgeMs
        # A message that waited while this process was paused is older than it
        # says by an unknown time: its confirmation would look too young.
        if age == NEVER_MS or self._pause.paused:
            return News(message.asOf, message.changedAsOf)
        confirmed_at = now() - age / 1000
        hops = message.confirmedHops
        return News(message.asOf, message.changedAsOf, confirmed_at, hops)

    def _hear_regions(self, message):
        if message.region != self._own.region:
            self._regions.heard(message.region)
            return
        for contact in message.contacts:
            if contact.region != self._own.region:
                self._regions.told(contact.region, contact.ageMs / 1000)

    def _pinged(self, message, address):
        # The address may have passed on to another instance: only the member
        # that was meant answers, or a dead one would seem alive for ever.
        if message.target == self._own.name:
            doubted = self._roster.get(message.sender)
            updates = self._broadcasts.take(len(self._roster))
            if doubted is not None and doubted.state in (State.SUSPECT, State.DEAD):
                updates = [doubted, *updates[1:]]
            self._send(address, "ack", updates, sequence=message.sequence)
        self._compare_if_different(message, address)

    def _acked(self, message, address):
        relay = self._relays.pop(message.sequence, None)
        if relay is not None:
            asker, sequence = relay
            self._send(asker, "ack", sequence=sequence, target=message.sender)
        pending = self._pending.get(message.sequence)
        if pending is not None and not pending.done():
            pending.set_result(True)
        self._compare_if_different(message, address)

    def _asked_to_probe(self, message, address):
        target = self._roster.get(message.target)
        if target is None:
            return
        sequence = self._next_sequence()
        self._relays[sequence] = (address, message.sequence)
        loop = asyncio.get_running_loop()
        wait = self._settings.probe_interval
        loop.call_later(wait, self._relays.pop, sequence, None)
        self._send(target.gossip_address, "ping", sequence=sequence, target=target.name)

    def _compared(self, message, address):
        differing = self._roster.differing(list(message.buckets))
        *most, last = messages.chunks(differing)
        for chunk in most:
            self._send(address, "differ", chunk)
        self._send(address, "differ", last, buckets=self._roster.buckets)

    def _refreshed(self):
        self._pause.clear_pause()
        self._distrust_until = None

    def _differed(self, message, address):
        self._refreshed()
        if not len(message.buckets):
            return
        for chunk in messages.chunks(self._roster.differing(list(message.buckets))):
            if chunk:
                self._send(address, "differ", chunk)

    def _compare_if_different(self, message, address):
        if message.digest != self._roster.digest and passed(self._compare_after):
            self._compare(address)

    _HANDLERS = {
        "ping": _pinged,
        "ack": _acked,
        "probe": _asked_to_probe,
        "compare": _compared,
        "differ": _differed,
    }

    # Updates

    def _declare(self, **fields):
        self._own = order.changed(self._own, **fields)
        self._apply(self._own)

    def _take(self, update, spread=True):
        if update.name != self._own.name:
            self._apply(update, spread)
        elif order.newer(update, self._own):
            # Somebody doubts this process, or remembers an earlier life of it.
            self._declare(incarnation=update.incarnation + 1)

    def _apply(self, update, spread=True):
        is_new = self._roster.get(update.name) is None
        if not self._roster.apply(update):
            return
        if spread:
            self._broadcasts.add(update)
        if is_new:
            self._targets.joined(update)
        if update.state is State.SUSPECT:
            self._suspicions.begin(update.name)
        else:
            self._suspicions.end(update.name)
            self._regions.clear(update.name)
        EVENTS.add("member", member=update.name, state=update.state.value)
        logs.changed("member:changed", member=update.name, state=update.state.value)
        self._delegate.member_changed(update)

    # Probing

    async def _probe_forever(self):
        while True:
            next_round = deadline_in(self._settings.probe_interval)
            if self._pause.tick():
                self._recover()
            member = self._targets.next()
            if member is not None:
                await self._probe(member, next_round)
            self._judge()
            await asyncio.sleep(remaining(next_round))

    def _next_sequence(self):
        self._sequence = (self._sequence + 1) % SEQUENCES
        return self._sequence

    async def _probe(self, member, limit):
        began = now()
        sequence = self._next_sequence()
        answer = asyncio.get_running_loop().create_future()
        self._pending[sequence] = answer
        try:
            words = {"sequence": sequence, "target": member.name}
            self._send(member.gossip_address, "ping", **words)
            if await _within(answer, self._settings.probe_timeout):
                return self._answered(member)
            for helper in self._targets.helpers(member):
                self._send(helper.gossip_address, "probe", **words)
            if await _within(answer, remaining(limit)):
                return self._answered(member)
        finally:
            del self._pending[sequence]
        return self._unanswered(member, began)

    def _answered(self, member):
        self._regions.clear(member.name)
        if member.region != self._own.region:
            self._regions.heard(member.region)

    def _unanswered(self, member, began):
        # A process that was stopped meanwhile finds its timeouts all expired,
        # before the answers that wait in its socket. It must not blame others.
        # One that only runs late (its processor is busy) reads answers late too.
        late = now() - began > LATE * self._settings.probe_interval
        if self._pause.tick() or late:
            return
        current = self._roster.get(member.name)
        if current is None or current.incarnation != member.incarnation:
            return
        if member.region == self._own.region or self._regions.doubted_again(
            member, began
        ):
            self._blame(current)

    def _blame(self, member):
        if member.state is State.LEAVING:
            self._take(order.changed(member, state=State.DEAD))
        elif member.state is State.ALIVE:
            self._take(order.changed(member, state=State.SUSPECT))

    def _judge(self):
        if self._pause.tick():
            return
        others = len(self._targets.others())
        for member in self._suspicions.expired(self._roster, others):
            self._take(order.changed(member, state=State.DEAD))
        self._note_silence()
        self._roster.forget()
        self._reconnect()

    def _note_silence(self):
        regions = {m.region for m in self._roster.living()} - {self._own.region}
        silent = {r for r in regions if self._regions.silent_since(r) is not None}
        for region in silent ^ self._silent:
            logs.changed("region:silent", region=region, silent=region in silent)
            EVENTS.add("region", region=region, silent=int(region in silent))
        changed, self._silent = silent ^ self._silent, silent
        for region in changed:
            self._delegate.region_changed(region, region in silent)

    def _reconnect(self):
        if not passed(self._reconnect_after):
            return
        self._reconnect_after = deadline_in(self._settings.reconnect_interval)
        lost = [m.gossip_address for m in self._roster.dead()]
        known = {m.gossip_address for m in self._roster.living()}
        lost += [seed for seed in self._seeds if seed not in known]
        if lost:
            self.join([self._chance.choice(lost)])

    def _recover(self):
        logs.changed("member:paused", member=self._own.name)
        EVENTS.add("paused", member=self._own.name)
        self._suspicions.restart()
        self._regions.restart()
        others = self._targets.others()
        self._distrust_until = self._distrust_until or deadline_in(
            self._settings.suspicion_timeout
        )
        if not others or passed(self._distrust_until):
            # Nobody there to refresh from: as good as a member that was not
            # paused and hears nobody.
            self._refreshed()
            return
        few = min(len(others), self._settings.indirect_probes or 1)
        self.join([m.gossip_address for m in self._chance.sample(others, few)])

    async def _gossip_forever(self):
        while True:
            self._pause.tick()
            if self._broadcasts or self._news_left:
                self._gossip()
            await asyncio.sleep(self._settings.gossip_interval)

    def _gossip(self):
        self._news_left = max(0, self._news_left - 1)
        for member in self._targets.for_gossip():
            self._send(member.gossip_address, "gossip")


def _worth_spreading(message):
    """Say whether the updates of a message are to be passed on to all.

    Who joins is sent all members, which all but itself know. Passing each on a
    dozen times would take it over its byte budget. A difference of a few is a lost
    update, and may be lost on others too.
    """
    return str(message.kind) != "differ" or len(message.updates) <= FEW_UPDATES


async def _within(answer, seconds):
    done, _ = await asyncio.wait([answer], timeout=seconds)
    return bool(done)
