"""A log that is reached through another instance while this one is cut off from it.

The load that this answers: the log turns single instances away, or is unreachable for
them, for five to nine seconds, and serves all others. The instance that runs the steps
or orders the loads then lost its leases, and its steps stood still for two to four
seconds; of seven and a half, the longest sample alone takes six.

Every call may be made twice, once here and once through a relay: the records that
instances append are idempotent or name what they replace.
"""

import asyncio

from sassafrasdoor.budget import Budget
from sassafrasdoor.clock import LONG_AGO, deadline_in, passed, remaining
from sassafrasdoor.decisions import note
from sassafrasdoor.log.demand import PROBE, call_purpose
from sassafrasdoor.log.partitioned import PartitionedLog
from sassafrasdoor.metrics import counter
from sassafrasdoor.outcomes import Outcome, ReplyLost, Unavailable

HEDGE_DELAY = 0.35
"""Seconds without a reply after which an append goes through a relay too: a log that is
60 times slower than usual answers within 0.25 s."""
PROBE_INTERVAL = 1.0
"""Seconds between looks at whether the direct way answers again, one short read each:
callers are sent elsewhere until it does."""
MAX_RELAY_SLACK = 0.5
"""Seconds that a relay is given for a read whose direct way has failed: one that reaches
the log answers within 0.25 s also where that is slow, the others do not know yet."""
MAX_RELAYS = 2
"""Relays asked for one call; with a half of the instances cut off, three calls of four
find one."""
RELAY_SHARE, RELAY_BURST = 0.1, 6
"""Relayed calls as a share of direct ones, and at once, while the direct way is in use:
one that is answered takes all others along."""

RELAYED = counter("log_relayed_calls_total", "Calls through a relay, by call, result.")
DENIED = counter("log_relays_denied_total", "Calls that the budget did not relay.")


class RelayedLog(PartitionedLog):
    """``direct`` is the log; ``relays()`` returns such logs of other instances."""

    __slots__ = (
        "_cut_off",
        "_direct_restored",
        "_budget",
        "_direct",
        "_probe",
        "_probe_at",
        "_relays",
    )

    def __init__(self, direct, relays):
        self._direct = direct
        self._relays = relays
        self._cut_off = asyncio.Event()
        self._direct_restored = asyncio.Event()
        self._budget = Budget(RELAY_SHARE, RELAY_BURST)
        self._probe = None
        self._probe_at = LONG_AGO

    @property
    def is_cut_off(self):
        """Whether the log is believed to be out of direct reach."""
        return self._cut_off.is_set()

    async def append(self, topic, part, records, deadline):
        """Append all records or none: ``Appended``, ``Unavailable``, ``ReplyLost``."""
        if self.is_cut_off:
            result = await self._append_relayed(topic, part, records, deadline)
            if _was_answered(result):
                return result
            return _less_certain(
                await self._direct.append(topic, part, records, deadline), result
            )
        return await self._hedged(
            self._direct.append(topic, part, records, deadline),
            min(HEDGE_DELAY, remaining(deadline) / 2),
            lambda: self._append_relayed(topic, part, records, deadline),
        )

    async def read(self, topic, part, offset, wait, slack, max_bytes=None):
        """Return a ``RawBatch``, ``Expired`` or ``Unavailable``."""
        if self.is_cut_off:
            self._probe_if_due(topic, part, offset)
            result = await self._unless_direct_restored(
                self._read_relayed(topic, part, offset, wait, slack, max_bytes)
            )
            if result is None:
                return await self._direct.read(
                    topic, part, offset, wait, slack, max_bytes
                )
            if isinstance(result, Unavailable):
                # Nobody else reaches it either: the direct way is as good as any.
                self._switch_to_direct(result.reason)
            return result
        return await self._hedged(
            self._direct.read(topic, part, offset, wait, slack, max_bytes),
            wait + slack,
            lambda: self._read_relayed(
                topic, part, offset, 0, min(slack, MAX_RELAY_SLACK), max_bytes
            ),
        )

    async def newest(self, topic):
        """Return the ``NewestKeys`` of a keyed topic, or ``Unavailable``."""
        if not self.is_cut_off:
            return await self._direct.newest(topic)
        result = Unavailable("no relay reaches the log")
        for relay in self._relays()[:MAX_RELAYS]:
            reply = await relay.newest(topic)
            _count_relayed("newest", reply)
            if _was_answered(reply):
                return reply
        return result

    async def _hedged(self, call, delay, relay):
        """Return the first answer of the log, or what became of both calls.

        ``relay()`` begins the other call, if the budget allows it: after ``patience``
        seconds, after a failure, or once another call has found the log away. A read
        that waits for new records would learn of that by its own time only, one and a
        half seconds later.
        """
        self._budget.tried()
        direct = asyncio.ensure_future(call)
        relayed = None
        cut_off = asyncio.ensure_future(self._cut_off.wait())
        try:
            await asyncio.wait(
                [direct, cut_off],
                timeout=delay,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if direct.done() and _was_answered(direct.result()):
                return direct.result()
            if not (self.is_cut_off or self._budget.take()):
                DENIED.inc({})
                await asyncio.wait(
                    [direct, cut_off], return_when=asyncio.FIRST_COMPLETED
                )
                if direct.done():
                    return direct.result()
            relayed = asyncio.ensure_future(relay())
            await asyncio.wait([direct, relayed], return_when=asyncio.FIRST_COMPLETED)
            if direct.done() and _was_answered(direct.result()):
                return direct.result()
            if _was_answered(await relayed):
                self._switch_to_relays(
                    direct.result().reason if direct.done() else "silent"
                )
                return relayed.result()
            return _less_certain(await direct, relayed.result())
        finally:
            for task in (direct, relayed, cut_off):
                if task is not None:
                    task.cancel()

    async def _unless_direct_restored(self, call):
        """Return the result of a relayed call, None once the direct way answers."""
        relayed = asyncio.ensure_future(call)
        restored = asyncio.ensure_future(self._direct_restored.wait())
        try:
            await asyncio.wait([relayed, restored], return_when=asyncio.FIRST_COMPLETED)
            return relayed.result() if relayed.done() else None
        finally:
            relayed.cancel()
            restored.cancel()

    async def _read_relayed(self, topic, part, offset, wait, slack, max_bytes):
        result = Unavailable("no relay reaches the log")
        for relay in self._relays()[:MAX_RELAYS]:
            reply = await relay.read(topic, part, offset, wait, slack, max_bytes)
            _count_relayed("read", reply)
            if _was_answered(reply):
                return reply
        return result

    async def _append_relayed(self, topic, part, records, deadline):
        result = Unavailable("no relay known")
        for relay in self._relays()[:MAX_RELAYS]:
            reply = await relay.append(topic, part, records, deadline)
            _count_relayed("append", reply)
            if _was_answered(reply):
                return reply
            result = _less_certain(result, reply)
            if passed(deadline):
                break
        return result

    def _switch_to_relays(self, reason):
        if self.is_cut_off:
            return
        note("log.relayed", reason=reason)
        # The call that went unanswered may have been sent just before the log's return,
        # so the direct way is probed at once, unless it has just been probed: a way that
        # answers by turns would otherwise be changed at the speed of the network.
        self._direct_restored.clear()
        self._cut_off.set()

    def _switch_to_direct(self, reason):
        if self.is_cut_off:
            note("log.direct_again", reason=reason)
        self._cut_off.clear()

    def _probe_if_due(self, topic, part, offset):
        """Ask the direct way beside the relays, once in a while.

        A call that went there by itself would wait in vain while the way is cut; calls
        that never do would be relayed for good, as one would notice by an instance to
        which no caller is sent any more.
        """
        if self._probe is None and passed(self._probe_at):
            self._probe = asyncio.ensure_future(self._run_probe(topic, part, offset))

    async def _run_probe(self, topic, part, offset):
        try:
            with call_purpose(PROBE):
                result = await self._direct.read(topic, part, offset, 0, HEDGE_DELAY)
            if not isinstance(result, Unavailable):
                self._switch_to_direct("it answers")
                self._direct_restored.set()
        finally:
            self._probe_at = deadline_in(PROBE_INTERVAL)
            self._probe = None


def _was_answered(result):
    """Say whether this is what the log itself said, not a failure on the way to it."""
    return not isinstance(result, (Unavailable, ReplyLost))


def _less_certain(first, second):
    """Return the outcome of two calls that are over: unknown if an append may have
    landed, an answer where there is one."""
    if _was_answered(first):
        return first
    return second if isinstance(second, ReplyLost) else first


def _count_relayed(call, result):
    outcome = type(result).__name__ if isinstance(result, Outcome) else "done"
    RELAYED.inc({"call": call, "result": outcome})
