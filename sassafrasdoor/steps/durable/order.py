"""Decides the order in which the items of a step are dispatched.

A trainer proceeds once ``wanted`` groups are complete, and a group is complete with its
last sample. Long samples are dispatched first; the groups that the trainer does not
wait for, the longest ones, are dispatched last. Items of client accounts with another
priority wait in one queue for the same replicas: the more urgent go first. Among those
of equal priority, a trainer that is late would wait behind the steps of others: the
items of the step that is furthest behind go first.
"""

from bisect import bisect_left, bisect_right


def ordered(spec):
    """Return the items of a step in the order in which they are dispatched.

    Groups that a trainer sends again are the first of its step, at most half of the
    wanted ones; the trainer waits for them, so they are never put last.
    """
    spare = spare_groups(spec)
    return sorted(spec.items, key=lambda item: (item.group in spare, -item.expected))


def spare_groups(spec):
    """Return the names of the groups for which the trainer does not wait."""
    groups = {}
    for item in spec.items:
        groups.setdefault(item.group, []).append(item)
    spare_count = max(0, len(groups) - spec.wanted) if spec.wanted else 0
    return set(_longest(list(groups)[spec.wanted // 2 :], groups, spare_count))


def priority(configuration, spec):
    """Return the rank of a step's items: its account's, else its route's; 0 is first."""
    account = None
    if configuration.accounts is not None:
        account = configuration.accounts.by_name.get(spec.account)
    if account is not None and account.priority is not None:
        return account.priority
    route = configuration.match(spec.host, spec.path)
    return 0 if route is None else route.priority


def enqueue(queue, job):
    """Add a new job behind those of its priority."""
    queue.insert(bisect_right(queue, job.priority, key=_priority_of), job)


def requeue(queue, job):
    """Add a job that has begun before those of its priority."""
    queue.insert(bisect_left(queue, job.priority, key=_priority_of), job)


def latest_first(queue, due_at):
    """Return the queue with the step that is furthest behind first, by priority.

    ``due_at(job)`` returns when the trainer's next step is due, None for a job that keeps
    its place. Jobs of one step keep their order.
    """
    due_times = [due_at(job) for job in queue]
    places = [place for place, due in enumerate(due_times) if due is not None]
    in_order = sorted(
        places, key=lambda place: (queue[place].priority, due_times[place])
    )
    result = list(queue)
    for place, source in zip(places, in_order, strict=True):
        result[place] = queue[source]
    return result


def _priority_of(job):
    return job.priority


def _longest(names, groups, count):
    """Return the names of the ``count`` groups whose longest sample is longest."""
    longest = {name: max(item.expected for item in groups[name]) for name in names}
    return sorted(names, key=lambda name: -longest[name])[:count]
