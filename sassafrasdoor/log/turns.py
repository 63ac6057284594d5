"""In which order instances that start together read what the log keeps.

The load that this answers: all instances lose power and come back within half a second,
and each of those that follow the steps reads megabytes. The log sends one rate to all
of them: where many read at once the first is done only seconds later, small reads
beside them time out, and whoever is to run the steps does not know meanwhile that the
former runner has gone.

So one instance of each availability zone reads first. It can run the steps and answer
for its neighbours, who read one after the other and hand their callers on meanwhile.
"""

TURN = 1.0
"""Seconds between the turns of a zone's instances: what one of each zone reads has been
sent in that time."""

FEW = 12
"""Instances that may read at once: so few are done within about a turn, and there is
little to win by waiting."""


def turn_comes_at(started_at, place, followers):
    """Return when an instance may begin to read, monotonic like ``started_at``.

    ``place`` is its place among the instances of its zone that follow, 0 for the first;
    ``followers`` is how many follow in all.
    """
    return started_at if followers <= FEW else started_at + place * TURN
