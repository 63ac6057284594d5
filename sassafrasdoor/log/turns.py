"""In which order instances that start together read what the log keeps.

The load that this answers: all instances lose power and come back within half a second,
and each of those that follow the steps reads megabytes. The log sends one rate to all
of them: with twenty of 76 instances reading 9 MB each at once the first was done after
4.2 s, small reads beside them timed out after 1.5 s, and whoever was to run the steps
could not know for 4.6 s that the former runner had gone.

So one instance of each availability zone reads first. It can run the steps and answer
for its neighbours, who read one after the other and hand their callers on meanwhile.
"""

TURN = 1.0
"""Seconds between the turns of a zone's instances: four zones' instances that read 9 MB
at once take 0.9 s of a log that sends 40 MB/s."""

FEW = 12
"""Instances that may read at once: ten have read 9 MB side by side after 1.2 s, and
there is little to win by waiting."""


def turn_comes_at(started_at, place, followers):
    """Return when an instance may begin to read, monotonic like ``started_at``.

    ``place`` is its place among the instances of its zone that follow, 0 for the first;
    ``followers`` is how many follow in all.
    """
    return started_at if followers <= FEW else started_at + place * TURN
