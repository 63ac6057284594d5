"""Which of two updates about one member is newer.

The order is total and an update only replaces a smaller one, so members that
saw the same updates in any order hold the same. A member alone raises its own
incarnation; at one incarnation suspicion beats alive, leaving beats suspicion
(who leaves says so itself and is not to be doubted back), and dead beats all.
"""

from sassafrasdoor.view import State

RANK = {State.ALIVE: 0, State.SUSPECT: 1, State.LEAVING: 2, State.DEAD: 3}
STATES = {rank: state for state, rank in RANK.items()}


ADDRESSES = ("gossip_address", "control_address", "entry_address", "peer_address")


def has_departed(member):
    """Say whether a member said itself that it has ended.

    Who is declared dead by others keeps its addresses, and may live on
    somewhere, cut off; who departs takes them away.
    """
    return member.state is State.DEAD and not member.gossip_address


def sort_key(member):
    """Return what the order compares.

    Addresses come last: two updates that differ in nothing else can only come
    from two processes under one name, and even then all keep the same one.
    """
    return (
        member.incarnation,
        RANK[member.state],
        member.gossip_address,
        member.control_address,
        member.entry_address,
        member.peer_address,
        member.availability_zone,
        member.region,
    )


def is_newer(update, known):
    """Say whether ``update`` replaces ``known`` (None: nothing known)."""
    return known is None or sort_key(update) > sort_key(known)


def changed(member, **fields):
    """Return a copy of ``member`` with some fields replaced."""
    copy = type(member)(member.name)
    for name in member.__slots__:
        setattr(copy, name, fields.get(name, getattr(member, name)))
    return copy
