"""When replicas load a version that was named, and how many of a model at a time.

The load that this answers: a trainer names a version and asks for its next step in the
same tenth of a second. Every replica of the model was ordered to load at once, a load
takes 0.9 s, and the step's items waited for it although they may run under the version
before. The longest sample alone takes most of the time that a step has, so its trainer
fell behind for good.
"""

LOADING_SHARE = 0.5
"""Part of a model's replicas that loads together, if the others are to be of use: half
of the places takes the longest of a step's items, which begin first, and with two turns
all have loaded well before the next version."""

FOLLOW_UP = 0.25
"""Seconds after a version's name in which the step that follows it comes where its
trainer is behind. Until then nobody knows that places will be short, and a load once
begun takes 0.9 s."""
LONGEST_DEFERRAL = 2.5
"""Seconds that a load may wait for a step's first items: they take about one second
each and two or three follow each other on a place."""


def may_load(replicas, loading, serves):
    """Say whether one more of a model's replicas may begin to load.

    ``replicas`` are the model's own, ``loading`` those that load now. ``serves`` says
    that this one's weights are new enough for the steps that are open: one that can run
    nothing takes nothing away.
    """
    return not serves or loading < max(1, int(replicas * LOADING_SHARE))


def waits(named_at, moment, items_wait, serves):
    """Say whether a replica's load waits, since its places are needed as they are.

    ``named_at`` is when the version was named, monotonic like ``moment``;
    ``items_wait`` that items of the model wait for a place; ``serves`` as above.
    """
    if not serves:
        return False
    if moment < named_at + FOLLOW_UP:
        return True
    return items_wait and moment < named_at + LONGEST_DEFERRAL
