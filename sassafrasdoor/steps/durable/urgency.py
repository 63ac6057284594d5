"""Decides the priority of an item at its engine.

Load pattern: more items than slots, from several trainers. A trainer waits for the last
items of a late step while engines run items of steps that are on time, and items of
groups for which no trainer waits. Engines admit items by priority and preempt others, so
a late step's items, its last ones above all, go before the usual ones.
"""

LAST_OF_LATE, LATE, DUE_SOON, USUAL, SPARE = 1, 2, 4, 5, 7
DUE_SOON_SHARE = 0.75  # of the time until a step is due
# Share of a step's items that are its last ones; a trainer waits for about 0.9 of them.
LAST_ITEMS_SHARE = 0.1


def urgency(age, due_after, missing, items, is_spare):
    """Return the priority of an item at its engine, 0 the first and 9 the last.

    ``age`` and ``due_after`` are seconds since the step was accepted and until it is due;
    ``missing`` of its ``items`` have no sample yet. ``is_spare`` says that its trainer
    does not wait for the item's group.
    """
    if is_spare:
        return SPARE
    if age >= due_after:
        return LAST_OF_LATE if missing <= LAST_ITEMS_SHARE * items else LATE
    return DUE_SOON if age >= DUE_SOON_SHARE * due_after else USUAL
