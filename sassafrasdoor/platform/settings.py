"""Loads and validates the platform's settings file.

The product's other settings are JSON validated by pydantic. Importing pydantic would
take much of this program's start-up time and memory, so this module does not use it.
"""

import os

from sassafrasdoor.callers.budget import DEFAULTS, CallerLimits
from sassafrasdoor.outcomes import Finding, Rejected
from sassafrasdoor.routing.instances import InstanceLocation

PATH_VARIABLE = "SASSAFRASDOOR_BOOT"
REQUIRED = (
    "NodeName",
    "Zone",
    "Region",
    "Ip",
    "Listen.Front",
    "Listen.Ready",
    "Platform.Address",
)
ADDRESSES = (
    "Listen.Front",
    "Listen.Ready",
    "Listen.Control",
    "Listen.Directory",
    "Platform.Address",
    "Cloud.Address",
)
# Values of the settings that a platform leaves out, from its documentation.
NUMBER_DEFAULTS = {
    "Bounds.ConfigApplyMs": 2000.0,
    "Bounds.GraceS": 8.0,
    "Bounds.LeaseMs": 3000.0,
    "Bounds.ReportWindowS": 5.0,
    "Bounds.RevokeMs": 5000.0,
    "Bounds.UsageLateS": 10.0,
    "Bounds.StatusS": 120.0,
    "HeartbeatMs": 1200.0,
    "Platform.RecordBytes": 262144.0,
    "Platform.parts": 12.0,
    "Platform.ReadsPerS": 2000.0,
    "Platform.ReadMbS": 80.0,
    "Limits.CpuShare": 1.0,
    "Limits.Cores": 1.0,
    "Limits.MemoryMb": 0.0,
    "Limits.MaxFds": 0.0,
}


# Settings of what is held for callers: the field of ``CallerLimits`` and its unit.
CALLER_SETTINGS = {
    "Callers.ProcessMb": ("process_bytes", 1e6),
    "Callers.MemoryShare": ("memory_share", 1),
    "Callers.LeastShare": ("least_share", 1),
    "Callers.UnfreedShare": ("unfreed_share", 1),
    "Callers.DescriptorShare": ("descriptor_share", 1),
    "Callers.ReservedFds": ("reserved_descriptors", 1),
    "Callers.AnswerShare": ("answer_share", 1),
    "Callers.HeadShare": ("head_share", 1),
    "Callers.ReservedShare": ("reserved_share", 1),
    "Callers.ProgressKb": ("progress_bytes", 1024),
    "Callers.StallMs": ("stall_time", 1e-3),
    "Callers.AnswerStallMs": ("answer_stall_time", 1e-3),
}
NUMBER_DEFAULTS |= {
    key: DEFAULTS[name] / unit for key, (name, unit) in CALLER_SETTINGS.items()
}

# Settings that a running process applies when the file changes: bounds that are read at
# each use. Addresses, the location and the number of partitions change only at a start.
RELOADABLE = (
    "config_apply",
    "fail_closed",
    "fenced",
    "lease",
    "read_bytes_per_second",
    "reads_per_second",
    "results_kept",
    "revoke_within",
    "stop_within",
)
# Parts of the handling of hard load that an operator may switch off.
PARTS = (
    "buffers",
    "load-exchange",
    "overload",
    "pace",
    "prompts",
    "subsets",
    "trainer-shares",
)
POSITIVE = ("Bounds.ReportWindowS",)
# Not compared with a changed file: options of the program may have set them.
NOT_IN_FILE = {"disabled_parts", "has_load_control", "instance"}
# In ``Contracts``, of deployments whose callers press for more than there is.
PRESSURE = "pressure"
PORT_RANGE = "PortRange"
MAX_PORT = 65535
MIN_PARTITIONS = 2  # one for the steps, one for the weights lease


class PlatformSettings:
    """Addresses to listen on, the platform's store and its bounds (seconds, bytes).

    ``control``: address that other instances call, empty if none; ``peers``: control
    addresses of other instances. ``instance``: name and location of this one.

    ``disabled_parts``: names of ``PARTS`` that are switched off.
    ``has_load_control``: whether they apply to all services; else they apply to those
    whose replicas report how long work takes there.
    ``config_apply``: time within which a new configuration must be in force.
    ``revoke_within``: time within which a key that was taken away must be refused;
    ``fail_closed``: whether that holds for instances that cannot know of it too.
    ``duties_address``: address for the duties named in ``duties``, empty if none.
    ``usage_window``, ``usage_due``: length of a window of the usage report, and the time
    after its end within which its report is due.
    ``stop_within``: longest duration of a planned stop.
    ``fenced``: whether replicas check fencing tokens; if not, ``lease`` is the time
    that must pass between two holders of a lease.
    ``heartbeat``: time between two heartbeats of a replica.
    ``reads_per_second``, ``read_bytes_per_second``: the store's limits for all
    instances together.
    ``results_kept``: time after a step's submission for which its samples are readable.
    ``cores``: processor cores of the instance, which may be a fraction.
    ``caller_limits``: ``CallerLimits`` by the memory and descriptors of the process.
    ``port_range``: lowest and highest port for traffic between instances, None if none.
    """

    __slots__ = (
        "caller_limits",
        "config_apply",
        "control",
        "cores",
        "directory",
        "disabled_parts",
        "duties",
        "duties_address",
        "fail_closed",
        "fenced",
        "front",
        "has_load_control",
        "heartbeat",
        "instance",
        "lease",
        "name",
        "partitions",
        "peers",
        "port_range",
        "read_bytes_per_second",
        "reads_per_second",
        "ready",
        "record_bytes",
        "results_kept",
        "revoke_within",
        "stop_within",
        "store",
        "usage_due",
        "usage_window",
    )

    def take_over(self, other):
        """Apply the reloadable values; return the names applied and those deferred."""
        changed = [
            name
            for name in self.__slots__
            if name not in NOT_IN_FILE and getattr(self, name) != getattr(other, name)
        ]
        applied = [name for name in changed if name in RELOADABLE]
        for name in applied:
            setattr(self, name, getattr(other, name))
        return applied, [name for name in changed if name not in RELOADABLE]


def file_signature(path):
    """Return a value that changes when the file is written, or None without a file."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino


def parse_lines(text):
    """Return the mapping in lines ``a.b=value``; other lines are ignored."""
    pairs = (line.partition("=") for line in text.splitlines())
    return {key.strip(): value.strip() for key, sep, value in pairs if sep}


def load(path):
    """Return ``PlatformSettings`` from the file at ``path``, or ``Rejected``."""
    try:
        with open(path, encoding="utf-8") as file:
            fields = parse_lines(file.read())
    except OSError as error:
        return Rejected("settings unreadable", [Finding(str(path), error.strerror)])
    return from_fields(fields)


def from_fields(fields):
    """Return ``PlatformSettings``, or ``Rejected`` with all findings."""
    findings = [Finding(key, "missing") for key in REQUIRED if not fields.get(key)]
    numbers = {}
    for key, default in NUMBER_DEFAULTS.items():
        try:
            numbers[key] = float(fields.get(key) or default)
        except ValueError:
            findings.append(Finding(key, "not a number"))
    findings += [
        Finding(key, "must be positive")
        for key in POSITIVE
        if numbers.get(key, 1.0) <= 0.0
    ]
    findings += [
        Finding(key, "must be between 0 and 1")
        for key in CALLER_SETTINGS
        if key.endswith("Share") and not 0.0 <= numbers.get(key, 0.0) <= 1.0
    ]
    if numbers.get("Platform.parts", MIN_PARTITIONS) < MIN_PARTITIONS:
        findings.append(Finding("Platform.parts", f"below {MIN_PARTITIONS}"))
    for key in ADDRESSES:
        value = fields.get(key)
        if value and not value.rpartition(":")[2].isdigit():
            findings.append(Finding(key, "not an address host:port"))
    if fields.get(PORT_RANGE) and _port_range(fields) is None:
        findings.append(Finding(PORT_RANGE, "not two ports LOW,HIGH"))
    if findings:
        return Rejected("settings invalid", findings)
    return _build_settings(fields, numbers)


def _port_range(fields):
    """Return ``(low, high)``, or None if absent or malformed."""
    ports = [port.strip() for port in fields.get(PORT_RANGE, "").split(",")]
    if len(ports) != 2 or not all(port.isdecimal() for port in ports):
        return None
    low, high = map(int, ports)
    return (low, high) if 0 < low <= high <= MAX_PORT else None


def _build_settings(fields, numbers):
    settings = PlatformSettings()
    settings.name = fields["NodeName"]
    settings.disabled_parts = frozenset()
    settings.has_load_control = PRESSURE in fields.get("Contracts", "").split(",")
    settings.front = fields["Listen.Front"]
    settings.ready = fields["Listen.Ready"]
    settings.directory = fields.get("Listen.Directory", "")
    settings.control = fields.get("Listen.Control", "")
    seeds = [address for address in fields.get("Seeds", "").split(",") if address]
    settings.peers = [address for address in seeds if address != settings.control]
    settings.store = fields["Platform.Address"]
    settings.config_apply = numbers["Bounds.ConfigApplyMs"] / 1000
    settings.stop_within = numbers["Bounds.GraceS"]
    settings.lease = numbers["Bounds.LeaseMs"] / 1000
    settings.fenced = fields.get("Bounds.RequireFencing", "").lower() == "true"
    settings.fail_closed = fields.get("Bounds.FailClosed", "").lower() == "true"
    settings.revoke_within = numbers["Bounds.RevokeMs"] / 1000
    settings.duties_address = fields.get("Cloud.Address", "")
    duties = fields.get("Cloud.Duties", "") if settings.duties_address else ""
    settings.duties = [duty for duty in duties.split(",") if duty]
    settings.usage_window = numbers["Bounds.ReportWindowS"]
    settings.usage_due = numbers["Bounds.UsageLateS"]
    settings.heartbeat = numbers["HeartbeatMs"] / 1000
    settings.results_kept = numbers["Bounds.StatusS"]
    settings.record_bytes = int(numbers["Platform.RecordBytes"])
    settings.reads_per_second = max(1.0, numbers["Platform.ReadsPerS"])
    settings.read_bytes_per_second = max(1.0, numbers["Platform.ReadMbS"]) * 1e6
    settings.cores = numbers["Limits.CpuShare"] * numbers["Limits.Cores"]
    settings.caller_limits = CallerLimits(
        memory_bytes=int(numbers["Limits.MemoryMb"] * 1e6),
        descriptors=int(numbers["Limits.MaxFds"]),
        **{name: numbers[key] * unit for key, (name, unit) in CALLER_SETTINGS.items()},
    )
    settings.port_range = _port_range(fields)
    settings.partitions = int(numbers["Platform.parts"])
    settings.instance = InstanceLocation(
        name=settings.name,
        host=fields["Ip"],
        availability_zone=fields["Zone"],
        region=fields["Region"],
    )
    return settings
