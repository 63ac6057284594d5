"""The interface between membership and the application that embeds it."""

from sassafrasdoor.clock import now


class LogPosition:
    """How far a member has read the agreed stream, and when that was confirmed.

    ``as_of`` is the next offset to read; ``confirmed_at`` is on this process's
    monotonic clock, None if never; ``hops`` counts the members that relayed the
    confirmation, 0 at the one that read the log. No record from ``changed_as_of``
    on needs immediate delivery to other members.
    """

    __slots__ = ("as_of", "changed_as_of", "confirmed_at", "hops")

    def __init__(self, as_of=0, changed_as_of=0, confirmed_at=None, hops=0):
        self.as_of = as_of
        self.changed_as_of = changed_as_of
        self.confirmed_at = confirmed_at
        self.hops = hops

    @property
    def age(self):
        """Seconds since the confirmation, or None."""
        return None if self.confirmed_at is None else now() - self.confirmed_at


class Delegate:
    """Callbacks to override as needed; they must neither block nor raise."""

    def member_changed(self, member):
        """A member joined, changed its state or its addresses."""

    def region_changed(self, region, silent):
        """A whole region became silent or reachable again."""

    def log_position(self):
        """Return the ``LogPosition`` to send with each message."""
        return LogPosition()

    def position_received(self, name, log_position):
        """A message with the ``LogPosition`` of member ``name`` arrived."""
