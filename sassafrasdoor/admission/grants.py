"""What instances and the holder of the quota tell each other, and its record."""

from collections import Counter

from sassafrasdoor.clock import deadline_in, now, passed

# An instance reports again after this part of its grants' life, or sooner when it
# wants more than it was granted.
REPORTS_FOR_EACH_GRANT = 5


class Usage:
    """One row at one instance: slots wanted, in use, and held as fallback."""

    __slots__ = ("fallback", "in_use", "wanted")

    def __init__(self, wanted=0, in_use=0, fallback=0):
        self.wanted = wanted
        self.in_use = in_use
        self.fallback = fallback


class Report:
    """What an instance reports: ``number`` is that of the grants it now uses.

    ``life`` names the life of its entry process: another one than before holds
    no grants. ``rows`` maps row names to ``Usage``.
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
    ``fallback_deadline``, what ``fallback`` names; then nothing.
    """

    __slots__ = ("deadline", "fallback", "fallback_deadline", "number", "slots")

    def __init__(self, number, deadline, fallback_deadline, slots, fallback):
        self.number = number
        self.deadline = deadline
        self.fallback_deadline = fallback_deadline
        self.slots = slots
        self.fallback = fallback

    def usable(self):
        """Return what the instance may use at this moment, by row."""
        if not passed(self.deadline):
            return self.slots
        return {} if passed(self.fallback_deadline) else self.fallback


class InstanceRecord:
    """What the holder knows of one instance, and what it may be using at most."""

    __slots__ = (
        "_in_use_until",
        "_inherited",
        "_inherited_until",
        "_life",
        "_sets",
        "committed",
        "fallback",
        "heard_until",
        "in_use",
        "wanted",
    )

    def __init__(self, inherited_until):
        self._life = None
        self._sets = []
        self._inherited = {}
        self._inherited_until = inherited_until
        self._in_use_until = now()
        self.heard_until = now()
        self.wanted = {}
        self.in_use = {}
        self.committed = {}
        self.fallback = {}

    @property
    def empty(self):
        """Whether it was not heard of lately and holds nothing."""
        return passed(self.heard_until) and not any(self.committed.values())

    @property
    def active(self):
        """What it may be using, if it was heard of lately; nothing else."""
        return {} if passed(self.heard_until) else self.committed

    def take(self, report, lifetime, overhang):
        """Take a report; the grants before the one in use are not used again.

        Grants after it may be on their way, or lost with a reply: they count
        until a report names them or they lapse. ``overhang`` seconds after the
        last report its calls in progress are taken to have ended.
        """
        self.heard_until = deadline_in(lifetime)
        self._in_use_until = deadline_in(overhang)
        rows = report.rows.items()
        self.wanted = {name: usage.wanted for name, usage in rows if usage.wanted}
        self.in_use = {name: usage.in_use for name, usage in rows if usage.in_use}
        if self._life != report.life:
            self._life = report.life
            self._sets = []
            self._inherited = {name: usage.fallback for name, usage in rows}
        if any(one.number == report.number for one in self._sets):
            self._sets = [one for one in self._sets if one.number >= report.number]
            self._inherited = {}
        self.recount()

    def add(self, grants):
        """Count grants just made."""
        self._sets.append(grants)
        self.recount()

    def recount(self):
        """Compute what the instance may be using now, and fall back on later."""
        self._sets = [one for one in self._sets if not passed(one.fallback_deadline)]
        inherited = {} if passed(self._inherited_until) else self._inherited
        in_use = {} if passed(self._in_use_until) else self.in_use
        used = [one.usable() for one in self._sets]
        self.committed = _most(inherited, in_use, *used)
        self.fallback = _most(inherited, *[one.fallback for one in self._sets])


def _most(*parts):
    """Return by row the most that any of the mappings names."""
    most = {}
    for part in parts:
        for name, slots in part.items():
            if slots > most.get(name, 0):
                most[name] = slots
    return most


class Sums:
    """Slots by row, and their total."""

    __slots__ = ("_by_row", "total")

    def __init__(self):
        self._by_row = Counter()
        self.total = 0

    def of(self, name):
        """Return the sum of a row."""
        return self._by_row[name]

    def add(self, part, sign):
        """Add the slots of ``part``, or take them away."""
        for name, slots in part.items():
            self._by_row[name] += sign * slots
            self.total += sign * slots
