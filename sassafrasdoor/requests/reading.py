"""Parses and validates the headers, deadline and body of callers' requests."""

import uuid

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from sassafrasdoor.callers.decoding import element_count
from sassafrasdoor.clock import deadline_in
from sassafrasdoor.headers import HOP_BY_HOP_HEADERS
from sassafrasdoor.outcomes import Finding, Rejected, findings_of
from sassafrasdoor.requests import messages
from sassafrasdoor.requests.messages import Request, keyed_request_id

MAX_KEY_LENGTH = 256
MAX_DEADLINE_DIGITS = 12
MAX_TOKENS = 1_000_000
MAX_ELEMENTS = 64  # objects, lists and elements of a body to generate
REPEATABLE = {"": True, "yes": True, "no": False}

# Headers of one connection or addressed to this service, not sent to backend servers.
NOT_FORWARDED = HOP_BY_HOP_HEADERS | {"authorization", "x-deadline-ms", "x-repeatable"}
# Headers of an answer that this HTTP server sets itself.
NOT_RETURNED = NOT_FORWARDED | {"date", "server"}


class GenerateBody(BaseModel):
    """The body of ``POST /v1/generate/{row}``."""

    model_config = ConfigDict(extra="forbid", strict=True)

    prompt: str = Field(min_length=1)
    max_tokens: int = Field(gt=0, le=MAX_TOKENS)
    stream: bool = False


def generate_body(body):
    """Return the ``GenerateBody`` in JSON bytes, or ``Rejected``."""
    # The parser would list each unknown field, and take memory for it.
    if element_count(body, MAX_ELEMENTS) > MAX_ELEMENTS:
        return Rejected("the body is invalid", [Finding("(root)", "too many elements")])
    try:
        return GenerateBody.model_validate_json(body)
    except ValidationError as error:
        return Rejected("the body is invalid", findings_of(error))


def request_from(settings, row, http, body, **fields):
    """Return the ``Request`` in a Tornado request of ``row``, or ``Rejected``."""
    findings = []
    deadline = _deadline(settings, http.headers.get("X-Deadline-Ms", ""), findings)
    key = http.headers.get("Idempotency-Key", "")
    if len(key) > MAX_KEY_LENGTH or not key.isascii():
        findings.append(Finding("Idempotency-Key", "too long, or not ASCII"))
    repeatable_text = http.headers.get("X-Repeatable", "").lower()
    if repeatable_text not in REPEATABLE:
        findings.append(Finding("X-Repeatable", "neither yes nor no"))
    if findings:
        return Rejected("the headers are invalid", findings)
    return Request(
        http.method,
        headers=_forwarded(http.headers),
        body=body,
        key=key,
        # A caller cannot make requests of a non-repeatable row repeatable.
        repeatable=row.repeatable and REPEATABLE[repeatable_text],
        request_id=keyed_request_id(row.name, key) if key else f"r-{uuid.uuid4().hex}",
        deadline=deadline,
        **fields,
    )


def returned_headers(headers):
    """Return the header pairs of a backend server's answer to send to the caller."""
    pairs = messages.header_pairs(headers)
    return [pair for pair in pairs if pair[0].lower() not in NOT_RETURNED]


def _deadline(settings, text, findings):
    """Return the deadline, limited so that no run outlives the record of its key."""
    requests = settings.requests
    if not text:
        return deadline_in(requests.default_deadline)
    if not text.isdecimal() or len(text) > MAX_DEADLINE_DIGITS:
        findings.append(Finding("X-Deadline-Ms", "not a number of milliseconds"))
        return None
    return deadline_in(min(int(text) / 1000, requests.key_lifetime / 2))


def _forwarded(headers):
    named = {name.strip().lower() for name in headers.get("Connection", "").split(",")}
    dropped = NOT_FORWARDED | named
    return {
        name: value for name, value in headers.items() if name.lower() not in dropped
    }
