"""Decides how many replicas of a service are ordered in an availability zone.

Load pattern: replicas are lost for good or reclaimed, a zone at a time, while others
crash and return, are replaced one after the other, or seem to be gone since the list of
replicas could not be read. Only a lasting loss is ordered again, up to the number that
the operator began with. Steps of all trainers are submitted at once, and a trainer that
an outage has delayed catches up only if its steps take less than the time between two.
So while a trainer is behind, interruptible replicas are added until the items of all
steps fit in few rounds; they may be reclaimed at any moment, so nothing depends on them.
Each one loads every version too, so trainers that are on time get none.
"""

import json
import math
from statistics import median

from sassafrasdoor.duties.usage import DECODE_ERRORS, Unreadable
from sassafrasdoor.steps.durable.lateness import MIN_INTERVALS, step_intervals

# Seconds for which replicas must be missing: a crashed one is back within some seconds,
# and its entry lapses after three heartbeats.
LASTING_LOSS = 6.0
ORDER_INTERVAL = 5.0  # seconds between two orders for one service and zone
# Rounds in which the replicas of a service run the items of one step of each trainer.
ROUNDS = 1.5
# Interruptible replicas as a share of the others, at most.
MAX_INTERRUPTIBLE_SHARE = 0.6
# Seconds after a trainer was last behind until interruptible replicas are given back; a
# trainer regains a fraction of a second with each step.
DEMAND_MEMORY = 40.0
# Seconds for which the numbers must not have changed before they count as the first.
SETTLE_TIME = 2.0


def base_record(service, counts):
    """Return the record that fixes with how many replicas a service began.

    ``counts`` maps ``(zone, interruptible)`` to a number of replicas.
    """
    rows = [[*place, count] for place, count in counts.items()]
    return json.dumps([service, rows], separators=(",", ":")).encode()


class ScalingLedger:
    """Folds the records of the numbers with which services began; the first counts."""

    __slots__ = ("base",)

    def __init__(self):
        self.base = {}

    def fold(self, data):
        """Fold one record; return ``Unreadable`` for bytes that are none."""
        try:
            service, rows = json.loads(data)
            counts = {
                (str(zone), bool(interruptible)): int(count)
                for zone, interruptible, count in rows
            }
            self.base.setdefault(service, counts)
        except DECODE_ERRORS as error:
            return Unreadable(f"malformed record: {type(error).__name__}")
        return None


def is_behind(steps, at):
    """Return whether a trainer cannot submit its next step when it is due.

    ``steps`` are ``(submitted at, ended at)`` of its last steps in order, with None for
    one that is still open: one took longer than it takes from step to step otherwise.
    """
    intervals = step_intervals([submitted_at for submitted_at, _ in steps])
    if len(intervals) < MIN_INTERVALS:
        return False
    interval = median(intervals)
    return any(
        (at if ended_at is None else ended_at) - submitted_at > interval
        for submitted_at, ended_at in steps[-MIN_INTERVALS:]
    )


def interruptible_target(base, scaling, slots, items):
    """Return the number of interruptible replicas by zone for a demand.

    ``base`` are the numbers by place with which a service began, ``slots`` those of one
    replica, ``items`` the number of items of one step of each trainer.
    """
    zones = sorted({zone for zone, _ in base})
    if scaling.interruptible_price is None or not zones or not slots:
        return {}
    lasting = sum(count for (_, kind), count in base.items() if not kind)
    extra = math.ceil(items / (slots * ROUNDS)) - lasting
    extra = max(0, min(extra, math.floor(lasting * MAX_INTERRUPTIBLE_SHARE)))
    share = math.ceil(extra / len(zones))
    return {
        (zone, True): max(0, min(share, scaling.most - base.get((zone, False), 0)))
        for zone in zones
    }


class DemandMemory:
    """The largest demand of the last ``DEMAND_MEMORY`` seconds."""

    __slots__ = ("_peaks",)

    def __init__(self):
        self._peaks = []

    def record(self, items, at):
        """Record the current demand; return the largest one remembered."""
        self._peaks = [
            (moment, peak)
            for moment, peak in self._peaks
            if peak > items and moment > at - DEMAND_MEMORY
        ]
        self._peaks.append((at, items))
        return self._peaks[0][1]


class ScalingPolicy:
    """Tells lasting losses from passing ones; times are monotonic."""

    __slots__ = ("_changed_at", "_ordered", "_ordered_at", "_present", "_short_since")

    def __init__(self):
        self._ordered = {}
        self._present = {}
        self._changed_at = {}
        self._short_since = {}
        self._ordered_at = {}

    def observe(self, service, counts, at):
        """Record the replicas of a service by place; call it at each check.

        A place is an availability zone and whether the replicas are interruptible.
        """
        if self._present.get(service) != counts:
            self._present[service] = dict(counts)
            self._changed_at[service] = at

    def has_settled(self, service, at):
        """Return whether the numbers of a service have not changed for a while."""
        return at >= self._changed_at.get(service, at) + SETTLE_TIME

    def forget_losses(self):
        """Forget since when replicas are missing, for example while none are listed."""
        self._short_since.clear()

    def due_orders(self, service, base, scaling, at, added=()):
        """Return ``(place, count)`` of the orders that are due for a service.

        ``base`` are the numbers by place with which it began, ``scaling`` its bounds,
        ``added`` the numbers by place of interruptible replicas that the demand wants.
        """
        added = dict(added)
        wanted = {place: min(first, scaling.most) for place, first in base.items()}
        wanted |= {
            place: max(count, wanted.get(place, 0)) for place, count in added.items()
        }
        orders = []
        for place, count in sorted(wanted.items()):
            if self._is_due(service, place, count, place in added, at):
                self._ordered_at[service, place] = at
                self._ordered[service, place] = count
                orders.append((place, count))
        return orders

    def _is_due(self, service, place, count, is_added, at):
        key = service, place
        present = self._present.get(service, {}).get(place, 0)
        last_at = self._ordered_at.get(key, -math.inf)
        if is_added and count != self._ordered.get(key, 0):
            return at >= last_at + ORDER_INTERVAL
        if present >= count:
            self._short_since.pop(key, None)
            return False
        since = self._short_since.setdefault(key, at)
        return at >= max(since + LASTING_LOSS, last_at + ORDER_INTERVAL)
