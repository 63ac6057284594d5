"""The table in force: a fold over the operators' proposals.

A proposal has an id and names the revision that it edits, its base. In offset order,
a proposal is accepted if it is valid and its base is the revision in force; its offset
becomes the new revision. Of concurrent proposals on one base the lowest offset wins,
and all readers agree without a clock or a coordinator.
"""

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from sassafrasdoor.outcomes import Finding, findings_of
from sassafrasdoor.table.rows import table_from

NO_REVISION = 0
MAX_DECISIONS = 64
MAX_DECISION_FINDINGS = 20


class Proposal(BaseModel):
    """The body of a proposal record; ``table`` is validated separately."""

    model_config = ConfigDict(strict=True, extra="ignore")

    id: str = Field(min_length=1, max_length=64)
    base: int = Field(ge=0)
    author: str = Field(default="", max_length=64)
    table: object


class Decision:
    """The decision on one proposal.

    ``winner`` is the revision that was in force when the proposal was rejected, and
    ``winner_author`` is its author; both are meaningless if it was accepted.
    """

    __slots__ = (
        "accepted",
        "author",
        "base",
        "findings",
        "id",
        "offset",
        "winner",
        "winner_author",
    )

    def __init__(
        self,
        id,
        offset,
        base,
        author,
        accepted,
        findings=(),
        winner=NO_REVISION,
        winner_author="",
    ):
        self.id = id
        self.offset = offset
        self.base = base
        self.author = author
        self.accepted = accepted
        self.findings = tuple(findings)
        self.winner = winner
        self.winner_author = winner_author

    def as_document(self):
        """Return the decision as a JSON-ready mapping."""
        document = {name: getattr(self, name) for name in self.__slots__}
        document["findings"] = [finding.as_dict() for finding in self.findings]
        return document

    @classmethod
    def from_document(cls, document):
        """Return the decision in a mapping made by ``as_document``.

        Raises ``ValueError``, ``KeyError`` or ``TypeError`` if it is malformed.
        """
        _check_types(document, _DECISION_FIELD_TYPES)
        findings = [Finding(**finding) for finding in document["findings"]]
        return cls(**{**document, "findings": findings})


# Types of document fields. A revision that is not a number would be adopted without
# an error, and the comparison with the next record would stop the follower.
_DECISION_FIELD_TYPES = {
    "id": str,
    "offset": int,
    "base": int,
    "author": str,
    "accepted": bool,
    "winner": int,
    "winner_author": str,
}
_ACCEPTED_FIELD_TYPES = {"revision": int, "author": str}


def _check_types(document, types):
    for name, kind in types.items():
        if type(document[name]) is not kind:
            raise ValueError(name)


class Accepted:
    """The table in force (or None), its revision, and the latest decisions."""

    __slots__ = ("author", "decisions", "revision", "table")

    def __init__(self, table=None, revision=NO_REVISION, author="", decisions=()):
        self.table = table
        self.revision = revision
        self.author = author
        self.decisions = tuple(decisions)

    def decision(self, proposal_id):
        """Return the ``Decision`` on a proposal, or None if there is none (any more)."""
        return next((item for item in self.decisions if item.id == proposal_id), None)

    def as_document(self):
        """Return the state as a JSON-ready mapping."""
        return {
            "table": self.table.model_dump(mode="json") if self.table else None,
            "revision": self.revision,
            "author": self.author,
            "decisions": [decision.as_document() for decision in self.decisions],
        }

    @classmethod
    def from_document(cls, document):
        """Return the state in a mapping made by ``as_document``.

        Raises ``ValueError``, ``KeyError`` or ``TypeError`` if it is malformed.
        """
        _check_types(document, _ACCEPTED_FIELD_TYPES)
        table = document["table"]
        if table is not None:
            table = table_from(table)
            if not table:
                raise ValueError(table.reason)
        decisions = [Decision.from_document(item) for item in document["decisions"]]
        return cls(table, document["revision"], document["author"], decisions)


def fold(accepted, record):
    """Return the state after a proposal record; never raises, whatever its body."""
    try:
        proposal = Proposal.model_validate(record.body)
    except ValidationError as error:
        return _reject_malformed(accepted, record, findings_of(error))
    # A retried append may be in the log twice. A decision on the copy would reject an
    # accepted proposal, and its operator would see the rejection.
    if accepted.decision(proposal.id):
        return accepted
    findings = _check_base(accepted, proposal, record.offset)
    table = None if findings else table_from(proposal.table)
    if table:
        decision = Decision(
            proposal.id, record.offset, proposal.base, proposal.author, True
        )
        return Accepted(
            table, record.offset, proposal.author, _append_decision(accepted, decision)
        )
    if table is not None:
        findings = table.findings
    return _reject(accepted, record, proposal.id, proposal, findings)


def _check_base(accepted, proposal, offset):
    if offset == NO_REVISION:
        # The first offset of some logs is 0: that revision would be indistinguishable
        # from "no table yet", and a second proposal on base 0 would be accepted too.
        return [Finding("offset", "0 stands for no revision; propose again")]
    if proposal.base == accepted.revision:
        return []
    reason = f"{proposal.base} is not in force: revision {accepted.revision} is"
    return [Finding("base", f"{reason}, by {accepted.author or 'nobody'}")]


def _reject_malformed(accepted, record, findings):
    body = record.body if isinstance(record.body, dict) else {}
    proposal_id = body.get("id")
    if not isinstance(proposal_id, str) or not 0 < len(proposal_id) <= 64:
        return accepted
    if accepted.decision(proposal_id):
        return accepted
    return _reject(accepted, record, proposal_id, None, findings)


def _reject(accepted, record, proposal_id, proposal, findings):
    decision = Decision(
        proposal_id,
        record.offset,
        proposal.base if proposal else NO_REVISION,
        proposal.author if proposal else "",
        False,
        findings[:MAX_DECISION_FINDINGS],
        accepted.revision,
        accepted.author,
    )
    return Accepted(
        accepted.table,
        accepted.revision,
        accepted.author,
        _append_decision(accepted, decision),
    )


def _append_decision(accepted, decision):
    return (*accepted.decisions, decision)[-MAX_DECISIONS:]
