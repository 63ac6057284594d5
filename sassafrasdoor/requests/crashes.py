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

FEW, CERTAIN, ANYWAY = 2, 3, 5
KEEP_FOR = 3600.0
"""Seconds that crashes are remembered after the last, or after the last time that the
request came."""
RENEW_AFTER = KEEP_FOR / 4
"""Seconds after which others are told that a quarantined request still comes."""
MOST_REQUESTS = 4096
"""Requests remembered; the one that was longest without a crash gives way."""


class State(Enum):
    """What a request may do: run as usual, run alone, or not run."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class _Known:
    """What is known of one request: the replicas that crashed under it."""

    __slots__ = ("expires_at", "renew_at", "replicas")

    def __init__(self):
        self.replicas = set()
        self.renew()

    def renew(self):
        self.expires_at = deadline_in(KEEP_FOR)
        self.renew_at = deadline_in(RENEW_AFTER)


class Crashes:
    """Crashed replicas by the fingerprints of the requests that ran there.

    The states follow from all that is known, not from its order: instances that have
    heard the same agree.
    """

    __slots__ = ("_blamed", "_known", "_ran_at")

    def __init__(self):
        self._known = OrderedDict()
        self._ran_at = {}
        self._blamed = None

    def __len__(self):
        return len(self._known)

    def replicas(self, fingerprint):
        """Return the replicas known to have crashed under a request, in order."""
        known = self._known.get(fingerprint)
        return sorted(known.replicas) if known is not None else []

    def state(self, fingerprint):
        """Return the ``State`` of a request."""
        if fingerprint not in self._known:
            return State.CLEAR
        if self._blamed is None:
            self._blamed = self._found_to_blame()
        if fingerprint in self._blamed:
            return State.QUARANTINED
        unexplained = self._unexplained(fingerprint, self._blamed)
        return State.SUSPECT if len(unexplained) >= FEW else State.CLEAR

    def crashed(self, fingerprint, replica):
        """Take a crash of a replica at which a request ran; say whether it is new."""
        known = self._known.setdefault(fingerprint, _Known())
        self._known.move_to_end(fingerprint)
        known.renew()
        if replica in known.replicas:
            return False
        known.replicas.add(replica)
        self._ran_at.setdefault(replica, set()).add(fingerprint)
        self._blamed = None
        while len(self._known) > MOST_REQUESTS:
            self.forget(next(iter(self._known)))
        return True

    def withdrawn(self, fingerprint, replica):
        """Forget one crash of a request."""
        known = self._known.get(fingerprint)
        if known is None or replica not in known.replicas:
            return
        known.replicas.discard(replica)
        ran = self._ran_at[replica]
        ran.discard(fingerprint)
        if not ran:
            del self._ran_at[replica]
        if not known.replicas:
            del self._known[fingerprint]
        self._blamed = None

    def forget(self, fingerprint):
        """Forget all crashes of a request."""
        for replica in self.replicas(fingerprint):
            self.withdrawn(fingerprint, replica)

    def came(self, fingerprint):
        """Remember a request that came for longer; say whether to tell others."""
        known = self._known[fingerprint]
        is_due = passed(known.renew_at)
        known.expires_at = deadline_in(KEEP_FOR)
        if is_due:
            known.renew()
        return is_due

    def expired(self):
        """Return the fingerprints that need not be remembered any more."""
        return [key for key, known in self._known.items() if passed(known.expires_at)]

    def _found_to_blame(self):
        """Return the requests to blame, the worst first: it explains its crashes."""
        worst_first = sorted(
            (key for key in self._known if self._count(key) >= CERTAIN),
            key=self._count,
            reverse=True,
        )
        blamed = set()
        for _, equals in groupby(worst_first, self._count):
            blamed.update([one for one in equals if self._is_to_blame(one, blamed)])
        return blamed

    def _is_to_blame(self, fingerprint, blamed):
        unexplained = self._unexplained(fingerprint, blamed)
        count = self._count(fingerprint)
        is_worst = any(
            all(
                self._count(other) < count
                for other in self._ran_at[replica] - {fingerprint}
            )
            for replica in unexplained
        )
        return len(unexplained) >= (CERTAIN if is_worst else ANYWAY)

    def _unexplained(self, fingerprint, blamed):
        """Return the crashes of a request at which no other ran that is to blame."""
        others = blamed - {fingerprint}
        replicas = self._known[fingerprint].replicas
        return [one for one in replicas if others.isdisjoint(self._ran_at[one])]

    def _count(self, fingerprint):
        return len(self._known[fingerprint].replicas)
