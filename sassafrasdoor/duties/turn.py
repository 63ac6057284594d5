"""Whose turn it is to call the platform: the holder of the lease, after its handover."""

from sassafrasdoor.clock import deadline_in, passed


class Turn:
    """The fencing number under which this process may act on a duty.

    ``holder`` has ``fence``, the fencing number while this process holds the lease, and
    ``identity``. ``handover()`` returns the seconds that a new holder waits before its
    first call: calls of the former one may still arrive.
    """

    __slots__ = (
        "_fence",
        "_handover",
        "_handover_deadline",
        "_holder",
        "_refused_fence",
    )

    def __init__(self, holder, handover):
        self._holder = holder
        self._handover = handover
        self._fence = self._refused_fence = 0
        self._handover_deadline = deadline_in(0)

    @property
    def identity(self):
        """The name under which the holder calls."""
        return self._holder.identity

    @property
    def is_held(self):
        """Whether this process holds the lease, even if it must not act yet."""
        return bool(self._holder.fence)

    @property
    def fence(self):
        """The fencing number, 0 if this process must not act; read it before each call."""
        fence = self._holder.fence
        if fence != self._fence:
            self._fence = fence
            self._handover_deadline = deadline_in(self._handover())
        if fence <= self._refused_fence or not passed(self._handover_deadline):
            return 0
        return fence

    def record_refusal(self, fence):
        """Stop using a fencing number: another holder has used a higher one."""
        self._refused_fence = max(self._refused_fence, fence)
