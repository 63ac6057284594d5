"""Which requests are to blame for the crashes of replicas.

A crash alone does not tell which of the requests that ran there caused it. The one that
did is there at each, and no replica ever answers it; those that merely ran beside it are
answered elsewhere, or run into few crashes that no worse suspect was part of.

| crashes without a quarantined request | state |
|---|---|
| none or one, or any replica answered it since | clear |
| two or more | suspect |
| three or more, at one of them it was the worst suspect | quarantined |
| five or more | quarantined |
"""

from collections import OrderedDict
from enum import Enum
from itertools import groupby

from sassafrasdoor.clock import deadline_in, passed

SUSPECT_THRESHOLD, QUARANTINE_THRESHOLD, UNCONDITIONAL_THRESHOLD = 2, 3, 5
RETENTION_PERIOD = 3600.0
"""Seconds that crashes are remembered after the last, or after the last time that the
request came."""
RENEWAL_INTERVAL = RETENTION_PERIOD / 4
"""Seconds after which others are told that a quarantined request still comes."""
MAX_REQUESTS = 4096
"""Requests remembered; the one that was longest without a crash gives way."""


class State(Enum):
    """What a request may do: run as usual, run alone, or not run."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class _CrashedRequest:
    """What is known of one request: the replicas that crashed under it."""

    __slots__ = ("expires_at", "renew_at", "replicas")

    def __init__(self):
        self.replicas = set()
        self.renew()

    def renew(self):
        self.expires_at = deadline_in(RETENTION_PERIOD)
        self.renew_at = deadline_in(RENEWAL_INTERVAL)


class CrashHistory:
    """Crashed replicas by the fingerprints of the requests that ran there.

    The states follow from all that is known, not from its order: instances that have
    heard the same agree.
    """

    __slots__ = ("_culprits", "_requests", "_requests_by_replica")

    def __init__(self):
        self._requests = OrderedDict()
        self._requests_by_replica = {}
        self._culprits = None

    def __len__(self):
        return len(self._requests)

    def replicas(self, fingerprint):
        """Return the replicas known to have crashed under a request, in order."""
        entry = self._requests.get(fingerprint)
        return sorted(entry.replicas) if entry is not None else []

    def state(self, fingerprint):
        """Return the ``State`` of a request."""
        if fingerprint not in self._requests:
            return State.CLEAR
        if self._culprits is None:
            self._culprits = self._find_culprits()
        if fingerprint in self._culprits:
            return State.QUARANTINED
        unexplained = self._unexplained_crashes(fingerprint, self._culprits)
        return State.SUSPECT if len(unexplained) >= SUSPECT_THRESHOLD else State.CLEAR

    def add_crash(self, fingerprint, replica):
        """Take a crash of a replica at which a request ran; say whether it is new."""
        entry = self._requests.setdefault(fingerprint, _CrashedRequest())
        self._requests.move_to_end(fingerprint)
        entry.renew()
        if replica in entry.replicas:
            return False
        entry.replicas.add(replica)
        self._requests_by_replica.setdefault(replica, set()).add(fingerprint)
        self._culprits = None
        while len(self._requests) > MAX_REQUESTS:
            self.forget(next(iter(self._requests)))
        return True

    def remove_crash(self, fingerprint, replica):
        """Forget one crash of a request."""
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
        self._culprits = None

    def forget(self, fingerprint):
        """Forget all crashes of a request."""
        for replica in self.replicas(fingerprint):
            self.remove_crash(fingerprint, replica)

    def record_arrival(self, fingerprint):
        """Remember a request that came for longer; say whether to tell others."""
        entry = self._requests[fingerprint]
        is_due = passed(entry.renew_at)
        entry.expires_at = deadline_in(RETENTION_PERIOD)
        if is_due:
            entry.renew()
        return is_due

    def expired(self):
        """Return the fingerprints that need not be remembered any more."""
        return [
            key for key, entry in self._requests.items() if passed(entry.expires_at)
        ]

    def _find_culprits(self):
        """Return the requests to blame, the worst first: it explains its crashes."""
        worst_first = sorted(
            (
                key
                for key in self._requests
                if self._crash_count(key) >= QUARANTINE_THRESHOLD
            ),
            key=self._crash_count,
            reverse=True,
        )
        culprits = set()
        for _, candidates in groupby(worst_first, self._crash_count):
            culprits.update(
                [key for key in candidates if self._is_culprit(key, culprits)]
            )
        return culprits

    def _is_culprit(self, fingerprint, culprits):
        unexplained = self._unexplained_crashes(fingerprint, culprits)
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

    def _unexplained_crashes(self, fingerprint, culprits):
        """Return the crashes of a request at which no other ran that is to blame."""
        others = culprits - {fingerprint}
        replicas = self._requests[fingerprint].replicas
        return [
            replica
            for replica in replicas
            if others.isdisjoint(self._requests_by_replica[replica])
        ]

    def _crash_count(self, fingerprint):
        return len(self._requests[fingerprint].replicas)
