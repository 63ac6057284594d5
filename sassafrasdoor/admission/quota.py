"""The slots that a row may use at this instance, by its leased grant."""

from math import ceil, floor

from sassafrasdoor.admission.shares import hard_limit
from sassafrasdoor.clock import passed


def capacity_of(view, service):
    """Return the slots of a service: the sum over its live backend servers."""
    return sum(backend.capacity for backend in view.serving(service))


def allowance(settings, view, row):
    """Return the slots that ``row`` may use here at this moment.

    A grant holds until its deadline, then its fallback for a bounded time, as the
    holder may have granted the rest to others. If ``view.grants`` is None,
    no quota is distributed, and each instance uses an equal slice.
    """
    if view.grants is None:
        return equal_slice(view, row)
    if not view.grants:
        return slots_without_grants(settings, view, row)
    grant = view.grants.get(row.name)
    if grant is None:
        return 0
    if not passed(grant.deadline):
        return grant.slots
    lapses = grant.deadline + settings.admission.fallback_duration
    return (
        slots_without_grants(settings, view, row) if passed(lapses) else grant.fallback
    )


def slots_without_grants(settings, view, row):
    """Return the slots of a row at an instance that holds no grants.

    While the log is down the quota's lease has no holder, and an instance that starts
    then has no fallback either. A row without a hard limit gets an equal slice of half
    of the capacity; the backend servers limit the rest. A row with one gets none.
    """
    if settings.admission.strict_capacity or row.limit < 1:
        return 0
    half = capacity_of(view, row.service) / 2
    return ceil(half / max(1, len(view.members)))


def equal_slice(view, row):
    """Return the row's hard limit divided by the instances, at least one slot."""
    limit = hard_limit(row, capacity_of(view, row.service))
    return max(1, floor(limit / max(1, len(view.members))))
