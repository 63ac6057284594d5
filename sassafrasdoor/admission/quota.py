"""How many slots a row may use at this instance, by its leased grant."""

from math import ceil, floor

from sassafrasdoor.admission.shares import hard_limit
from sassafrasdoor.clock import passed


def capacity_of(view, service):
    """Return the slots of a service: the sum over its live backend servers."""
    return sum(backend.capacity for backend in view.serving(service))


def allowance(settings, view, row):
    """Return the slots that ``row`` may use here at this moment.

    A grant holds until its deadline; afterwards its fallback is all that the
    row may use, for a bounded time, because the holder of the quota may have
    given the rest to others. A process that counted on a lapsed grant would show
    as more calls in flight than the hard limit allows. ``view.grants`` of None say
    that nobody distributes quota: then each instance keeps to an equal slice.
    """
    if view.grants is None:
        return equal_slice(view, row)
    if not view.grants:
        return untold(settings, view, row)
    grant = view.grants.get(row.name)
    if grant is None:
        return 0
    if not passed(grant.deadline):
        return grant.slots
    lapses = grant.deadline + settings.admission.fallback_duration
    return untold(settings, view, row) if passed(lapses) else grant.fallback


def untold(settings, view, row):
    """Return the slots of a row at an instance that holds no grants any more, or yet.

    While the log is down nobody can hold the quota's lease, and an instance that
    started since has no grants to fall back on: once all were replaced, every
    call would be refused. A row without a hard limit has none to overshoot, so it
    gets an equal slice of half of the capacity, and the backend servers guard the
    rest. A row with one gets nothing.
    """
    if settings.admission.strict_capacity or row.limit < 1:
        return 0
    half = capacity_of(view, row.service) / 2
    return ceil(half / max(1, len(view.members)))


def equal_slice(view, row):
    """Return the row's hard limit divided by the instances, at least one slot."""
    limit = hard_limit(row, capacity_of(view, row.service))
    return max(1, floor(limit / max(1, len(view.members))))
