"""Determines which requests cause the crashes of replicas.

A single crash does not show which of the requests running at the replica caused it. The
cause is present at each of its crashes, and no replica ever answers it. Requests that
only ran beside it are answered elsewhere, or have few crashes not explained by it.

A crash is unexplained if no other quarantined request ran at the replica. A request's
state depends on its unexplained crashes:

| unexplained crashes | state |
|---|---|
| none or one, or any replica answered the request since | clear |
| two or more | suspect |
| three or more, and at one of them no other request had as many crashes | quarantined |
| five or more | quarantined |
"""

from collections import OrderedDict
from enum import Enum
from itertools import groupby

from sassafrasdoor.clock import deadline_in, passed

SUSPECT_THRESHOLD, QUARANTINE_THRESHOLD, UNCONDITIONAL_THRESHOLD = 2, 3, 5
RETENTION_PERIOD = 3600.0  # seconds after a request's last crash or last arrival
# Seconds after which other instances are notified that a quarantined request still
# arrives.
RENEWAL_INTERVAL = RETENTION_PERIOD / 4
MAX_REQUESTS = 4096  # tracked requests; the one with the oldest last crash is evicted


class State(Enum):
    """Whether a request runs as usual, one at a time, or not at all."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class _CrashedRequest:
    """The replicas that crashed while one request ran there, and its expiry."""

    __slots__ = ("expires_at", "renew_at", "replicas")

    def __init__(self):
        self.replicas = set()
        self.renew()

    def renew(self):
        self.expires_at = deadline_in(RETENTION_PERIOD)
        self.renew_at = deadline_in(RENEWAL_INTERVAL)


class CrashHistory:
    """Crashed replicas by the fingerprints of the requests that ran there.

    States do not depend on the order of the records, so instances with the same records
    agree.
    """

    __slots__ = ("_quarantined", "_requests", "_requests_by_replica")

    def __init__(self):
        self._requests = OrderedDict()
        self._requests_by_replica = {}
        self._quarantined = None

    def __len__(self):
        return len(self._requests)

    def replicas(self, fingerprint):
        """Return the sorted replicas that crashed while a request ran there."""
        entry = self._requests.get(fingerprint)
        return sorted(entry.replicas) if entry is not None else []

    def state(self, fingerprint):
        """Return the ``State`` of a request."""
        if fingerprint not in self._requests:
            return State.CLEAR
        if self._quarantined is None:
            self._quarantined = self._find_quarantined()
        if fingerprint in self._quarantined:
            return State.QUARANTINED
        unexplained = self._unexplained_crashes(fingerprint, self._quarantined)
        return State.SUSPECT if len(unexplained) >= SUSPECT_THRESHOLD else State.CLEAR

    def add_crash(self, fingerprint, replica):
        """Add a crash of a replica where a request ran; return whether it is new."""
        entry = self._requests.setdefault(fingerprint, _CrashedRequest())
        self._requests.move_to_end(fingerprint)
        entry.renew()
        if replica in entry.replicas:
            return False
        entry.replicas.add(replica)
        self._requests_by_replica.setdefault(replica, set()).add(fingerprint)
        self._quarantined = None
        while len(self._requests) > MAX_REQUESTS:
            self.forget(next(iter(self._requests)))
        return True

    def remove_crash(self, fingerprint, replica):
        """Remove one crash of a request."""
        entry = self._requests.get(fingerprint)
        if entry is None or replica not in entry.replicas:
            return
        entry.replicas.discard(replica)
        fingerprints = self._requests_by_replica[replica]
        fingerprints.discard(fingerprint)
        if not fingerprints:
            del self._requests_by_replica[replica]
        if not entry.replicas:
            del self._requests[fingerprint]
        self._quarantined = None

    def forget(self, fingerprint):
        """Remove all crashes of a request."""
        for replica in self.replicas(fingerprint):
            self.remove_crash(fingerprint, replica)

    def record_arrival(self, fingerprint):
        """Extend a request's retention; return whether to notify other instances."""
        entry = self._requests[fingerprint]
        is_due = passed(entry.renew_at)
        entry.expires_at = deadline_in(RETENTION_PERIOD)
        if is_due:
            entry.renew()
        return is_due

    def expired(self):
        """Return the fingerprints whose retention has ended."""
        return [
            key for key, entry in self._requests.items() if passed(entry.expires_at)
        ]

    def _find_quarantined(self):
        """Return the requests to quarantine.

        Those with the most crashes are decided first, since they explain crashes of
        others.
        """
        worst_first = sorted(
            (
                key
                for key in self._requests
                if self._crash_count(key) >= QUARANTINE_THRESHOLD
            ),
            key=self._crash_count,
            reverse=True,
        )
        quarantined = set()
        for _, candidates in groupby(worst_first, self._crash_count):
            quarantined.update(
                [key for key in candidates if self._is_to_quarantine(key, quarantined)]
            )
        return quarantined

    def _is_to_quarantine(self, fingerprint, quarantined):
        unexplained = self._unexplained_crashes(fingerprint, quarantined)
        count = self._crash_count(fingerprint)
        is_worst = any(
            all(
                self._crash_count(other) < count
                for other in self._requests_by_replica[replica] - {fingerprint}
            )
            for replica in unexplained
        )
        return len(unexplained) >= (
            QUARANTINE_THRESHOLD if is_worst else UNCONDITIONAL_THRESHOLD
        )

    def _unexplained_crashes(self, fingerprint, quarantined):
        """Return the crashes of a request where no other quarantined request ran."""
        others = quarantined - {fingerprint}
        replicas = self._requests[fingerprint].replicas
        return [
            replica
            for replica in replicas
            if others.isdisjoint(self._requests_by_replica[replica])
        ]

    def _crash_count(self, fingerprint):
        return len(self._requests[fingerprint].replicas)
