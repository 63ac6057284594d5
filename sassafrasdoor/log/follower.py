"""Following a stream of the platform's log and folding it into one state."""

import asyncio
from functools import singledispatchmethod

from sassafrasdoor.clock import deadline_in, now, passed, remaining
from sassafrasdoor.log import checkpoints
from sassafrasdoor.log.interface import Batch
from sassafrasdoor.logs import changed
from sassafrasdoor.metrics import counter, gauge
from sassafrasdoor.outcomes import Expired, Unavailable

BATCH_SIZE = 500
# A silent connection is found after this and the call timeout.
LONG_POLL_TIMEOUT = 2.0
SCAN_WINDOW_FACTOR = 2
FIRST_OFFSET = 1

RECORDS_FOLDED = counter(
    "log_records_folded_total", "Records folded into the agreed state."
)
RECOVERIES = counter("log_recoveries_total", "Starts from a checkpoint, by result.")
CHECKPOINTS_WRITTEN = counter(
    "log_checkpoints_total", "Checkpoints appended, by result."
)
AS_OF_OFFSET = gauge("log_as_of_offset", "Next offset to read of the agreed stream.")


class Follower:
    """Holds the state that the log agrees on; only ever moves forward.

    ``initial`` is the state before the first record; its class offers
    ``as_document()`` and ``from_document(document)``. ``fold(state, record)`` is
    pure and returns ``state`` itself where nothing changes. ``may_checkpoint()``
    says whether this instance is the one that writes checkpoints now, and
    ``may_poll()`` whether it reads the log itself or leaves that to peers.
    """

    __slots__ = (
        "_as_of",
        "_callbacks",
        "_checkpoint",
        "_checkpoint_deadline",
        "_confirmed_at",
        "_first_offset",
        "_fold",
        "_folded_since",
        "_log",
        "_notified",
        "_checkpoint_not_before",
        "_is_reachable",
        "_settings",
        "_started",
        "_state",
        "_last_error",
        "_is_usable",
        "may_checkpoint",
        "may_poll",
    )

    def __init__(
        self,
        settings,
        log,
        fold,
        initial,
        may_checkpoint=lambda: False,
        may_poll=lambda: True,
    ):
        self._settings = settings.platform
        self._log = log
        self._fold = fold
        self._state = initial
        self._as_of = 0
        self._confirmed_at = None
        self._callbacks = []
        self._notified = initial
        self._is_usable = False
        self._last_error = "too slow"
        self._started = False
        self._is_reachable = True
        self._first_offset = 0
        self._folded_since = 0
        self._checkpoint = None
        self._checkpoint_deadline = self._next_checkpoint()
        self._checkpoint_not_before = now()
        self.may_checkpoint = may_checkpoint
        self.may_poll = may_poll

    @property
    def state(self):
        """The state with all records below ``as_of`` folded in."""
        return self._state

    @property
    def as_of(self):
        """The next offset to read."""
        return self._as_of

    @property
    def confirmed_at(self):
        """When the log last said that there is nothing newer; None: never yet.

        Monotonic time at which that question was sent, so never too late.
        """
        return self._confirmed_at

    def on_change(self, callback):
        """Call ``callback(state)`` on each new state once it is up to date."""
        self._callbacks.append(callback)

    def adopt(self, state, as_of, confirmed_at=None):
        """Take over a peer's state if it is further on; say whether it was.

        ``confirmed_at`` is the peer's, on our clock. A peer hands on only a state
        that was confirmed to it.
        """
        forward = as_of > self._as_of
        if forward:
            self._set_state(state, as_of)
            self._is_usable = True
        if confirmed_at is not None and as_of >= self._as_of:
            self._confirm(confirmed_at)
        self._notify()
        return forward

    async def run(self):
        """Follow until cancelled."""
        while True:
            started = now()
            progress = self.may_poll() and await self.poll(LONG_POLL_TIMEOUT)
            await self._write_checkpoint_if_due()
            # A log that does not hold a poll open, or is down, answers at once; we
            # would spin and load it with reads.
            if not progress:
                pause = self._settings.poll_interval - (now() - started)
                await asyncio.sleep(max(0.0, pause))

    async def poll(self, wait):
        """Read once, waiting up to ``wait`` seconds; say whether anything came."""
        if not self._started and not await self._start():
            return False
        sent_at = now()
        stream = self._settings.agreed_stream
        result = await self._log.read(stream, self._as_of, BATCH_SIZE, wait)
        self._record_reachability(result)
        return await self._apply_result(result, sent_at)

    async def catch_up(self, deadline):
        """Poll until the log confirms the state; ``Unavailable`` after ``deadline``."""
        asked_at = now()
        while True:
            progress = await self.poll(0)
            if self._confirmed_at is not None and self._confirmed_at >= asked_at:
                return self._state
            if passed(deadline):
                return Unavailable(f"log did not confirm the state: {self._last_error}")
            if not progress:
                await asyncio.sleep(
                    min(remaining(deadline), self._settings.poll_interval)
                )

    async def _start(self):
        # Reading all that is kept would cost a start minutes where the log keeps
        # days, so a start is made from a checkpoint where there is one.
        checkpoint = await self._recover()
        self._started = checkpoint is None or bool(checkpoint)
        return self._started

    async def _recover(self):
        checkpoint = await checkpoints.newest_usable(
            self._log,
            self._settings.agreed_stream,
            type(self._state),
            SCAN_WINDOW_FACTOR * self._settings.checkpoint_every,
        )
        self._record_reachability(checkpoint)
        if checkpoint:
            self._record_checkpoint(checkpoint)
            # Never back: what we know may be further on than any checkpoint.
            if checkpoint.as_of > self._as_of:
                self._set_state(checkpoint.state, checkpoint.as_of)
                RECOVERIES.inc({"result": "moved"})
                changed("log.recovered", as_of=checkpoint.as_of, at=checkpoint.offset)
        return checkpoint

    @singledispatchmethod
    async def _apply_result(self, result, sent_at):
        return False

    @_apply_result.register
    async def _(self, batch: Batch, sent_at):
        self._first_offset = batch.first_offset
        for record in batch.records:
            self._fold_in(record)
        self._as_of = max(self._as_of, batch.next_offset)
        AS_OF_OFFSET.set({}, self._as_of)
        if len(batch.records) < BATCH_SIZE:
            self._confirm(sent_at)
        self._notify()
        return bool(batch.records)

    @_apply_result.register
    async def _(self, expired: Expired, sent_at):
        if not self._as_of and expired.first <= FIRST_OFFSET:
            # Nothing has expired: this log begins at its first offset, not at 0.
            self._as_of = expired.first
            return True
        # The log forgot records that we have not read; folding on without them
        # would let this reader disagree with all others for good.
        checkpoint = await self._recover()
        if checkpoint and checkpoint.as_of >= expired.first:
            return True
        RECOVERIES.inc({"result": "none"})
        self._last_error = "records have expired and no checkpoint of them is kept"
        return False

    def _fold_in(self, record):
        # A batch may begin below what a peer's state has brought meanwhile.
        if record.offset < self._as_of:
            return
        if checkpoints.is_checkpoint(record):
            self._record_checkpoint(checkpoints.decode(record, type(self._state)))
        else:
            self._state = self._fold(self._state, record)
            self._folded_since += 1
        self._as_of = record.offset + 1
        RECORDS_FOLDED.inc({})

    def _set_state(self, state, as_of):
        self._state = state
        self._as_of = as_of

    def _confirm(self, at):
        self._confirmed_at = max(at, self._confirmed_at or at)
        self._is_usable = True

    def _notify(self):
        # A start folds old revisions one after another; nobody may act on those.
        if not self._is_usable or self._state is self._notified:
            return
        self._notified = self._state
        for callback in self._callbacks:
            callback(self._state)

    def _record_reachability(self, result):
        reachable = not isinstance(result, Unavailable)
        if reachable != self._is_reachable:
            reason = "" if reachable else result.reason
            changed("log.reachable", reachable=reachable, reason=reason)
        if not reachable:
            self._last_error = result.reason
        self._is_reachable = reachable

    def _record_checkpoint(self, checkpoint):
        if checkpoint is None:
            return
        if self._checkpoint and checkpoint.as_of <= self._checkpoint.as_of:
            return
        self._checkpoint = checkpoints.Checkpoint(
            checkpoint.offset, checkpoint.as_of, None
        )
        self._folded_since = 0
        self._checkpoint_deadline = self._next_checkpoint()
        self._checkpoint_not_before = now()

    def _next_checkpoint(self):
        return deadline_in(self._settings.checkpoint_interval)

    @property
    def is_checkpoint_due(self):
        """Whether the newest checkpoint is so old that another is needed."""
        if (
            not self._as_of
            or not self._is_usable
            or not passed(self._checkpoint_not_before)
        ):
            return False
        return (
            self._folded_since >= self._settings.checkpoint_every
            or passed(self._checkpoint_deadline)
            or self._checkpoint_near_expiry
        )

    @property
    def _checkpoint_near_expiry(self):
        # The newest checkpoint is gone, or half of what the log keeps has come
        # after it: wait longer and it vanishes, and with it every table whose
        # record has expired. While nothing has expired what the log keeps is not
        # known, and all that there is counts: had we waited to see the first
        # record go, the table's might be that record.
        newest = self._checkpoint.as_of if self._checkpoint else 0
        if newest < self._first_offset:
            return True
        kept = self._as_of - self._first_offset
        return self._folded_since > 0 and newest - self._first_offset < kept / 2

    async def _write_checkpoint_if_due(self):
        if not self.is_checkpoint_due or not self.may_checkpoint():
            return
        body = checkpoints.body(self._state, self._as_of)
        result = await self._log.append(self._settings.agreed_stream, body)
        CHECKPOINTS_WRITTEN.inc({"result": type(result).__name__})
        # Whether it arrived is seen by reading it back. Until then not again: a
        # log that answers slowly would be filled with copies.
        self._checkpoint_not_before = deadline_in(self._settings.call_timeout)
