"""Transfers the agreed state between peers, and selects the readers of the log.

A few instances of each zone (pollers) read the log. The others learn its end from
gossip and fetch the state from the sender, so that each peer serves about one fetch
a change. Most records are lease renewals, which matter only to instances that may
claim; those read the log, and the others fetch renewals lazily. While the log is
down, lagging and new instances get the state in the same way.
"""

import asyncio
import hashlib
import json
import random

from sassafrasdoor import metrics, rendezvous
from sassafrasdoor.clock import deadline_in, now, passed
from sassafrasdoor.control import messages
from sassafrasdoor.events import EVENTS
from sassafrasdoor.log.agreed import Agreed
from sassafrasdoor.membership.delegate import LogPosition
from sassafrasdoor.outcomes import Unavailable
from sassafrasdoor.peers.link import PeerLink
from sassafrasdoor.table.accepted import Accepted
from sassafrasdoor.view import State

# A relayed confirmation loses the transmission time from its age at each hop. Relayed
# without bound it would never age while the log is down.
MAX_HOPS = 8
FETCH_INTERVAL = 0.3  # seconds
LAZY_FETCH_INTERVAL = 10.0  # seconds
POLLER_FETCH_DELAY = 1.0  # seconds; a poller reads the log first
CONFIRMATION_TIMEOUT = 6.0  # seconds; after it any instance may read the log

EMPTY_ACCEPTED = Accepted().as_document()

FETCHED = metrics.counter("state_fetches_total", "States fetched from peers.")
FAILED = metrics.counter("state_fetch_failures_total", "Fetches that failed.")


class StateSync:
    """Exchanges ``LogPosition`` and fetches newer state from peers for the follower."""

    __slots__ = (
        "_peers_ahead",
        "_random",
        "_confirmed",
        "_digest",
        "_follower",
        "_last_known",
        "_next_lazy_fetch",
        "_members",
        "_pollers",
        "_pollers_members",
        "_settings",
        "_wake_event",
        "changed_as_of",
    )

    def __init__(self, settings, follower, members):
        self._settings = settings
        self._follower = follower
        self._members = members
        self._random = random.Random()
        self._peers_ahead = {}
        self._confirmed = (None, 0)
        self._digest = AcceptedDigest()
        self._wake_event = asyncio.Event()
        self._next_lazy_fetch = deadline_in(0)
        self._last_known = None
        self._pollers_members = None
        self._pollers = set()
        self.changed_as_of = 0
        follower.on_change(self._on_state_change)

    def _on_state_change(self, state):
        leases = {name: lease.epoch for name, lease in state.leases.items()}
        known = (state.accepted, state.weights, leases)
        if known != self._last_known:
            self._last_known = known
            self.changed_as_of = self._follower.as_of

    @property
    def pollers(self):
        """The names of the instances that read the log, of all zones."""
        members = self._members()
        if members is not self._pollers_members:
            zones = {}
            for member in members:
                if member.state is State.ALIVE:
                    zone = zones.setdefault(member.availability_zone, [])
                    zone.append(member.name)
            count = self._settings.membership.pollers_per_zone
            self._pollers_members = members
            self._pollers = {
                name
                for names in zones.values()
                for name in rendezvous.chosen(names, "poller", count)
            }
        return self._pollers

    @property
    def is_poller(self):
        """Whether this instance reads the log."""
        return self._settings.instance.name in self.pollers

    def is_chosen(self, duty):
        """Return whether this instance is the poller selected for ``duty``."""
        own = self._settings.instance.name
        return rendezvous.chosen(self.pollers, duty) == [own]

    def may_poll(self):
        """Return whether to read the log now.

        Without a recent confirmation the pollers or the log may be down. Then all
        instances read it, each with a probability that decreases with their number,
        so that a recovering log does not get 400 readers at once.
        """
        if self.is_poller:
            return True
        at = self._follower.confirmed_at
        if at is not None and now() - at < CONFIRMATION_TIMEOUT:
            return False
        share = self._settings.membership.pollers_per_zone
        return self._random.random() < share / max(1, len(self._members()))

    @property
    def hops(self):
        """The number of members that relayed the newest confirmation."""
        relayed_at, hops = self._confirmed
        return hops if relayed_at == self._follower.confirmed_at else 0

    def log_position(self):
        """Return this instance's read offset and when it was confirmed."""
        at, hops = self._follower.confirmed_at, self.hops
        if at is None:
            return LogPosition()
        if hops > MAX_HOPS:
            return LogPosition(self._follower.as_of, self.changed_as_of)
        return LogPosition(self._follower.as_of, self.changed_as_of, at, hops)

    def position_received(self, name, log_position):
        """Process a member's log position: a confirmation, or that it has newer state."""
        own = self._follower.as_of
        behind = log_position.changed_as_of > own
        if behind or (log_position.as_of > own and passed(self._next_lazy_fetch)):
            self._peers_ahead[name] = log_position.as_of
            self._wake_event.set()
        # A member that has read at least as far and has no newer changes confirms
        # the state known here.
        if (
            own
            and not behind
            and log_position.as_of >= own
            and log_position.confirmed_at is not None
        ):
            self._adopt(
                self._follower.state,
                own,
                log_position.confirmed_at,
                log_position.hops + 1,
            )

    def _adopt(self, state, as_of, confirmed_at, hops):
        known = self._follower.confirmed_at
        if confirmed_at is not None and (known is None or confirmed_at > known):
            self._confirmed = (confirmed_at, hops)
        return self._follower.adopt(state, as_of, confirmed_at)

    async def run(self):
        """Fetch from peers with newer state until cancelled."""
        while True:
            await self._wake_event.wait()
            if self.is_poller:
                await asyncio.sleep(POLLER_FETCH_DELAY)
            member = self._most_advanced_peer()
            if member is None:
                self._wake_event.clear()
                continue
            self._next_lazy_fetch = deadline_in(LAZY_FETCH_INTERVAL)
            fetched = await self.fetch(member.control_address)
            if not fetched:
                FAILED.inc({})
                self._peers_ahead.pop(member.name, None)
            await asyncio.sleep(FETCH_INTERVAL)

    def _most_advanced_peer(self):
        own = self._follower.as_of
        self._peers_ahead = {
            name: at for name, at in self._peers_ahead.items() if at > own
        }
        known = {m.name: m for m in self._members() if m.control_address}
        names = [name for name in self._peers_ahead if name in known]
        if not names:
            return None
        return known[max(names, key=lambda name: (self._peers_ahead[name], name))]

    async def fetch(self, address):
        """Adopt the state of the peer at ``address``; True or ``Unavailable``."""
        link = PeerLink(self._settings, address, messages.SCHEMA.Control)
        failed = await link.open()
        if failed is not None:
            return failed
        sent_at = now()
        answer = await link.call(
            "fetch",
            asOf=self._follower.as_of,
            accepted=self._digest.of(self._follower.state.accepted),
            stamp=EVENTS.clock.stamp(),
        )
        link.close()
        return answer and self._apply_answer(answer, sent_at)

    def _apply_answer(self, answer, sent_at):
        EVENTS.clock.observe(answer.stamp)
        if not answer.state:
            return Unavailable("the peer has no newer state")
        try:
            document = json.loads(answer.state)
            state = self._parse_state(document)
        except (ValueError, KeyError, TypeError, AttributeError):
            return Unavailable("the peer sent a malformed state")
        at = messages.confirmed_at_from(answer, sent_at)
        if self._adopt(state, answer.asOf, at, answer.confirmedHops + 1):
            FETCHED.inc({})
            EVENTS.add("state-fetched", as_of=answer.asOf)
        return True

    def _parse_state(self, document):
        own = self._follower.state.accepted
        if "accepted" in document:
            return Agreed.from_document(document)
        state = Agreed.from_document({**document, "accepted": EMPTY_ACCEPTED})
        return Agreed(own, state.weights, state.leases)

    def state_for_peer(self, as_of, accepted):
        """Return ``(as_of, state)`` for a peer at ``as_of``; empty if not newer.

        Omits the table if the peer has the same one: most changes are lease
        renewals, and a table of 300 rows has some 60 KB.
        """
        own = self._follower.as_of
        if own <= as_of or self._follower.confirmed_at is None:
            return own, ""
        document = self._follower.state.as_document()
        if accepted == self._digest.of(self._follower.state.accepted):
            del document["accepted"]
        return own, json.dumps(document)


class AcceptedDigest:
    """Computes a digest of the accepted table, cached until it changes."""

    __slots__ = ("_accepted", "_digest")

    def __init__(self):
        self._accepted = None
        self._digest = 0

    def of(self, accepted):
        """Return the 64-bit digest of an ``Accepted``."""
        if accepted is not self._accepted:
            text = json.dumps(accepted.as_document(), sort_keys=True)
            digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
            self._accepted = accepted
            self._digest = int.from_bytes(digest, "big")
        return self._digest
