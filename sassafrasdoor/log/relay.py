"""A log that is reached through another instance while this one is cut off from it.

The load that this answers: the log turns single instances away, or is unreachable for
them, for five to nine seconds, and serves all others. The instance that runs the steps
or orders the loads then lost its leases, and its steps stood still for two to four
seconds; of seven and a half, the longest sample alone takes six.

Every call may be made twice, once here and once through a relay: the records that
instances append are idempotent or name what they replace.
"""

import asyncio

from sassafrasdoor.clock import LONG_AGO, deadline_in, passed, remaining
from sassafrasdoor.decisions import note
from sassafrasdoor.log.partitioned import Appended, PartitionedLog
from sassafrasdoor.metrics import counter
from sassafrasdoor.outcomes import Outcome, ReplyLost, Unavailable

ASK_AFTER = 0.35
"""Seconds without a reply after which an append goes through a relay too: a log that is
60 times slower than usual answers within 0.25 s."""
PROBE_EVERY = 1.0
"""Seconds between looks at whether the direct way answers again, one short read each:
callers are sent elsewhere until it does."""
MOST_RELAYS = 2
"""Relays asked for one call; with a half of the instances cut off, three calls of four
find one."""

RELAYED = counter("log_relayed_calls_total", "Calls through a relay, by call, result.")


class RelayedLog(PartitionedLog):
    """``direct`` is the log; ``relays()`` returns such logs of other instances."""

    __slots__ = ("_away", "_direct", "_probe", "_probe_at", "_relays")

    def __init__(self, direct, relays):
        self._direct = direct
        self._relays = relays
        self._away = asyncio.Event()
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
            if isinstance(result, Appended):
                return result
        direct = asyncio.ensure_future(
            self._direct.append(topic, part, records, deadline)
        )
        try:
            first = min(ASK_AFTER, remaining(deadline) / 2)
            await asyncio.wait([direct], timeout=first)
            if direct.done() and isinstance(direct.result(), Appended):
                return direct.result()
            relayed = await self._append_relayed(topic, part, records, deadline)
            if isinstance(relayed, Appended):
                reason = direct.result().reason if direct.done() else "no reply"
                self._found_away(reason)
                return relayed
            return _worse(await direct, relayed)
        finally:
            direct.cancel()

    async def read(self, topic, part, offset, wait, slack):
        """Return a ``RawBatch``, ``Expired`` or ``Unavailable``."""
        result = Unavailable("out of direct reach")
        asked_directly = not self.is_away
        if asked_directly:
            result = await self._read_direct(topic, part, offset, wait, slack)
            if not isinstance(result, Unavailable):
                return result
        else:
            self._look_again(topic, part, offset)
        for relay in self._relays()[:MOST_RELAYS]:
            found = await relay.read(topic, part, offset, wait, slack)
            _count("read", found)
            if not isinstance(found, Unavailable):
                if asked_directly:
                    self._found_away(result.reason)
                return found
        # Nobody else reaches it either: the direct way is as good as any.
        self._go_directly("no relay reaches it")
        return result

    async def newest(self, topic):
        """Return the ``NewestKeys`` of a keyed topic, or ``Unavailable``."""
        return await self._direct.newest(topic)

    async def _read_direct(self, topic, part, offset, wait, slack):
        """Read; give up once the log is found to be away.

        A read that waits for new records learns of a cut by its own time only, one
        and a half seconds later.
        """
        read = asyncio.ensure_future(
            self._direct.read(topic, part, offset, wait, slack)
        )
        away = asyncio.ensure_future(self._away.wait())
        try:
            await asyncio.wait([read, away], return_when=asyncio.FIRST_COMPLETED)
            if read.done():
                return read.result()
            return Unavailable("out of direct reach")
        finally:
            read.cancel()
            away.cancel()

    async def _append_relayed(self, topic, part, records, deadline):
        result = Unavailable("no relay known")
        for relay in self._relays()[:MOST_RELAYS]:
            found = await relay.append(topic, part, records, deadline)
            _count("append", found)
            if isinstance(found, Appended):
                return found
            result = _worse(result, found)
            if passed(deadline):
                break
        return result

    def _found_away(self, reason):
        if self.is_away:
            return
        note("log.relayed", reason=reason)
        self._probe_at = deadline_in(PROBE_EVERY)
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
            found = await self._direct.read(topic, part, offset, 0, ASK_AFTER)
            if not isinstance(found, Unavailable):
                self._go_directly("it answers")
        finally:
            self._probe_at = deadline_in(PROBE_EVERY)
            self._probe = None


def _worse(one, other):
    """Return the outcome of two failed appends: unknown if either may have landed."""
    return other if isinstance(other, ReplyLost) else one


def _count(call, result):
    outcome = type(result).__name__ if isinstance(result, Outcome) else "done"
    RELAYED.inc({"call": call, "result": outcome})
