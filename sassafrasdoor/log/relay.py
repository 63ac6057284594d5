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
from sassafrasdoor.log.demand import PROBE, asked_for
from sassafrasdoor.log.partitioned import PartitionedLog
from sassafrasdoor.metrics import counter
from sassafrasdoor.outcomes import Outcome, ReplyLost, Unavailable

ASK_AFTER = 0.35
"""Seconds without a reply after which an append goes through a relay too: a log that is
60 times slower than usual answers within 0.25 s."""
PROBE_EVERY = 1.0
"""Seconds between looks at whether the direct way answers again, one short read each:
callers are sent elsewhere until it does."""
RELAY_SLACK = 0.5
"""Seconds that a relay is given for a read whose direct way has failed: one that reaches
the log answers within 0.25 s also where that is slow, the others do not know yet."""
MOST_RELAYS = 2
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
        "_away",
        "_back",
        "_budget",
        "_direct",
        "_probe",
        "_probe_at",
        "_relays",
    )

    def __init__(self, direct, relays):
        self._direct = direct
        self._relays = relays
        self._away = asyncio.Event()
        self._back = asyncio.Event()
        self._budget = Budget(RELAY_SHARE, RELAY_BURST)
        self._probe = None
        self._probe_at = LONG_AGO

    @property
    def is_away(self):
        """Whether the log is believed to be out of direct reach."""
        return self._away.is_set()

    async def append(self, topic, part, records, deadline):
        """Append all records or none: ``Appended``, ``Unavailable``, ``ReplyLost``."""
        if self.is_away:
            result = await self._append_relayed(topic, part, records, deadline)
            if _answers(result):
                return result
            return _worse(
                await self._direct.append(topic, part, records, deadline), result
            )
        return await self._hedged(
            self._direct.append(topic, part, records, deadline),
            min(ASK_AFTER, remaining(deadline) / 2),
            lambda: self._append_relayed(topic, part, records, deadline),
        )

    async def read(self, topic, part, offset, wait, slack, most=None):
        """Return a ``RawBatch``, ``Expired`` or ``Unavailable``."""
        if self.is_away:
            self._look_again(topic, part, offset)
            result = await self._until_back(
                self._read_relayed(topic, part, offset, wait, slack, most)
            )
            if result is None:
                return await self._direct.read(topic, part, offset, wait, slack, most)
            if isinstance(result, Unavailable):
                # Nobody else reaches it either: the direct way is as good as any.
                self._go_directly(result.reason)
            return result
        return await self._hedged(
            self._direct.read(topic, part, offset, wait, slack, most),
            wait + slack,
            lambda: self._read_relayed(
                topic, part, offset, 0, min(slack, RELAY_SLACK), most
            ),
        )

    async def newest(self, topic):
        """Return the ``NewestKeys`` of a keyed topic, or ``Unavailable``."""
        if not self.is_away:
            return await self._direct.newest(topic)
        result = Unavailable("no relay reaches the log")
        for relay in self._relays()[:MOST_RELAYS]:
            found = await relay.newest(topic)
            _count("newest", found)
            if _answers(found):
                return found
        return result

    async def _hedged(self, call, patience, relay):
        """Return the first answer of the log, or what became of both calls.

        ``relay()`` begins the other call, if the budget allows it: after ``patience``
        seconds, after a failure, or once another call has found the log away. A read
        that waits for new records would learn of that by its own time only, one and a
        half seconds later.
        """
        self._budget.tried()
        direct = asyncio.ensure_future(call)
        relayed = None
        away = asyncio.ensure_future(self._away.wait())
        try:
            await asyncio.wait(
                [direct, away],
                timeout=patience,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if direct.done() and _answers(direct.result()):
                return direct.result()
            if not (self.is_away or self._budget.take()):
                DENIED.inc({})
                await asyncio.wait([direct, away], return_when=asyncio.FIRST_COMPLETED)
                if direct.done():
                    return direct.result()
            relayed = asyncio.ensure_future(relay())
            await asyncio.wait([direct, relayed], return_when=asyncio.FIRST_COMPLETED)
            if direct.done() and _answers(direct.result()):
                return direct.result()
            if _answers(await relayed):
                self._found_away(direct.result().reason if direct.done() else "silent")
                return relayed.result()
            return _worse(await direct, relayed.result())
        finally:
            for task in (direct, relayed, away):
                if task is not None:
                    task.cancel()

    async def _until_back(self, call):
        """Return the result of a relayed call, None once the direct way answers."""
        relayed = asyncio.ensure_future(call)
        back = asyncio.ensure_future(self._back.wait())
        try:
            await asyncio.wait([relayed, back], return_when=asyncio.FIRST_COMPLETED)
            return relayed.result() if relayed.done() else None
        finally:
            relayed.cancel()
            back.cancel()

    async def _read_relayed(self, topic, part, offset, wait, slack, most):
        result = Unavailable("no relay reaches the log")
        for relay in self._relays()[:MOST_RELAYS]:
            found = await relay.read(topic, part, offset, wait, slack, most)
            _count("read", found)
            if _answers(found):
                return found
        return result

    async def _append_relayed(self, topic, part, records, deadline):
        result = Unavailable("no relay known")
        for relay in self._relays()[:MOST_RELAYS]:
            found = await relay.append(topic, part, records, deadline)
            _count("append", found)
            if _answers(found):
                return found
            result = _worse(result, found)
            if passed(deadline):
                break
        return result

    def _found_away(self, reason):
        if self.is_away:
            return
        note("log.relayed", reason=reason)
        # The call that went unanswered may have been sent just before the log's return,
        # so the direct way is probed at once, unless it has just been probed: a way that
        # answers by turns would otherwise be changed at the speed of the network.
        self._back.clear()
        self._away.set()

    def _go_directly(self, reason):
        if self.is_away:
            note("log.direct_again", reason=reason)
        self._away.clear()

    def _look_again(self, topic, part, offset):
        """Ask the direct way beside the relays, once in a while.

        A call that went there by itself would wait in vain while the way is cut; calls
        that never do would be relayed for good, as one would notice by an instance to
        which no caller is sent any more.
        """
        if self._probe is None and passed(self._probe_at):
            self._probe = asyncio.ensure_future(self._probed(topic, part, offset))

    async def _probed(self, topic, part, offset):
        try:
            with asked_for(PROBE):
                found = await self._direct.read(topic, part, offset, 0, ASK_AFTER)
            if not isinstance(found, Unavailable):
                self._go_directly("it answers")
                self._back.set()
        finally:
            self._probe_at = deadline_in(PROBE_EVERY)
            self._probe = None


def _answers(result):
    """Say whether this is what the log itself said, not a failure on the way to it."""
    return not isinstance(result, (Unavailable, ReplyLost))


def _worse(one, other):
    """Return the outcome of two calls that are over: unknown if an append may have
    landed, an answer where there is one."""
    if _answers(one):
        return one
    return other if isinstance(other, ReplyLost) else one


def _count(call, result):
    outcome = type(result).__name__ if isinstance(result, Outcome) else "done"
    RELAYED.inc({"call": call, "result": outcome})
