"""A reader that folds a stream of the platform's log into one state."""

import asyncio
from functools import singledispatchmethod

from sassafrasdoor.clock import deadline_in, now, passed, remaining
from sassafrasdoor.log import checkpoints
from sassafrasdoor.log.interface import Batch
from sassafrasdoor.logs import changed
from sassafrasdoor.metrics import counter, gauge
from sassafrasdoor.outcomes import Expired, Unavailable

BATCH_SIZE = 500  # records of one read
# Seconds; a connection that stopped answering is detected after this and call_timeout.
LONG_POLL_TIMEOUT = 2.0
# Offsets searched first for a checkpoint, in units of checkpoint_every.
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
    """Holds the state folded from the stream; never returns to an earlier one.

    ``initial`` is the state before the first record; its class provides
    ``as_document()`` and ``from_document(document)``. ``fold(state, record)`` is
    pure and returns ``state`` itself if nothing changes. ``may_checkpoint()``
    returns whether this instance currently writes the checkpoints, ``may_poll()``
    whether it reads the log itself instead of adopting the state of peers.
    """

    __slots__ = (
        "_as_of",
        "_callbacks",
        "_checkpoint",
        "_checkpoint_deadline",
        "_confirmed_at",
        "_first_offset",
        "_fold",
        "_folded_since_checkpoint",
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
        self._folded_since_checkpoint = 0
        self._checkpoint = None
        self._checkpoint_deadline = self._next_checkpoint_deadline()
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
        """Monotonic time at which the last read that found nothing newer was sent.

        None before the first one. The state was up to date at that time.
        """
        return self._confirmed_at

    def on_change(self, callback):
        """Call ``callback(state)`` for each new state once the reader is up to date."""
        self._callbacks.append(callback)

    def adopt(self, state, as_of, confirmed_at=None):
        """Replace the state by a peer's if that is newer; return whether it was.

        ``confirmed_at`` is the peer's, converted to the local clock. Peers send only
        states that were confirmed to them.
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
            # A log that is down, or does not support long polls, answers at once:
            # without a pause the loop would flood it with reads.
            if not progress:
                pause = self._settings.poll_interval - (now() - started)
                await asyncio.sleep(max(0.0, pause))

    async def poll(self, wait):
        """Read once, waiting up to ``wait`` seconds for records.

        Return whether the reader advanced: it read records or skipped expired offsets.
        """
        if not self._started and not await self._start():
            return False
        sent_at = now()
        stream = self._settings.agreed_stream
        result = await self._log.read(stream, self._as_of, BATCH_SIZE, wait)
        self._record_reachability(result)
        return await self._apply_result(result, sent_at)

    async def catch_up(self, deadline):
        """Poll until the state is confirmed; return it, or ``Unavailable`` at ``deadline``."""
        called_at = now()
        while True:
            progress = await self.poll(0)
            if self._confirmed_at is not None and self._confirmed_at >= called_at:
                return self._state
            if passed(deadline):
                return Unavailable(f"log did not confirm the state: {self._last_error}")
            if not progress:
                await asyncio.sleep(
                    min(remaining(deadline), self._settings.poll_interval)
                )

    async def _start(self):
        # Start from a checkpoint if there is one: if the log keeps days of records,
        # reading them all would take minutes.
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
            # An adopted state may be newer than every checkpoint.
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
            # Nothing has expired: the first offset of this log is not 0.
            self._as_of = expired.first
            return True
        # Unread records have expired. Without them this reader's state would differ
        # from that of all others permanently.
        checkpoint = await self._recover()
        if checkpoint and checkpoint.as_of >= expired.first:
            return True
        RECOVERIES.inc({"result": "none"})
        self._last_error = "unread records have expired and no checkpoint covers them"
        return False

    def _fold_in(self, record):
        # The state of a peer may have been adopted since the batch was requested.
        if record.offset < self._as_of:
            return
        if checkpoints.is_checkpoint(record):
            self._record_checkpoint(checkpoints.decode(record, type(self._state)))
        else:
            self._state = self._fold(self._state, record)
            self._folded_since_checkpoint += 1
        self._as_of = record.offset + 1
        RECORDS_FOLDED.inc({})

    def _set_state(self, state, as_of):
        self._state = state
        self._as_of = as_of

    def _confirm(self, at):
        self._confirmed_at = max(at, self._confirmed_at or at)
        self._is_usable = True

    def _notify(self):
        # A start folds outdated revisions, which must not be published.
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
        self._folded_since_checkpoint = 0
        self._checkpoint_deadline = self._next_checkpoint_deadline()
        self._checkpoint_not_before = now()

    def _next_checkpoint_deadline(self):
        return deadline_in(self._settings.checkpoint_interval)

    @property
    def is_checkpoint_due(self):
        """Whether a new checkpoint is needed."""
        if (
            not self._as_of
            or not self._is_usable
            or not passed(self._checkpoint_not_before)
        ):
            return False
        return (
            self._folded_since_checkpoint >= self._settings.checkpoint_every
            or passed(self._checkpoint_deadline)
            or self._checkpoint_near_expiry
        )

    @property
    def _checkpoint_near_expiry(self):
        # The newest checkpoint has expired, or lies in the older half of the records
        # that the log keeps. If it expired, every table whose record has expired would
        # be lost. Until a first record expires the retention is unknown and all
        # existing records count: the first to expire might be that of the table.
        newest = self._checkpoint.as_of if self._checkpoint else 0
        if newest < self._first_offset:
            return True
        kept = self._as_of - self._first_offset
        return (
            self._folded_since_checkpoint > 0 and newest - self._first_offset < kept / 2
        )

    async def _write_checkpoint_if_due(self):
        if not self.is_checkpoint_due or not self.may_checkpoint():
            return
        body = checkpoints.body(self._state, self._as_of)
        result = await self._log.append(self._settings.agreed_stream, body)
        CHECKPOINTS_WRITTEN.inc({"result": type(result).__name__})
        # The checkpoint counts once it is read back. No other is written before the
        # call timeout: a slow log would be filled with copies.
        self._checkpoint_not_before = deadline_in(self._settings.call_timeout)
