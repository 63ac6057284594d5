"""Datagrams: sealed, packed ``gossip.capnp`` messages."""

import pathlib

import capnp
from cachetools import LRUCache, cached

from sassafrasdoor.membership import order
from sassafrasdoor.peers import proof
from sassafrasdoor.view import Member

SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("gossip.capnp")))
Kind = SCHEMA.Kind

# Fits one Ethernet frame; a longer datagram is lost whole with any fragment.
MAX_DATAGRAM = 1400
# What updates may take of it; the rest is for the head and two MACs.
UPDATES_SIZE = 1000
UPDATE_OVERHEAD = 50
SEGMENT_COUNT = 0x0F
# An update passes through a member some ten times; encoding one takes 75 µs.
CACHED_UPDATES = 2048
# Milliseconds of the wall clock, far above any: who is told of a later life of its
# own takes the next number, and beyond 64 bits could send nothing any more.
MAX_INCARNATION = 1 << 62


class Malformed(ValueError):
    """The datagram is no message of ours."""


class Forged(ValueError):
    """The datagram carries no valid MAC."""


def encode(keys, **fields):
    """Return the datagram of one message."""
    body = SCHEMA.Message.new_message(**fields).to_bytes_packed()
    seals = proof.seal(keys, body)
    return bytes([len(seals)]) + seals + body


def decode(keys, datagram):
    """Return the message in a datagram; raises ``Malformed`` or ``Forged``."""
    if not datagram or datagram[0] >= len(datagram):
        raise Malformed("no body")
    at = 1 + datagram[0]
    body = datagram[at:]
    if not proof.sealed(keys, body, datagram[1:at]):
        raise Forged("no valid MAC")
    # A message starts with the number of its segments less one; packed, the low
    # bits of the first byte say which bytes of that are not 0. If a segment after
    # the first is missing, the reader raises from its destructor, which aborts
    # the process. Ours have one segment, so others are refused unread.
    if not body or body[0] & SEGMENT_COUNT:
        raise Malformed("several segments")
    try:
        return SCHEMA.Message.from_bytes_packed(body)
    except (capnp.KjException, ValueError) as error:
        raise Malformed(type(error).__name__) from error


@cached(LRUCache(CACHED_UPDATES), key=lambda member: (member.name, order.key(member)))
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


@cached(LRUCache(CACHED_UPDATES))
def decode_update(data):
    """Return the ``Member`` in an update; raises as ``decode`` or KeyError."""
    with SCHEMA.Update.from_bytes(data) as message:
        if message.incarnation > MAX_INCARNATION:
            raise Malformed("incarnation")
        return _member_in(message)


def _member_in(message):
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


def size_of(member):
    """Return about how many bytes an update takes."""
    return (
        UPDATE_OVERHEAD
        + len(member.name)
        + len(member.availability_zone)
        + len(member.region)
        + len(member.gossip_address)
        + len(member.control_address)
        + len(member.entry_address)
        + len(member.peer_address)
    )


def chunks(members):
    """Yield lists of members whose updates fit one datagram each."""
    chunk, size = [], 0
    for member in members:
        if chunk and size + size_of(member) > UPDATES_SIZE:
            yield chunk
            chunk, size = [], 0
        chunk.append(member)
        size += size_of(member)
    yield chunk
