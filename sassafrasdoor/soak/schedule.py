"""A seeded series of faults; the same seed gives the same series."""

import random
from enum import StrEnum

FIRST_AT = 2.0
"""Seconds of calm before the first fault, so that there is work to disturb."""
LAST_SHARE = 0.75
"""Part of the run after which no fault begins: what must recover has time to."""
SHORTEST, LONGEST = 0.3, 4.0
"""Seconds that a fault lasts."""
BUSIEST, CALMEST = 0.2, 1.5
"""Seconds between the beginnings of two faults: they come in series and overlap."""


class Kind(StrEnum):
    """What is done to whom."""

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


LATER_KINDS = (Kind.REBORN, Kind.FOREIGN)
"""Drawn as a series of their own, so that a seed's first series stays what it was."""
GONE_AROUND = -1.0, 2.5
"""Seconds after the end of a fault on a path at which a replica ends without a word:
when what was not heard meanwhile is learnt. A third series, for the same reason."""
ADDED_KINDS = {*LATER_KINDS, Kind.GONE}
FIRST_KINDS = [kind for kind in Kind if kind not in ADDED_KINDS]
LATER_EVERY = 3.0
"""Seconds between the beginnings of two of these, on the average."""
ON_INSTANCES = {Kind.KILL, Kind.STOP, Kind.PAUSE}
ON_PATHS = {Kind.CUT_OFF, Kind.DELAY, Kind.RESET, Kind.ONE_WAY}
ON_REPLICAS = {
    Kind.FULL,
    Kind.BREAK,
    Kind.FAIL,
    Kind.LEAVE,
    *ADDED_KINDS,
}
ON_ALL = {Kind.KILL_ALL, Kind.LOG_DOWN, Kind.LOG_LOSES, Kind.LOG_LATE}
WEIGHTS = {Kind.KILL_ALL: 1, Kind.LEAVE: 1}
USUAL_WEIGHT = 3


class Fault:
    """One fault: ``at`` seconds from the start, on ``target`` (an index), for so long."""

    __slots__ = ("at", "kind", "lasts", "target")

    def __init__(self, at, kind, target, lasts):
        self.at = at
        self.kind = kind
        self.target = target
        self.lasts = lasts

    @property
    def end(self):
        """When it ends, in seconds from the start."""
        return self.at + self.lasts

    def __str__(self):
        return f"{self.at:6.2f} s {self.kind} of {self.target} for {self.lasts:.2f} s"


def schedule(seed, seconds, instances, replicas):
    """Return the faults of a run in order of time."""
    draw = random.Random(seed)
    weights = [WEIGHTS.get(kind, USUAL_WEIGHT) for kind in FIRST_KINDS]
    faults, at = [], FIRST_AT
    while at < LAST_SHARE * seconds:
        (kind,) = draw.choices(FIRST_KINDS, weights)
        count = replicas if kind in ON_REPLICAS else instances
        target = draw.randrange(count)
        lasts = draw.uniform(SHORTEST, LONGEST)
        faults.append(Fault(at, kind, target, lasts))
        at += draw.uniform(BUSIEST, CALMEST)
    faults += _later(random.Random(f"{seed} later"), seconds, replicas)
    cuts = [fault for fault in faults if fault.kind in ON_PATHS]
    faults += _after(random.Random(f"{seed} gone"), cuts, seconds, replicas)
    return sorted(faults, key=lambda fault: fault.at)


def _later(draw, seconds, replicas):
    faults, at = [], FIRST_AT + draw.uniform(0, LATER_EVERY)
    while at < LAST_SHARE * seconds:
        lasts = draw.uniform(SHORTEST, LONGEST)
        kind, target = draw.choice(LATER_KINDS), draw.randrange(replicas)
        faults.append(Fault(at, kind, target, lasts))
        at += draw.uniform(0, 2 * LATER_EVERY)
    return faults


def _after(draw, cuts, seconds, replicas):
    faults = []
    for cut in cuts:
        at = max(FIRST_AT, cut.end + draw.uniform(*GONE_AROUND))
        target, lasts = draw.randrange(replicas), draw.uniform(SHORTEST, LONGEST)
        if at < LAST_SHARE * seconds:
            faults.append(Fault(at, Kind.GONE, target, lasts))
    return faults
