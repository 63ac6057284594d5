"""The replicas of every service, as the platform's list and own calls show them."""

from sassafrasdoor.clock import LONG_AGO, deadline_in, now, passed, remaining
from sassafrasdoor.decisions import note
from sassafrasdoor.metrics import counter
from sassafrasdoor.routing.backend_state import BackendState
from sassafrasdoor.routing.placement import Candidate

SUSPECT_FOR = 1.0
"""Seconds without work after a failure, doubled with each in a row: a restarted
replica is tried again soon, a dark one costs one call in eight seconds."""
OUTAGE_GRACE = 2.3
"""Seconds after the list's return that a lapsed entry may need to come back: the
platform names about two, and the list is read each third of a second; a replica is
tried meanwhile, its calls name its identity."""
USUAL_HEARTBEAT = 1.2
"""Seconds between two heartbeats of a replica, unless the platform names others."""
MISSED_TO_LAPSE = 2
"""Heartbeats that an outage must last before the entry of a living replica ends: the
third one in a row that does not come ends it, and the first may be due at its begin."""
ZONE_PENALTY = 0.25
"""Load, as a share of capacity, that a replica in another zone must be better by:
a call of 1 KB across zones costs little, but a second kept connection does not pay."""
LOAD_TRUSTED_FOR = 1.0
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
    ``heard_at`` is when one of its streams last sent something,
    ``pace`` is the smoothed time between two events of its streams in seconds, None
    before the first.
    """

    __slots__ = (
        "_others",
        "_others_until",
        "absent_until",
        "heard_at",
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
        self.heard_at = LONG_AGO
        self._others = 0
        self._others_until = 0.0

    @property
    def usable(self):
        """Whether it may get new work."""
        return not self.listing.leaving and (
            self.absent_until is None or not passed(self.absent_until)
        )

    @property
    def load(self):
        """Estimated places taken: own calls, and others' where told of late."""
        others = 0 if passed(self._others_until) else self._others
        return self.state.in_flight + others

    @property
    def room(self):
        """Estimated free places."""
        return self.listing.slots - self.load

    def candidate(self):
        """Return a ``Candidate``: its estimated state at this moment."""
        closed = {model for model, at in self.loading_until.items() if not passed(at)}
        closed |= {model for model, at in self.refused_until.items() if not passed(at)}
        return Candidate(self, self.load, self.state.suspect, closed)

    def told_load(self, running, waiting):
        """Take the load told beside an answer; own calls are part of it."""
        self._others = max(0, running + waiting - self.state.in_flight)
        self._others_until = deadline_in(LOAD_TRUSTED_FOR)

    @property
    def loading(self):
        """Whether a load that this process ordered has not ended yet."""
        return any(not passed(at) for at in self.loading_until.values())

    def told_gap(self, seconds):
        """Take the time between two events of one of its streams."""
        if self.pace is None:
            self.pace = seconds
        self.pace += PACE_WEIGHT * (seconds - self.pace)

    def told_version(self, model, version):
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

    def __init__(self, zone, heartbeat=USUAL_HEARTBEAT):
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
            one
            for one in self._known.values()
            if one.listing.service == service and one.usable
        ]

    def get(self, identity):
        """Return the replica, or None."""
        return self._known.get(identity)

    def listed(self, identity, listing):
        """Take an entry of the platform's list.

        One of an earlier incarnation that comes late changes nothing.
        """
        known = self._known.get(identity)
        if known is not None and listing.born < known.listing.born:
            note("replica.entry_late", replica=identity, born=listing.born)
            return
        if known is not None and listing.born > known.listing.born:
            known = self._restarted(known)
        if known is None:
            known = self._known[identity] = Replica(identity, listing)
            self._note("listed", known)
        elif known.listing.leaving != listing.leaving:
            self._note("leaving", known)
        elif known.absent_until is not None:
            self._note("back", known)
        for model, version in listing.versions.items():
            if listing.versions != known.listing.versions:
                known.versions[model] = version
        known.listing = listing
        known.absent_until = None
        self._changed()

    def _restarted(self, known):
        """Forget an incarnation; its place is free for the next."""
        # A replica that starts again under its identity holds nothing and knows
        # nothing. Its former versions believed, steps would be sent to weights that
        # are not there; its former failures believed, it would stand idle.
        del self._known[known.identity]
        self._note("restarted", known)
        for callback in self._restart_callbacks:
            callback(known)

    def refuse(self, identity):
        """Drop a replica whose newest entry names none that could be used."""
        if self._known.pop(identity, None) is not None:
            self._changed()

    def unlisted(self, identity):
        """Take the end of an entry.

        Entries also lapse while the list itself is away, and come back within
        seconds if the replica lives: dropping all of them at once would refuse
        every request after each outage of the platform.
        """
        known = self._known.get(identity)
        if known is None:
            return
        tried_until = self._lapses_until
        if passed(tried_until):
            del self._known[identity]
            self._note("gone", known)
        else:
            known.absent_until = tried_until
            self._note("absent", known, **self._silence_fields(tried_until))
        self._changed()

    def sweep(self):
        """Forget replicas whose entry did not come back."""
        for identity, one in list(self._known.items()):
            if one.absent_until is not None and passed(one.absent_until):
                del self._known[identity]
                self._note("gone", one)

    @property
    def _lapses_until(self):
        """Until when the end of an entry may be a lapse of the list's last outage.

        Counted from the entry's end instead of from the list's return, or after any lost
        read, it would give work to a replica that left without a word until it exits.
        """
        silence = self.list_tail.last_outage if self.list_tail is not None else None
        if silence is None:
            return LONG_AGO
        if silence.until - silence.since < MISSED_TO_LAPSE * self._heartbeat:
            return LONG_AGO
        return silence.until + OUTAGE_GRACE

    def choose(self, service, avoid=()):
        """Return the least loaded replica of a service, or None.

        One in this zone is preferred while its load is close to the best: its
        kept connections are used again and no bytes cross zones.
        """
        found = [one for one in self.of_service(service) if one.identity not in avoid]
        sound = [one for one in found if not one.state.suspect] or found
        return min(sound, key=self._cost, default=None)

    def _cost(self, one):
        share = (one.load + one.state.weighing_failures) / max(1, one.listing.slots)
        away = 0.0 if one.listing.zone == self._zone else ZONE_PENALTY
        return (share + away, one.identity)

    def _silence_fields(self, until):
        """Return what decided for how long a lapsed entry is believed on."""
        fields = {"tried_seconds": round(remaining(until), 3)}
        silence = self.list_tail.last_outage
        if silence is None:
            return fields
        if silence.since != LONG_AGO:
            fields["list_away_seconds"] = round(silence.until - silence.since, 3)
        fields["list_back_seconds"] = round(now() - silence.until, 3)
        return fields

    def _note(self, kind, one, **fields):
        LISTED.inc({"kind": kind})
        note(
            f"replica.{kind}",
            replica=one.identity,
            service=one.listing.service,
            address=one.listing.address,
            zone=one.listing.zone,
            **fields,
        )

    def _changed(self):
        for callback in self._callbacks:
            callback()
