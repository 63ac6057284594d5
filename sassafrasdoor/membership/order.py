"""The order of updates about one member.

The order is total and an update only replaces a lower one, so all members converge
whatever the order of arrival. Only a member itself raises its incarnation. Within
one incarnation suspect overrides alive, leaving overrides suspect (a member announces
its own leaving, which a suspicion must not undo), and dead overrides all.
"""

from sassafrasdoor.view import State

RANK = {State.ALIVE: 0, State.SUSPECT: 1, State.LEAVING: 2, State.DEAD: 3}
STATES = {rank: state for state, rank in RANK.items()}


ADDRESSES = ("gossip_address", "control_address", "entry_address", "peer_address")


def has_departed(member):
    """Say whether a member itself announced that it has stopped.

    A member that others declare dead keeps its addresses and may still run behind
    a partition; one that departs clears them.
    """
    return member.state is State.DEAD and not member.gossip_address


def sort_key(member):
    """Return the tuple that the order compares.

    Addresses come last: two updates that differ in nothing else can only come from
    two processes of one name, and even then all members keep the same one.
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
