"""The messages of ``control.capnp`` to and from the classes of ``view``."""

import pathlib

import capnp

from sassafrasdoor.clock import deadline_in, now, remaining
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
    """Return the mappings of grants, with the time that each has left."""
    return [
        {
            "row": row,
            "slots": grant.slots,
            "remainingMs": int(remaining(grant.deadline) * 1000),
        }
        for row, grant in sorted(grants.items())
    ]


def grants_from(messages):
    """Return grants by row; each deadline is counted from now."""
    return {
        message.row: Grant(message.slots, deadline_in(message.remainingMs / 1000))
        for message in messages
    }


def demand_messages(demand):
    """Return the mappings of wanted slots by row."""
    return [{"row": row, "slots": slots} for row, slots in sorted(demand.items())]


def demand_from(messages):
    """Return wanted slots by row."""
    return {message.row: message.slots for message in messages}


def age_fields(confirmed_at):
    """Return the mapping of a confirmation time (None: never confirmed)."""
    if confirmed_at is None:
        return {"confirmed": False, "confirmedAgeMs": 0}
    return {"confirmed": True, "confirmedAgeMs": int((now() - confirmed_at) * 1000)}


def confirmed_at_from(message):
    """Return the monotonic time of the confirmation, or None."""
    return now() - message.confirmedAgeMs / 1000 if message.confirmed else None
