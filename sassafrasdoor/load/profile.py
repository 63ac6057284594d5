"""The profile of a load: the callers' rows and rates, and the trainers."""

import json
from enum import StrEnum

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from sassafrasdoor.outcomes import Finding, Rejected, findings_of


class Shape(StrEnum):
    """The kind of a caller's requests."""

    CALL = "call"
    GENERATE = "generate"


class ProfileModel(BaseModel):
    """Base of the profile's models; unknown keys are reported as findings."""

    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)


class CallerProfile(ProfileModel):
    """One row's open-loop arrivals: ``rate`` a second, late after ``late_after_ms``."""

    row: str
    key: str
    shape: Shape = Shape.CALL
    path: str = "work"
    rate: float = Field(gt=0, le=5000)
    late_after_ms: int = Field(default=1000, gt=0)
    deadline_ms: int = Field(default=5000, gt=0)
    repeatable: bool = True
    max_tokens: int = Field(default=32, gt=0)


class TrainerProfile(ProfileModel):
    """One trainer's steps, run sequentially."""

    row: str
    key: str
    steps: int = Field(default=1, gt=0)
    groups: int = Field(default=8, gt=0)
    samples_per_group: int = Field(default=4, gt=0)
    max_tokens: int = Field(default=64, gt=0)


class Profile(ProfileModel):
    """A complete load: seed, duration in seconds, callers and trainers."""

    seed: int = 1
    duration: float = Field(gt=0, le=3600)
    callers: list[CallerProfile] = []
    trainers: list[TrainerProfile] = []


def load(path):
    """Return the ``Profile`` in the JSON file at ``path``, or ``Rejected``."""
    try:
        with open(path, encoding="utf-8") as file:
            return Profile.model_validate(json.load(file))
    except ValidationError as error:
        return Rejected("profile invalid", findings_of(error))
    except (OSError, ValueError, RecursionError) as error:
        return Rejected("profile unreadable", [Finding(str(path), str(error))])
