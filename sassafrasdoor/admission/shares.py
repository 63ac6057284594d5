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


def shares(rows, demand, capacity, rotation=0):
    """Return ``{row name: slots}`` of ``capacity`` (whole slots).

    ``rows`` are table rows, ``demand`` maps names to wanted slots. ``rotation``
    selects the rows that get the remainders; over many rotations each row gets its
    share of them.
    """
    wanted = {
        row.name: min(demand.get(row.name, 0), hard_limit(row, capacity))
        for row in rows
    }
    return distribute(rows, wanted, capacity, rotation)


def distribute(rows, wanted, amount, rotation=0):
    """Return ``{row name: slots}`` of ``amount`` as ``shares``, limits applied."""
    return round_to_slots(fractional_shares(rows, wanted, amount), rotation)


def fractional_shares(rows, wanted, capacity):
    """Return ``{row name: share}``, not yet in whole slots."""
    allocated = {row.name: 0.0 for row in rows}
    _fill_by_weight(rows, wanted, allocated, capacity * FLOOR_SHARE)
    for priority in sorted({row.priority for row in rows}, reverse=True):
        level = [row for row in rows if row.priority == priority]
        _fill_by_weight(level, wanted, allocated, capacity - sum(allocated.values()))
    return allocated


def round_to_slots(allocated, rotation):
    """Return the shares as whole slots of the same sum (rounded down).

    Systematic sampling: a row with a remainder of 0.3 gets a further slot in three of
    ten rotations.
    """
    whole = {}
    offset = (rotation * GOLDEN_STEP) % 1.0
    total = 0.0
    spare = floor(sum(allocated.values()) + EPSILON)
    spare -= sum(floor(share + EPSILON) for share in allocated.values())
    for name in sorted(allocated):
        slots = floor(allocated[name] + EPSILON)
        before = floor(total + offset + EPSILON)
        total += max(0.0, allocated[name] - slots)
        extra = floor(total + offset + EPSILON) > before and spare > 0
        whole[name] = slots + extra
        spare -= extra
    return whole


def split_evenly(amount, wanted, rotation=0):
    """Return ``{name: slots}`` of ``amount``, split evenly up to ``wanted``."""
    allocated, available, names_left = (
        {},
        min(amount, sum(wanted.values())),
        len(wanted),
    )
    for name in sorted(wanted, key=lambda name: (wanted[name], name)):
        allocated[name] = min(wanted[name], available / names_left)
        available -= allocated[name]
        names_left -= 1
    return round_to_slots(allocated, rotation)


def _fill_by_weight(rows, wanted, allocated, amount):
    """Add ``amount`` to ``allocated`` in proportion to weight, up to ``wanted``."""
    weight = sum(row.weight for row in rows)
    headroom = {
        row.name: max(0.0, wanted[row.name] - allocated[row.name]) for row in rows
    }
    for row in sorted(
        rows, key=lambda row: (headroom[row.name] / row.weight, row.name)
    ):
        if amount <= EPSILON:
            return
        part = min(headroom[row.name], amount * row.weight / weight)
        allocated[row.name] += part
        amount -= part
        weight -= row.weight
