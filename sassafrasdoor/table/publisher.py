"""Publishes a table: appends a proposal once and reads the decision from the fold."""

import asyncio
import uuid

from sassafrasdoor.clock import passed, remaining
from sassafrasdoor.log import agreed
from sassafrasdoor.log.follower import Follower
from sassafrasdoor.outcomes import Rejected, ReplyLost, Unavailable
from sassafrasdoor.table.rows import table_from

POLL_TIMEOUT = 1.0  # seconds
POLL_RETRY_DELAY = 0.1  # seconds; a log that is down fails polls at once


class LostRace(Rejected):
    """The base has been replaced by revision ``winner`` of ``winner_author``."""

    __slots__ = ("winner", "winner_author")

    def __init__(self, winner, winner_author, findings=()):
        author = winner_author or "nobody"
        super().__init__(f"revision {winner} by {author} is in force", findings)
        self.winner = winner
        self.winner_author = winner_author


class Publisher:
    """Proposes one table and follows the log until the fold has decided on it.

    A ``deadline`` is on the monotonic clock and bounds the whole call.
    """

    __slots__ = ("_decision", "_follower", "_id", "_last_folded", "_log", "_settings")

    def __init__(self, settings, log):
        self._settings = settings
        self._log = log
        self._id = uuid.uuid4().hex
        self._decision = None
        self._last_folded = None
        self._follower = Follower(settings, log, self._fold, agreed.Agreed())

    async def propose(self, document, base, author, deadline):
        """Return the accepted ``Decision`` or an outcome.

        ``Rejected`` (``LostRace`` if another proposal won) is final and without
        effect; ``Unavailable``: nothing was published; ``ReplyLost``: not decided by
        the ``deadline``, the proposal may still be accepted.
        """
        table = table_from(document)
        if not table:
            return table
        state = await self._follower.catch_up(deadline)
        if not state:
            return state
        if state.revision != base:
            return LostRace(state.revision, state.accepted.author)
        appended = await self._append(table, base, author)
        if isinstance(appended, Unavailable):
            return appended
        # After a lost reply the log is read for our id: a second append would publish
        # a copy of a proposal that may have been accepted.
        return await self._wait_for_decision(base, deadline)

    async def _append(self, table, base, author):
        body = {
            "kind": "proposal",
            "id": self._id,
            "base": base,
            "author": author,
            "table": table.model_dump(mode="json"),
        }
        return await self._log.append(self._settings.platform.agreed_stream, body)

    async def _wait_for_decision(self, base, deadline):
        while not self._decision:
            if passed(deadline):
                return self._outcome_at_deadline(base)
            if not await self._follower.poll(min(POLL_TIMEOUT, remaining(deadline))):
                await asyncio.sleep(min(POLL_RETRY_DELAY, remaining(deadline)))
        if self._decision.accepted:
            return self._decision
        if self._decision.winner == base:
            return Rejected("proposal rejected", self._decision.findings)
        return LostRace(
            self._decision.winner,
            self._decision.winner_author,
            self._decision.findings,
        )

    def _outcome_at_deadline(self, base):
        state = self._follower.state
        if state.revision != base and state is self._last_folded:
            # Our record can't win any more, as its base has been replaced. This is
            # unknown if a checkpoint made the follower skip records.
            return LostRace(state.revision, state.accepted.author)
        return ReplyLost(f"proposal {self._id} has not been seen in the log yet")

    def _fold(self, state, record):
        # Checked after each record: the state keeps only the latest decisions.
        after = self._last_folded = agreed.fold(state, record)
        if self._decision is None:
            self._decision = after.accepted.decision(self._id)
        return after


async def propose(settings, log, document, base, author, deadline):
    """Propose a table once; see ``Publisher.propose``."""
    return await Publisher(settings, log).propose(document, base, author, deadline)
