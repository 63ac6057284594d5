"""In which order instances that start together read what the log keeps.

Load pattern: all instances lose power and come back within half a second, or many are
restarted in turn, and each of those that follow the steps reads megabytes, which the log
sends to all of them at one rate. Where many read at once the first is done only when the
last one is, and no step is read or run until then.

So the first in rank reads alone, and once somebody has read, a few at a time follow in
order of rank. The others hand their callers on to those that have read.
"""

AT_ONCE = 3
"""Instances that may read side by side once somebody has read."""
PATIENCE = 3.0
"""Seconds granted to each instance that comes before: it may be gone or stand still."""


def may_read(ahead, somebody_has_read, unchanged_since, moment):
    """Say whether an instance may begin to read what the log keeps at a ``moment``.

    ``ahead`` is how many instances that come before it are not known to have read, and
    ``unchanged_since`` when that number was seen first. Times are monotonic.
    """
    too_many = ahead - (AT_ONCE if somebody_has_read else 1) + 1
    return too_many <= 0 or moment >= unchanged_since + too_many * PATIENCE
