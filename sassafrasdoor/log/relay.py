"""Access to the log through other instances while this one is cut off from it.

Load pattern: for five to nine seconds the log refuses single instances, or cannot be
reached by them, and serves all others. Without relays the instance that runs the steps
or orders the loads loses its leases, and its steps stop for two to four seconds. A step
must complete in seven and a half seconds, of which the longest sample takes six.

A call may be sent twice, directly and through a relay: the records that instances
append are idempotent or name what they replace.
"""

import asyncio

from sassafrasdoor.budget import Budget
from sassafrasdoor.clock import LONG_AGO, deadline_in, passed, remaining
from sassafrasdoor.decisions import note
from sassafrasdoor.log.demand import PROBE, call_purpose
from sassafrasdoor.log.partitioned import PartitionedLog
from sassafrasdoor.metrics import counter
from sassafrasdoor.outcomes import Outcome, ReplyLost, Unavailable

# Seconds without a reply before an append is also relayed. A log that is 60 times slower
# than usual still answers within 0.25 s.
HEDGE_DELAY = 0.35
# Seconds between probes of the direct path (short reads); callers are sent to other
# instances until a probe is answered.
PROBE_INTERVAL = 1.0
# Seconds allowed for a relayed read after the direct one has failed. A relay that reaches
# the log answers within 0.25 s even if the log is slow; a relay that is cut off itself may
# not have detected that yet.
MAX_RELAY_SLACK = 0.5
# Relays tried for one call. With half of the instances cut off, three calls of four
# reach the log through one of two.
MAX_RELAYS = 2
# Budget for relayed calls while the direct path is in use, as a fraction of the direct
# calls and as a burst. One answered relayed call switches all others to relays.
RELAY_SHARE, RELAY_BURST = 0.1, 6

RELAYED = counter("log_relayed_calls_total", "Calls through a relay, by call, result.")
DENIED = counter("log_relays_denied_total", "Calls that the budget did not relay.")


class RelayedLog(PartitionedLog):
    """Calls ``direct``, or the logs of other instances, which ``relays()`` returns.

    Calls ``on_append(topic, part, end)`` for each acknowledged append; ``end`` is the end
    that the partition had then.
    """

    __slots__ = (
        "_cut_off",
        "_direct_restored",
        "_budget",
        "_direct",
        "_on_append",
        "_probe",
        "_probe_at",
        "_relays",
        "_relays_missing",
    )

    def __init__(self, direct, relays, on_append=lambda topic, part, end: None):
        self._direct = direct
        self._relays = relays
        self._on_append = on_append
        self._cut_off = asyncio.Event()
        self._direct_restored = asyncio.Event()
        self._budget = Budget(RELAY_SHARE, RELAY_BURST)
        self._probe = None
        self._probe_at = LONG_AGO
        self._relays_missing = False

    @property
    def is_cut_off(self):
        """Whether calls go through relays because the direct path has failed."""
        return self._cut_off.is_set()

    async def append(self, topic, part, records, deadline):
        """Append all records or none: ``Appended``, ``Unavailable``, ``ReplyLost``."""
        result = await self._append(topic, part, records, deadline)
        if not isinstance(result, Outcome):
            self._on_append(topic, part, result.end)
        return result

    async def _append(self, topic, part, records, deadline):
        if self.is_cut_off:
            result = await self._append_relayed(topic, part, records, deadline)
            if _was_answered(result):
                return result
            return _combined_outcome(
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
                # No relay reaches the log either: the direct path is no worse.
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
        for relay in self._known_relays():
            reply = await relay.newest(topic)
            _count_relayed("newest", reply)
            if _was_answered(reply):
                return reply
        return result

    async def _hedged(self, call, delay, relay):
        """Return the first answer of the log, or the combined outcome of both calls.

        If the budget allows, ``relay()`` starts the second call after ``delay`` seconds,
        after a failure, or as soon as another call has switched to relays. A long poll
        would otherwise switch only at its own timeout, 1.5 s later.
        """
        self._budget.record_attempt()
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
            return _combined_outcome(await direct, relayed.result())
        finally:
            for task in (direct, relayed, cut_off):
                if task is not None:
                    task.cancel()

    async def _unless_direct_restored(self, call):
        """Return the result of a relayed call, or None once the direct path is restored."""
        relayed = asyncio.ensure_future(call)
        restored = asyncio.ensure_future(self._direct_restored.wait())
        try:
            await asyncio.wait([relayed, restored], return_when=asyncio.FIRST_COMPLETED)
            return relayed.result() if relayed.done() else None
        finally:
            relayed.cancel()
            restored.cancel()

    def _known_relays(self):
        """Return the relays to try for one call; log when none is known any more."""
        relays = self._relays()[:MAX_RELAYS]
        if not relays and not self._relays_missing:
            note("log.no_relay_known")
        self._relays_missing = not relays
        return relays

    async def _read_relayed(self, topic, part, offset, wait, slack, max_bytes):
        result = Unavailable("no relay reaches the log")
        for relay in self._known_relays():
            reply = await relay.read(topic, part, offset, wait, slack, max_bytes)
            _count_relayed("read", reply)
            if _was_answered(reply):
                return reply
        return result

    async def _append_relayed(self, topic, part, records, deadline):
        result = Unavailable("no relay known")
        for relay in self._known_relays():
            reply = await relay.append(topic, part, records, deadline)
            _count_relayed("append", reply)
            if _was_answered(reply):
                return reply
            result = _combined_outcome(result, reply)
            if passed(deadline):
                break
        return result

    def _switch_to_relays(self, reason):
        if self.is_cut_off:
            return
        note("log.relayed", reason=reason)
        # The unanswered call may have been sent just before the log recovered, so the next
        # read probes the direct path at once, unless that was probed less than
        # PROBE_INTERVAL ago: on an intermittent path calls would otherwise be switched
        # back and forth at the speed of the network.
        self._direct_restored.clear()
        self._cut_off.set()

    def _switch_to_direct(self, reason):
        if self.is_cut_off:
            note("log.direct_again", reason=reason)
        self._cut_off.clear()

    def _probe_if_due(self, topic, part, offset):
        """Start a probe of the direct path if one is due.

        The probe runs beside the relayed calls: a direct call would block its caller
        while the path is cut. Without probes an instance would use relays for ever, and
        no callers would be sent to it any more.
        """
        if self._probe is None and passed(self._probe_at):
            self._probe = asyncio.ensure_future(self._run_probe(topic, part, offset))

    async def _run_probe(self, topic, part, offset):
        try:
            with call_purpose(PROBE):
                result = await self._direct.read(topic, part, offset, 0, HEDGE_DELAY)
            if not isinstance(result, Unavailable):
                self._switch_to_direct("the direct path answers again")
                self._direct_restored.set()
        finally:
            self._probe_at = deadline_in(PROBE_INTERVAL)
            self._probe = None


def _was_answered(result):
    """Return whether a result comes from the log, not from a failure to reach it."""
    return not isinstance(result, (Unavailable, ReplyLost))


def _combined_outcome(first, second):
    """Return the outcome of two finished calls.

    That is ``first`` if it was answered, else ``ReplyLost`` if either is: the append may
    have taken effect.
    """
    if _was_answered(first):
        return first
    return second if isinstance(second, ReplyLost) else first


def _count_relayed(call, result):
    outcome = type(result).__name__ if isinstance(result, Outcome) else "done"
    RELAYED.inc({"call": call, "result": outcome})
