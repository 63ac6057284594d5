"""Records of instances, and what follows from them at one moment.

Load pattern: many instances serve, and where callers are spread over all of them each
keeps connections of its own to every replica and reads all steps. So callers of a zone
are sent to a few of its instances, the entry points. Where one of them lapses, the
others are called by ones and twos, more the longer its place stays free.
"""

import json

from sassafrasdoor.clock import deadline_in, now, passed
from sassafrasdoor.rendezvous import ranked

LAPSE_TIMEOUT = 3.2
"""Seconds without renewal after which callers are not sent there: three missed."""
RESERVE_LAPSE_TIMEOUT = 16.0
"""Seconds without renewal after which an instance in reserve counts as gone."""
MIN_ENTRY_POINTS, ZONE_CORES_DIVISOR = 4, 5
"""Callers of a zone are sent to four instances, or to as many as have a fifth of its
processor: each keeps connections of its own to every replica."""
ENTRY_POINTS_KEY = "entry"
MAX_PROMOTION_DOUBLINGS = 10
PROMOTION_INTERVAL = 2.0
"""Seconds for an instance in reserve to say that it is an entry point now, after which
others are called beside it."""
VIEW_LIFETIME = 0.2
"""Seconds that what was worked out of the list is used again: to order many instances
for each question takes a part of the processor that grows with their number."""


class InstanceRecord:
    """A record as it was last read: ``data`` at ``at``, monotonic.

    ``has_read`` says whether the instance has read the steps, None where it does not
    tell. ``is_renewed`` says whether the record was written since this process follows
    the list; one of before may be of a process that ended with all others.
    """

    __slots__ = (
        "address",
        "renewed_at",
        "control",
        "cores",
        "data",
        "has_read",
        "in_reserve",
        "is_renewed",
        "process",
        "region",
        "zone",
    )

    def __init__(self, data, is_renewed):
        document = json.loads(data)
        self.data = data
        self.address = _text_field(document, "address")
        self.zone = _text_field(document, "zone")
        self.region = _text_field(document, "region")
        self.cores = float(document["cores"])
        # Records of an earlier program name none.
        self.control = _text_field({"control": "", **document}, "control")
        self.process = _text_field({"process": "", **document}, "process")
        self.in_reserve = document.get("reserve") is True
        self.has_read = document["read"] is True if "read" in document else None
        self.is_renewed = is_renewed
        self.renewed_at = now()

    @property
    def is_reader(self):
        """Whether a living process is known to have read the steps."""
        return bool(self.has_read and self.is_renewed)

    @property
    def lapse_timeout(self):
        """Seconds without renewal after which the instance counts as gone."""
        return RESERVE_LAPSE_TIMEOUT if self.in_reserve else LAPSE_TIMEOUT


def _text_field(document, name):
    if not isinstance(document[name], str):
        raise TypeError(f"{name} is not text")
    return document[name]


class ZoneShortages:
    """Since when zones have had too few entry points, monotonic by zone.

    Load pattern: one entry point of a zone lapses, and each instance in reserve that
    takes its place reads all steps. They are called by ones and twos: some may be gone,
    which nobody knows, so that more are called the longer a place stays free.
    """

    __slots__ = ("_since",)

    def __init__(self):
        self._since = {}

    def promotion_rounds(self, zone):
        """Return how many times those called before have let their time pass."""
        since = self._since.get(zone)
        return 0 if since is None else int((now() - since) / PROMOTION_INTERVAL)

    def record(self, zone, is_short):
        """Note whether the zone has too few now."""
        if not is_short:
            self._since.pop(zone, None)
        else:
            self._since.setdefault(zone, now())

    def retain_zones(self, zones):
        """Forget the zones that have no instance any more."""
        for zone in self._since.keys() - zones.keys():
            del self._since[zone]

    def all_promotion_rounds(self):
        """Return those of all zones that have too few."""
        return {zone: self.promotion_rounds(zone) for zone in self._since}


class InstanceView:
    """What follows from the list at one moment.

    ``short`` tells how long zones have had too few entry points.

    ``entry_points`` maps each zone to the addresses that its callers are sent to, the
    largest first; ``called`` are the addresses in reserve that are to become one.
    ``rankings``, the addresses in order by key, are filled as asked.
    """

    __slots__ = ("_deadline", "alive", "called", "entry_points", "rankings")

    def __init__(self, alive, shortages):
        zones = {}
        for record in alive:
            zones.setdefault(record.zone, []).append(record)
        self._deadline = deadline_in(VIEW_LIFETIME)
        self.alive = alive
        self.called = set()
        self.entry_points = {}
        for zone, records in zones.items():
            chosen = _select_entry_points(records, shortages.promotion_rounds(zone))
            shortages.record(zone, any(record.in_reserve for record in chosen))
            self.called.update(record.address for record in chosen if record.in_reserve)
            self.entry_points[zone] = [
                record.address for record in chosen if not record.in_reserve
            ]
        shortages.retain_zones(zones)
        self.rankings = {}

    @property
    def all_entry_points(self):
        """The addresses of the entry points of all zones."""
        return {address for part in self.entry_points.values() for address in part}

    @property
    def is_fresh(self):
        """Whether it is recent enough."""
        return not passed(self._deadline)

    def extend(self):
        """Hold on: the same instances live, and their records are the same."""
        self._deadline = deadline_in(VIEW_LIFETIME)


def _select_entry_points(records, rounds):
    """Return a zone's entry points, the largest first, as ``InstanceRecord``s.

    Those in reserve among them are to become entry points; they do not count, since
    nobody knows whether they still live. As many are called as are missing, and twice
    as many, and so on, after each of ``steps``.
    """
    order = ranked(records, ENTRY_POINTS_KEY, lambda record: record.address)
    order.sort(key=lambda record: -record.cores)
    min_cores = sum(record.cores for record in records) / ZONE_CORES_DIVISOR
    reserve = [record for record in order if record.in_reserve]
    missing = sum(
        record.in_reserve for record in _take_sufficient(order, min_cores, set(order))
    )
    called = set(reserve[: missing << min(rounds, MAX_PROMOTION_DOUBLINGS)])
    living = set(order).difference(reserve)
    eligible = called | living
    return [
        record
        for record in _take_sufficient(order, min_cores, living)
        if record in eligible
    ]


def _take_sufficient(order, min_cores, counted):
    """Return the first in order, until those ``counted`` among them are enough."""
    chosen, count, cores = [], 0, 0.0
    for record in order:
        if count >= MIN_ENTRY_POINTS and cores >= min_cores:
            break
        chosen.append(record)
        if record in counted:
            count += 1
            cores += record.cores
    return chosen
