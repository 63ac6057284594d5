"""Leased quota: the holder of the lease allocates a service's capacity to instances.

``committed`` bounds what an instance may use at any moment: its grants until they
lapse, their fallback afterwards, and calls in progress. A new grant is made only of
slots that no other instance may be using. So hard limits and capacity hold when replies
are lost, instances are partitioned and the holder changes; clocks need only run at the
same rate.

A dead instance can't be told from a partitioned one. What a silent instance may still
be using counts against hard limits only: rows without one get its slots as soon as its
grants lapse, and the backend servers queue or refuse the excess. With
``admission.strict_capacity`` it counts against the capacity too, so the slots of a dead
instance stay unused for ``overhang``.
"""

from collections import Counter

from sassafrasdoor import metrics
from sassafrasdoor.admission.grants import (
    REPORTS_PER_GRANT,
    GrantSet,
    InstanceRecord,
    SlotTotals,
)
from sassafrasdoor.admission.shares import hard_limit, shares, split, within
from sassafrasdoor.clock import deadline_in, passed

REBALANCES_PER_GRANT = 15
REPORTS_PER_SECOND = 30  # to one holder
GRANT_NUMBERS_PER_FENCE = 1 << 32

GRANTED = metrics.counter("sassafrasdoor_grants_total", "Sets of grants made.")


class Allocator:
    """Allocates the capacity of one service; each service has a holder of its own."""

    __slots__ = (
        "_active",
        "_capacity",
        "_committed",
        "_expected",
        "_fallback",
        "_grants_from",
        "_reported_fallback",
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
        """Start as the holder under ``fence``; grants nothing at first.

        ``expected`` names the instances that may hold grants of the former holder.
        Those grants lapse first; the fallback of instances that have not reported
        since is reserved.
        """
        lifetime = self._lifetime(len(set(expected)))
        fallback_duration = self._settings.admission.fallback_duration
        self._grants_from = deadline_in(lifetime)
        self._inherited_until = deadline_in(lifetime + fallback_duration)
        self._number = fence * GRANT_NUMBERS_PER_FENCE
        self._expected = set(expected)
        self._reported_fallback = Counter()
        self._records = {}
        self._targets = {}
        self._rebalance_at = self._rotate_at = deadline_in(0)
        self._committed = SlotTotals()
        self._active = SlotTotals()
        self._fallback = SlotTotals()

    def plan(self, rows, capacity):
        """Set the rows of the table and the capacity in slots."""
        self._rows = list(rows)
        self._capacity = capacity
        self._limits = {row.name: hard_limit(row, capacity) for row in self._rows}

    def left(self, instance):
        """Remove an instance that has shut down gracefully and uses no slots."""
        self._expected.discard(instance)
        self._count(self._records.pop(instance, None), -1)

    def report(self, report, lease_deadline=None):
        """Take a ``Report``; return the instance's ``GrantSet``, or None at first.

        No grant outlives ``lease_deadline``, when this process stops being the holder.
        The instance computes its own deadline from when it *sent* the report, so that
        it stops before its slots are granted again.
        """
        self._note_fallback(report)
        record = self._record(report.instance)
        is_late = passed(record.report_deadline)
        self._count(record, -1)
        lifetime = self._lifetime(len(self._records))
        record.take(report, lifetime, self._settings.admission.overhang)
        self._count(record, +1)
        if not passed(self._grants_from):
            return None
        if passed(self._rebalance_at):
            self._rebalance()
        elif is_late:
            # The last targets omit it; an empty grant would end its fallback.
            self._targets[report.instance] = dict(record.committed)
        return self._grant(report.instance, record, lease_deadline)

    def _lifetime(self, instances):
        """Return the seconds that grants last, within ``REPORTS_PER_SECOND``.

        An instance reports ``REPORTS_PER_GRANT`` times in a grant's lifetime.
        """
        longest = REPORTS_PER_GRANT * instances / REPORTS_PER_SECOND
        return max(self._settings.admission.grant_duration, longest)

    def _note_fallback(self, report):
        if report.instance in self._expected:
            self._expected.discard(report.instance)
            for name, usage in report.rows.items():
                self._reported_fallback[name] += usage.fallback

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
        """Compute every instance's target, and drop lapsed grants."""
        lifetime = self._lifetime(len(self._records))
        self._rebalance_at = deadline_in(lifetime / REBALANCES_PER_GRANT)
        if passed(self._rotate_at):
            # A slot that moves between instances is unused until its grant lapses,
            # so remainders rotate no more often.
            self._rotate_at = deadline_in(lifetime)
            self._turn += 1
        self._recount()
        wanted = {row.name: {} for row in self._rows}
        for name, record in self._records.items():
            if not passed(record.report_deadline):
                for row, slots in record.wanted.items():
                    wanted.get(row, {})[name] = slots
        self._targets = {name: {} for name in self._records}
        demand = {row: sum(parts.values()) for row, parts in wanted.items()}
        given = shares(self._rows, demand, self._capacity, self._turn)
        for row, slots in given.items():
            self._add_targets(row, split(slots, wanted[row], self._turn))
        self._allocate_unused(given, wanted)

    def _allocate_unused(self, given, wanted):
        """Allocate unused slots, so that new calls need not wait for a grant."""
        room = {name: self._limits[name] - given[name] for name in given}
        rest = self._capacity - sum(given.values())
        for row, slots in within(self._rows, room, rest, self._turn).items():
            # One slot for every instance first: a caller's first call at an instance
            # must not wait for a report's round trip.
            ready = min(slots, len(self._targets))
            self._add_targets(
                row, split(ready, dict.fromkeys(self._targets, 1), self._turn)
            )
            takers = wanted[row] or self._targets
            more = slots - ready
            self._add_targets(row, split(more, dict.fromkeys(takers, more), self._turn))

    def _add_targets(self, row, parts):
        for instance, slots in parts.items():
            if slots:
                target = self._targets[instance]
                target[row] = target.get(row, 0) + slots

    def _recount(self):
        self._committed = SlotTotals()
        self._active = SlotTotals()
        self._fallback = SlotTotals()
        for name, record in list(self._records.items()):
            record.recount()
            if record.empty:
                del self._records[name]
            else:
                self._count(record, +1)

    def _grant(self, instance, record, lease_deadline):
        slots = self._grantable(self._targets.get(instance, {}), record)
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

    def _grantable(self, target, record):
        """Return as much of ``target`` as no other instance may be using."""
        reserved = self._reserved_by_row() if self._has_reserve else {}
        rest = self._capacity - self._in_capacity.total
        rest += sum(self._in_capacity_of(record).values())
        if reserved and not self._reclaims:
            reserved_in_all = self._reserved(
                self._capacity // 2, *self._reported_fallback
            )
            rest -= min(sum(reserved.values()), reserved_in_all)
        free = {
            name: max(0, min(slots, self._limit_left(name, record, reserved)))
            for name, slots in target.items()
            if name in self._limits
        }
        if sum(free.values()) > rest:
            rows = [row for row in self._rows if row.name in free]
            free = within(rows, free, max(0, rest), self._turn)
        # A row without slots is granted zero if it may hold some: only grants in use
        # carry the number that confirms the end of earlier ones.
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

    def _limit_left(self, name, record, reserved):
        """Return the slots that the row's hard limit leaves to this instance."""
        limit = self._limits[name]
        if self._reclaims and limit >= self._capacity:
            others = self._active.of(name) - record.active.get(name, 0)
            return limit - others
        others = self._committed.of(name) - record.committed.get(name, 0)
        return limit - reserved.get(name, 0) - others

    def _fallbacks(self, slots, record):
        """Return the slots that may still be used once ``slots`` have lapsed.

        While the log is down the lease has no holder and all grants lapse. The fallback
        is half of the grant (rounded up), and over all instances at most half of the
        limit, so that a later holder can bound the use of instances it can't reach.
        """
        reserved = self._reserved_by_row() if self._has_reserve else {}
        rest = self._fallback_rest(record)
        fallback = {}
        for name, granted in slots.items():
            others = self._fallback.of(name) - record.fallback.get(name, 0)
            room = self._limits.get(name, 0) // 2 - others - reserved.get(name, 0)
            part = max(0, min((granted + 1) // 2, room, rest))
            if part:
                fallback[name] = part
                rest -= part
        return fallback

    def _fallback_rest(self, record):
        """Return the slots that half of the capacity leaves to this fallback.

        Bounded only under ``strict_capacity``: else trainers would take all of it, and
        applications would be refused while the log is down.
        """
        if self._reclaims:
            return sum(self._limits.values())
        half = self._capacity // 2
        rest = half - self._fallback.total + sum(record.fallback.values())
        return rest - self._reserved(half, *self._reported_fallback)

    @property
    def _has_reserve(self):
        """Whether slots are reserved for instances that have not reported yet."""
        return bool(self._expected) and not passed(self._inherited_until)

    def _reserved_by_row(self):
        limits = self._limits.items()
        return {name: self._reserved(limit // 2, name) for name, limit in limits}

    def _reserved(self, half, *names):
        """Return the fallback of the instances that have not reported since takeover.

        All together had at most ``half``; what the others reported is subtracted.
        """
        if not self._has_reserve:
            return 0
        return max(0, half - sum(self._reported_fallback[name] for name in names))
