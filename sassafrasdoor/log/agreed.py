"""The agreed state: one pure fold over the agreed stream.

Every reader that folds the same records holds the same state, whenever and
wherever it reads them.
"""

from sassafrasdoor.lease import claims
from sassafrasdoor.table import accepted as tables


class Agreed:
    """The table in force, the newest weight versions and the leases.

    ``accepted`` is the table's own state; ``weights`` maps a model to its newest
    announced version; ``leases`` maps a lease's name to its ``Lease``.
    """

    __slots__ = ("accepted", "leases", "weights")

    def __init__(self, accepted=None, weights=None, leases=None):
        self.accepted = accepted or tables.Accepted()
        self.weights = weights or {}
        self.leases = leases or {}

    @property
    def table(self):
        """The ``Table`` in force, or None."""
        return self.accepted.table

    @property
    def revision(self):
        """The offset of the table in force; 0 for none."""
        return self.accepted.revision

    def as_document(self):
        """Return the state as a JSON-ready mapping."""
        return {
            "accepted": self.accepted.as_document(),
            "weights": dict(self.weights),
            "leases": {
                name: lease.as_document() for name, lease in self.leases.items()
            },
        }

    @classmethod
    def from_document(cls, document):
        """Return the state in such a mapping.

        Raises ``ValueError``, ``KeyError`` or ``TypeError`` if it is none.
        """
        leases = {
            str(name): claims.Lease.from_document(lease)
            for name, lease in document["leases"].items()
        }
        weights = {str(key): int(item) for key, item in document["weights"].items()}
        accepted = tables.Accepted.from_document(document["accepted"])
        return cls(accepted, weights, leases)


def fold(state, record):
    """Return the state after ``record``; other kinds of record change nothing."""
    body = record.body
    kind = body.get("kind") if isinstance(body, dict) else None
    step = _FOLDS.get(kind) if isinstance(kind, str) else None
    return step(state, record) if step else state


def _fold_proposal(state, record):
    accepted = tables.fold(state.accepted, record)
    if accepted is state.accepted:
        return state
    return Agreed(accepted, state.weights, state.leases)


def _fold_weights(state, record):
    model, version = record.body.get("model"), record.body.get("version")
    if not isinstance(model, str) or type(version) is not int:
        return state
    if version <= state.weights.get(model, 0):
        return state
    return Agreed(state.accepted, {**state.weights, model: version}, state.leases)


def _fold_lease(state, record):
    leases = claims.fold(state.leases, record)
    if leases is state.leases:
        return state
    return Agreed(state.accepted, state.weights, leases)


_FOLDS = {
    "proposal": _fold_proposal,
    "weights": _fold_weights,
    "lease": _fold_lease,
}
