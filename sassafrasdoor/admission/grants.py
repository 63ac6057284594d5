"""Reports and grants between instances and the holder, and the holder's records."""

from collections import Counter

from sassafrasdoor.clock import deadline_in, now, passed

REPORTS_PER_GRANT = 5  # in its lifetime; more when an instance wants more slots


class Usage:
    """One row at one instance: slots wanted, in use, and held as fallback."""

    __slots__ = ("fallback", "in_use", "wanted")

    def __init__(self, wanted=0, in_use=0, fallback=0):
        self.wanted = wanted
        self.in_use = in_use
        self.fallback = fallback


class Report:
    """An instance's report: ``number`` is that of the ``GrantSet`` in use.

    ``life`` identifies one run of its entry process; a new one holds no grants. ``rows``
    maps row names to ``Usage``.
    """

    __slots__ = ("instance", "life", "number", "rows")

    def __init__(self, instance, life="", number=0, rows=None):
        self.instance = instance
        self.life = life
        self.number = number
        self.rows = dict(rows or {})


class GrantSet:
    """The grants of one instance, replaced as a whole.

    Until ``deadline`` the instance may use ``slots``; afterwards, until
    ``fallback_deadline``, the slots of ``fallback``; then none. Both deadlines are
    monotonic; both mappings give slots by row name.
    """

    __slots__ = ("deadline", "fallback", "fallback_deadline", "number", "slots")

    def __init__(self, number, deadline, fallback_deadline, slots, fallback):
        self.number = number
        self.deadline = deadline
        self.fallback_deadline = fallback_deadline
        self.slots = slots
        self.fallback = fallback

    def usable(self):
        """Return ``{row: slots}`` that the instance may use now."""
        if not passed(self.deadline):
            return self.slots
        return {} if passed(self.fallback_deadline) else self.fallback


class InstanceRecord:
    """The holder's record of one instance, and the slots that it may use at most."""

    __slots__ = (
        "_in_use_deadline",
        "_inherited_fallback",
        "_inherited_deadline",
        "_life",
        "_grant_sets",
        "committed",
        "fallback",
        "report_deadline",
        "in_use",
        "wanted",
    )

    def __init__(self, inherited_deadline):
        self._life = None
        self._grant_sets = []
        self._inherited_fallback = {}
        self._inherited_deadline = inherited_deadline
        self._in_use_deadline = now()
        self.report_deadline = now()
        self.wanted = {}
        self.in_use = {}
        self.committed = {}
        self.fallback = {}

    @property
    def is_empty(self):
        """Whether the instance has not reported recently and holds no slots."""
        return passed(self.report_deadline) and not any(self.committed.values())

    @property
    def active(self):
        """Slots that it may be using, by row; empty if it has not reported recently."""
        return {} if passed(self.report_deadline) else self.committed

    def apply_report(self, report, lifetime, overhang):
        """Apply a report; grants older than the one in use are dropped.

        Later grants may be in flight or lost with a reply: they count until a report
        names them or they lapse. ``overhang`` seconds after the last report its calls
        in progress count as ended.
        """
        self.report_deadline = deadline_in(lifetime)
        self._in_use_deadline = deadline_in(overhang)
        rows = report.rows.items()
        self.wanted = {name: usage.wanted for name, usage in rows if usage.wanted}
        self.in_use = {name: usage.in_use for name, usage in rows if usage.in_use}
        if self._life != report.life:
            self._life = report.life
            self._grant_sets = []
            self._inherited_fallback = {name: usage.fallback for name, usage in rows}
        if any(grant_set.number == report.number for grant_set in self._grant_sets):
            self._grant_sets = [
                grant_set
                for grant_set in self._grant_sets
                if grant_set.number >= report.number
            ]
            self._inherited_fallback = {}
        self.recount()

    def add(self, grants):
        """Add a new ``GrantSet``."""
        self._grant_sets.append(grants)
        self.recount()

    def recount(self):
        """Compute the slots that it may use now, and its fallback."""
        self._grant_sets = [
            grant_set
            for grant_set in self._grant_sets
            if not passed(grant_set.fallback_deadline)
        ]
        inherited = {} if passed(self._inherited_deadline) else self._inherited_fallback
        in_use = {} if passed(self._in_use_deadline) else self.in_use
        used = [grant_set.usable() for grant_set in self._grant_sets]
        self.committed = _maximum(inherited, in_use, *used)
        self.fallback = _maximum(
            inherited, *[grant_set.fallback for grant_set in self._grant_sets]
        )


def _maximum(*parts):
    """Return the maximum of the mappings, row by row."""
    maximum = {}
    for part in parts:
        for name, slots in part.items():
            if slots > maximum.get(name, 0):
                maximum[name] = slots
    return maximum


class SlotTotals:
    """Slots by row, and their total."""

    __slots__ = ("_by_row", "total")

    def __init__(self):
        self._by_row = Counter()
        self.total = 0

    def of_row(self, name):
        """Return the sum of a row."""
        return self._by_row[name]

    def add(self, part, sign):
        """Add ``sign`` times the slots of ``part``."""
        for name, slots in part.items():
            self._by_row[name] += sign * slots
            self.total += sign * slots
