"""Records of instances, and the entry points chosen from them.

Load pattern: each instance that callers use keeps connections to every replica and reads
all steps. So callers of a zone are sent to a few of its instances, the entry points; the
others are in reserve. If entry points lapse, as many instances in reserve are promoted,
and more the longer the shortage lasts.
"""

from sassafrasdoor.clock import deadline_in, now, passed
from sassafrasdoor.documents import name_field, parse_object
from sassafrasdoor.rendezvous import ranked

LAPSE_TIMEOUT = 3.2  # seconds without renewal of an entry point: three missed
RESERVE_LAPSE_TIMEOUT = 16.0  # seconds without renewal of an instance in reserve
# A zone has at least four entry points, with at least a fifth of its cores. The number is
# kept low, as each one keeps connections to every replica.
MIN_ENTRY_POINTS, ZONE_CORES_DIVISOR = 4, 5
ENTRY_POINTS_KEY = "entry"
MAX_PROMOTION_DOUBLINGS = 10
# Seconds that a promoted instance has to publish that it is an entry point, before more
# are promoted.
PROMOTION_INTERVAL = 2.0
# Seconds for which a view is reused: ranking all instances on each use would take
# processor time that grows with their number.
VIEW_LIFETIME = 0.2
MAX_CORES = 1_000_000.0  # of one instance


class InstanceRecord:
    """An instance's record: ``data`` as read at ``renewed_at``, monotonic.

    ``has_read`` says whether the instance has read the steps, None if the field is
    missing. ``is_renewed`` says whether the record was written after this process loaded
    the list; an older one may be of a process that ended.
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
        document = parse_object(data)
        self.data = data
        self.address = name_field(document, "address")
        self.zone = name_field(document, "zone")
        self.region = name_field(document, "region")
        self.cores = _cores(document["cores"])
        # Absent in records of earlier versions.
        self.control = name_field(document, "control", "")
        self.process = name_field(document, "process", "")
        self.in_reserve = document.get("reserve") is True
        self.has_read = document["read"] is True if "read" in document else None
        self.is_renewed = is_renewed
        self.renewed_at = now()

    @property
    def is_reader(self):
        """Whether a running process is known to have read the steps."""
        return bool(self.has_read and self.is_renewed)

    @property
    def lapse_timeout(self):
        """Seconds without renewal after which the instance counts as gone."""
        return RESERVE_LAPSE_TIMEOUT if self.in_reserve else LAPSE_TIMEOUT


def _cores(value):
    cores = float(value)
    if not 0.0 <= cores <= MAX_CORES:
        raise ValueError(f"cores {cores}")
    return cores


class ZoneShortages:
    """Since when zones have had too few entry points, monotonic by zone.

    Load pattern: each instance in reserve that replaces a lapsed entry point reads all
    steps. So few are promoted at first; as some may have ended unnoticed, more are
    promoted the longer the shortage lasts.
    """

    __slots__ = ("_since",)

    def __init__(self):
        self._since = {}

    def promotion_rounds(self, zone):
        """Return the number of ``PROMOTION_INTERVAL``s since the shortage began, or 0."""
        since = self._since.get(zone)
        return 0 if since is None else int((now() - since) / PROMOTION_INTERVAL)

    def record(self, zone, is_short):
        """Record whether the zone has too few entry points now."""
        if not is_short:
            self._since.pop(zone, None)
        else:
            self._since.setdefault(zone, now())

    def retain_zones(self, zones):
        """Remove the zones that are not in ``zones``."""
        for zone in self._since.keys() - zones.keys():
            del self._since[zone]

    def all_promotion_rounds(self):
        """Return the promotion rounds by zone, for zones with a shortage."""
        return {zone: self.promotion_rounds(zone) for zone in self._since}


class InstanceView:
    """Entry points and rankings that follow from the living instances at one moment.

    ``shortages`` are the ``ZoneShortages``, which the constructor updates.
    ``entry_points`` maps each zone to the addresses that its callers are sent to, the
    largest first; ``promoted`` are the addresses in reserve that are to become entry
    points. ``rankings`` caches the ranked addresses by key.
    """

    __slots__ = ("_deadline", "alive", "promoted", "entry_points", "rankings")

    def __init__(self, alive, shortages):
        zones = {}
        for record in alive:
            zones.setdefault(record.zone, []).append(record)
        self._deadline = deadline_in(VIEW_LIFETIME)
        self.alive = alive
        self.promoted = set()
        self.entry_points = {}
        for zone, records in zones.items():
            chosen = _select_entry_points(records, shortages.promotion_rounds(zone))
            shortages.record(zone, any(record.in_reserve for record in chosen))
            self.promoted.update(
                record.address for record in chosen if record.in_reserve
            )
            self.entry_points[zone] = [
                record.address for record in chosen if not record.in_reserve
            ]
        shortages.retain_zones(zones)
        self.rankings = {}

    @property
    def all_entry_points(self):
        """The addresses of the entry points of all zones."""
        return {
            address for addresses in self.entry_points.values() for address in addresses
        }

    @property
    def is_fresh(self):
        """Whether the view is younger than ``VIEW_LIFETIME``."""
        return not passed(self._deadline)

    def extend(self):
        """Reuse the view for another ``VIEW_LIFETIME``, as the records are unchanged."""
        self._deadline = deadline_in(VIEW_LIFETIME)


def _select_entry_points(records, rounds):
    """Return the records of a zone's entry points, the largest first.

    Those still in reserve are to be promoted. They do not count as entry points yet,
    since they may have ended unnoticed. As many are promoted as are missing, doubled with
    each of ``rounds``.
    """
    order = ranked(records, ENTRY_POINTS_KEY, lambda record: record.address)
    order.sort(key=lambda record: -record.cores)
    min_cores = sum(record.cores for record in records) / ZONE_CORES_DIVISOR
    reserve = [record for record in order if record.in_reserve]
    missing = sum(
        record.in_reserve for record in _take_sufficient(order, min_cores, set(order))
    )
    promoted = set(reserve[: missing << min(rounds, MAX_PROMOTION_DOUBLINGS)])
    current = set(order).difference(reserve)
    eligible = promoted | current
    return [
        record
        for record in _take_sufficient(order, min_cores, current)
        if record in eligible
    ]


def _take_sufficient(order, min_cores, counted):
    """Return the first records in order, until those in ``counted`` are enough."""
    chosen, count, cores = [], 0, 0.0
    for record in order:
        if count >= MIN_ENTRY_POINTS and cores >= min_cores:
            break
        chosen.append(record)
        if record in counted:
            count += 1
            cores += record.cores
    return chosen
