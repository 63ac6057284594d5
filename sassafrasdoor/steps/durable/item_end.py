"""Decides whether an item is failed because of its route.

Load pattern: trainers submit steps on routes that the operator has just added, while the
runner of their model was paused, or reads the steps but not yet the configuration. It
then judges the items by older routes than those under which they were accepted. An item
that is listed as errored stays so for good, and with it its group.

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


def find_end(route, seen_at):
    """Return the ``ItemEnd`` of an item, or None.

    ``route`` is its route, None if there is none; ``seen_at`` is the monotonic time at
    which this process learned of its step.
    """
    return ItemEnd("route removed", seen_at) if route is None else None
