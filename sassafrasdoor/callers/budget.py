"""Decides what a process holds for its callers, and which connection yields.

Load pattern: crowds of callers that each stay inside the limits of a request send bodies
up to their last byte, heads of very many fields or requests ahead, read no answers or
send nothing, and stay connected. What one of them takes is little; together they would
take all of the memory or all descriptors, and ordinary callers would find no room.

So everything that is held for a connection is counted against one budget before it is
held. When that is full, the connection that has made no progress for longest yields;
connections that make progress stay, so that a large body is completed beside a crowd.
A request that is being served never yields. If nobody is to yield, the one that asks for
room is refused.
"""

from collections import OrderedDict
from enum import StrEnum

SMALL_BODY_BYTES = 64 * 1024  # bodies up to this size may use the reserve
SMALL_HEAD_BYTES = 32 * 1024  # decoded heads up to this size have no limit of their own
# Defaults of ``CallerLimits``.
DEFAULTS = {
    "memory_bytes": 0,
    "descriptors": 0,
    "process_bytes": 56_000_000,
    "memory_share": 0.3,
    "least_share": 0.1,
    "unfreed_share": 0.05,
    "descriptor_share": 0.75,
    "reserved_descriptors": 200,
    "answer_share": 0.5,
    "head_share": 0.25,
    "reserved_share": 0.1,
    "progress_bytes": 16 * 1024,
    "stall_time": 0.25,
    "answer_stall_time": 2.0,
}


class Phase(StrEnum):
    """What a connection is doing; it yields only where it waits for its caller."""

    WAITING = "waiting"
    """For a request's head; it may be a new connection or a kept one."""
    READING = "reading"
    SERVING = "serving"
    SENDING = "sending"
    """An answer, of which some is left to be taken by the caller."""


class Kind(StrEnum):
    """What is held for a connection."""

    CONNECTION = "connection"
    HEAD = "head"
    BODY = "body"
    DECODED = "decoded"
    ANSWER = "answer"
    RECEIVED = "received"
    """Answers of servers on their way; they count for no connection."""


class CallerLimits:
    """Limits of what is held for callers; sizes in bytes, times in seconds.

    ``memory_bytes`` and ``descriptors`` are those of the process, 0 for no limit.

    ``process_bytes`` of the memory are for code and records. Callers may take
    ``memory_share`` of it all, and are left ``least_share`` whatever else is held.
    ``unfreed_share`` may beside that be left of connections that have ended early. Of the
    descriptors they may take ``descriptor_share``, after ``reserved_descriptors``.

    Of the callers' memory ``answer_share`` may be answers that they have not taken, and as
    much answers on their way; ``head_share`` heads of many fields. ``reserved_share`` of
    it is kept from large bodies.

    A connection that has received or taken less than ``progress_bytes`` for
    ``stall_time`` may yield; one whose answer is ready, for ``answer_stall_time``.
    """

    __slots__ = tuple(DEFAULTS)

    def __init__(self, **changes):
        for name, value in {**DEFAULTS, **changes}.items():
            setattr(self, name, value)

    def __eq__(self, other):
        return all(getattr(self, name) == getattr(other, name) for name in DEFAULTS)

    @property
    def total_bytes(self):
        """Bytes that callers may take if nothing else is held, 0 for no limit."""
        return int(self.memory_share * self.memory_bytes)

    @property
    def answer_bytes(self):
        """Bytes of answers that may be ready, and that may be on their way."""
        return int(self.answer_share * self.total_bytes)

    @property
    def head_bytes(self):
        """Bytes that large heads may take."""
        return int(self.head_share * self.total_bytes)

    @property
    def unfreed_bytes(self):
        """Bytes that may be left of connections that have ended early."""
        return int(self.unfreed_share * self.memory_bytes)

    @property
    def connections(self):
        """Number of callers' connections that may be open, 0 for no limit."""
        if not self.descriptors:
            return 0
        left = self.descriptors - self.reserved_descriptors
        return max(1, int(self.descriptor_share * left))

    def bytes_beside(self, reserved):
        """Return the bytes for callers beside ``reserved`` ones; 0 for no limit."""
        least = int(self.least_share * self.memory_bytes)
        left = self._bytes_beside_process - reserved
        return max(least, min(self.total_bytes, left))

    def may_reserve(self, size):
        """Return whether ``size`` bytes may be reserved beside the least for callers."""
        least = int(self.least_share * self.memory_bytes)
        return not self.memory_bytes or size <= self._bytes_beside_process - least

    @property
    def _bytes_beside_process(self):
        return self.memory_bytes - self.process_bytes - self.unfreed_bytes


class Caller:
    """One connection: its phase, what is held for it, and when it last progressed.

    ``announced_bytes`` is the stated length of the body that is being read, 0 if none.
    ``on_yield(phase)`` is called once if it has to yield.
    """

    __slots__ = (
        "announced_bytes",
        "held",
        "held_bytes",
        "on_yield",
        "phase",
        "progressed_at",
        "unmarked_bytes",
    )

    def __init__(self, on_yield):
        self.announced_bytes = 0
        self.held = dict.fromkeys(_CALLER_KINDS, 0)
        self.held_bytes = 0
        self.on_yield = on_yield
        self.phase = None  # not counted, or no longer
        self.progressed_at = 0.0
        self.unmarked_bytes = 0


class CallerBudget:
    """Counts what is held for callers and chooses who yields; ``CallerLimits`` apply.

    Times are passed in. A caller that has to yield is no longer counted when its
    ``on_yield`` is called. What was held for a connection that has ended early is freed
    only later: ``unfreed_bytes`` of it are left until ``record_freed`` says otherwise.
    ``free_ended()`` is called when they become many. ``reserved()`` returns the bytes that
    are held for callers elsewhere.
    """

    __slots__ = (
        "_callers",
        "_caller_bytes",
        "_free_ended",
        "_held",
        "limits",
        "reserved",
        "unfreed_bytes",
    )

    def __init__(self, limits=None, free_ended=lambda: None):
        # By phase, those that have progressed least recently first.
        self._callers = {phase: OrderedDict() for phase in Phase}
        self._caller_bytes = 0
        self._free_ended = free_ended
        self._held = dict.fromkeys(Kind, 0)
        self.limits = limits or CallerLimits()
        self.reserved = lambda: 0
        self.unfreed_bytes = 0

    @property
    def connections(self):
        """Number of open connections."""
        return sum(map(len, self._callers.values()))

    @property
    def held_bytes(self):
        """Bytes held for all callers; answers on their way count up to their limit."""
        received = min(self._held[Kind.RECEIVED], self.limits.answer_bytes)
        return self._caller_bytes + received

    @property
    def total_limit(self):
        """Bytes that may be held now, 0 for no limit."""
        return self.limits.bytes_beside(self.reserved())

    def held_by_kind(self):
        """Return the bytes held for all callers by ``Kind``."""
        return dict(self._held)

    def connect(self, caller, size, current):
        """Count a new connection of ``size`` bytes; return whether there is room."""
        limit = self.limits.connections
        while limit and self.connections >= limit:
            if not self._make_one_yield(_FOR_CONNECTION, caller, current):
                return False
        if not self._has_room(caller, size, self.total_limit, current):
            return False
        self._place(caller, Phase.WAITING, current)
        self._count(caller, Kind.CONNECTION, size)
        return True

    def enter(self, caller, phase, current):
        """Move a caller to another phase, which counts as progress."""
        if caller.phase is not None:
            del self._callers[caller.phase][caller]
            self._place(caller, phase, current)

    def record_progress(self, caller, size, current):
        """Record that ``size`` bytes have been received from or taken by a caller."""
        if caller.phase is None:
            return
        caller.unmarked_bytes += size
        if caller.unmarked_bytes >= self.limits.progress_bytes:
            caller.unmarked_bytes = 0
            caller.progressed_at = current
            self._callers[caller.phase].move_to_end(caller)

    def may_announce(self, caller, size, current):
        """Return whether a body of ``size`` bytes can be expected to find room.

        It has to fit beside the requests that are being served and the bodies that make
        progress. A body counts for what has arrived of it and at most as much again: an
        announcement alone takes nothing.
        """
        if not self.total_limit:
            return True
        expected = sum(
            one.held_bytes
            for phase in (Phase.SERVING, Phase.SENDING)
            for one in self._callers[phase]
        )
        for one in reversed(self._callers[Phase.READING]):
            if self._is_stalled(one, Phase.READING, current):
                break
            body = one.held[Kind.BODY]
            expected += max(one.held_bytes, min(one.announced_bytes, 2 * body))
        return expected + caller.held_bytes + size <= self._body_limit(size)

    def hold(self, caller, kind, size, current):
        """Count ``size`` bytes for a caller before they are held.

        Returns whether they fit.
        """
        if caller.phase is None:
            return False
        limit = self.total_limit
        if kind is Kind.BODY:
            limit = self._body_limit(caller.held[Kind.BODY] + size)
        is_large_head = kind is Kind.HEAD and size > SMALL_HEAD_BYTES
        if is_large_head and not self._has_room_for_head(caller, size, current):
            return False
        if not self._has_room(caller, size, limit, current):
            return False
        self._count(caller, kind, size)
        return True

    def hold_answer(self, caller, size, current):
        """Count ``size`` bytes of a ready answer, for which others yield if need be."""
        if caller.phase is None:
            return
        self._count(caller, Kind.ANSWER, size)
        if caller.phase is Phase.SERVING:
            self.enter(caller, Phase.SENDING, current)
        if not self.total_limit:
            return
        while self._held[Kind.ANSWER] > self.limits.answer_bytes:
            if not self._make_one_yield(_FOR_ANSWERS, caller, current):
                break
        while self.held_bytes > self.total_limit:
            if not self._make_one_yield(_FOR_ANSWER, caller, current):
                break

    def change_received(self, size, current):
        """Count ``size`` more or fewer bytes of answers on their way."""
        self._held[Kind.RECEIVED] += size
        if size > 0:
            self._has_room(None, 0, self.total_limit, current)

    def free(self, caller, kind, size, current):
        """Stop counting ``size`` bytes that are no longer held for a caller."""
        if caller.phase is None:
            return
        self._count(caller, kind, -size)
        is_taken = kind is Kind.ANSWER and not caller.held[Kind.ANSWER]
        if is_taken and caller.phase is Phase.SENDING:
            self.enter(caller, Phase.SERVING, current)

    def end_request(self, caller, current):
        """Stop counting a request and its answer: the connection waits for another one."""
        if caller.phase is None:
            return
        for kind in _REQUEST_KINDS:
            if caller.held[kind]:
                self._count(caller, kind, -caller.held[kind])
        caller.announced_bytes = 0
        self.enter(caller, Phase.WAITING, current)

    def remove(self, caller):
        """Stop counting a connection that has ended."""
        if caller.phase is Phase.WAITING:
            self._uncount(caller)
        elif caller.phase is not None:
            self.abandon(caller)

    def abandon(self, caller):
        """Stop counting a connection that ends early, and is freed later."""
        if caller.phase is not None:
            self.unfreed_bytes += caller.held_bytes
            self._uncount(caller)
            self._free_if_many()

    def record_freed(self, size):
        """Record that ``size`` bytes of connections that had ended early are freed."""
        self.unfreed_bytes -= size
        self._free_if_many()

    def _free_if_many(self):
        if 2 * self.unfreed_bytes > self.limits.unfreed_bytes:
            self._free_ended()

    def _place(self, caller, phase, current):
        caller.phase = phase
        caller.progressed_at = current
        caller.unmarked_bytes = 0
        self._callers[phase][caller] = None

    def _uncount(self, caller):
        del self._callers[caller.phase][caller]
        caller.phase = None
        for kind in _CALLER_KINDS:
            self._count(caller, kind, -caller.held[kind])

    def _count(self, caller, kind, size):
        caller.held[kind] += size
        caller.held_bytes += size
        self._held[kind] += size
        self._caller_bytes += size

    def _body_limit(self, size):
        """Return the limit of all that is held when a body of ``size`` bytes grows."""
        if size <= SMALL_BODY_BYTES:
            return self.total_limit
        return int((1 - self.limits.reserved_share) * self.total_limit)

    def _has_room_for_head(self, caller, size, current):
        """Return whether a large head fits beside the others, once some have yielded."""
        limit = self.limits.head_bytes
        while limit and self._held[Kind.HEAD] + size > limit:
            if not self._make_one_yield(_FOR_HEAD, caller, current):
                return False
        return True

    def _has_room(self, caller, size, limit, current):
        """Return whether ``size`` more bytes fit, once others have yielded."""
        if not limit:
            return True
        while self.held_bytes + size > limit:
            if not self._make_one_yield(_FOR_MEMORY, caller, current):
                return False
        return self.unfreed_bytes <= self.limits.unfreed_bytes

    def _make_one_yield(self, rules, asking, current):
        """Let the first connection yield that the rules name; return whether one did."""
        for phase, needs_stall in rules:
            callers = self._callers[phase]
            caller = next((one for one in callers if one is not asking), None)
            if caller is None:
                continue
            if needs_stall and not self._is_stalled(caller, phase, current):
                continue
            self.abandon(caller)
            caller.on_yield(phase)
            return True
        return False

    def _is_stalled(self, caller, phase, current):
        limits = self.limits
        is_ready = phase is Phase.SENDING
        longest = limits.answer_stall_time if is_ready else limits.stall_time
        return current - caller.progressed_at >= longest


_CALLER_KINDS = tuple(kind for kind in Kind if kind is not Kind.RECEIVED)
_REQUEST_KINDS = tuple(kind for kind in _CALLER_KINDS if kind is not Kind.CONNECTION)
# Who yields, in this order: the phase, and whether only one that has stalled does.
_FOR_CONNECTION = (
    (Phase.WAITING, True),
    (Phase.READING, True),
    (Phase.SENDING, True),
)
_FOR_MEMORY = (
    (Phase.READING, True),
    (Phase.WAITING, True),
    (Phase.SENDING, True),
)
_FOR_HEAD = (
    (Phase.READING, True),
    (Phase.SENDING, True),
)
_FOR_ANSWERS = ((Phase.SENDING, False),)
_FOR_ANSWER = (
    *_FOR_MEMORY,
    (Phase.SENDING, False),
    (Phase.READING, False),
    (Phase.WAITING, False),
)
