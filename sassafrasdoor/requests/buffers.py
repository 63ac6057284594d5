"""Bounds what an instance holds in memory for callers and replicas.

Load pattern: callers send large bodies or read their answers slowly, or replicas read
requests slowly, while many others do the same. What is held for them counts toward the
memory of the instance, and a process over its memory is killed with all its calls. So a
large body is admitted only if all of it fits into what is left; small ones always are.
Answers that are ready are never refused: they only leave less for bodies.

A body is admitted whole or refused before it is read. If reading were paused halfway,
several bodies could fill the memory without one of them being complete.
"""

MEMORY_SHARE = 0.25  # of the instance's memory; the rest is for code and records
REPLICA_SHARE = 0.2  # of that, for the requests that one replica has not answered
LARGE_BODY_BYTES = 64 * 1024  # smaller bodies are always admitted


class BufferBudget:
    """Counts the bytes held for callers' requests and answers, and for each replica.

    ``total_limit`` and ``replica_limit`` are in bytes; 0 means no limit.
    """

    __slots__ = (
        "_answer_bytes",
        "_body_bytes",
        "_bytes_by_replica",
        "replica_limit",
        "total_limit",
    )

    def __init__(self, memory_bytes=0):
        self._answer_bytes = 0
        self._body_bytes = 0
        self._bytes_by_replica = {}
        self.total_limit = int(MEMORY_SHARE * memory_bytes)
        self.replica_limit = int(REPLICA_SHARE * self.total_limit)

    @property
    def held_bytes(self):
        """Bytes held for callers: bodies of requests and unread answers."""
        return self._answer_bytes + self._body_bytes

    def may_read_body(self, size, counted=0):
        """Return whether a body of ``size`` bytes fits into what is left.

        ``counted`` bytes of it are among the held ones already.
        """
        if size < LARGE_BODY_BYTES or not self.total_limit:
            return True
        return self.held_bytes - counted + size <= self.total_limit

    def add_body(self, size):
        """Count ``size`` bytes of a request's body, negative once they are released."""
        self._body_bytes += size

    def add_answer(self, size):
        """Count ``size`` bytes of an answer, negative once they have been sent."""
        self._answer_bytes += size

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
