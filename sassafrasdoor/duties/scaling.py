"""Decides how many replicas of a service are ordered in an availability zone.

Load pattern: replicas are lost for good or reclaimed, a zone at a time, while others
crash and return, are replaced one after the other, or seem to be gone since the list of
replicas could not be read. Only a lasting loss is ordered again: up to the number that
the operator began with, never beyond.
"""

import json

from sassafrasdoor.clock import LONG_AGO
from sassafrasdoor.duties.usage import DECODE_ERRORS, Unreadable

# Seconds for which replicas must be missing: a crashed one is back within some seconds,
# and its entry lapses after three heartbeats.
LASTING_LOSS = 6.0
ORDER_INTERVAL = 5.0  # seconds between two orders for one service and zone
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


class ScalingPolicy:
    """Tells lasting losses from passing ones; times are monotonic."""

    __slots__ = ("_changed_at", "_ordered_at", "_present", "_short_since")

    def __init__(self):
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

    def due_orders(self, service, base, scaling, at):
        """Return ``(place, count)`` of the orders that are due for a service.

        ``base`` are the numbers by place with which it began, ``scaling`` its bounds.
        """
        present = self._present.get(service, {})
        orders = []
        for place, first in sorted(base.items()):
            wanted = min(first, scaling.most)
            key = service, place
            if present.get(place, 0) >= wanted:
                self._short_since.pop(key, None)
                continue
            since = self._short_since.setdefault(key, at)
            last = self._ordered_at.get(key, LONG_AGO)
            if at >= since + LASTING_LOSS and at >= last + ORDER_INTERVAL:
                self._ordered_at[key] = at
                orders.append((place, wanted))
        return orders
