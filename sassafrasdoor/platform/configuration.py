"""Parses the records that operators, trainers and replicas write to the store."""

import ipaddress
import re

from sassafrasdoor.decisions import note
from sassafrasdoor.documents import (
    MAX_INTEGER,
    integer_field,
    name_field,
    parse_object,
    typed_field,
)
from sassafrasdoor.metrics import counter
from sassafrasdoor.routing.replicas import Listing
from sassafrasdoor.security import key_hash
from sassafrasdoor.table.accounts import Account, Accounts
from sassafrasdoor.table.routes import Configuration, Limits, Repeat, Route, Scaling

OPERATOR_TOPIC = "keyed.op"
SERVERS_TOPIC = "keyed.servers"
CONFIGURATION_KEY = "config"
VERSION_KEY_PREFIX = "version/"
DEFAULT_TIMEOUT_MS = 10_000
DEFAULT_RETENTION_S = 40.0
_SEQUENCE_FIELD = re.compile(rb'"Sequence":\s*\d+')
# Requests of other kinds are run at most once, except for resumable streams.
REPEAT_BY_KIND = {"safe": Repeat.SAFE, "rollout": Repeat.STEP}
STREAMING = "streaming"
# Raised for malformed records, which other programs may have written.
PARSE_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)
MAX_LOGGED_REASON_LENGTH = 200  # characters
MAX_PORT = 65535
MAX_SLOTS = 65535  # of one replica
MAX_MODELS = 1000  # of one replica
# A replica's identity is sent in a header and is part of a key in the log.
_IDENTITY = re.compile(r"[!-~]{1,200}")
_PORT = re.compile(r"[1-9][0-9]{0,4}")

UNREADABLE_RECORDS = counter(
    "platform_records_unreadable_total", "Keyed records that cannot be used, by topic."
)


def parse_configuration(document):
    """Return the ``Configuration`` of a document.

    Raises ``KeyError``, ``TypeError`` or ``ValueError`` if it is malformed.
    """
    models = {
        service["Name"]: [
            model["Name"] for model in service["Engine"].get("Models", ())
        ]
        for service in document["Services"]
        if service.get("Engine")
    }
    limits = document.get("Limits") or {}
    return Configuration(
        int(document["Version"]),
        [_parse_route(route) for route in document["Routes"]],
        models,
        Limits(
            int(limits.get("MaxHeaderBytes", 16384)),
            int(limits.get("MaxBodyBytes", 33554432)),
            limits.get("IdleTimeoutMs", 15000) / 1000,
        ),
        _parse_accounts(document.get("Tenants")),
        _parse_scaling(document["Services"]),
        _parse_engine_memory(document["Services"]),
    )


def _parse_engine_memory(services):
    """Return the tokens that an engine's memory holds, by service that states them."""
    return {
        service["Name"]: int(service["Engine"]["KvCacheTokens"])
        for service in services
        if service.get("Engine") and service["Engine"].get("KvCacheTokens")
    }


def _parse_scaling(services):
    """Return the ``Scaling`` by service of those whose replicas may be ordered."""
    return {
        service["Name"]: Scaling(
            int(service["Scaling"].get("Min", 0)),
            int(service["Scaling"]["Max"]),
            service["Scaling"].get("SpotPrice"),
        )
        for service in services
        if service.get("Scaling")
    }


def _parse_accounts(rows):
    """Return the ``Accounts`` of a configuration, or None if it has none."""
    if rows is None:
        return None
    return Accounts(
        [
            Account(
                typed_field(row, "Name", str),
                map(key_hash, typed_field(row, "ApiKeys", list)),
                row.get("Priority"),
            )
            for row in rows
        ]
    )


def _parse_route(document):
    services = [(document["Service"], 1)] if document.get("Service") else []
    services += [
        (share["Service"], share["Weight"])
        for share in document.get("TrafficSplit") or ()
    ]
    timeout = (document.get("TimeoutMs") or DEFAULT_TIMEOUT_MS) / 1000
    return Route(
        name=document["Name"],
        host=document["Host"].lower(),
        prefix=document["PathPrefix"],
        repeat=_repeat_policy(document),
        streams=document["Kind"] == STREAMING,
        services=services,
        timeout=timeout,
        target=(document.get("TargetLatencyMs") or timeout * 1000) / 1000,
        attempts=max(1, document.get("MaxAttempts") or 1),
        due_after=document["RunDeadlineMs"] / 1000
        if document.get("RunDeadlineMs")
        else None,
        keep_for=float(document.get("RetentionS") or DEFAULT_RETENTION_S),
        public=bool(document.get("Public")),
        priority=int(document.get("Priority") or 0),
        one_version=bool(document.get("SingleVersion")),
    )


def _repeat_policy(document):
    if document["Kind"] == STREAMING and document.get("Resumable"):
        return Repeat.RESUME
    return REPEAT_BY_KIND.get(document["Kind"], Repeat.ONCE)


def parse_listing(document):
    """Return the ``Listing`` of a replica's entry.

    Raises ``KeyError``, ``TypeError`` or ``ValueError`` if it is malformed. Other
    programs may write entries; one that is only partly understood would direct requests
    to an address at which no replica listens.
    """
    return Listing(
        name_field(document, "Service"),
        _address_field(document, "Address"),
        name_field(document, "Zone"),
        integer_field(document, "Slots", 1, MAX_SLOTS),
        _IS_DRAINING[typed_field(document, "State", str)],
        _parse_models(typed_field(document, "Models", list, [])),
        integer_field(document, "born", 0, MAX_INTEGER, 0),
        bool(document.get("Spot")),
    )


def _address_field(document, name):
    """Return the address of a server: an IPv4 address and a port."""
    address = name_field(document, name)
    host, _, port = address.rpartition(":")
    ipaddress.IPv4Address(host)
    if not _PORT.fullmatch(port) or int(port) > MAX_PORT:
        raise ValueError(f"{name} {address!r}")
    return address


def _parse_models(models):
    if len(models) > MAX_MODELS:
        raise ValueError(f"{len(models)} Models")
    return {
        name_field(model, "Name"): integer_field(model, "Version", 0, MAX_INTEGER)
        for model in models
    }


# By state, whether a replica gets no new work.
_IS_DRAINING = {"ready": False, "draining": True}


class OperatorTopicReader:
    """Applies the configurations and named versions in the operator topic."""

    __slots__ = ("_on_named_version", "_routes")

    def __init__(self, routes, named):
        self._routes = routes
        self._on_named_version = named

    def apply(self, key, value):
        """Apply the newest value of a key; malformed ones are logged and ignored."""
        key = key.removeprefix("op/")
        if not value:
            return
        try:
            document = parse_object(value)
            if key == CONFIGURATION_KEY:
                self._routes.take(parse_configuration(document))
            elif key.startswith(VERSION_KEY_PREFIX):
                model = name_field(document, "Model")
                version = integer_field(document, "Version", 0, MAX_INTEGER)
                self._on_named_version(model, version)
        except PARSE_ERRORS as error:
            UNREADABLE_RECORDS.inc({"topic": OPERATOR_TOPIC})
            if key == CONFIGURATION_KEY:
                self._routes.mark_unreadable()
            note(
                "operator.record_unreadable",
                key=key,
                reason=repr(error)[:MAX_LOGGED_REASON_LENGTH],
            )


class ServersTopicReader:
    """Applies the list of replicas in the servers topic."""

    __slots__ = ("_replicas", "_last_entries")

    def __init__(self, replicas):
        self._replicas = replicas
        self._last_entries = {}

    def apply(self, key, value):
        """Apply the newest entry of a replica; an empty one removes the replica.

        A malformed entry is logged, and the replica gets no requests.
        """
        identity = key.removeprefix("servers/")
        if not value:
            self._last_entries.pop(identity, None)
            self._replicas.remove_listing(identity)
            return
        # Nearly every record is a heartbeat in which only the sequence number differs.
        # Parsing all of them would take most of an idle instance's CPU time.
        entry_without_sequence = _SEQUENCE_FIELD.sub(b"", value)
        if self._last_entries.get(identity) == entry_without_sequence:
            return
        self._last_entries[identity] = entry_without_sequence
        try:
            listing = _parse_entry(identity, value)
        except PARSE_ERRORS as error:
            UNREADABLE_RECORDS.inc({"topic": SERVERS_TOPIC})
            reason = repr(error)[:MAX_LOGGED_REASON_LENGTH]
            note(
                "replica.entry_unreadable",
                replica=identity[:MAX_LOGGED_REASON_LENGTH],
                reason=reason,
            )
            self._replicas.discard(identity)
            return
        self._replicas.update_listing(identity, listing)


def _parse_entry(identity, value):
    if not _IDENTITY.fullmatch(identity):
        raise ValueError("identity")
    return parse_listing(parse_object(value))
