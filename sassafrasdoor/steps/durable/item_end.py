"""Decides whether an item is failed because of its route.

Load pattern: trainers submit steps on routes that the operator has just added or changed,
while the runner of their model was paused, or reads the steps but not yet the
configuration. It then judges the items by older routes than those under which they were
accepted: a route that it does not know, a shorter retention, fewer attempts. An item that
is listed as errored stays so for good, and with it its group.

So an end is final only if the routes have been read to their end after the moment that
the end is about. Until then the item waits, without an attempt.
"""


class ItemEnd:
    """The end of an item by its route, with its reason.

    ``decided_about`` is the monotonic time of the last fact that it depends on.
    """

    __slots__ = ("decided_about", "reason")

    def __init__(self, reason, decided_about):
        self.reason = reason
        self.decided_about = decided_about


class ItemFacts:
    """What is known of an item; times are monotonic.

    ``seen_at`` is when this process learned of its step. ``failures`` are the answers of
    replicas that failed it; ``failed_at`` is when the last one was learned of, None unless
    it is still to be decided whether that one ends the item; ``failure_reason`` is its own.
    """

    __slots__ = ("failed_at", "failure_reason", "failures", "seen_at")

    def __init__(self, seen_at, failures=0, failed_at=None, failure_reason=""):
        self.seen_at = seen_at
        self.failures = failures
        self.failed_at = failed_at
        self.failure_reason = failure_reason


def find_end(route, facts, current):
    """Return the ``ItemEnd`` of an item, or None; ``route`` is None if it has none."""
    if route is None:
        return ItemEnd("route removed", facts.seen_at)
    is_exhausted = facts.failed_at is not None and facts.failures >= route.attempts
    # Counted from when this process learned of the step: never too early, whatever the
    # clock of the instance that accepted it says.
    expired_at = facts.seen_at + route.keep_for
    ends = (
        (is_exhausted, facts.failure_reason, facts.failed_at),
        (
            current >= expired_at,
            "not completed within the route's retention",
            expired_at,
        ),
    )
    return next((ItemEnd(reason, at) for applies, reason, at in ends if applies), None)
