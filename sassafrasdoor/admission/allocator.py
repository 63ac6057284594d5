"""Leased quota: the holder of the lease allocates a service's capacity to instances.

``committed`` bounds what an instance may use at any moment: its grants until they
lapse, their fallback afterwards, and calls in progress. A new grant is made only of
slots that no other instance may be using. So hard limits and capacity hold when replies
are lost, instances are partitioned and the holder changes; clocks need only run at the
same rate.

A dead instance can't be distinguished from a partitioned one. What a silent instance
may still be using counts against hard limits only: rows without a hard limit get its
slots as soon as its grants lapse, and the backend servers queue or refuse the excess.
With ``admission.strict_capacity`` it counts against the capacity too, so the slots of a
dead instance stay unused for ``overhang``.
"""

from collections import Counter

from sassafrasdoor import metrics
from sassafrasdoor.admission.grants import (
    REPORTS_PER_GRANT,
    GrantSet,
    InstanceRecord,
    SlotTotals,
)
from sassafrasdoor.admission.shares import distribute, hard_limit, shares, split_evenly
from sassafrasdoor.clock import deadline_in, passed

REBALANCES_PER_GRANT = 15  # in its lifetime
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
        "_first_grant_at",
        "_reported_fallback",
        "_inherited_deadline",
        "_limits",
        "_number",
        "_records",
        "_rebalance_at",
        "_rotate_at",
        "_rows",
        "_settings",
        "_targets",
        "_rotation",
    )

    def __init__(self, settings):
        self._settings = settings
        self._rows = []
        self._limits = {}
        self._capacity = 0
        self._rotation = 0
        self.take_over(0, ())

    def take_over(self, fence, expected):
        """Start as the holder under ``fence``; grants nothing at first.

        ``expected`` names the instances that may hold grants of the former holder.
        Those grants lapse first; the fallback of instances that have not reported
        since is reserved.
        """
        lifetime = self._lifetime(len(set(expected)))
        fallback_duration = self._settings.admission.fallback_duration
        self._first_grant_at = deadline_in(lifetime)
        self._inherited_deadline = deadline_in(lifetime + fallback_duration)
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

    def remove_instance(self, instance):
        """Remove an instance that has shut down gracefully and uses no slots."""
        self._expected.discard(instance)
        self._add_to_totals(self._records.pop(instance, None), -1)

    def report(self, report, lease_deadline=None):
        """Process a ``Report``; return a ``GrantSet``, or None until old grants lapse.

        No grant outlives ``lease_deadline``, when this process stops being the holder.
        The instance computes its own deadline from when it *sent* the report, so that
        it stops before its slots are granted again.
        """
        self._record_fallback(report)
        record = self._record_of(report.instance)
        is_late = passed(record.report_deadline)
        self._add_to_totals(record, -1)
        lifetime = self._lifetime(len(self._records))
        record.apply_report(report, lifetime, self._settings.admission.overhang)
        self._add_to_totals(record, +1)
        if not passed(self._first_grant_at):
            return None
        if passed(self._rebalance_at):
            self._rebalance()
        elif is_late:
            # The last targets omit this instance; an empty grant would end its fallback,
            # and one as small as the fallback would halve it.
            self._targets[report.instance] = {
                name: max(slots, 2 * record.fallback.get(name, 0))
                for name, slots in record.committed.items()
            }
        return self._grant(report.instance, record, lease_deadline)

    def _lifetime(self, instance_count):
        """Return the seconds that grants last.

        An instance reports ``REPORTS_PER_GRANT`` times in a grant's lifetime, so many
        instances need a longer one to stay within ``REPORTS_PER_SECOND``.
        """
        min_lifetime = REPORTS_PER_GRANT * instance_count / REPORTS_PER_SECOND
        return max(self._settings.admission.grant_duration, min_lifetime)

    def _record_fallback(self, report):
        if report.instance in self._expected:
            self._expected.discard(report.instance)
            for name, usage in report.rows.items():
                self._reported_fallback[name] += usage.fallback

    def _record_of(self, instance):
        if instance not in self._records:
            self._records[instance] = InstanceRecord(self._inherited_deadline)
        return self._records[instance]

    def _add_to_totals(self, record, sign):
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
            self._rotation += 1
        self._recount()
        wanted = {row.name: {} for row in self._rows}
        for instance, record in self._records.items():
            if not passed(record.report_deadline):
                for row, slots in record.wanted.items():
                    wanted.get(row, {})[instance] = slots
        self._targets = {instance: {} for instance in self._records}
        demand = {row: sum(by_instance.values()) for row, by_instance in wanted.items()}
        allocated = shares(self._rows, demand, self._capacity, self._rotation)
        for row, slots in allocated.items():
            self._add_targets(row, split_evenly(slots, wanted[row], self._rotation))
        self._allocate_unused(allocated, wanted)

    def _allocate_unused(self, allocated, wanted):
        """Allocate unused slots, so that new calls need not wait for a grant."""
        headroom = {name: self._limits[name] - allocated[name] for name in allocated}
        available = self._capacity - sum(allocated.values())
        for row, slots in distribute(
            self._rows, headroom, available, self._rotation
        ).items():
            # One slot for every instance first: a caller's first call at an instance
            # must not wait for a report's round trip.
            first_slots = min(slots, len(self._targets))
            self._add_targets(
                row,
                split_evenly(
                    first_slots, dict.fromkeys(self._targets, 1), self._rotation
                ),
            )
            recipients = wanted[row] or self._targets
            rest = slots - first_slots
            self._add_targets(
                row, split_evenly(rest, dict.fromkeys(recipients, rest), self._rotation)
            )

    def _add_targets(self, row, by_instance):
        for instance, slots in by_instance.items():
            if slots:
                target = self._targets[instance]
                target[row] = target.get(row, 0) + slots

    def _recount(self):
        self._committed = SlotTotals()
        self._active = SlotTotals()
        self._fallback = SlotTotals()
        for instance, record in list(self._records.items()):
            record.recount()
            if record.is_empty:
                del self._records[instance]
            else:
                self._add_to_totals(record, +1)

    def _grant(self, instance, record, lease_deadline):
        target = self._targets.get(instance, {})
        slots = self._grantable(target, record)
        deadline = deadline_in(self._lifetime(len(self._records)))
        if lease_deadline is not None:
            deadline = min(deadline, lease_deadline)
        self._number += 1
        grants = GrantSet(
            self._number,
            deadline,
            deadline + self._settings.admission.fallback_duration,
            slots,
            self._fallback_slots(slots, target, record),
        )
        self._add_to_totals(record, -1)
        record.add(grants)
        self._add_to_totals(record, +1)
        GRANTED.inc({})
        return grants

    def _grantable(self, target, record):
        """Return as much of ``target`` as no other instance may be using."""
        reserved = self._reserved_by_row() if self._has_reserve else {}
        available = self._capacity - self._capacity_in_use.total
        available += sum(self._capacity_in_use_by(record).values())
        if reserved and not self._reclaims_capacity:
            reserved_total = self._reserved(
                self._capacity // 2, *self._reported_fallback
            )
            available -= min(sum(reserved.values()), reserved_total)
        free = {
            name: max(0, min(slots, self._remaining_limit(name, record, reserved)))
            for name, slots in target.items()
            if name in self._limits
        }
        if sum(free.values()) > available:
            rows = [row for row in self._rows if row.name in free]
            free = distribute(rows, free, max(0, available), self._rotation)
        # A row that gets no slots but may hold or wants some is granted zero: only the
        # grant of a row carries the number that confirms the end of earlier ones.
        zeros = dict.fromkeys([*record.committed, *record.wanted], 0)
        return {**zeros, **free}

    @property
    def _reclaims_capacity(self):
        return not self._settings.admission.strict_capacity

    @property
    def _capacity_in_use(self):
        return self._active if self._reclaims_capacity else self._committed

    def _capacity_in_use_by(self, record):
        return record.active if self._reclaims_capacity else record.committed

    def _remaining_limit(self, name, record, reserved):
        """Return the slots that the row's hard limit leaves to this instance."""
        limit = self._limits[name]
        if self._reclaims_capacity and limit >= self._capacity:
            others = self._active.of_row(name) - record.active.get(name, 0)
            return limit - others
        others = self._committed.of_row(name) - record.committed.get(name, 0)
        return limit - reserved.get(name, 0) - others

    def _fallback_slots(self, slots, target, record):
        """Return the slots that may still be used once ``slots`` have lapsed.

        While the log is down the lease has no holder and all grants lapse. The fallback
        is half of the target (rounded up), no more than the grant, and over all instances
        at most half of the limit, so that a later holder can bound the use of instances
        it can't reach. By half of a grant that is small only until others' grants have
        lapsed, that bound would be too high for as long as the fallback lasts.
        """
        reserved = self._reserved_by_row() if self._has_reserve else {}
        available = self._remaining_fallback(record)
        fallback = {}
        for name, granted in slots.items():
            others = self._fallback.of_row(name) - record.fallback.get(name, 0)
            headroom = self._limits.get(name, 0) // 2 - others - reserved.get(name, 0)
            half = (max(granted, target.get(name, 0)) + 1) // 2
            part = max(0, min(half, granted, headroom, available))
            if part:
                fallback[name] = part
                available -= part
        return fallback

    def _remaining_fallback(self, record):
        """Return the slots that half of the capacity leaves to the record's fallback.

        Bounded only under ``strict_capacity``: else trainers would take all of that
        half, and applications would be refused while the log is down.
        """
        if self._reclaims_capacity:
            return sum(self._limits.values())
        half = self._capacity // 2
        available = half - self._fallback.total + sum(record.fallback.values())
        return available - self._reserved(half, *self._reported_fallback)

    @property
    def _has_reserve(self):
        """Whether slots are reserved for instances that have not reported yet."""
        return bool(self._expected) and not passed(self._inherited_deadline)

    def _reserved_by_row(self):
        limits = self._limits.items()
        return {name: self._reserved(limit // 2, name) for name, limit in limits}

    def _reserved(self, half, *names):
        """Return the most fallback of the instances without a report since takeover.

        All instances together had at most ``half``; reported fallback is subtracted.
        """
        if not self._has_reserve:
            return 0
        return max(0, half - sum(self._reported_fallback[name] for name in names))
