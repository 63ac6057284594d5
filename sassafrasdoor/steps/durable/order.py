"""In which order a step's items are handed out.

A trainer goes on once enough groups are whole, so a group is worth nothing before
its last sample. Long samples decide when that is: they begin first. Of the groups,
as many as the trainer does not wait for come last, the longest ones.
"""


def ordered(spec):
    """Return the items of a step in the order in which they are to begin.

    Groups that a trainer sends again come first in its step, and it waits for them
    whatever else is whole; they are the first half of the wanted ones at most, and
    are never among those put last.
    """
    groups = {}
    for item in spec.items:
        groups.setdefault(item.group, []).append(item)
    spare = max(0, len(groups) - spec.wanted) if spec.wanted else 0
    later = set(_longest(list(groups)[spec.wanted // 2 :], groups, spare))
    return sorted(spec.items, key=lambda item: (item.group in later, -item.expected))


def _longest(names, groups, count):
    """Return the ``count`` names of the groups whose longest sample is longest."""
    longest = {name: max(item.expected for item in groups[name]) for name in names}
    return sorted(names, key=lambda name: -longest[name])[:count]
