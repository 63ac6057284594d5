"""State of the replicas of all services, from the platform's list and own calls."""

from sassafrasdoor.clock import LONG_AGO, now, passed, remaining
from sassafrasdoor.decisions import note
from sassafrasdoor.metrics import counter
from sassafrasdoor.routing import subsets
from sassafrasdoor.routing.backend_state import BackendState
from sassafrasdoor.routing.engine_speed import EngineSpeed, load_slowdown
from sassafrasdoor.routing.load_exchange import (
    LOAD_REPORT_LIFETIME,
    Observed,
    Report,
)
from sassafrasdoor.routing.overload import LoadReport
from sassafrasdoor.routing.placement import Candidate
from sassafrasdoor.routing.prompt_cache import PromptCache
from sassafrasdoor.routing.silence import Silences

# Seconds without work after a failure, doubled with each further one in a row: a
# restarted replica is soon tried again, a dead one costs one call in eight seconds.
SUSPECT_DURATION = 1.0
# Seconds from the end of a list outage within which a lapsed entry may return: the
# platform states about two, and the list is read every third of a second. The replica
# stays in use meanwhile; a call to a wrong one is refused, as it names the identity.
OUTAGE_GRACE_PERIOD = 2.3
DEFAULT_HEARTBEAT_INTERVAL = 1.2  # seconds, unless the platform states another one
# Heartbeat intervals that an outage lasts at least before the entry of a living replica
# lapses: the third miss in a row ends it, and the first may fall on the outage's start.
MIN_MISSED_HEARTBEATS = 2
# Share of capacity by which a replica in another zone must be less loaded: a call of
# 1 KB across zones costs little, but a second kept connection does not pay.
ZONE_PENALTY = 0.25
# Seconds; the pace of a shared machine changes several times a second.
PACE_LIFETIME = 0.3
USUAL_PACE = 1.0
# Seconds after a call to a service in which load reports about it are exchanged: in calm
# time an instance has a call every few seconds.
SERVICE_USE_PERIOD = 5.0

# Weight of one interval in the smoothed one: a full replica sends about 250 events a
# second, so a change shows within a fifth of a second, and one late packet does not.
EVENT_INTERVAL_WEIGHT = 0.03

LISTED = counter("replicas_listed_total", "Changes of the platform's list, by kind.")
SLOWDOWNS = counter(
    "replica_slowdowns_total", "Replicas slower than their lasting speed for a second."
)
CHOICES = counter(
    "subset_choices_total", "Choices of a replica in the instance's order, by place."
)


class Listing:
    """A replica's entry in the platform's list.

    ``born`` distinguishes its incarnations: the start in Unix milliseconds, or 0 if
    the list does not state it. It is compared with other values of ``born`` only, never
    with a clock. ``interruptible`` replicas are cheap and may be reclaimed, a zone at a
    time.
    """

    __slots__ = (
        "address",
        "born",
        "interruptible",
        "leaving",
        "service",
        "slots",
        "versions",
        "zone",
    )

    def __init__(
        self,
        service,
        address,
        zone,
        slots,
        leaving,
        versions,
        born=0,
        interruptible=False,
    ):
        self.born = born
        self.interruptible = interruptible
        self.service = service
        self.address = address
        self.zone = zone
        self.slots = slots
        self.leaving = leaving
        self.versions = versions


class Replica:
    """One incarnation of a replica; a later one may have the same ``identity``.

    All state of a replica is kept here, so that none carries over to the next
    incarnation. By model, ``refusal_deadlines`` are the times until which it gets no
    items after a refusal, ``loading_deadlines`` those until which a load that this
    process ordered counts as in progress. ``grace_deadline`` is the time until which it
    stays in use without an entry, None while listed. ``last_received_at`` is the time of
    the last data on any of its streams, ``event_interval`` the smoothed seconds between
    two events of its streams, None before the first. ``reports_pace`` says whether its
    load reports state how long work takes there; ``load_report`` is the newest of those
    that do, its own or a neighbour's, as a ``LoadReport``, or None. ``speed`` is its
    ``EngineSpeed``, known only if they do. ``load_reported_at`` is the time of the newest
    load report that is known, ``LONG_AGO`` before the first. ``prompts`` are the prompt
    parts that it has read.
    """

    __slots__ = (
        "_last_own_report",
        "_other_callers_load",
        "_other_callers_load_deadline",
        "_pace",
        "_pace_deadline",
        "_was_slow",
        "_has_load_control",
        "_refusals",
        "_refused_at",
        "grace_deadline",
        "last_received_at",
        "identity",
        "listing",
        "load_reported_at",
        "load_report",
        "loading_deadlines",
        "event_interval",
        "prompts",
        "refusal_deadlines",
        "reports_pace",
        "speed",
        "state",
        "versions",
    )

    def __init__(self, identity, listing, has_load_control=False):
        self.identity = identity
        self._has_load_control = has_load_control
        self.listing = listing
        self.state = BackendState(listing.slots)
        self.versions = dict(listing.versions)
        self.grace_deadline = None
        self.loading_deadlines = {}
        self.refusal_deadlines = {}
        self.event_interval = None
        self.prompts = PromptCache()
        self.last_received_at = LONG_AGO
        self._other_callers_load = 0
        self._other_callers_load_deadline = 0.0
        self._pace = USUAL_PACE
        self._pace_deadline = LONG_AGO
        self._was_slow = False
        self._last_own_report = None
        self._refusals = 0
        self._refused_at = LONG_AGO
        self.load_reported_at = LONG_AGO
        self.reports_pace = False
        self.speed = EngineSpeed()
        self.load_report = None

    @property
    def uses_load_control(self):
        """Whether the parts for heavy load apply: by the settings, or it reports its pace."""
        return self._has_load_control or self.reports_pace

    @property
    def is_usable(self):
        """Whether it may get new work: not leaving, and listed or in the grace period."""
        return not self.listing.leaving and (
            self.grace_deadline is None or not passed(self.grace_deadline)
        )

    @property
    def load(self):
        """Estimated slots in use: own calls, and those of others by a recent report."""
        others_load = (
            0 if passed(self._other_callers_load_deadline) else self._other_callers_load
        )
        return self.state.in_flight + others_load

    @property
    def free_slots(self):
        """Estimated free slots."""
        return self.listing.slots - self.load

    @property
    def pace(self):
        """How long work takes there now, as a multiple of the usual time."""
        return USUAL_PACE if passed(self._pace_deadline) else self._pace

    def candidate(self):
        """Return the current estimated state as a ``Candidate``."""
        unavailable_models = {
            model
            for model, deadline in self.loading_deadlines.items()
            if not passed(deadline)
        }
        unavailable_models |= {
            model
            for model, deadline in self.refusal_deadlines.items()
            if not passed(deadline)
        }
        state = self.state
        return Candidate(
            self, self.load, state.is_suspect, unavailable_models, state.may_probe
        )

    def candidate_by_speed(self):
        """Return a ``Candidate`` with the lasting speed and lasting slowdowns only."""
        candidate, moment = self.candidate(), now()
        candidate.event_interval = self.speed.interval(moment)
        candidate.by_speed = True
        candidate.is_slow = self.speed.is_slow(moment)
        return candidate

    def record_load(self, running, waiting, pace=None):
        """Record the load reported with an answer; it includes own calls.

        ``pace`` is the reported multiple of the usual work time, None if not reported.
        """
        self.reports_pace = pace is not None
        if self.uses_load_control:
            self.load_report = LoadReport(running, waiting, pace, now())
            self._last_own_report = (running, waiting, pace or USUAL_PACE, now())
        self._apply_load(running + waiting, pace, now(), self.state.in_flight)

    def record_neighbour_load(self, report):
        """Record a ``Report`` that another instance has received from the replica.

        Its total includes the calls of this instance that were in progress then. After a
        refusal the replica counts as full until a newer report.
        """
        total = report.total
        if report.refusals:
            total = max(total, self.listing.slots)
        own_calls = self.state.in_flight_at(report.taken_at)
        pace = report.percent / 100
        # A datagram states the usual pace also for a replica that reports none.
        if pace == USUAL_PACE and not self.reports_pace:
            pace = None
        self.load_report = LoadReport(
            report.running, report.waiting, pace, report.taken_at
        )
        self._apply_load(total, pace, report.taken_at, own_calls)

    def _apply_load(self, total, pace, taken_at, own_calls):
        if pace:
            self._pace = pace
            self._pace_deadline = taken_at + PACE_LIFETIME
        self._other_callers_load = max(0, total - own_calls)
        self._other_callers_load_deadline = taken_at + LOAD_REPORT_LIFETIME
        self.load_reported_at = taken_at

    def count_refusal(self):
        """Count a call of this instance that the replica refused."""
        self._refusals += 1
        self._refused_at = now()

    @property
    def observed_load(self):
        """The last report of an own answer as ``Observed``, None without load control."""
        if self._last_own_report is None or not self.uses_load_control:
            return None
        running, waiting, pace, taken_at = self._last_own_report
        listing = self.listing
        percent = max(1, round(pace * 100))
        report = Report(
            self.identity, listing.born, running, waiting, percent, taken_at
        )
        return Observed(
            listing.service, listing.slots, report, self._refusals, self._refused_at
        )

    @property
    def is_loading(self):
        """Whether a load of weights that this process ordered is in progress."""
        return any(not passed(deadline) for deadline in self.loading_deadlines.values())

    def record_event_interval(self, seconds):
        """Record the seconds between two events of one stream."""
        if self.event_interval is None:
            self.event_interval = seconds
        self.event_interval += EVENT_INTERVAL_WEIGHT * (seconds - self.event_interval)
        if self.uses_load_control:
            self._record_speed(seconds)

    def _record_speed(self, seconds):
        moment = now()
        slowdown = load_slowdown(self.load, max(1, self.listing.slots))
        self.speed.record(seconds, slowdown, self.pace, moment)
        is_slow = self.speed.is_slow(moment)
        if is_slow == self._was_slow:
            return
        self._was_slow = is_slow
        if is_slow:
            SLOWDOWNS.inc({"service": self.listing.service})
        note(
            "replica.speed_changed",
            replica=self.identity,
            is_slow=is_slow,
            lasting_interval=round(self.speed.lasting_interval, 4),
            interval=round(self.speed.interval(moment), 4),
        )

    def record_version(self, model, version):
        """Record the weight version reported with an answer."""
        self.versions[model] = version


class Subset:
    """This instance's order of the replicas of each service.

    ``zone_entry_points()`` returns the addresses of the entry points in this zone,
    ``has_idle_connection(replica)`` whether a kept connection to the replica is open.
    The order is kept until an entry point or a replica is added or removed.
    """

    __slots__ = ("_address", "_orders", "_zone_entry_points", "has_idle_connection")

    def __init__(self, address, zone_entry_points, has_idle_connection):
        self._address = address
        self._orders = {}
        self._zone_entry_points = zone_entry_points
        self.has_idle_connection = has_idle_connection

    def order(self, service, usable, zone):
        """Return the identities of ``usable`` replicas, those of ``zone`` first."""
        entry_points = tuple(self._zone_entry_points())
        zones = tuple(
            (replica.identity, replica.listing.zone == zone) for replica in usable
        )
        basis, order = self._orders.get(service, (None, None))
        if basis != (entry_points, zones):
            near = [identity for identity, is_near in zones if is_near]
            far = [identity for identity, is_near in zones if not is_near]
            order = subsets.replica_order(
                self._address, entry_points, near, far, service
            )
            self._orders[service] = ((entry_points, zones), order)
        return order


class Replicas:
    """All known replicas by identity.

    ``heartbeat`` is the seconds between two heartbeats of a replica; ``list_tail`` is
    the reader of the platform's list, or None. ``has_load_control`` says that the parts for
    heavy load apply to all services. ``subset`` is the ``Subset`` of this
    instance, None if calls are not concentrated on few replicas. ``silences`` are the
    ``Silences`` of the services' replicas.
    """

    __slots__ = (
        "_callbacks",
        "_has_load_control",
        "_heartbeat",
        "_known",
        "_last_choices",
        "_restart_callbacks",
        "_zone",
        "list_tail",
        "silences",
        "subset",
    )

    def __init__(
        self,
        zone,
        heartbeat=DEFAULT_HEARTBEAT_INTERVAL,
        has_load_control=False,
        silences=None,
    ):
        self.silences = silences or Silences()
        self._zone = zone
        self._has_load_control = has_load_control
        self._heartbeat = heartbeat
        self._known = {}
        self._last_choices = {}
        self._callbacks = []
        self._restart_callbacks = []
        self.list_tail = None
        self.subset = None

    @property
    def count(self):
        """Number of known replicas."""
        return len(self._known)

    def on_change(self, callback):
        """Call ``callback()`` when a replica is added, removed or changed."""
        self._callbacks.append(callback)

    def on_restart(self, callback):
        """Call ``callback(replica)`` with each incarnation that is replaced by another."""
        self._restart_callbacks.append(callback)

    def of_service(self, service):
        """Return the usable replicas of a service."""
        return [
            replica
            for replica in self._known.values()
            if replica.listing.service == service and replica.is_usable
        ]

    def get(self, identity):
        """Return the replica, or None."""
        return self._known.get(identity)

    def observed_loads(self):
        """Return the ``Observed`` loads of replicas under load control.

        Only services in use are included: the runner of a step also knows the loads of
        all engines, which no other instance needs.
        """
        loads = [
            replica.observed_load
            for replica in self._known.values()
            if replica.is_usable and self._is_in_use(replica.listing.service)
        ]
        return [load for load in loads if load is not None]

    def load_state(self, identity):
        """Return ``(born, load_reported_at)`` of a replica.

        None if its service is not in use here, or none of its replicas is under load
        control.
        """
        replica = self._known.get(identity)
        if replica is None or not self._is_in_use(replica.listing.service):
            return None
        peers = self.of_service(replica.listing.service)
        if not any(peer.uses_load_control for peer in peers):
            return None
        return replica.listing.born, replica.load_reported_at

    def _is_in_use(self, service):
        """Whether a replica of the service was recently chosen for a call."""
        chosen_at = self._last_choices.get(service, LONG_AGO)
        return not passed(chosen_at + SERVICE_USE_PERIOD)

    def update_listing(self, identity, listing):
        """Apply an entry of the platform's list.

        A late entry of an earlier incarnation is ignored.
        """
        replica = self._known.get(identity)
        if replica is not None and listing.born < replica.listing.born:
            note("replica.entry_late", replica=identity, born=listing.born)
            return
        if replica is not None and listing.born > replica.listing.born:
            replica = self._forget_incarnation(replica)
        if replica is None:
            replica = self._known[identity] = Replica(
                identity, listing, self._has_load_control
            )
            self._note("listed", replica)
        elif replica.listing.leaving != listing.leaving:
            self._note("leaving", replica)
        elif replica.grace_deadline is not None:
            self._note("back", replica)
        for model, version in listing.versions.items():
            if listing.versions != replica.listing.versions:
                replica.versions[model] = version
        replica.listing = listing
        replica.grace_deadline = None
        self._changed()

    def _forget_incarnation(self, replica):
        """Remove an incarnation that has been replaced."""
        # A restarted replica has lost its weights. With its former versions it would get
        # items for weights that it lacks; with its former failures it would stay idle.
        del self._known[replica.identity]
        self._note("restarted", replica)
        for callback in self._restart_callbacks:
            callback(replica)

    def discard(self, identity):
        """Remove a replica whose newest entry is invalid."""
        if self._known.pop(identity, None) is not None:
            self._changed()

    def remove_listing(self, identity):
        """Apply the removal of an entry.

        Entries also lapse in an outage of the list, and return within seconds if the
        replica is alive: removing all replicas at once would refuse every request after
        each outage of the platform.
        """
        replica = self._known.get(identity)
        if replica is None:
            return
        deadline = self._lapse_deadline
        if passed(deadline):
            del self._known[identity]
            self._note("gone", replica)
        else:
            replica.grace_deadline = deadline
            self._note("absent", replica, **self._outage_fields(deadline))
        self._changed()

    def remove_lapsed(self):
        """Remove replicas whose entry did not return in time."""
        for identity, replica in list(self._known.items()):
            if replica.grace_deadline is not None and passed(replica.grace_deadline):
                del self._known[identity]
                self._note("gone", replica)

    @property
    def _lapse_deadline(self):
        """Time until which a removed entry may be due to the list's last outage.

        Counted from the removal instead of from the end of the outage, or granted after
        any lost read, it would keep a replica that left unannounced in use until it exits.
        """
        outage = self.list_tail.last_outage if self.list_tail is not None else None
        if outage is None:
            return LONG_AGO
        if outage.until - outage.since < MIN_MISSED_HEARTBEATS * self._heartbeat:
            return LONG_AGO
        return outage.until + OUTAGE_GRACE_PERIOD

    def choose(self, service, avoid=()):
        """Return the replica of a service that gets a call, or None.

        It is the least loaded one. One in this zone is preferred while its load is close
        to the lowest: this reuses connections and causes no traffic between zones. Under
        load control the ``subset`` decides first.
        """
        self._last_choices[service] = now()
        usable = self.of_service(service)
        candidates = [replica for replica in usable if replica.identity not in avoid]
        healthy = [
            replica for replica in candidates if not replica.state.is_suspect
        ] or candidates
        if self.subset is not None and any(
            replica.uses_load_control for replica in usable
        ):
            replica = self._choose_in_order(service, usable, healthy)
            if replica is not None:
                return replica
        return min(healthy, key=self._cost, default=None)

    def _choose_in_order(self, service, usable, healthy):
        """Return the first healthy replica with a free slot in this instance's order."""
        options = [
            subsets.Option(
                replica,
                replica.load,
                replica.listing.slots,
                replica.pace,
                self.subset.has_idle_connection(replica),
                self._cost(replica),
            )
            for replica in healthy
        ]
        order = self.subset.order(service, usable, self._zone)
        option = subsets.choose(options, order)
        if option is None:
            CHOICES.inc({"by": "load"})
            return None
        is_first = option.replica.identity == order[0]
        CHOICES.inc({"by": "first" if is_first else "next"})
        return option.replica

    def _cost(self, replica):
        share = (replica.load + replica.state.recent_failures) / max(
            1, replica.listing.slots
        )
        zone_penalty = 0.0 if replica.listing.zone == self._zone else ZONE_PENALTY
        return (share + zone_penalty, replica.identity)

    def _outage_fields(self, until):
        """Return log fields with what determined the grace period of a lapsed entry."""
        fields = {"tried_seconds": round(remaining(until), 3)}
        outage = self.list_tail.last_outage
        if outage is None:
            return fields
        if outage.since != LONG_AGO:
            fields["list_away_seconds"] = round(outage.until - outage.since, 3)
        fields["list_back_seconds"] = round(now() - outage.until, 3)
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
