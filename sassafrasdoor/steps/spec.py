"""Validated input of trainers; a rejection lists all findings at once."""

import hashlib

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from sassafrasdoor.callers.decoding import element_count
from sassafrasdoor.outcomes import Finding, Rejected, findings_of
from sassafrasdoor.steps.token import MAX_SAMPLES

MAX_GROUPS = 4096
# Objects, lists and elements of a document: six for each group with a reward, and the rest.
MAX_ELEMENTS = 6 * MAX_GROUPS + 64
MAX_PROMPT_LENGTH = 65_536
MAX_TOKENS = 1_000_000
MAX_DEADLINE_MS = 24 * 3600 * 1000
DEFAULT_DEADLINE_MS = 600_000
MAX_WAIT_MS = 60_000
MAX_VERSION = 2**53
MAX_TOKEN_LENGTH = 4096
MAX_SAFE_INTEGER = 2**53
DIGEST_LENGTH = 12


class Input(BaseModel):
    """Base of trainer input; unknown fields are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class Reward(Input):
    """The call that scores a finished sample: a POST to a plain service."""

    service: str = Field(min_length=1, max_length=128)
    path: str = Field(min_length=1, max_length=2048, pattern="^/")
    body: str = Field(default="", max_length=MAX_PROMPT_LENGTH)


class Group(Input):
    """A group of samples that share a prompt and an optional reward call."""

    prompt: str = Field(min_length=1, max_length=MAX_PROMPT_LENGTH)
    reward: Reward | None = None


class StepSpec(Input):
    """A training step; ``attach`` increases with each attachment of its trainer.

    ``token`` names the samples that the trainer has, so that a new owner does not start
    them again.
    """

    step: str = Field(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9_.-]+$")
    attach: int = Field(ge=1, le=MAX_SAFE_INTEGER)
    groups: list[Group] = Field(min_length=1, max_length=MAX_GROUPS)
    samples_per_group: int = Field(ge=1, le=MAX_SAMPLES)
    max_tokens: int = Field(ge=1, le=MAX_TOKENS)
    deadline_ms: int = Field(default=DEFAULT_DEADLINE_MS, ge=1, le=MAX_DEADLINE_MS)
    seed: int = Field(default=0, ge=0, le=MAX_SAFE_INTEGER)
    token: str = Field(default="", max_length=MAX_TOKEN_LENGTH)

    @model_validator(mode="after")
    def _samples_are_bounded(self):
        if self.sample_count > MAX_SAMPLES:
            raise ValueError(f"{self.sample_count} samples, above {MAX_SAMPLES}")
        return self

    @property
    def sample_count(self):
        """Number of samples of the step."""
        return len(self.groups) * self.samples_per_group

    def digest(self):
        """Return a digest that distinguishes steps of the same name."""
        digest = hashlib.sha256()
        header = f"{self.samples_per_group} {self.max_tokens} {self.seed}"
        texts = [header, *(group.prompt for group in self.groups)]
        texts += [
            group.reward.model_dump_json() for group in self.groups if group.reward
        ]
        for text in texts:
            digest.update(f"{len(text)}:{text}".encode())
        return digest.hexdigest()[:DIGEST_LENGTH]


class FetchSpec(Input):
    """A trainer's request for samples that its token lacks."""

    attach: int = Field(ge=1, le=MAX_SAFE_INTEGER)
    token: str = Field(default="", max_length=MAX_TOKEN_LENGTH)
    newest_version: int | None = Field(default=None, ge=0, le=MAX_VERSION)
    wait_ms: int = Field(default=0, ge=0, le=MAX_WAIT_MS)


def parse_input(model, body):
    """Return an instance of ``model`` parsed from JSON bytes, or ``Rejected``."""
    # The parser would list each unknown field, and take memory for it.
    if element_count(body, MAX_ELEMENTS) > MAX_ELEMENTS:
        return Rejected("input invalid", [Finding("(root)", "too many elements")])
    try:
        return model.model_validate_json(body)
    except ValidationError as error:
        return Rejected("input invalid", findings_of(error))


class Identity:
    """Stream ids and seeds of a step's samples, the same on every instance.

    A sample is (row, step, group, index). Its stream id adds the step's digest, so that
    a new step under a reused name finds no streams of the old one, and a generation,
    which increases each time the sample is regenerated.
    """

    __slots__ = ("_samples_per_group", "_seed", "_size", "prefix")

    def __init__(self, row_name, spec):
        self.prefix = f"{row_name}:{spec.step}:{spec.digest()}:"
        self._samples_per_group = spec.samples_per_group
        self._size = spec.sample_count
        self._seed = spec.seed

    def place(self, position):
        """Return ``(group, index)`` of a sample."""
        return divmod(position, self._samples_per_group)

    def stream(self, position, generation):
        """Return the id of a sample's stream."""
        return f"{self.prefix}{position}.{generation}"

    def seed(self, position, generation):
        """Return the seed of a stream, the same on every engine."""
        text = f"{self._seed}:{position}:{generation}"
        raw = hashlib.sha256(text.encode()).digest()[:6]
        return int.from_bytes(raw, "little")

    def parse(self, stream):
        """Return ``(position, generation)`` of a stream id, or None for other steps."""
        if not stream.startswith(self.prefix):
            return None
        position, dot, generation = stream[len(self.prefix) :].partition(".")
        if not (dot and position.isdecimal() and generation.isdecimal()):
            return None
        if int(position) >= self._size:
            return None
        return int(position), int(generation)
