"""Which replica of a service gets a call, so that few connections are opened.

Load pattern: many entry points call few replicas. In calm time each pair of entry point
and replica has a call every few seconds, and a kept connection lapses between two of
them. So each entry point uses one replica of its own while that one has free capacity,
and the entry points of a zone are spread evenly over the replicas. In busy time a call
passes on to the next replica in the entry point's order, and connections to all replicas
are in use anyway. Then the least loaded replica gets the call, so that load stays even.
"""

from sassafrasdoor.rendezvous import ranked

# Multiple of the usual work time from which a replica counts as slow: between the usual
# time and the 2.5 times of a slow spell on a shared machine.
SLOW_PACE = 1.5
# Share of its slots up to which a replica counts as calm. Above it other entry points may
# fill the free slots before their calls show in a report, so the least loaded is chosen.
CALM_SHARE = 0.5
# First places of the order that are spread evenly over the entry points; the later ones
# follow from the hash alone, as computing them evenly takes time for each pair.
EVEN_PLACES = 3


class Option:
    """A replica that may get a call, as estimated now.

    ``load`` is the number of slots in use, ``cost`` ranks replicas by load and zone, the
    lowest first.
    """

    __slots__ = ("cost", "has_idle_connection", "load", "pace", "replica", "slots")

    def __init__(self, replica, load, slots, pace, has_idle_connection, cost):
        self.replica = replica
        self.load = load
        self.slots = slots
        self.pace = pace
        self.has_idle_connection = has_idle_connection
        self.cost = cost

    @property
    def is_free(self):
        """Whether a call would start there at once."""
        return self.load < self.slots

    @property
    def is_calm(self):
        """Whether so many slots are free that unknown calls of others do not matter."""
        return self.load < self.slots * CALM_SHARE

    @property
    def tier(self):
        """The preference by pace and kept connection, the lowest first.

        A call to a slow replica with a kept connection and most of its slots free is
        still on time, so it opens no connection to another one. In calm time that would
        open most connections: each slow spell would move the calls for its length.
        """
        is_slow = self.pace >= SLOW_PACE
        if self.has_idle_connection and not is_slow:
            return 0
        if self.has_idle_connection and self.is_calm:
            return 1
        return 3 if is_slow else 2


def replica_order(own, entry_points, near, far, service):
    """Return the identities of replicas in the order in which ``own`` uses them.

    ``entry_points`` are the addresses of those of this zone, including ``own``; ``near``
    are the identities of the replicas in this zone, ``far`` those of all others.
    """
    return [
        identity
        for identities in (near, far)
        for identity in _even_order(own, entry_points, identities, service)
    ]


def _even_order(own, entry_points, identities, service):
    """Return the order of ``own``, with first places spread evenly over the replicas.

    Each entry point in turn takes the replica that the fewest before it have taken for
    this place, by rendezvous hashing among several. When one leaves, only entry points
    after it change their order. Later places are as even as the earlier ones allow.
    """
    orders = {
        address: ranked(identities, f"{service}/{address}")
        for address in sorted({*entry_points, own})
    }
    for place in range(min(EVEN_PLACES, len(identities))):
        taken = dict.fromkeys(identities, 0)
        for order in orders.values():
            identity = min(order[place:], key=taken.get)
            order.remove(identity)
            order.insert(place, identity)
            taken[identity] += 1
    return orders[own]


def choose(options, order):
    """Return the ``Option`` that gets a call, or None if no replica has a free slot.

    ``options`` are the replicas that may get it, ``order`` is from ``replica_order``.
    """
    places = {identity: place for place, identity in enumerate(order)}

    def preference(option):
        place = places.get(option.replica.identity, len(places))
        busy_cost = (0,) if option.is_calm else (1, option.cost)
        return (option.tier, *busy_cost, place)

    free = [option for option in options if option.is_free]
    return min(free, key=preference, default=None)
