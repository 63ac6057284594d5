"""Chooses the replica of an item, and the samples that leave a slow replica.

A step ends with its longest sample. Items go to the replica with the earliest estimated
finish, by its event interval and load. A sample leaves its replica when another
one with a free slot is faster by ``MIGRATION_THRESHOLD``.
"""

MIGRATION_THRESHOLD = 1.8  # ratio of intervals; above the variation of healthy replicas
LOAD_WEIGHT = 1.0  # estimated slowdown of a full replica, as a share of its interval
# Weight of the slowdown that a short item causes to the samples at its replica. With 0
# short items fill the fast replicas, and steps end later.
OTHERS_WEIGHT = 2.0
UNRESPONSIVE_AFTER = 1.2  # seconds without data on any stream; longer than a load
MAX_MIGRATIONS = 2  # migrations of one sample
FASTER_REPLICA = "faster replica"  # reason of a migration by ``should_migrate``
DEFAULT_EVENT_INTERVAL = 1.0  # seconds, while no replica's interval is known


class Candidate:
    """One replica's estimated state at one moment.

    ``load`` and ``slots`` count samples; ``event_interval`` is the seconds between two
    events of its samples, None while unknown. ``versions`` maps models to weight
    versions. ``unavailable_models`` are those that it is loading or has recently refused.
    A suspect that ``may_probe`` may get one item that no other replica can serve.
    If it is judged ``by_speed``, ``event_interval`` is that of a sample alone on it, and
    ``is_slow`` says whether it is slower than its lasting speed explains.
    """

    __slots__ = (
        "by_speed",
        "unavailable_models",
        "identity",
        "is_slow",
        "load",
        "event_interval",
        "may_probe",
        "replica",
        "slots",
        "is_suspect",
        "versions",
    )

    def __init__(self, replica, load, is_suspect, unavailable_models, may_probe=False):
        self.replica = replica
        self.identity = replica.identity
        self.load = load
        self.slots = max(1, replica.listing.slots)
        self.event_interval = replica.event_interval
        self.by_speed = self.is_slow = False
        self.is_suspect = is_suspect
        self.may_probe = may_probe
        self.versions = replica.versions
        self.unavailable_models = unavailable_models

    @property
    def free_slots(self):
        """Estimated free slots."""
        return self.slots - self.load


class Requirement:
    """What an item requires: weights of ``model`` not older than ``min_version``.

    ``avoid`` is the identity of the replica that the sample leaves, or empty. An item
    that ``yields`` leaves replicas with a short interval to the longer ones of its step.
    """

    __slots__ = ("avoid", "model", "min_version", "yields")

    def __init__(self, model, min_version, avoid="", yields=False):
        self.yields = yields
        self.model = model
        self.min_version = min_version
        self.avoid = avoid


def median_event_interval(candidates):
    """Return the median known event interval, or ``DEFAULT_EVENT_INTERVAL``."""
    known = sorted(
        candidate.event_interval for candidate in candidates if candidate.event_interval
    )
    return known[len(known) // 2] if known else DEFAULT_EVENT_INTERVAL


def place(candidates, requirement):
    """Return the ``Candidate`` with the earliest estimated finish, or None."""
    median = median_event_interval(candidates)
    eligible = [
        candidate
        for candidate in candidates
        if candidate.free_slots > 0 and is_eligible(candidate, requirement)
    ]
    return min(
        eligible,
        key=lambda candidate: cost(candidate, median, requirement.yields),
        default=None,
    )


def select_probe(candidates, requirement):
    """Return a suspect ``Candidate`` for an item that ``place`` found none for, or None.

    An item may wait for a few seconds only, less than a suspicion may last.
    """
    probes = [
        candidate
        for candidate in candidates
        if candidate.is_suspect
        and candidate.may_probe
        and candidate.free_slots > 0
        and has_weights(candidate, requirement)
    ]
    chosen = min(probes, key=lambda row: (row.load, row.identity), default=None)
    if chosen is not None:
        chosen.may_probe = False
    return chosen


def should_migrate(slow, better):
    """Return whether a sample should leave ``slow`` for the candidate ``better``."""
    if better is None or slow.event_interval is None or better.event_interval is None:
        return False
    return (
        slow.event_interval >= MIGRATION_THRESHOLD * better.event_interval
        and better.free_slots > 0
    )


def is_unresponsive(sent_at, last_received_at, is_loading, moment):
    """Return whether an item without a first event should leave its replica.

    ``sent_at``, ``last_received_at`` (last byte on any stream of the replica) and
    ``moment`` are monotonic seconds; ``is_loading``: it was ordered to load weights.
    """
    return (
        not is_loading and moment >= max(sent_at, last_received_at) + UNRESPONSIVE_AFTER
    )


def is_eligible(candidate, requirement):
    """Return whether a replica may serve an item once it has a free slot."""
    return not candidate.is_suspect and has_weights(candidate, requirement)


def has_weights(candidate, requirement):
    """Return whether a replica has the weights for an item that does not avoid it."""
    if candidate.identity == requirement.avoid:
        return False
    if not requirement.model:
        return True
    loaded_version = candidate.versions.get(requirement.model, 0)
    return (
        loaded_version >= requirement.min_version
        and requirement.model not in candidate.unavailable_models
    )


def cost(candidate, median, yields=False):
    """Return the estimated interval with one more item; the identity breaks ties.

    An item that ``yields`` leaves replicas with a short interval to longer ones.
    """
    event_interval = candidate.event_interval or median
    load = candidate.load + 1
    if yields and candidate.by_speed:
        load += OTHERS_WEIGHT * candidate.load
    return (
        event_interval * (1 + LOAD_WEIGHT * load / candidate.slots),
        candidate.identity,
    )
