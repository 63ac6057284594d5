"""When a replica loads a new version, and how many of a model's replicas load at a time.

A trainer that announces a version submits its next step at the same time, and the step's
items may run under the previous version. So only a part of a model's replicas loads at
once, and loads are deferred while items of the model are queued.
"""

LOADING_SHARE = 0.5  # of a model's replicas that may load at once
FOLLOW_UP_DELAY = 0.25  # seconds from an announced version to the step that follows it
MAX_DEFERRAL = 2.5  # seconds after the announcement


def may_load(replicas, loading, serves_open_steps):
    """Return whether one more of a model's replicas may begin to load.

    ``replicas`` is the number of the model's replicas, ``loading`` how many of them load
    now. A replica whose weights are too old for the open steps may always load.
    """
    return not serves_open_steps or loading < max(1, int(replicas * LOADING_SHARE))


def should_defer(announced_at, moment, has_queued_items, serves_open_steps):
    """Return whether a replica's load is deferred.

    ``announced_at`` is when the version was announced, ``moment`` now, both monotonic;
    ``has_queued_items`` says that items of the model are queued.
    """
    if not serves_open_steps:
        return False
    if moment < announced_at + FOLLOW_UP_DELAY:
        return True
    return has_queued_items and moment < announced_at + MAX_DEFERRAL
