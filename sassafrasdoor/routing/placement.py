"""Which replica an item goes to, and which samples leave a slow one.

The load that this answers: a step's items come at once and fill every place; each step
ends with its longest sample, which takes six of its seven seconds and a half where it
never waits. Whatever that sample loses, by a wait, a slow replica or a move that leads
back to one, the step loses.
"""

SLOWER = 1.8
"""How many times slower than another a replica is before its samples move: replicas
differ by 1.3, a full one is 1.4 times slower than an idle one; a slow one 2.4 to 4."""
LOAD_COST = 1.0
"""How much slower, as a part, a full replica is taken to be than an empty one. Its
samples run 1.4 times slower, and each one there slows the others down: the pace alone
would fill the fastest replica first, the load alone would use one four times slower.
"""
DARK_AFTER = 1.2
"""Seconds without a byte from a replica, on any of its streams, after which an item that
has got nothing there goes elsewhere: a load of weights takes 0.9 s, and what little an
engine with a free place needs besides fits. One that sends to others is alive; its queue
may be waited for.
"""
MOST_MOVES = 2
"""Moves of one sample: each costs reading what it has reached, and a sample that moves
on and on gets nowhere while all replicas are slow by turns."""
USUAL_PACE = 1.0
"""Stands for every pace while none is known: then loads alone decide."""


class Seen:
    """One replica as it is believed to be at one moment.

    ``load`` and ``slots`` are places, ``pace`` the seconds between two events of its
    samples, None while unknown. ``versions`` maps models to weights; of the models in
    ``closed`` it takes no item now: it loads them, or has just refused one.
    """

    __slots__ = (
        "closed",
        "identity",
        "load",
        "pace",
        "replica",
        "slots",
        "suspect",
        "versions",
    )

    def __init__(self, replica, load, suspect, closed):
        self.replica = replica
        self.identity = replica.identity
        self.load = load
        self.slots = max(1, replica.listing.slots)
        self.pace = replica.pace
        self.suspect = suspect
        self.versions = replica.versions
        self.closed = closed

    @property
    def room(self):
        """Free places."""
        return self.slots - self.load


class Want:
    """What an item needs: weights of ``model`` not older than ``oldest``.

    ``avoid`` is the identity of the replica that it leaves, empty for none: a sample
    that moved from a slow replica would come back to it at once, since its place there
    has just become free, and spend its moves.
    """

    __slots__ = ("avoid", "model", "oldest")

    def __init__(self, model, oldest, avoid=""):
        self.model = model
        self.oldest = oldest
        self.avoid = avoid


def usual_pace(seen):
    """Return the middle pace of the replicas, or ``USUAL_PACE``."""
    known = sorted(one.pace for one in seen if one.pace)
    return known[len(known) // 2] if known else USUAL_PACE


def place(seen, want):
    """Return the ``Seen`` where an item ends soonest, or None.

    The cost is the pace that its events will have with one more item there.
    """
    usual = usual_pace(seen)
    found = [one for one in seen if _takes(one, want)]
    return min(found, key=lambda one: _cost(one, usual), default=None)


def leaves(slow, better):
    """Say whether a sample should leave the ``Seen`` it runs at for another."""
    if better is None or slow.pace is None or better.pace is None:
        return False
    return slow.pace >= SLOWER * better.pace and better.room > 0


def is_dark(sent_at, heard_at, loading, moment):
    """Say whether an item without a first event should not wait for its replica.

    ``sent_at`` and ``heard_at`` (of any stream's last byte) are monotonic, as is
    ``moment``; ``loading`` says that the replica was ordered to load.
    """
    return not loading and moment >= max(sent_at, heard_at) + DARK_AFTER


def _takes(one, want):
    if one.suspect or one.room <= 0 or one.identity == want.avoid:
        return False
    if not want.model:
        return True
    held = one.versions.get(want.model, 0)
    return held >= want.oldest and want.model not in one.closed


def _cost(one, usual):
    pace = one.pace or usual
    return (pace * (1 + LOAD_COST * (one.load + 1) / one.slots), one.identity)
