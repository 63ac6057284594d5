"""When a replica loads a named version, and how many of a model load at a time.

A trainer that names a version asks for its next step at the same time, and the step's
items may run under the version before. So only a part of a model's replicas loads at
once, and loads are deferred while items of the model are queued.
"""

LOADING_SHARE = 0.5  # of a model's replicas that may load at once
FOLLOW_UP_DELAY = 0.25  # seconds from a version's name to the step that follows it
MAX_DEFERRAL = 2.5  # seconds from a version's name that a load is deferred at most


def may_load(replicas, loading, serves_open_steps):
    """Say whether one more of a model's replicas may begin to load.

    ``replicas`` counts the model's own, ``loading`` those that load now; ``serves``
    says that this one's weights are new enough for the open steps. One that serves no
    step always may.
    """
    return not serves_open_steps or loading < max(1, int(replicas * LOADING_SHARE))


def should_defer(named_at, moment, has_queued_items, serves_open_steps):
    """Say whether a replica's load is deferred.

    ``named_at`` is when the version was named, ``moment`` now, in monotonic seconds;
    ``items_wait`` says that items of the model are queued; ``serves`` as above.
    """
    if not serves_open_steps:
        return False
    if moment < named_at + FOLLOW_UP_DELAY:
        return True
    return has_queued_items and moment < named_at + MAX_DEFERRAL
