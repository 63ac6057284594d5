"""In which order instances that start together read what the log keeps.

Load pattern: all instances lose power and come back within half a second, and each of
those that follow the steps reads megabytes, which the log sends to all of them at one
rate. Where many read at once the first is done only when the last one is.

The instance that is to run the steps reads alone, then one of each other availability
zone, which answers for its neighbours, then the neighbours one after the other; they
hand their callers on meanwhile.
"""

HEAD_START = 0.35
"""Seconds for which the first instance reads alone."""
TURN = 1.0
"""Seconds between the turns of a zone's instances."""
FEW = 12
"""Instances that may read at once."""


def turn_comes_at(started_at, place, place_in_zone, followers):
    """Return when an instance may begin to read, monotonic like ``started_at``.

    ``place`` is its place among all instances that follow, ``place_in_zone`` that among
    those of its zone, 0 for the first; ``followers`` is how many follow in all.
    """
    if followers <= FEW or place == 0:
        return started_at
    return started_at + HEAD_START + place_in_zone * TURN
