"""Decides to which send an answer on a connection belongs.

The id of a request names the request, and a request may be sent to a server more than
once. An id is sent at most once on a connection, so that connection and id together name
one send, and an answer that bears the id can only be the answer to that send. Servers
may answer twice, late, or without an id; such answers are dropped.
"""

from enum import Enum

MAX_EXCHANGES = 512  # of a connection; bounds the ids that its ledger holds


class Verdict(Enum):
    """What to do with an answer.

    ``OWN`` is the answer to the current send, ``FINAL`` too, but the connection is not
    kept after it. ``REJECT`` fails the current send, as no other answer can follow.
    ``DROP`` reads the answer and waits for the next one; ``CLOSE`` closes the
    connection.
    """

    OWN = "own"
    FINAL = "own, final"
    REJECT = "reject"
    DROP = "drop"
    CLOSE = "close"


class _State(Enum):
    """The current send of a connection.

    ``UNNAMED`` and ``FIRST`` sends are the first on it, without and with an id.
    """

    IDLE = "idle"
    UNNAMED = "unnamed"
    FIRST = "first"
    LATER = "later"


class Mark(Enum):
    """How the head of an answer relates to the id of the current send."""

    SAME_ID = "same id"
    OTHER_ID = "another id"
    NO_ID = "no id"
    REFUSAL_WITHOUT_ID = "refusal without id"


_VERDICTS = {
    (_State.FIRST, Mark.SAME_ID): Verdict.OWN,
    (_State.FIRST, Mark.OTHER_ID): Verdict.REJECT,
    (_State.FIRST, Mark.NO_ID): Verdict.REJECT,
    # Nothing else was sent on the connection, and it carries no caller's data.
    (_State.FIRST, Mark.REFUSAL_WITHOUT_ID): Verdict.FINAL,
    (_State.LATER, Mark.SAME_ID): Verdict.OWN,
    **{(_State.UNNAMED, mark): Verdict.OWN for mark in Mark},
}


class AnswerHead:
    """What the head of an answer says about the request that it belongs to.

    ``is_refusal`` says that the request was not run, ``is_framed`` that the end of the
    answer can be found without the end of the connection.
    """

    __slots__ = ("is_framed", "is_refusal", "request_id")

    def __init__(self, request_id, is_refusal, is_framed):
        self.request_id = request_id
        self.is_refusal = is_refusal
        self.is_framed = is_framed


class Ledger:
    """The sends on one connection to a server whose answers bear the request's id.

    Requests without an id are sent on new connections only: on a kept one a late answer
    without id could be taken for theirs.
    """

    __slots__ = ("_current_id", "_ids", "_state", "exchanges")

    def __init__(self):
        self._current_id = None
        self._ids = set()
        self._state = _State.IDLE
        self.exchanges = 0

    @property
    def is_retired(self):
        """Whether the connection may carry no further request."""
        return self.exchanges >= MAX_EXCHANGES

    def may_carry(self, request_id):
        """Return whether a request may be sent on the connection."""
        if self._state is not _State.IDLE or self.is_retired:
            return False
        if request_id is None:
            return not self.exchanges
        return request_id not in self._ids

    def begin(self, request_id):
        """Record that a request is sent."""
        if not self.may_carry(request_id):
            raise ValueError(f"request {request_id!r} may not use this connection")
        if request_id is None:
            self._state = _State.UNNAMED
        else:
            self._state = _State.LATER if self.exchanges else _State.FIRST
            self._ids.add(request_id)
        self._current_id = request_id
        self.exchanges += 1

    def end(self):
        """Record that the answer to the current send has been read."""
        self._state = _State.IDLE
        self._current_id = None

    def mark(self, head):
        """Return the ``Mark`` of an answer."""
        if head.request_id is None:
            return Mark.REFUSAL_WITHOUT_ID if head.is_refusal else Mark.NO_ID
        if head.request_id == self._current_id:
            return Mark.SAME_ID
        return Mark.OTHER_ID

    def judge(self, head):
        """Return the ``Verdict`` on an answer."""
        default = Verdict.DROP if head.is_framed else Verdict.CLOSE
        return _VERDICTS.get((self._state, self.mark(head)), default)


class SequentialLedger:
    """The sends on one connection to a server whose answers bear no id.

    Each answer belongs to the current send; none may arrive between two exchanges.
    """

    __slots__ = ("_is_waiting", "exchanges")

    def __init__(self):
        self._is_waiting = False
        self.exchanges = 0

    @property
    def is_retired(self):
        """Whether the connection may carry no further request."""
        return False

    def may_carry(self, request_id):
        """Return whether a request may be sent on the connection."""
        return not self._is_waiting

    def begin(self, request_id):
        """Record that a request is sent."""
        self._is_waiting = True
        self.exchanges += 1

    def end(self):
        """Record that the answer to the current send has been read."""
        self._is_waiting = False

    def mark(self, head):
        """Return the ``Mark`` of an answer."""
        return Mark.NO_ID

    def judge(self, head):
        """Return the ``Verdict`` on an answer."""
        return Verdict.OWN if self._is_waiting else Verdict.CLOSE
