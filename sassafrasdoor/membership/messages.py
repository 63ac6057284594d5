"""Datagrams: packed ``gossip.capnp`` messages with MACs."""

import pathlib

import capnp
from cachetools import LRUCache, cached

from sassafrasdoor.membership import order
from sassafrasdoor.peers import proof
from sassafrasdoor.view import Member

SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("gossip.capnp")))
Kind = SCHEMA.Kind

# Fits one Ethernet frame: a fragmented datagram is lost if any fragment is.
MAX_DATAGRAM_BYTES = 1400
# The part of a datagram for updates; the rest is for the header and two MACs.
MAX_UPDATES_BYTES = 1000
UPDATE_OVERHEAD_BYTES = 50
SEGMENT_COUNT_MASK = 0x0F
# A member handles each update some ten times; encoding one takes 75 µs.
UPDATE_CACHE_SIZE = 2048
# Incarnations start at wall-clock milliseconds, far below this. A member that
# refutes an update takes its incarnation plus one; above 64 bits it could not be
# encoded and the member could send nothing any more.
MAX_INCARNATION = 1 << 62


class Malformed(ValueError):
    """The datagram is not a valid message."""


class Forged(ValueError):
    """The datagram carries no valid MAC."""


def encode(keys, **fields):
    """Return the datagram of one message."""
    body = SCHEMA.Message.new_message(**fields).to_bytes_packed()
    macs = proof.sign_with_all(keys, body)
    return bytes([len(macs)]) + macs + body


def decode(keys, datagram):
    """Return the message in a datagram; raises ``Malformed`` or ``Forged``."""
    if not datagram or datagram[0] >= len(datagram):
        raise Malformed("datagram without a body")
    body_start = 1 + datagram[0]
    body = datagram[body_start:]
    if not proof.is_signed(keys, body, datagram[1:body_start]):
        raise Forged("datagram without a valid MAC")
    # A message starts with its segment count less one; in packed form the low bits
    # of the first byte mark the nonzero bytes of that count. If a segment after the
    # first is missing, the reader raises from its destructor, which aborts the
    # process. We send one segment, so messages with more are refused unread.
    if not body or body[0] & SEGMENT_COUNT_MASK:
        raise Malformed("message of more than one segment")
    try:
        return SCHEMA.Message.from_bytes_packed(body)
    except (capnp.KjException, ValueError) as error:
        raise Malformed(type(error).__name__) from error


@cached(
    LRUCache(UPDATE_CACHE_SIZE),
    key=lambda member: (member.name, order.sort_key(member)),
)
def encode_update(member):
    """Return the bytes of an update."""
    return SCHEMA.Update.new_message(
        name=member.name,
        incarnation=member.incarnation,
        state=order.RANK[member.state],
        zone=member.availability_zone,
        region=member.region,
        gossip=member.gossip_address,
        control=member.control_address,
        entry=member.entry_address,
        peer=member.peer_address,
    ).to_bytes()


@cached(LRUCache(UPDATE_CACHE_SIZE))
def decode_update(data):
    """Return the ``Member`` in an update; raises like ``decode``, or KeyError."""
    with SCHEMA.Update.from_bytes(data) as message:
        if message.incarnation > MAX_INCARNATION:
            raise Malformed("incarnation out of range")
        return _to_member(message)


def _to_member(message):
    return Member(
        message.name,
        incarnation=message.incarnation,
        availability_zone=message.zone,
        region=message.region,
        state=order.STATES[message.state],
        gossip_address=message.gossip,
        control_address=message.control,
        entry_address=message.entry,
        peer_address=message.peer,
    )


def encoded_size(member):
    """Return the approximate encoded size of an update in bytes."""
    return (
        UPDATE_OVERHEAD_BYTES
        + len(member.name)
        + len(member.availability_zone)
        + len(member.region)
        + len(member.gossip_address)
        + len(member.control_address)
        + len(member.entry_address)
        + len(member.peer_address)
    )


def chunks(members):
    """Yield lists of members, each of which fits one datagram; at least one list."""
    chunk, size = [], 0
    for member in members:
        if chunk and size + encoded_size(member) > MAX_UPDATES_BYTES:
            yield chunk
            chunk, size = [], 0
        chunk.append(member)
        size += encoded_size(member)
    yield chunk
