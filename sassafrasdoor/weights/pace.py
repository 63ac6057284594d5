"""How many replicas of a model load a version at the same time.

The load that this answers: a trainer names a version and asks for its next step in the
same tenth of a second. Every replica of the model was ordered to load at once, a load
takes 0.9 s, and the step's items waited for it although they may run under the version
before; with 24 engines half of the steps of a calm day began 0.4 to 0.8 s late. The
longest sample alone takes 6.5 s of the eight that keep a trainer in time, so it fell
behind for the rest of the day.
"""

LOADING_SHARE = 0.5
"""Part of a model's replicas that loads together, if the others are to be of use: half
of the places takes the longest of a step's items, which begin first, and with two turns
all have loaded well before the next version."""


def may_load(replicas, loading, serves):
    """Say whether one more of a model's replicas may begin to load.

    ``replicas`` are the model's own, ``loading`` those that load now. ``serves`` says
    that this one's weights are new enough for the steps that are open: one that can run
    nothing takes nothing away.
    """
    return not serves or loading < max(1, int(replicas * LOADING_SHARE))
