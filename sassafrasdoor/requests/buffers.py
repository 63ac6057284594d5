"""Bounds the bytes that replicas hold of requests which they have not answered.

Load pattern: a replica reads requests slowly or answers none while callers send large
bodies. What it has taken counts toward its memory, and it crashes with all its requests.
So a further large request is only sent to one that holds little; small ones always are.
"""

MEMORY_SHARE = 0.05  # of the instance's memory, for what one replica has not answered
LARGE_BODY_BYTES = 64 * 1024  # smaller bodies are always sent


class BufferBudget:
    """Counts the bytes of unanswered requests at each replica.

    ``replica_limit`` is in bytes; 0 means no limit.
    """

    __slots__ = ("_bytes_by_replica", "replica_limit")

    def __init__(self, memory_bytes=0):
        self._bytes_by_replica = {}
        self.replica_limit = int(MEMORY_SHARE * memory_bytes)

    def may_send(self, identity, size):
        """Return whether a replica may get a request of ``size`` bytes now.

        One that holds no other request may always get one.
        """
        held = self._bytes_by_replica.get(identity, 0)
        if size < LARGE_BODY_BYTES or not held or not self.replica_limit:
            return True
        return held + size <= self.replica_limit

    def add_sent(self, identity, size):
        """Count ``size`` bytes of a request at a replica, negative once it ended."""
        held = self._bytes_by_replica.get(identity, 0) + size
        if held > 0:
            self._bytes_by_replica[identity] = held
        else:
            self._bytes_by_replica.pop(identity, None)
