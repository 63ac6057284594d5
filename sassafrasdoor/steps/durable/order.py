"""Decides the order in which the items of a step are dispatched.

A trainer proceeds once ``wanted`` groups are complete, and a group is complete with its
last sample. Long samples are dispatched first; the groups that the trainer does not
wait for, the longest ones, are dispatched last.
"""


def ordered(spec):
    """Return the items of a step in the order in which they are dispatched.

    Groups that a trainer sends again are the first of its step, at most half of the
    wanted ones; the trainer waits for them, so they are never put last.
    """
    groups = {}
    for item in spec.items:
        groups.setdefault(item.group, []).append(item)
    spare_count = max(0, len(groups) - spec.wanted) if spec.wanted else 0
    deferred = set(_longest(list(groups)[spec.wanted // 2 :], groups, spare_count))
    return sorted(spec.items, key=lambda item: (item.group in deferred, -item.expected))


def _longest(names, groups, count):
    """Return the names of the ``count`` groups whose longest sample is longest."""
    longest = {name: max(item.expected for item in groups[name]) for name in names}
    return sorted(names, key=lambda name: -longest[name])[:count]
