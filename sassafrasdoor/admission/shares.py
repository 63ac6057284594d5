"""Weighted max-min shares of a fixed capacity, by priority and hard limits.

Pure functions. Work-conserving: unused shares go to the other rows. A small part of
the capacity is shared by weight alone, so that rows of high priority can't starve the
others.
"""

from math import floor

FLOOR_SHARE = 0.05  # of the capacity, shared by weight alone
GOLDEN_STEP = 0.6180339887498949  # irrational, so that remainders rotate evenly
EPSILON = 1e-9


def hard_limit(row, capacity):
    """Return a row's hard limit in slots, at least one."""
    return max(1, floor(row.limit * capacity + EPSILON))


def shares(rows, demand, capacity, turn=0):
    """Return ``{row name: slots}`` of ``capacity`` (whole slots).

    ``rows`` are table rows, ``demand`` maps names to wanted slots. ``turn`` decides
    which rows get the remainders; over many turns each row gets its share of them.
    """
    wanted = {
        row.name: min(demand.get(row.name, 0), hard_limit(row, capacity))
        for row in rows
    }
    return within(rows, wanted, capacity, turn)


def within(rows, wanted, amount, turn=0):
    """Return ``{row name: slots}`` of ``amount`` as ``shares``, limits applied."""
    return whole_slots(fractions(rows, wanted, amount), turn)


def fractions(rows, wanted, capacity):
    """Return ``{row name: share}``, not yet in whole slots."""
    given = {row.name: 0.0 for row in rows}
    _fill(rows, wanted, given, capacity * FLOOR_SHARE)
    for priority in sorted({row.priority for row in rows}, reverse=True):
        level = [row for row in rows if row.priority == priority]
        _fill(level, wanted, given, capacity - sum(given.values()))
    return given


def whole_slots(given, turn):
    """Return the shares as whole slots of the same sum (rounded down).

    Systematic sampling: a row with a remainder of 0.3 gets a further slot in three of
    ten turns.
    """
    whole = {}
    offset = (turn * GOLDEN_STEP) % 1.0
    total = 0.0
    spare = floor(sum(given.values()) + EPSILON)
    spare -= sum(floor(share + EPSILON) for share in given.values())
    for name in sorted(given):
        slots = floor(given[name] + EPSILON)
        before = floor(total + offset + EPSILON)
        total += max(0.0, given[name] - slots)
        odd = floor(total + offset + EPSILON) > before and spare > 0
        whole[name] = slots + odd
        spare -= odd
    return whole


def split(amount, wanted, turn=0):
    """Return ``{name: slots}`` of ``amount``, split evenly up to ``wanted``."""
    given, rest, left = {}, min(amount, sum(wanted.values())), len(wanted)
    for name in sorted(wanted, key=lambda each: (wanted[each], each)):
        given[name] = min(wanted[name], rest / left)
        rest -= given[name]
        left -= 1
    return whole_slots(given, turn)


def _fill(rows, wanted, given, amount):
    """Add ``amount`` to ``given`` in proportion to weight, up to ``wanted``."""
    weight = sum(row.weight for row in rows)
    room = {row.name: max(0.0, wanted[row.name] - given[row.name]) for row in rows}
    for row in sorted(rows, key=lambda one: (room[one.name] / one.weight, one.name)):
        if amount <= EPSILON:
            return
        part = min(room[row.name], amount * row.weight / weight)
        given[row.name] += part
        amount -= part
        weight -= row.weight
