"""The agreed state: a pure fold over the agreed stream.

Readers that have folded the same records hold the same state.
"""

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from sassafrasdoor.lease import claims
from sassafrasdoor.table import accepted as tables

MAX_MODELS = 2000
MAX_VERSION = 2**53


class Announcement(BaseModel):
    """Body of a record that announces a weight version."""

    model_config = ConfigDict(strict=True, extra="ignore")

    model: str = Field(min_length=1, max_length=64)
    version: int = Field(gt=0, le=MAX_VERSION)


class Agreed:
    """The table in force, the newest weight versions and the leases.

    ``accepted`` is the fold of the table proposals; ``weights`` maps a model to its
    newest announced version, ``leases`` a lease's name to its ``Lease``.
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
        """The offset of the table in force, 0 if there is none."""
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
        """Return the state from a mapping made by ``as_document()``.

        Raises ``ValueError``, ``KeyError`` or ``TypeError`` if it is malformed.
        """
        leases = {
            str(name): claims.Lease.from_document(lease)
            for name, lease in document["leases"].items()
        }
        announcements = [
            Announcement(model=model, version=version)
            for model, version in document["weights"].items()
        ]
        weights = {announced.model: announced.version for announced in announcements}
        accepted = tables.Accepted.from_document(document["accepted"])
        return cls(accepted, weights, leases)


def fold(state, record):
    """Return the state after ``record``; records of unknown kinds are ignored."""
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
    try:
        announced = Announcement.model_validate(record.body)
    except ValidationError:
        # A version beyond 64 bits could not be sent to any entry point: all of them
        # would keep their current view.
        return state
    known = state.weights
    if announced.version <= known.get(announced.model, 0):
        return state
    if announced.model not in known and len(known) >= MAX_MODELS:
        return state
    weights = {**known, announced.model: announced.version}
    return Agreed(state.accepted, weights, state.leases)


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
