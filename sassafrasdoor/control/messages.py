"""Converts messages of ``control.capnp`` to and from the classes of ``view``."""

import math
import pathlib

import capnp

from sassafrasdoor.admission.grants import GrantSet, Report, Usage
from sassafrasdoor.clock import now, remaining
from sassafrasdoor.view import Backend, Grant, Member, State

SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("control.capnp")))


def member_message(member):
    """Return the mapping of a ``Member``."""
    return {
        "name": member.name,
        "incarnation": member.incarnation,
        "availabilityZone": member.availability_zone,
        "region": member.region,
        "state": member.state.value,
        "gossipAddress": member.gossip_address,
        "controlAddress": member.control_address,
        "entryAddress": member.entry_address,
        "peerAddress": member.peer_address,
    }


def member_from(message):
    """Return the ``Member`` in a message."""
    return Member(
        message.name,
        incarnation=message.incarnation,
        availability_zone=message.availabilityZone,
        region=message.region,
        state=State(message.state),
        gossip_address=message.gossipAddress,
        control_address=message.controlAddress,
        entry_address=message.entryAddress,
        peer_address=message.peerAddress,
    )


def backend_message(backend):
    """Return the mapping of a ``Backend``."""
    return {
        "name": backend.name,
        "address": backend.address,
        "kind": backend.kind.value,
        "service": backend.service,
        "availabilityZone": backend.availability_zone,
        "region": backend.region,
        "capacity": backend.capacity,
        "checksFencing": backend.checks_fencing,
        "models": list(backend.models),
        "state": backend.state.value,
    }


def backend_from(message):
    """Return the ``Backend`` in a message."""
    return Backend(
        message.name,
        message.address,
        message.kind,
        message.service,
        availability_zone=message.availabilityZone,
        region=message.region,
        capacity=message.capacity,
        checks_fencing=message.checksFencing,
        models=list(message.models),
        state=message.state,
    )


def weights_messages(weights):
    """Return the mappings of newest versions by model."""
    return [
        {"model": model, "version": version}
        for model, version in sorted(weights.items())
    ]


def weights_from(messages):
    """Return newest versions by model."""
    return {message.model: message.version for message in messages}


def grant_messages(grants):
    """Return the mappings of grants for an entry on the same machine."""
    return [
        {
            "row": row,
            "slots": grant.slots,
            "fallback": grant.fallback,
            "number": grant.number,
            "deadline": grant.deadline,
        }
        for row, grant in sorted(grants.items())
    ]


def grants_from(messages):
    """Return grants by row."""
    return {
        message.row: Grant(
            message.slots, message.deadline, message.fallback, message.number
        )
        for message in messages
    }


def report_message(report):
    """Return the mapping of a ``Report``."""
    return {
        "instance": report.instance,
        "life": report.life,
        "number": report.number,
        "rows": [
            {
                "row": row,
                "wanted": usage.wanted,
                "inUse": usage.in_use,
                "fallback": usage.fallback,
            }
            for row, usage in report.rows.items()
        ],
    }


def report_from(message):
    """Return the ``Report`` in a message."""
    rows = {
        usage.row: Usage(usage.wanted, usage.inUse, usage.fallback)
        for usage in message.rows
    }
    return Report(message.instance, message.life, message.number, rows)


def grant_set_message(grants):
    """Return the mapping of a ``GrantSet`` for another machine."""
    return {
        "number": grants.number,
        "remainingMs": int(remaining(grants.deadline) * 1000),
        "fallbackMs": int(remaining(grants.fallback_deadline) * 1000),
        "rows": [
            {"row": row, "slots": slots, "fallback": grants.fallback.get(row, 0)}
            for row, slots in grants.slots.items()
        ],
    }


def grant_set_from(message, sent_at):
    """Return the ``GrantSet`` in the reply to a report sent at ``sent_at``.

    Deadlines count from when the report was sent: with a delayed reply, slots would
    otherwise remain in use here after they have been granted to others.
    """
    return GrantSet(
        message.number,
        sent_at + message.remainingMs / 1000,
        sent_at + message.fallbackMs / 1000,
        {row.row: row.slots for row in message.rows},
        {row.row: row.fallback for row in message.rows},
    )


def age_fields(confirmed_at):
    """Return the fields of a confirmation time (None: never confirmed)."""
    if confirmed_at is None:
        return {"confirmed": False, "confirmedAgeMs": 0}
    return {
        "confirmed": True,
        "confirmedAgeMs": math.ceil((now() - confirmed_at) * 1000),
    }


def confirmed_at_from(message, sent_at):
    """Return the monotonic time of the confirmation in a reply, or None.

    Its age counts from ``sent_at``, when the call was sent. The reply was written later,
    but for how long it was under way is not known.
    """
    return sent_at - message.confirmedAgeMs / 1000 if message.confirmed else None
