"""Leased quota: the holder of the lease shares a service's capacity out.

What an instance may use at most at any moment is known here (``committed``): its
grants until they lapse, their fallback afterwards, and calls still in progress.
A new grant is only made of what nobody else may be using. So the hard limits and
the capacity hold although replies get lost, instances are cut off and the holder
changes; clocks need only run at the same rate.

A dead instance looks like one that is cut off, and its calls in progress may have
filled a whole service. So what a silent instance may still be using counts against
hard limits only: rows that have none get its slots as soon as its grants lapse.
Should it be alive, the backend servers queue or refuse what is too much. With
``admission.strict_capacity`` it counts against the capacity too, and one death idles
the trainers for ``overhang``.
"""

from collections import Counter

from sassafrasdoor import metrics
from sassafrasdoor.admission.grants import (
    REPORTS_FOR_EACH_GRANT,
    GrantSet,
    InstanceRecord,
    Sums,
)
from sassafrasdoor.admission.shares import hard_limit, shares, split, within
from sassafrasdoor.clock import deadline_in, passed

REBALANCES_FOR_EACH_GRANT = 15
# What one holder may be asked, so that it keeps within its processor and bytes.
REPORTS_PER_SECOND = 30
NUMBERS_FOR_EACH_HOLDER = 1 << 32

GRANTED = metrics.counter("sassafrasdoor_grants_total", "Sets of grants made.")


class Allocator:
    """Shares the capacity of one service; each service has a holder of its own."""

    __slots__ = (
        "_active",
        "_capacity",
        "_committed",
        "_expected",
        "_fallback",
        "_grants_from",
        "_heard",
        "_inherited_until",
        "_limits",
        "_number",
        "_records",
        "_rebalance_at",
        "_rotate_at",
        "_rows",
        "_settings",
        "_targets",
        "_turn",
    )

    def __init__(self, settings):
        self._settings = settings
        self._rows = []
        self._limits = {}
        self._capacity = 0
        self._turn = 0
        self.take_over(0, ())

    def take_over(self, fence, expected):
        """Begin anew as the holder under ``fence``; grants nothing at first.

        ``expected`` names the instances that may hold grants of the holder
        before, all but those known to have left. Its grants lapse while we
        wait; what the silent among them may fall back on is kept aside.
        """
        lifetime = self._lifetime(len(set(expected)))
        fallback_duration = self._settings.admission.fallback_duration
        self._grants_from = deadline_in(lifetime)
        self._inherited_until = deadline_in(lifetime + fallback_duration)
        self._number = fence * NUMBERS_FOR_EACH_HOLDER
        self._expected = set(expected)
        self._heard = Counter()
        self._records = {}
        self._targets = {}
        self._rebalance_at = self._rotate_at = deadline_in(0)
        self._committed = Sums()
        self._active = Sums()
        self._fallback = Sums()

    def plan(self, rows, capacity):
        """Use these rows of the table and this many slots from now on."""
        self._rows = list(rows)
        self._capacity = capacity
        self._limits = {row.name: hard_limit(row, capacity) for row in self._rows}

    def left(self, instance):
        """Forget an instance that has ended as planned: it uses nothing more."""
        self._expected.discard(instance)
        self._count(self._records.pop(instance, None), -1)

    def report(self, report, lease_deadline=None):
        """Take a ``Report``; return the instance's ``GrantSet``, or None yet.

        No grant outlives ``lease_deadline``, the moment at which we stop being
        the holder. The instance counts its own deadline from when it *sent* the
        report, so that it stops before we reuse its slots.
        """
        self._hear(report)
        record = self._record(report.instance)
        is_late = passed(record.heard_until)
        self._count(record, -1)
        lifetime = self._lifetime(len(self._records))
        record.take(report, lifetime, self._settings.admission.overhang)
        self._count(record, +1)
        if not passed(self._grants_from):
            return None
        if passed(self._rebalance_at):
            self._rebalance()
        elif is_late:
            # The last targets leave it out. Granted nothing, it would lose the fallback
            # that it uses, and refuse its callers until the next report.
            self._targets[report.instance] = dict(record.committed)
        return self._grant(report.instance, record, lease_deadline)

    def _lifetime(self, instances):
        """Return how long grants live, so that reports stay few enough.

        An instance reports ``REPORTS_FOR_EACH_GRANT`` times in a grant's life.
        """
        longest = REPORTS_FOR_EACH_GRANT * instances / REPORTS_PER_SECOND
        return max(self._settings.admission.grant_duration, longest)

    def _hear(self, report):
        if report.instance in self._expected:
            self._expected.discard(report.instance)
            for name, usage in report.rows.items():
                self._heard[name] += usage.fallback

    def _record(self, instance):
        if instance not in self._records:
            self._records[instance] = InstanceRecord(self._inherited_until)
        return self._records[instance]

    def _count(self, record, sign):
        if record is not None:
            self._committed.add(record.committed, sign)
            self._active.add(record.active, sign)
            self._fallback.add(record.fallback, sign)

    def _rebalance(self):
        """Compute every instance's target anew, and let what lapsed go."""
        lifetime = self._lifetime(len(self._records))
        self._rebalance_at = deadline_in(lifetime / REBALANCES_FOR_EACH_GRANT)
        if passed(self._rotate_at):
            # Slots on their way from one instance to another serve nobody, so
            # odd slots change hands no more often than grants lapse.
            self._rotate_at = deadline_in(lifetime)
            self._turn += 1
        self._recount()
        wanted = {row.name: {} for row in self._rows}
        for name, record in self._records.items():
            if not passed(record.heard_until):
                for row, slots in record.wanted.items():
                    wanted.get(row, {})[name] = slots
        self._targets = {name: {} for name in self._records}
        demand = {row: sum(parts.values()) for row, parts in wanted.items()}
        given = shares(self._rows, demand, self._capacity, self._turn)
        for row, slots in given.items():
            self._aim(row, split(slots, wanted[row], self._turn))
        self._lend_rest(given, wanted)

    def _lend_rest(self, given, wanted):
        """Spread what nobody wants, so that new work need not wait for a grant."""
        room = {name: self._limits[name] - given[name] for name in given}
        rest = self._capacity - sum(given.values())
        for row, slots in within(self._rows, room, rest, self._turn).items():
            # One slot for every instance first: callers move with each discovery
            # answer, and their first call must not wait for a report's round trip.
            ready = min(slots, len(self._targets))
            self._aim(row, split(ready, dict.fromkeys(self._targets, 1), self._turn))
            takers = wanted[row] or self._targets
            more = slots - ready
            self._aim(row, split(more, dict.fromkeys(takers, more), self._turn))

    def _aim(self, row, parts):
        for instance, slots in parts.items():
            if slots:
                target = self._targets[instance]
                target[row] = target.get(row, 0) + slots

    def _recount(self):
        self._committed, self._active, self._fallback = Sums(), Sums(), Sums()
        for name, record in list(self._records.items()):
            record.recount()
            if record.empty:
                del self._records[name]
            else:
                self._count(record, +1)

    def _grant(self, instance, record, lease_deadline):
        slots = self._within(self._targets.get(instance, {}), record)
        deadline = deadline_in(self._lifetime(len(self._records)))
        if lease_deadline is not None:
            deadline = min(deadline, lease_deadline)
        self._number += 1
        grants = GrantSet(
            self._number,
            deadline,
            deadline + self._settings.admission.fallback_duration,
            slots,
            self._fallbacks(slots, record),
        )
        self._count(record, -1)
        record.add(grants)
        self._count(record, +1)
        GRANTED.inc({})
        return grants

    def _within(self, target, record):
        """Return as much of ``target`` as nobody else may be using."""
        kept = self._kept_by_row() if self._keeps else {}
        rest = self._capacity - self._in_capacity.total
        rest += sum(self._in_capacity_of(record).values())
        if kept and not self._reclaims:
            kept_of_all = self._kept(self._capacity // 2, *self._heard)
            rest -= min(sum(kept.values()), kept_of_all)
        free = {
            name: max(0, min(slots, self._room(name, record, kept)))
            for name, slots in target.items()
            if name in self._limits
        }
        if sum(free.values()) > rest:
            rows = [row for row in self._rows if row.name in free]
            free = within(rows, free, max(0, rest), self._turn)
        # A row that got nothing is named too if it may hold something: only
        # grants in use carry the number by which we learn what is not any more.
        held = dict.fromkeys([*record.committed, *record.wanted], 0)
        return {**held, **free}

    @property
    def _reclaims(self):
        return not self._settings.admission.strict_capacity

    @property
    def _in_capacity(self):
        return self._active if self._reclaims else self._committed

    def _in_capacity_of(self, record):
        return record.active if self._reclaims else record.committed

    def _room(self, name, record, kept):
        """Return what the row's hard limit leaves to this instance."""
        limit = self._limits[name]
        if self._reclaims and limit >= self._capacity:
            others = self._active.of(name) - record.active.get(name, 0)
            return limit - others
        others = self._committed.of(name) - record.committed.get(name, 0)
        return limit - kept.get(name, 0) - others

    def _fallbacks(self, slots, record):
        """Return what may still be used once ``slots`` have lapsed.

        While the log is down nobody can hold the lease and all grants lapse;
        without a fallback every call would be refused for as long. It is half
        (rounded up), and of all instances together at most half of the limit, so
        that a later holder knows how much those that it cannot hear may be using.
        """
        kept = self._kept_by_row() if self._keeps else {}
        rest = self._fallback_rest(record)
        fallback = {}
        for name, granted in slots.items():
            others = self._fallback.of(name) - record.fallback.get(name, 0)
            room = self._limits.get(name, 0) // 2 - others - kept.get(name, 0)
            part = max(0, min((granted + 1) // 2, room, rest))
            if part:
                fallback[name] = part
                rest -= part
        return fallback

    def _fallback_rest(self, record):
        """Return what half of the capacity leaves to this instance's fallback.

        Unless the capacity is strict there is no such bound: trainers that fill
        the engines would take all of it, and applications would be refused for
        as long as the log is down.
        """
        if self._reclaims:
            return sum(self._limits.values())
        half = self._capacity // 2
        rest = half - self._fallback.total + sum(record.fallback.values())
        return rest - self._kept(half, *self._heard)

    @property
    def _keeps(self):
        """Whether something is set aside for those not heard of since we took over."""
        return bool(self._expected) and not passed(self._inherited_until)

    def _kept_by_row(self):
        limits = self._limits.items()
        return {name: self._kept(limit // 2, name) for name, limit in limits}

    def _kept(self, half, *names):
        """Return what those not heard of since we took over may fall back on.

        All together had at most ``half``; those heard of have told their part.
        """
        if not self._keeps:
            return 0
        return max(0, half - sum(self._heard[name] for name in names))
