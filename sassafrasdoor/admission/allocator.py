"""Leased quota: the holder of the lease shares a service's capacity out.

What an instance may use at most at any moment is known here (``committed``): its
grants until they lapse, their fallback afterwards, and calls still in progress.
A new grant is only made of what nobody else may be using. So the hard limits and
the capacity hold although replies get lost, instances are cut off and the holder
changes; clocks need only run at the same rate.
"""

from collections import Counter

from sassafrasdoor import metrics
from sassafrasdoor.admission.grants import GrantSet, InstanceRecord
from sassafrasdoor.admission.shares import hard_limit, shares, split, within
from sassafrasdoor.clock import deadline_in, passed

REBALANCE_INTERVAL = 0.1
NUMBERS_FOR_EACH_HOLDER = 1 << 32

GRANTED = metrics.counter("sassafrasdoor_grants_total", "Sets of grants made.")


class Allocator:
    """Shares the capacity of one service; each service has a holder of its own."""

    __slots__ = (
        "_capacity",
        "_committed",
        "_expected",
        "_fallback",
        "_grants_from",
        "_heard",
        "_inherited_until",
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
        self._capacity = 0
        self._turn = 0
        self.take_over(0, ())

    def take_over(self, fence, expected):
        """Begin anew as the holder under ``fence``; grants nothing at first.

        ``expected`` names the instances that may hold grants of the holder
        before, all but those known to have left. Its grants lapse while we
        wait; what the silent among them may fall back on is kept aside.
        """
        admission = self._settings.admission
        self._grants_from = deadline_in(admission.grant_duration)
        self._inherited_until = deadline_in(
            admission.grant_duration + admission.fallback_duration
        )
        self._number = fence * NUMBERS_FOR_EACH_HOLDER
        self._expected = set(expected)
        self._heard = Counter()
        self._records = {}
        self._targets = {}
        self._rebalance_at = self._rotate_at = deadline_in(0)
        self._committed = Counter()
        self._fallback = Counter()

    def plan(self, rows, capacity):
        """Use these rows of the table and this many slots from now on."""
        self._rows = list(rows)
        self._capacity = capacity

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
        self._count(record, -1)
        admission = self._settings.admission
        record.take(report, admission.grant_duration, admission.overhang)
        self._count(record, +1)
        if not passed(self._grants_from):
            return None
        if passed(self._rebalance_at):
            self._rebalance()
        return self._grant(report.instance, record, lease_deadline)

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
        if record is None:
            return
        for total, part in (
            (self._committed, record.committed),
            (self._fallback, record.fallback),
        ):
            for name, slots in part.items():
                total[name] += sign * slots

    def _rebalance(self):
        """Compute every instance's target anew, and let what lapsed go."""
        self._rebalance_at = deadline_in(REBALANCE_INTERVAL)
        if passed(self._rotate_at):
            # Slots on their way from one instance to another serve nobody, so
            # odd slots change hands no more often than grants lapse.
            self._rotate_at = deadline_in(self._settings.admission.grant_duration)
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
        limits = {row.name: hard_limit(row, self._capacity) for row in self._rows}
        room = {name: limits[name] - given[name] for name in given}
        rest = self._capacity - sum(given.values())
        for row, slots in within(self._rows, room, rest, self._turn).items():
            takers = wanted[row] or self._targets
            self._aim(row, split(slots, dict.fromkeys(takers, slots), self._turn))

    def _aim(self, row, parts):
        for instance, slots in parts.items():
            if slots:
                target = self._targets[instance]
                target[row] = target.get(row, 0) + slots

    def _recount(self):
        self._committed, self._fallback = Counter(), Counter()
        for name, record in list(self._records.items()):
            record.recount()
            if record.empty:
                del self._records[name]
            else:
                self._count(record, +1)

    def _grant(self, instance, record, lease_deadline):
        slots = self._within(self._targets.get(instance, {}), record)
        deadline = deadline_in(self._settings.admission.grant_duration)
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
        others = self._committed - record.committed
        kept = {row.name: self._kept(self._half(row), row.name) for row in self._rows}
        kept_of_all = self._kept(self._capacity // 2, *self._heard)
        rest = self._capacity - others.total() - min(sum(kept.values()), kept_of_all)
        free = {}
        for row in self._rows:
            name = row.name
            room = hard_limit(row, self._capacity) - others[name] - kept[name]
            free[name] = max(0, min(target.get(name, 0), room))
        given = within(self._rows, free, max(0, rest), self._turn)
        # A row that got nothing is named too if it may hold something: only
        # grants in use carry the number by which we learn what is not any more.
        return {
            name: slots
            for name, slots in given.items()
            if slots or record.committed[name] or name in record.wanted
        }

    def _fallbacks(self, slots, record):
        """Return what may still be used once ``slots`` have lapsed.

        While the log is down nobody can hold the lease and all grants lapse;
        without a fallback every call would be refused for as long. It is half,
        and of all instances together at most half of the limit, so that a later
        holder knows how much those that it cannot hear may be using.
        """
        others = self._fallback - record.fallback
        rest = self._capacity // 2 - others.total()
        rest -= self._kept(self._capacity // 2, *self._heard)
        fallback = {}
        for row in self._rows:
            half = self._half(row)
            room = half - others[row.name] - self._kept(half, row.name)
            part = max(0, min(slots.get(row.name, 0) // 2, room, rest))
            fallback[row.name] = part
            rest -= part
        return {name: part for name, part in fallback.items() if part}

    def _half(self, row):
        return hard_limit(row, self._capacity) // 2

    def _kept(self, half, *names):
        """Return what those not heard of since we took over may fall back on.

        All together had at most ``half``; those heard of have told their part.
        """
        if not self._expected or passed(self._inherited_until):
            return 0
        return max(0, half - sum(self._heard[name] for name in names))
