"""Determines lease holders: a fold over claims, by log order and not by clocks.

A claim names the record that it replaces: the last accepted claim of that lease.
Of all claims on one record the lowest offset wins; a holder that resumes after a
pause names a record that has been replaced, and every reader rejects its claim.
The offset of a holder's first accepted claim is its epoch, the fencing number.
"""

from pydantic import BaseModel, ConfigDict, Field, ValidationError

NO_EPOCH = 0
MAX_LEASES = 4096


class Claim(BaseModel):
    """The body of a lease record: a first claim, a renewal or a release."""

    model_config = ConfigDict(strict=True, extra="ignore")

    name: str = Field(min_length=1, max_length=64)
    holder: str = Field(min_length=1, max_length=128)
    replaces: int = Field(ge=0)
    id: str = Field(min_length=1, max_length=64)
    release: bool = False


class Lease:
    """The last accepted claim: its ``offset``, ``claim_id`` and ``holder``.

    ``epoch`` increases with each change of holder and is kept by renewals;
    ``released`` means that the holder has released it and no longer acts.
    """

    __slots__ = ("claim_id", "epoch", "holder", "offset", "released")

    def __init__(self, holder, epoch, offset, claim_id, released=False):
        self.holder = holder
        self.epoch = epoch
        self.offset = offset
        self.claim_id = claim_id
        self.released = released

    def as_document(self):
        """Return the lease as a JSON-ready mapping."""
        return {name: getattr(self, name) for name in self.__slots__}

    @classmethod
    def from_document(cls, document):
        """Return the lease in a mapping made by ``as_document``.

        Raises ``ValueError``, ``KeyError`` or ``TypeError`` if it is malformed.
        """
        for name, kind in _FIELD_TYPES.items():
            if type(document[name]) is not kind:
                raise ValueError(name)
        return cls(**document)


_FIELD_TYPES = {
    "holder": str,
    "epoch": int,
    "offset": int,
    "claim_id": str,
    "released": bool,
}
VACANT = Lease("", NO_EPOCH, NO_EPOCH, "", released=True)


def fold(leases, record):
    """Return the leases by name after a claim record; ignores malformed bodies."""
    try:
        claim = Claim.model_validate(record.body)
    except ValidationError:
        return leases
    if claim.name not in leases and len(leases) >= MAX_LEASES:
        return leases
    current = leases.get(claim.name, VACANT)
    if claim.replaces != current.offset or record.offset == NO_EPOCH:
        return leases
    renewed = claim.holder == current.holder and not current.released
    if claim.release and not renewed:
        return leases
    epoch = current.epoch if renewed else record.offset
    lease = Lease(claim.holder, epoch, record.offset, claim.id, claim.release)
    return {**leases, claim.name: lease}
