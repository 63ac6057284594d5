"""The replicas of every service, as the platform's list and own calls show them."""

from sassafrasdoor.clock import LONG_AGO, deadline_in, now, passed, remaining
from sassafrasdoor.decisions import note
from sassafrasdoor.metrics import counter
from sassafrasdoor.routing.backend_state import BackendState
from sassafrasdoor.routing.placement import Candidate

SUSPECT_DURATION = 1.0
"""Seconds without work after a failure, doubled with each in a row: a restarted
replica is tried again soon, a dark one costs one call in eight seconds."""
OUTAGE_GRACE_PERIOD = 2.3
"""Seconds after the list's return that a lapsed entry may need to come back: the
platform names about two, and the list is read each third of a second; a replica is
tried meanwhile, its calls name its identity."""
DEFAULT_HEARTBEAT_INTERVAL = 1.2
"""Seconds between two heartbeats of a replica, unless the platform names others."""
MIN_MISSED_HEARTBEATS = 2
"""Heartbeats that an outage must last before the entry of a living replica ends: the
third one in a row that does not come ends it, and the first may be due at its begin."""
ZONE_PENALTY = 0.25
"""Load, as a share of capacity, that a replica in another zone must be better by:
a call of 1 KB across zones costs little, but a second kept connection does not pay."""
LOAD_REPORT_LIFETIME = 1.0
"""Seconds that the load told beside an answer counts; calls last under a second."""

PACE_WEIGHT = 0.03
"""Weight of one gap in the pace: a full replica makes some 250 events a second, so a
change shows within a fifth of a second, and one late packet does not."""

LISTED = counter("replicas_listed_total", "Changes of the platform's list, by kind.")


class Listing:
    """What the platform's list says of a replica.

    ``born`` tells its incarnations apart: the Unix millisecond of its start, 0 where
    the list does not say. It is compared with other such, never with a clock.
    """

    __slots__ = ("address", "born", "leaving", "service", "slots", "versions", "zone")

    def __init__(self, service, address, zone, slots, leaving, versions, born=0):
        self.born = born
        self.service = service
        self.address = address
        self.zone = zone
        self.slots = slots
        self.leaving = leaving
        self.versions = versions


class Replica:
    """One incarnation of a replica; another one may have its ``identity`` later.

    Everything that is remembered of a replica hangs on this object, so that nothing
    of an incarnation is believed of the next: ``refused_until`` maps a model to when
    it may get an item again that it has refused.

    ``loading_until`` maps a model to when a load that this process ordered ends;
    ``last_received_at`` is when one of its streams last sent something,
    ``pace`` is the smoothed time between two events of its streams in seconds, None
    before the first.
    """

    __slots__ = (
        "_other_callers_load",
        "_other_callers_load_deadline",
        "absent_until",
        "last_received_at",
        "identity",
        "listing",
        "loading_until",
        "pace",
        "refused_until",
        "state",
        "versions",
    )

    def __init__(self, identity, listing):
        self.identity = identity
        self.listing = listing
        self.state = BackendState(listing.slots)
        self.versions = dict(listing.versions)
        self.absent_until = None
        self.loading_until = {}
        self.refused_until = {}
        self.pace = None
        self.last_received_at = LONG_AGO
        self._other_callers_load = 0
        self._other_callers_load_deadline = 0.0

    @property
    def is_usable(self):
        """Whether it may get new work."""
        return not self.listing.leaving and (
            self.absent_until is None or not passed(self.absent_until)
        )

    @property
    def load(self):
        """Estimated places taken: own calls, and others' where told of late."""
        others = (
            0 if passed(self._other_callers_load_deadline) else self._other_callers_load
        )
        return self.state.in_flight + others

    @property
    def free_slots(self):
        """Estimated free places."""
        return self.listing.slots - self.load

    def candidate(self):
        """Return a ``Candidate``: its estimated state at this moment."""
        unavailable_models = {
            model for model, at in self.loading_until.items() if not passed(at)
        }
        unavailable_models |= {
            model for model, at in self.refused_until.items() if not passed(at)
        }
        return Candidate(self, self.load, self.state.is_suspect, unavailable_models)

    def record_load(self, running, waiting):
        """Take the load told beside an answer; own calls are part of it."""
        self._other_callers_load = max(0, running + waiting - self.state.in_flight)
        self._other_callers_load_deadline = deadline_in(LOAD_REPORT_LIFETIME)

    @property
    def is_loading(self):
        """Whether a load that this process ordered has not ended yet."""
        return any(not passed(at) for at in self.loading_until.values())

    def record_event_interval(self, seconds):
        """Take the time between two events of one of its streams."""
        if self.pace is None:
            self.pace = seconds
        self.pace += PACE_WEIGHT * (seconds - self.pace)

    def record_version(self, model, version):
        """Take the weight version told beside an answer or by an order's reply."""
        self.versions[model] = version


class Replicas:
    """All known replicas by identity.

    ``heartbeat`` is the time in seconds between two heartbeats of a replica;
    ``list_tail`` is the reader of the platform's list, None without one.
    """

    __slots__ = (
        "_callbacks",
        "_heartbeat",
        "_known",
        "_restart_callbacks",
        "_zone",
        "list_tail",
    )

    def __init__(self, zone, heartbeat=DEFAULT_HEARTBEAT_INTERVAL):
        self._zone = zone
        self._heartbeat = heartbeat
        self._known = {}
        self._callbacks = []
        self._restart_callbacks = []
        self.list_tail = None

    @property
    def count(self):
        """How many replicas are known."""
        return len(self._known)

    def on_change(self, callback):
        """Call ``callback()`` when a replica comes, goes or changes."""
        self._callbacks.append(callback)

    def on_restart(self, callback):
        """Call ``callback(replica)`` with an incarnation that another one replaces."""
        self._restart_callbacks.append(callback)

    def of_service(self, service):
        """Return the replicas of a service that may get work."""
        return [
            replica
            for replica in self._known.values()
            if replica.listing.service == service and replica.is_usable
        ]

    def get(self, identity):
        """Return the replica, or None."""
        return self._known.get(identity)

    def update_listing(self, identity, listing):
        """Take an entry of the platform's list.

        One of an earlier incarnation that comes late changes nothing.
        """
        replica = self._known.get(identity)
        if replica is not None and listing.born < replica.listing.born:
            note("replica.entry_late", replica=identity, born=listing.born)
            return
        if replica is not None and listing.born > replica.listing.born:
            replica = self._forget_incarnation(replica)
        if replica is None:
            replica = self._known[identity] = Replica(identity, listing)
            self._note("listed", replica)
        elif replica.listing.leaving != listing.leaving:
            self._note("leaving", replica)
        elif replica.absent_until is not None:
            self._note("back", replica)
        for model, version in listing.versions.items():
            if listing.versions != replica.listing.versions:
                replica.versions[model] = version
        replica.listing = listing
        replica.absent_until = None
        self._changed()

    def _forget_incarnation(self, replica):
        """Forget an incarnation; its place is free for the next."""
        # A replica that starts again under its identity holds nothing and knows
        # nothing. Its former versions believed, steps would be sent to weights that
        # are not there; its former failures believed, it would stand idle.
        del self._known[replica.identity]
        self._note("restarted", replica)
        for callback in self._restart_callbacks:
            callback(replica)

    def discard(self, identity):
        """Drop a replica whose newest entry names none that could be used."""
        if self._known.pop(identity, None) is not None:
            self._changed()

    def remove_listing(self, identity):
        """Take the end of an entry.

        Entries also lapse while the list itself is away, and come back within
        seconds if the replica lives: dropping all of them at once would refuse
        every request after each outage of the platform.
        """
        replica = self._known.get(identity)
        if replica is None:
            return
        deadline = self._lapse_deadline
        if passed(deadline):
            del self._known[identity]
            self._note("gone", replica)
        else:
            replica.absent_until = deadline
            self._note("absent", replica, **self._outage_fields(deadline))
        self._changed()

    def remove_lapsed(self):
        """Forget replicas whose entry did not come back."""
        for identity, replica in list(self._known.items()):
            if replica.absent_until is not None and passed(replica.absent_until):
                del self._known[identity]
                self._note("gone", replica)

    @property
    def _lapse_deadline(self):
        """Until when the end of an entry may be a lapse of the list's last outage.

        Counted from the entry's end instead of from the list's return, or after any lost
        read, it would give work to a replica that left without a word until it exits.
        """
        silence = self.list_tail.silence if self.list_tail is not None else None
        if silence is None:
            return LONG_AGO
        if silence.until - silence.since < MIN_MISSED_HEARTBEATS * self._heartbeat:
            return LONG_AGO
        return silence.until + OUTAGE_GRACE_PERIOD

    def choose(self, service, avoid=()):
        """Return the least loaded replica of a service, or None.

        One in this zone is preferred while its load is close to the best: its
        kept connections are used again and no bytes cross zones.
        """
        candidates = [
            replica
            for replica in self.of_service(service)
            if replica.identity not in avoid
        ]
        healthy = [
            replica for replica in candidates if not replica.state.is_suspect
        ] or candidates
        return min(healthy, key=self._cost, default=None)

    def _cost(self, replica):
        share = (replica.load + replica.state.recent_failures) / max(
            1, replica.listing.slots
        )
        zone_penalty = 0.0 if replica.listing.zone == self._zone else ZONE_PENALTY
        return (share + zone_penalty, replica.identity)

    def _outage_fields(self, until):
        """Return what decided for how long a lapsed entry is believed on."""
        fields = {"tried_seconds": round(remaining(until), 3)}
        silence = self.list_tail.silence
        if silence is None:
            return fields
        if silence.since != LONG_AGO:
            fields["list_away_seconds"] = round(silence.until - silence.since, 3)
        fields["list_back_seconds"] = round(now() - silence.until, 3)
        return fields

    def _note(self, kind, replica, **fields):
        LISTED.inc({"kind": kind})
        note(
            f"replica.{kind}",
            replica=replica.identity,
            service=replica.listing.service,
            address=replica.listing.address,
            zone=replica.listing.zone,
            **fields,
        )

    def _changed(self):
        for callback in self._callbacks:
            callback()
