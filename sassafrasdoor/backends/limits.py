"""Bounds the memory that the answers of servers take while they are received.

Load pattern: faulty servers send bytes without end, on several connections at a time,
until the caller closes. An answer that is kept until it is complete is therefore bounded,
and so are all of them together: the longest one is given up, so that those of sound
servers stay. Of data that is passed on piece by piece, only the incomplete pieces count.
"""

from collections import deque

MAX_ANSWER_BYTES = 16 * 1024 * 1024  # of one answer
MAX_RECEIVED_BYTES = 32 * 1024 * 1024  # of all answers of this process


class AnswerGivenUp(Exception):
    """Raised by a receiver of data to give up an answer; its text is the reason."""


class AnswerTooLong(AnswerGivenUp):
    """Raised if an answer, or a part of it, exceeds a bound."""


class ReceiveBudget:
    """Counts the bytes of incomplete answers; limits are in bytes.

    Complete answers are counted too until a deadline, by which they are being sent to
    their callers. ``on_change(size)`` is called when ``size`` more or fewer bytes of
    either are held.
    """

    __slots__ = (
        "_bodies",
        "_handed_bytes",
        "_handovers",
        "_held_bytes",
        "answer_limit",
        "on_change",
        "total_limit",
    )

    def __init__(self, answer_limit=MAX_ANSWER_BYTES, total_limit=MAX_RECEIVED_BYTES):
        self._bodies = set()
        self._handed_bytes = 0
        self._handovers = deque()
        self._held_bytes = 0
        self.answer_limit = answer_limit
        self.on_change = lambda size: None
        self.total_limit = total_limit

    @property
    def held_bytes(self):
        """Bytes of all incomplete answers."""
        return self._held_bytes

    def hand_over(self, size, deadline):
        """Count ``size`` bytes of a complete answer until ``deadline``, in order."""
        self._handovers.append((deadline, size))
        self._handed_bytes += size
        self.on_change(size)

    def must_wait(self, current):
        """Return whether no more is to be read until complete answers are being sent."""
        while self._handovers and self._handovers[0][0] <= current:
            _, size = self._handovers.popleft()
            self._handed_bytes -= size
            self.on_change(-size)
        held = self._held_bytes + self._handed_bytes
        return self._handed_bytes > 0 and held > self.total_limit

    def add(self, body, size):
        """Count ``size`` more bytes of a body; give up the one that is too long."""
        self._bodies.add(body)
        self._held_bytes += size
        self.on_change(size)
        if len(body) > self.answer_limit:
            body.give_up(f"answer too long: over {self.answer_limit} bytes")
        elif self._held_bytes > self.total_limit and len(self._bodies) > 1:
            longest = max(self._bodies, key=len)
            longest.give_up(f"answer too long: {len(longest)} bytes beside others")

    def subtract(self, body, size):
        """Count ``size`` fewer bytes of a body."""
        if body in self._bodies:
            self._held_bytes -= size
            self.on_change(-size)

    def remove(self, body):
        """Stop counting a body."""
        if body in self._bodies:
            self._bodies.remove(body)
            self._held_bytes -= len(body)
            self.on_change(-len(body))


class AnswerBody:
    """The body of one answer; ``on_excess(reason)`` is called if it is given up."""

    __slots__ = ("_budget", "_data", "_on_excess")

    def __init__(self, budget, on_excess):
        self._budget = budget
        self._on_excess = on_excess
        self._data = bytearray()

    @property
    def data(self):
        """The bytes received so far, not copied."""
        return self._data

    def __len__(self):
        return len(self._data)

    def allows_length(self, length):
        """Return whether an answer may state this length, in digits."""
        digits = length.lstrip("0")
        longest = str(self._budget.answer_limit)
        return (len(digits), digits) <= (len(longest), longest)

    def append(self, chunk):
        """Append a chunk."""
        self._data += chunk
        self._budget.add(self, len(chunk))

    def discard(self, size):
        """Drop the first ``size`` bytes, which have been passed on."""
        self._budget.subtract(self, size)
        del self._data[:size]

    def take(self):
        """Return the bytes received, which are no longer counted."""
        data = bytes(self._data)
        self.release()
        return data

    def release(self):
        """Free the memory; nothing is appended or reported any more."""
        self._budget.remove(self)
        self._data = bytearray()
        # Refers to the owner, whose answer would stay until garbage is collected.
        self._on_excess = None

    def give_up(self, reason):
        """Free the memory and report why."""
        on_excess = self._on_excess
        self.release()
        on_excess(reason)


# Shared by all connections, as the memory is that of the process.
RECEIVE_BUDGET = ReceiveBudget()
