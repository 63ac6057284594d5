"""Draws the faults of a soak; the same seed gives the same faults."""

import random
from enum import StrEnum

from sassafrasdoor.steps.durable.service import SHARD_COUNT

FIRST_FAULT_DELAY = 2.0  # seconds, so that there is work to disturb
# Share of the run in which faults begin; the rest leaves time to recover.
FAULT_PERIOD_SHARE = 0.75
MIN_FAULT_DURATION, MAX_FAULT_DURATION = 0.3, 4.0  # seconds
# Seconds between the starts of two faults; shorter than most faults, so they overlap.
MIN_FAULT_INTERVAL, MAX_FAULT_INTERVAL = 0.2, 1.5


class Kind(StrEnum):
    """The kinds of faults."""

    KILL = "kill"
    STOP = "stop"
    PAUSE = "pause"
    CUT_OFF = "cut off"
    DELAY = "delay"
    RESET = "reset"
    ONE_WAY = "one way"
    LOG_DOWN = "log down"
    LOG_LOSES = "log loses replies"
    LOG_LATE = "log lands late"
    FULL = "replica full"
    BREAK = "replica breaks streams"
    FAIL = "replica fails"
    LEAVE = "replica leaves"
    CONFIGURE = "configuration"
    KILL_ALL = "kill all"
    REBORN = "replica starts again"
    FOREIGN = "entry of another writer"
    GONE = "replica ends without a word"
    LOG_SILENT = "log silent"
    ENGINES_SILENT = "engines silent"
    ROUTES_ADDED = "routes added during a pause"
    ROUTES_REMOVED = "route removed during a pause"
    STUTTER = "replica stutters"
    PARTITIONS_REFUSE = "partitions refuse"
    PARTITIONS_SILENT = "partitions silent"


# Drawn as a series of their own, so that the first series of a seed does not change.
SECOND_SERIES_KINDS = (Kind.REBORN, Kind.FOREIGN)
# Seconds from the end of a path fault, when the instance catches up on missed updates,
# to the unannounced end of a replica. A third series, for the same reason.
GONE_DELAY_RANGE = -1.0, 2.5
# Drawn as a fourth series: a pause of the store, or of all engines at once.
SILENT_KINDS = (Kind.LOG_SILENT, Kind.ENGINES_SILENT)
MAX_SILENCE = 2.5  # seconds
SILENCE_INTERVAL = 3.0  # seconds between two starts, on average
# Drawn as a fifth series: one instance is paused while routes come and go.
ROUTE_KINDS = (Kind.ROUTES_ADDED, Kind.ROUTES_REMOVED)
ROUTES_INTERVAL = 4.0  # seconds between two starts, on average
MIN_ROUTES_PAUSE, MAX_ROUTES_PAUSE = 0.5, 2.0  # seconds
# Drawn as a sixth series: an engine and a plain replica send surplus answers.
STUTTER_INTERVAL = 1.5  # seconds between two starts, on average
MIN_STUTTER, MAX_STUTTER = 1.0, 5.0  # seconds
# Drawn as a seventh series: those partitions of the steps fail that follow a drawn one.
PARTITION_COUNT = SHARD_COUNT + 1  # the last one has the lease of the weights
PARTITION_KINDS = (Kind.PARTITIONS_REFUSE, Kind.PARTITIONS_SILENT)
PARTITIONS_INTERVAL = 4.0  # seconds between two starts, on average
MIN_PARTITION_OUTAGE, MAX_PARTITION_OUTAGE = 0.3, 6.0  # seconds
ADDED_KINDS = {
    *SECOND_SERIES_KINDS,
    Kind.GONE,
    *SILENT_KINDS,
    *ROUTE_KINDS,
    Kind.STUTTER,
    *PARTITION_KINDS,
}
FIRST_SERIES_KINDS = [kind for kind in Kind if kind not in ADDED_KINDS]
SECOND_SERIES_INTERVAL = 3.0  # seconds between two starts, on average
ON_INSTANCES = {Kind.KILL, Kind.STOP, Kind.PAUSE, *ROUTE_KINDS}
ON_PATHS = {Kind.CUT_OFF, Kind.DELAY, Kind.RESET, Kind.ONE_WAY}
ON_REPLICAS = {
    Kind.FULL,
    Kind.BREAK,
    Kind.FAIL,
    Kind.LEAVE,
    *ADDED_KINDS,
}
ON_ALL = {
    Kind.KILL_ALL,
    Kind.LOG_DOWN,
    Kind.LOG_LOSES,
    Kind.LOG_LATE,
    Kind.LOG_SILENT,
    *PARTITION_KINDS,
}
WEIGHTS = {Kind.KILL_ALL: 1, Kind.LEAVE: 1}
DEFAULT_WEIGHT = 3


class Fault:
    """A fault on the instance or replica with the index ``target``.

    It begins ``at`` seconds from the start and lasts ``duration`` seconds.
    """

    __slots__ = ("at", "duration", "kind", "target")

    def __init__(self, at, kind, target, duration):
        self.at = at
        self.kind = kind
        self.target = target
        self.duration = duration

    @property
    def end(self):
        """The end of the fault in seconds from the start."""
        return self.at + self.duration

    def __str__(self):
        return (
            f"{self.at:6.2f} s {self.kind} of {self.target} for {self.duration:.2f} s"
        )


def schedule(seed, seconds, instances, replicas):
    """Return the faults of a run in order of their start."""
    rng = random.Random(seed)
    weights = [WEIGHTS.get(kind, DEFAULT_WEIGHT) for kind in FIRST_SERIES_KINDS]
    faults, at = [], FIRST_FAULT_DELAY
    while at < FAULT_PERIOD_SHARE * seconds:
        (kind,) = rng.choices(FIRST_SERIES_KINDS, weights)
        count = replicas if kind in ON_REPLICAS else instances
        target = rng.randrange(count)
        duration = rng.uniform(MIN_FAULT_DURATION, MAX_FAULT_DURATION)
        faults.append(Fault(at, kind, target, duration))
        at += rng.uniform(MIN_FAULT_INTERVAL, MAX_FAULT_INTERVAL)
    faults += _second_series(random.Random(f"{seed} later"), seconds, replicas)
    cuts = [fault for fault in faults if fault.kind in ON_PATHS]
    faults += _third_series(random.Random(f"{seed} gone"), cuts, seconds, replicas)
    faults += _silences(random.Random(f"{seed} silent"), seconds)
    faults += _route_changes(random.Random(f"{seed} routes"), seconds, instances)
    faults += _stutters(random.Random(f"{seed} stutters"), seconds, replicas)
    faults += _partition_outages(random.Random(f"{seed} partitions"), seconds)
    return sorted(faults, key=lambda fault: fault.at)


def _second_series(rng, seconds, replicas):
    faults, at = [], FIRST_FAULT_DELAY + rng.uniform(0, SECOND_SERIES_INTERVAL)
    while at < FAULT_PERIOD_SHARE * seconds:
        duration = rng.uniform(MIN_FAULT_DURATION, MAX_FAULT_DURATION)
        kind, target = rng.choice(SECOND_SERIES_KINDS), rng.randrange(replicas)
        faults.append(Fault(at, kind, target, duration))
        at += rng.uniform(0, 2 * SECOND_SERIES_INTERVAL)
    return faults


def _third_series(rng, cuts, seconds, replicas):
    faults = []
    for cut in cuts:
        at = max(FIRST_FAULT_DELAY, cut.end + rng.uniform(*GONE_DELAY_RANGE))
        target, duration = (
            rng.randrange(replicas),
            rng.uniform(MIN_FAULT_DURATION, MAX_FAULT_DURATION),
        )
        if at < FAULT_PERIOD_SHARE * seconds:
            faults.append(Fault(at, Kind.GONE, target, duration))
    return faults


def _silences(rng, seconds):
    """Return silences of the store and of all engines; some follow at once."""
    faults, at = [], FIRST_FAULT_DELAY + rng.uniform(0, SILENCE_INTERVAL)
    while at < FAULT_PERIOD_SHARE * seconds:
        duration = rng.uniform(MIN_FAULT_DURATION, MAX_SILENCE)
        faults.append(Fault(at, rng.choice(SILENT_KINDS), 0, duration))
        at += rng.uniform(0, 2 * SILENCE_INTERVAL)
    return faults


def _route_changes(rng, seconds, instances):
    """Return changes of routes, each during a pause of one instance."""
    faults, at = [], FIRST_FAULT_DELAY + rng.uniform(0, ROUTES_INTERVAL)
    while at < FAULT_PERIOD_SHARE * seconds:
        duration = rng.uniform(MIN_ROUTES_PAUSE, MAX_ROUTES_PAUSE)
        kind, target = rng.choice(ROUTE_KINDS), rng.randrange(instances)
        faults.append(Fault(at, kind, target, duration))
        at += rng.uniform(0, 2 * ROUTES_INTERVAL)
    return faults


def _stutters(rng, seconds, replicas):
    """Return the times in which a replica answers twice; they overlap."""
    faults, at = [], FIRST_FAULT_DELAY + rng.uniform(0, STUTTER_INTERVAL)
    while at < FAULT_PERIOD_SHARE * seconds:
        target, duration = (
            rng.randrange(replicas),
            rng.uniform(MIN_STUTTER, MAX_STUTTER),
        )
        faults.append(Fault(at, Kind.STUTTER, target, duration))
        at += rng.uniform(0, 2 * STUTTER_INTERVAL)
    return faults


def _partition_outages(rng, seconds):
    """Return outages of partitions; ``target`` counts those that are spared."""
    faults, at = [], FIRST_FAULT_DELAY + rng.uniform(0, PARTITIONS_INTERVAL)
    while at < FAULT_PERIOD_SHARE * seconds:
        duration = rng.uniform(MIN_PARTITION_OUTAGE, MAX_PARTITION_OUTAGE)
        kind, spared = rng.choice(PARTITION_KINDS), rng.randrange(PARTITION_COUNT)
        faults.append(Fault(at, kind, spared, duration))
        at += rng.uniform(0, 2 * PARTITIONS_INTERVAL)
    return faults
