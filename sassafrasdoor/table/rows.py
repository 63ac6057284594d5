"""Rows of the operators' table; pydantic reports all findings at once."""

import re
from enum import StrEnum

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from sassafrasdoor.outcomes import Finding, Rejected, findings_of

MAX_ROWS = 2000
SHA256_HEX = re.compile(r"^[0-9a-f]{64}$")


class Kind(StrEnum):
    """What a row stands for."""

    TRAINER = "trainer"
    APPLICATION = "application"


class Preference(StrEnum):
    """The measure that a trainer's row puts first."""

    STALENESS = "staleness"
    IDLE = "idle"


class Row(BaseModel):
    """One trainer or application and its share of the fixed capacity.

    ``limit`` is the hard limit, a share (0..1] of the service's capacity;
    ``staleness_bound`` counts weight versions behind the newest.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str = Field(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9_.-]+$")
    kind: Kind
    service: str = Field(min_length=1, max_length=64)
    model: str = Field(default="", max_length=64)
    weight: float = Field(default=1.0, gt=0, le=1e6)
    priority: int = Field(default=0, ge=-100, le=100)
    limit: float = Field(default=1.0, gt=0, le=1)
    staleness_bound: int = Field(default=1, ge=0, le=1000)
    prefers: Preference = Preference.STALENESS
    repeatable: bool = True
    key_hashes: list[str] = Field(min_length=1, max_length=2)

    @model_validator(mode="after")
    def _check_key_hashes(self):
        for key in self.key_hashes:
            if not SHA256_HEX.match(key):
                raise ValueError("key_hashes holds a string that is no SHA-256 in hex")
        return self

    @model_validator(mode="after")
    def _check_trainer_model(self):
        if self.kind is Kind.TRAINER and not self.model:
            raise ValueError("a trainer's row names its model")
        return self


class Table(BaseModel):
    """The whole table; row names are unique."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    rows: list[Row] = Field(max_length=MAX_ROWS)

    def row(self, name):
        """Return the row of that name, or None."""
        return next((row for row in self.rows if row.name == name), None)


def table_from(document):
    """Return the ``Table`` in a JSON-ready document, or ``Rejected``."""
    try:
        table = Table.model_validate(document)
    except ValidationError as error:
        return Rejected("table invalid", findings_of(error))
    duplicates = _duplicate_names(table)
    if duplicates:
        return Rejected("table invalid", duplicates)
    return table


def _duplicate_names(table):
    seen, findings = set(), []
    for index, row in enumerate(table.rows):
        if row.name in seen:
            findings.append(Finding(f"rows.{index}.name", f"{row.name!r} stands twice"))
        seen.add(row.name)
    return findings
