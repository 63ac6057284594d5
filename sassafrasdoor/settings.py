"""Settings: a JSON file over the ``DEFAULT`` mapping, validated as a whole.

``load`` merges the file over ``DEFAULT`` and returns ``Settings`` or a
``Rejected`` with every finding and its place. ``docs/SETTINGS.md`` lists all
settings. Durations are in seconds; code converts them to deadlines immediately.
"""

import json
from enum import StrEnum
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from sassafrasdoor.outcomes import Finding, Rejected, findings_of
from sassafrasdoor.security import tls_findings

DEFAULT = {
    "instance": {
        "name": "entry-1",
        "availability_zone": "zone-a",
        "region": "region-1",
        "host": "127.0.0.1",
        "entry_port": 0,
        "control_port": 0,
        "peer_port": 0,
        "gossip_port": 0,
    },
    "limits": {
        "memory_mb": 0,
        "descriptors": 0,
        "process_mb": 112,
        "memory_share": 0.3,
        "unfreed_share": 0.05,
        "descriptor_share": 0.75,
        "reserved_descriptors": 200,
        "answer_share": 0.5,
        "head_share": 0.25,
        "reserved_share": 0.1,
        "progress_kb": 16,
        "stall_time": 0.25,
        "answer_stall_time": 2.0,
    },
    "platform": {
        "log_url": "http://127.0.0.1:7400",
        "instances_url": "http://127.0.0.1:7400",
        "agreed_stream": "agreed",
        "poll_interval": 0.5,
        "call_timeout": 2.0,
        "checkpoint_every": 200,
        "checkpoint_interval": 600.0,
    },
    "membership": {
        "seeds": [],
        "probe_interval": 1.0,
        "probe_timeout": 0.3,
        "suspicion_timeout": 4.0,
        "indirect_probes": 3,
        "gossip_interval": 0.2,
        "gossip_fanout": 3,
        "remote_share": 0.1,
        "compare_interval": 5.0,
        "reconnect_interval": 10.0,
        "silence_timeout": 600.0,
        "pollers_per_zone": 3,
        "peer_keys": [],
    },
    "table": {"unconfirmed_grace": 600.0},
    "lease": {"duration": 6.0, "renew_interval": 2.0},
    "weights": {
        "store_concurrency": 32,
        "order_timeout": 10.0,
        "confirm_timeout": 3.0,
        "check_interval": 15.0,
        "retry_interval": 0.5,
        "retry_limit": 8.0,
        "serving_share": {"staleness": 0.5, "idle": 0.8},
    },
    "routing": {
        "load_interval": 0.5,
        "subset_size": 24,
        "discovery_valid": 5.0,
        "discovery_size": 4,
        "suspect_backend_for": 2.0,
    },
    "admission": {
        "queue_size": 256,
        "grant_duration": 3.0,
        "fallback_duration": 600.0,
        "overhang": 30.0,
        "strict_capacity": False,
        "retry_budget": 0.1,
    },
    "requests": {
        "body_limit": 4_000_000,
        "first_byte_timeout": 10.0,
        "gap_timeout": 5.0,
        "key_lifetime": 600.0,
        "claim_streams": 4,
        "default_deadline": 30.0,
    },
    "steps": {
        "fetch_wait": 10.0,
        "attach_idle": 15.0,
        "view_confirm": 5.0,
        "batch_size": 128,
        "flush_interval": 0.5,
        "stragglers": "move",
    },
    "drain": {"deadline": 60.0, "spread": 3.0},
    "tls": {"certificate": "", "private_key": "", "ca_certificate": ""},
}


class Section(BaseModel):
    """A part of the settings; unknown keys are findings."""

    # 1e999 is valid JSON and parses as infinity, which cannot be used as a deadline.
    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)


class InstanceSettings(Section):
    """This instance: its name, location and ports (0: any free port)."""

    name: str = Field(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9_.-]+$")
    availability_zone: str = Field(min_length=1, max_length=64)
    region: str = Field(min_length=1, max_length=64)
    host: str
    entry_port: int = Field(ge=0, le=65535)
    control_port: int = Field(ge=0, le=65535)
    peer_port: int = Field(ge=0, le=65535)
    gossip_port: int = Field(ge=0, le=65535)


class LimitsSettings(Section):
    """What the entry process may take, and what of it its callers may.

    ``memory_mb`` and ``descriptors`` are those of the process, 0 if not stated.
    ``process_mb`` of the memory are for code and state. Of all of it callers may take
    ``memory_share``, and ``unfreed_share`` may beside that be left of connections that
    have ended; of the descriptors after ``reserved_descriptors`` they may take
    ``descriptor_share``. Of the callers' memory ``answer_share`` may be answers,
    ``head_share`` heads of many fields; ``reserved_share`` is kept from large bodies. A
    connection that has moved less than ``progress_kb`` for ``stall_time`` may be closed
    when room is needed, one with a ready answer for ``answer_stall_time``.
    """

    memory_mb: int = Field(ge=0)
    descriptors: int = Field(ge=0)
    process_mb: int = Field(ge=0)
    memory_share: float = Field(gt=0, le=1)
    unfreed_share: float = Field(gt=0, le=1)
    descriptor_share: float = Field(gt=0, le=1)
    reserved_descriptors: int = Field(ge=0)
    answer_share: float = Field(gt=0, le=1)
    head_share: float = Field(gt=0, le=1)
    reserved_share: float = Field(ge=0, lt=1)
    progress_kb: int = Field(gt=0)
    stall_time: float = Field(ge=0)
    answer_stall_time: float = Field(ge=0)


class PlatformSettings(Section):
    """Addresses of the platform's services and how they are called.

    ``checkpoint_interval`` must be well below half of the log's retention period.
    """

    log_url: str
    instances_url: str
    agreed_stream: str = Field(min_length=1)
    poll_interval: float = Field(gt=0)
    call_timeout: float = Field(gt=0)
    checkpoint_every: int = Field(gt=0)
    checkpoint_interval: float = Field(gt=0)


# An empty key would authenticate nothing, but look like a key in a settings file.
PeerKey = Annotated[str, Field(min_length=1, max_length=256)]


class MembershipSettings(Section):
    """Probing of other instances; ``seeds`` are gossip addresses host:port.

    ``probe_interval``: one member is probed per interval; in 1 s a round trip
    between regions and an indirect probe end before the next. ``probe_timeout``:
    well above the slowest round trip (3 ms one way) and a busy process's delay.
    ``suspicion_timeout``: time to refute; longer than a pause of the process,
    shorter than callers keep a discovery answer. ``gossip_interval`` and
    ``gossip_fanout``: updates reach 400 members in about a second.
    ``remote_share``: fraction of the probes and of the gossip that crosses regions.
    ``compare_interval``: rosters are compared at most once per interval.
    ``reconnect_interval``: time between attempts to reach a dead member or a seed.
    ``silence_timeout``: how long a region that no instance reaches stays suspect
    before it counts as dead; likewise all other members if none of them answers.
    ``pollers_per_zone``: instances of a zone that read the log directly.
    """

    seeds: list[str]
    probe_interval: float = Field(gt=0)
    probe_timeout: float = Field(gt=0)
    suspicion_timeout: float = Field(gt=0)
    indirect_probes: int = Field(ge=0)
    gossip_interval: float = Field(gt=0)
    gossip_fanout: int = Field(gt=0)
    remote_share: float = Field(ge=0, le=1)
    compare_interval: float = Field(gt=0)
    reconnect_interval: float = Field(gt=0)
    silence_timeout: float = Field(gt=0)
    pollers_per_zone: int = Field(gt=0)
    peer_keys: list[PeerKey] = Field(max_length=2, repr=False)


class TableSettings(Section):
    """How long a table stays usable while it is not confirmed."""

    unconfirmed_grace: float = Field(gt=0)


class LeaseSettings(Section):
    """Duration of a lease and the interval of its renewals."""

    duration: float = Field(gt=0)
    renew_interval: float = Field(gt=0)


class ServingShare(Section):
    """Share of a model's engines that serve while others swap, per preference."""

    staleness: float = Field(ge=0, lt=1)
    idle: float = Field(ge=0, lt=1)


class WeightsSettings(Section):
    """Rollout of weights: concurrent swaps, order timeout, checks and retries.

    A finished order must appear in the engine's own report within
    ``confirm_timeout``; every engine is read again after ``check_interval``; failed
    orders are retried after ``retry_interval``, doubled up to ``retry_limit``, with
    jitter.
    """

    store_concurrency: int = Field(gt=0)
    order_timeout: float = Field(gt=0)
    confirm_timeout: float = Field(gt=0)
    check_interval: float = Field(gt=0)
    retry_interval: float = Field(gt=0)
    retry_limit: float = Field(gt=0)
    serving_share: ServingShare


class RoutingSettings(Section):
    """Choice of backend servers and answers to discovery."""

    load_interval: float = Field(gt=0)
    subset_size: int = Field(gt=0)
    discovery_valid: float = Field(gt=0)
    discovery_size: int = Field(gt=0)
    suspect_backend_for: float = Field(gt=0)


class AdmissionSettings(Section):
    """Queues, leased quota and the retry budget.

    A grant lapses after ``grant_duration``, its fallback ``fallback_duration``
    later. Calls in progress at an instance that no longer reports are assumed to
    have ended after ``overhang``; until then they count against the capacity, which
    the backend servers enforce themselves, only with ``strict_capacity``.
    """

    queue_size: int = Field(gt=0)
    grant_duration: float = Field(gt=0)
    fallback_duration: float = Field(ge=0)
    overhang: float = Field(ge=0)
    strict_capacity: bool
    retry_budget: float = Field(ge=0)


class RequestsSettings(Section):
    """Applications' requests: bounds, timeouts and lifetime of keys.

    ``claim_streams`` must be the same on all instances and may change only while
    none runs: each key is claimed on one of these streams.
    """

    body_limit: int = Field(gt=0)
    first_byte_timeout: float = Field(gt=0)
    gap_timeout: float = Field(gt=0)
    key_lifetime: float = Field(gt=0)
    claim_streams: int = Field(gt=0, le=64)
    default_deadline: float = Field(gt=0)


class Stragglers(StrEnum):
    """How the last few samples of a step are handled."""

    OFF = "off"
    DUPLICATE = "duplicate"
    MOVE = "move"


class StepsSettings(Section):
    """Training steps: waits, attachment, batches of samples, stragglers."""

    fetch_wait: float = Field(gt=0)
    attach_idle: float = Field(gt=0)
    view_confirm: float = Field(gt=0)
    flush_interval: float = Field(ge=0)
    batch_size: int = Field(gt=0)
    stragglers: Stragglers


class DrainSettings(Section):
    """Planned stops: maximum wait for work, and time for the update to spread."""

    deadline: float = Field(gt=0)
    spread: float = Field(ge=0)


class TlsSettings(Section):
    """PEM files of the callers' listener; empty for plain TCP.

    ``ca_certificate`` is trusted by the operators' tools; empty: the certificate.
    """

    certificate: str
    private_key: str
    ca_certificate: str

    @property
    def trusted_ca_file(self):
        """The file to trust when calling instances; empty for plain TCP."""
        return self.ca_certificate or self.certificate


class Settings(Section):
    """All settings of one instance, passed whole."""

    instance: InstanceSettings
    limits: LimitsSettings
    platform: PlatformSettings
    membership: MembershipSettings
    table: TableSettings
    lease: LeaseSettings
    weights: WeightsSettings
    routing: RoutingSettings
    admission: AdmissionSettings
    requests: RequestsSettings
    steps: StepsSettings
    drain: DrainSettings
    tls: TlsSettings


def load(path, has_listener=False):
    """Return the ``Settings`` in the JSON file at ``path``, or ``Rejected``.

    With ``has_listener`` the files that a listener needs are checked too.
    """
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except OSError as error:
        return Rejected("settings unreadable", [Finding(str(path), error.strerror)])
    except ValueError as error:
        return Rejected("settings are not JSON", [Finding(str(path), str(error))])
    except RecursionError:
        return Rejected("settings are not JSON", [Finding(str(path), "too deep")])
    result = from_document(document)
    faults = _file_findings(document) if has_listener else []
    if faults:
        return Rejected("settings invalid", [*getattr(result, "findings", ()), *faults])
    return result


def _file_findings(document):
    """Return the findings for the files that the settings name."""
    try:
        tls = TlsSettings.model_validate(_merged(document)["tls"])
    except (ValidationError, AttributeError):
        return []  # ``from_document`` reports it.
    return tls_findings(tls)


def from_document(document):
    """Return ``Settings`` from a mapping merged over ``DEFAULT``, or ``Rejected``."""
    if not isinstance(document, dict):
        return Rejected("settings invalid", [Finding("(root)", "not an object")])
    try:
        return Settings.model_validate(_merged(document))
    except ValidationError as error:
        return Rejected("settings invalid", findings_of(error))


def _merged(document):
    merged = {name: dict(section) for name, section in DEFAULT.items()}
    for name, section in document.items():
        defaults = merged.get(name)
        if defaults is not None and isinstance(section, dict):
            defaults.update(section)
        else:
            merged[name] = section
    return merged
