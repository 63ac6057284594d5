"""Following one partition of a partitioned log, or the newest values of its keys.

Load pattern: the log falls silent while its readers wait, and never answers what was
sent meanwhile. So reads are given up soon, and a failing log is asked again beside
them.
"""

import asyncio
import contextlib
from collections import Counter

from sassafrasdoor.clock import LONG_AGO, deadline_in, now, passed, remaining
from sassafrasdoor.decisions import note
from sassafrasdoor.log.demand import CONFIRM, FOLLOW, LOAD, RETRY, START, call_purpose
from sassafrasdoor.log.partitioned import NewestKeys, split_keyed
from sassafrasdoor.log.sharing import MAX_READ_SLACK, ReadCoordinator
from sassafrasdoor.metrics import counter
from sassafrasdoor.outcomes import Expired, Unavailable

LONG_POLL_TIMEOUT = 1.0
"""Seconds that a read waits. A read that was sent while the log was silent is never
answered; with the slack it ends well within the two seconds in which a change that
is acknowledged right after the log's return must be in force."""
READ_SLACK = 0.5
"""Seconds beyond the wait while the log answers: that takes 4 ms, or 240 ms where the
log is slow."""
HEDGE_INTERVAL = 0.5
"""Seconds without an answer after which a failing log is asked once more, beside the
reads that are still waited for: a read that was sent while it was silent is never
answered."""
PROBE_BYTES = 1024
"""Bytes that such reads ask for: they tell that the log answers, the rest follows."""
INITIAL_READ_SLACKS = (1.5, 1.5, 3.0)
"""Seconds for the tries in a row of a partition that was not read to its end yet: a
second one of three would hold a start in silence for that long after the log's return;
the third is for a log that is slower than the others allow."""
CONFIRM_RETRY_INTERVAL = 0.05
"""Seconds between the reads of a caller who waits for a confirmation."""

EXPIRED_READS = counter("log_tail_restarts_total", "Reads that met expired records.")


def all_caught_up(tails):
    """Say whether partitions were read to their ends, as far as the log answers."""
    answering = [tail for tail in tails if tail.failing_since is None]
    return bool(answering) and all(tail.has_caught_up for tail in answering)


class Outage:
    """A time without an answer of the log, as one reader has seen it.

    The log may have been away from ``since``, its last answer before (monotonic,
    ``LONG_AGO`` where there was none), to ``until``, its first one after.
    """

    __slots__ = ("since", "until")

    def __init__(self, since, until):
        self.since = since
        self.until = until


class Tail:
    """Hands each record of a partition to ``fold(offset, record)``, in order.

    ``pause()`` (seconds) after each read bounds the reads of a busy partition, unless
    somebody ``attends``; the partition is followed while the event ``wanted`` is set.
    ``way`` is what the instance's tails share; without it this one asks for itself.
    ``end`` is the partition's end as it was last told, None before; ``skipped`` counts
    the records that were gone before they were read. ``confirmed_at`` is the monotonic
    time at which a read was sent that found nothing newer, ``ended_at`` that of its
    answer, ``LONG_AGO`` before the first; ``failing_since`` is None while reads
    succeed; ``restored_at`` is
    when they last began to succeed again; ``silence`` is the last ``Silence`` that has
    ended, None before the first.
    """

    def __init__(
        self,
        log,
        topic,
        part,
        fold,
        pause=lambda: 0.0,
        wanted=None,
        read_coordinator=None,
    ):
        self.wanted = wanted or _set_event()
        self._read_coordinator = read_coordinator or ReadCoordinator()
        self._shares_reads = read_coordinator is not None
        self._log = log
        self._topic = topic
        self._part = part
        self._fold = fold
        self._pause = pause
        self._waiting_readers = 0
        self._reader_arrived = asyncio.Event()
        self._running = False
        self._has_backlog = False
        self._confirm_task = None
        self._following_since = now()
        self._last_answer_at = LONG_AGO
        self._bytes_read = 0
        self._reads = Counter()
        self.offset = 0
        self.end = None
        self.skipped = 0
        self.confirmed_at = None
        self.ended_at = LONG_AGO
        self.failing_since = None
        self.restored_at = None
        self.last_outage = None

    async def run(self):
        """Follow until cancelled."""
        self._running = True
        while True:
            if not self.wanted.is_set():
                self.confirmed_at = None
                await self.wanted.wait()
                self._following_since = now()
            elif not await self.poll(LONG_POLL_TIMEOUT):
                await asyncio.sleep(self._read_coordinator.retry_delay)
            elif not (self._waiting_readers or self._has_backlog) and (
                pause := self._pause()
            ):
                await self._pause_until_needed(pause)

    @contextlib.contextmanager
    def without_pauses(self):
        """Read without pauses while somebody waits for new records."""
        self._waiting_readers += 1
        self._reader_arrived.set()
        try:
            yield
        finally:
            self._waiting_readers -= 1

    async def _pause_until_needed(self, seconds):
        self._reader_arrived.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._reader_arrived.wait()

    @property
    def has_caught_up(self):
        """Whether the end was read since the partition is followed."""
        return self.confirmed_at is not None

    @property
    def is_starting(self):
        """Whether what the partition keeps is still being read, or waits to be."""
        return self._running and self.confirmed_at is None

    def progress(self):
        """Return how far the partition was read, as fields of a log line.

        Seconds are ages; None stands for never.
        """
        return {
            "part": self._part,
            "followed": self.wanted.is_set(),
            "following_seconds": _age(self._following_since),
            "offset": self.offset,
            "end": self.end,
            "confirmed_seconds": _age(self.confirmed_at),
            "failing_seconds": _age(self.failing_since),
            "reads_answered": self._reads["answered"],
            "reads_given_up": self._reads["given up"],
        }

    async def poll(self, wait):
        """Read once; say whether the log answered."""
        sent_at = now()
        if self._needs_initial_read or (self._has_backlog and self._shares_reads):
            sent_at, result = await self._read_coordinator.read_backlog(
                self._part, self._read_initial
            )
        elif self.failing_since is None:
            with call_purpose(FOLLOW if wait else CONFIRM):
                result = await self._read(
                    wait, READ_SLACK, self._read_coordinator.max_bytes()
                )
        elif self._shares_reads:
            sent_at, result = await self._read_coordinator.read_backlog(
                self._part, self._retry_read
            )
        else:
            with call_purpose(RETRY):
                sent_at, result = await self._hedge(self._probe)
        if isinstance(result, Unavailable):
            self._reads["given up"] += 1
            self._record_failure(result)
            return False
        self._reads["answered"] += 1
        self._record_answer()
        if isinstance(result, Expired):
            EXPIRED_READS.inc({})
            note(
                "log.records_expired",
                topic=self._topic,
                part=self._part,
                read_to=self.offset,
                first_kept=result.first,
            )
            self._handle_expired(result)
            return True
        self._fold_batch(result)
        self._has_backlog = self.offset < result.end
        if not self._has_backlog:
            self._log_caught_up()
            self.confirmed_at, self.ended_at = sent_at, now()
        return True

    @property
    def _is_behind_or_failing(self):
        """Whether what was acknowledged is still to be read, or read again."""
        return self._has_backlog or self.failing_since is not None

    @property
    def _needs_initial_read(self):
        """Whether all that the partition holds is still to be read."""
        return self.confirmed_at is None

    async def _read(self, wait, slack, max_bytes=None):
        return await self._log.read(
            self._topic, self._part, self.offset, wait, slack, max_bytes
        )

    async def _read_initial(self, max_bytes, failures):
        # Megabytes to read: asked for twice, they would take twice as long.
        slack = INITIAL_READ_SLACKS[failures % len(INITIAL_READ_SLACKS)]
        with call_purpose(START):
            return await self._read(0, slack, max_bytes)

    async def _retry_read(self, max_bytes, failures):
        # What has come meanwhile may be megabytes too.
        slack = INITIAL_READ_SLACKS[failures % len(INITIAL_READ_SLACKS)]
        with call_purpose(RETRY):
            return await self._read(0, slack, max_bytes)

    async def _probe(self, slack):
        return await self._read(0, slack, PROBE_BYTES)

    async def _hedge(self, call):
        """Return when the first call that was answered was sent, and its result.

        ``call(seconds)`` asks the log once, for that long at most. A single call that
        was sent just before the log's return would hold its reader for seconds more:
        claims lapse, a change is in force late, a server that left gets work.
        """
        deadline = deadline_in(MAX_READ_SLACK)
        sent_at, pending = {}, set()
        try:
            while True:
                if not passed(deadline):
                    task = asyncio.ensure_future(call(remaining(deadline)))
                    sent_at[task] = now()
                    pending.add(task)
                done, pending = await asyncio.wait(
                    pending, timeout=HEDGE_INTERVAL, return_when=asyncio.FIRST_COMPLETED
                )
                completed = sorted(done, key=lambda task: not _was_answered(task))
                if completed and (_was_answered(completed[0]) or not pending):
                    return sent_at[completed[0]], completed[0].result()
        finally:
            for task in sent_at:
                task.cancel()

    async def confirm(self, deadline):
        """Read until all that was acknowledged before this call is folded in.

        Return True, or False after ``deadline``.
        """
        called_at = now()
        while not passed(deadline) and self.wanted.is_set():
            if self.confirmed_at is not None and self.confirmed_at >= called_at:
                return True
            if not await self._confirm_once():
                await asyncio.sleep(CONFIRM_RETRY_INTERVAL)
        return self.confirmed_at is not None and self.confirmed_at >= called_at

    async def _confirm_once(self):
        """Read once, together with all others who ask; say whether the log answered.

        While a start still reads what the log holds, a second read would bring the
        same megabytes again: instances that start together share what the log sends.
        And one that failed is made again already.
        """
        if self.is_starting or (self._running and self._is_behind_or_failing):
            return False
        if self._confirm_task is None:
            self._confirm_task = asyncio.ensure_future(self.poll(0))
            self._confirm_task.add_done_callback(self._confirm_done)
        return await asyncio.shield(self._confirm_task)

    def _confirm_done(self, task):
        self._confirm_task = None
        # Everybody who asked may have left; a failed read is noted where it failed.
        task.cancelled() or task.exception()

    async def ensure_fresh(self, max_age, deadline):
        """Say whether the end was read within so many seconds, or now."""
        if self.confirmed_at is not None and now() - self.confirmed_at <= max_age:
            return True
        return await self.confirm(deadline)

    def _handle_expired(self, expired):
        self.skipped += max(0, expired.first - self.offset)
        self.offset = max(self.offset, expired.first)

    def _fold_batch(self, batch):
        self.end = batch.end if self.end is None else max(self.end, batch.end)
        self._bytes_read += sum(map(len, batch.records))
        offset = batch.first
        for record in batch.records:
            # Two reads may overlap, a long one and one that confirms.
            if offset >= self.offset:
                self._fold(offset, record)
                self.offset = offset + 1
            offset += 1

    def _log_caught_up(self):
        if self.confirmed_at is None:
            note(
                "log.caught_up",
                topic=self._topic,
                part=self._part,
                records=self.offset,
                bytes=self._bytes_read,
                seconds=_age(self._following_since),
                reads_answered=self._reads["answered"],
                reads_given_up=self._reads["given up"],
            )

    def _record_failure(self, result):
        self._report_failure()
        if self.failing_since is None:
            self.failing_since = now()
            note("log.lost", topic=self._topic, part=self._part, reason=result.reason)

    def _report_failure(self):
        self._read_coordinator.record_read_failure()

    def _report_answer(self):
        """Say so to the other tails; only what a list says counts for them."""

    def _record_answer(self):
        previous_answer_at, self._last_answer_at = self._last_answer_at, now()
        self._report_answer()
        if self.failing_since is None:
            return
        seconds = round(now() - self.failing_since, 3)
        note("log.regained", topic=self._topic, part=self._part, away_seconds=seconds)
        self.failing_since = None
        self.restored_at = now()
        self.last_outage = Outage(previous_answer_at, self.restored_at)


def _age(moment):
    return None if moment is None else round(now() - moment, 3)


def _set_event():
    wanted = asyncio.Event()
    wanted.set()
    return wanted


def _was_answered(task):
    """Say whether a call that has ended was answered by the log."""
    return not isinstance(task.result(), Unavailable)


class KeyedTail(Tail):
    """Keeps the newest value of each key of a keyed topic's only partition.

    ``on_value(key, value)`` is called for each change, with an empty value where
    the key was dropped. ``elsewhere(topic)`` returns the ``NewestKeys`` that another
    reader knows, or None: where the log is away at the start they are the next best.
    """

    def __init__(
        self,
        log,
        topic,
        on_value,
        pause=0.0,
        newest_from_peer=None,
        read_coordinator=None,
    ):
        super().__init__(log, topic, 0, self._fold_record, lambda: pause)
        self._read_coordinator = read_coordinator or self._read_coordinator
        self._on_value = on_value
        self._newest_from_peer = newest_from_peer
        self._values = {}
        self.loaded = False

    @property
    def topic(self):
        """The topic's name."""
        return self._topic

    @property
    def newest(self):
        """The ``NewestKeys`` as far as they were read; None before the first load."""
        return NewestKeys(dict(self._values), self.offset) if self.loaded else None

    async def poll(self, wait):
        """Load the newest values, or read on; say whether the log answered."""
        if self.loaded:
            return await super().poll(wait)
        return await self._load()

    def _report_failure(self):
        self._read_coordinator.record_read_failure(self._topic)

    def _report_answer(self):
        self._read_coordinator.record_list_answer(self._topic)

    def _handle_expired(self, expired):
        # Records that were never read are gone; only the newest values, read anew,
        # tell what changed and which keys were dropped meanwhile.
        self.loaded = False

    @property
    def _needs_initial_read(self):
        # What was loaded, here or elsewhere, lacks a few records only.
        return False

    async def _load(self):
        sent_at = now()
        with call_purpose(LOAD):
            if self.failing_since is None:
                newest = await self._log.newest(self._topic)
            else:
                sent_at, newest = await self._hedge(self._load_newest)
        if not isinstance(newest, Unavailable) and newest.end < self.offset:
            newest = Unavailable("older than what was read")
        if isinstance(newest, Unavailable):
            self._record_failure(newest)
            await self._load_from_peer()
            return False
        self._record_answer()
        self._apply_newest(newest)
        self.confirmed_at, self.ended_at = sent_at, now()
        return True

    async def _load_newest(self, timeout):
        try:
            async with asyncio.timeout(timeout):
                return await self._log.newest(self._topic)
        except TimeoutError:
            return Unavailable("timeout")

    async def _load_from_peer(self):
        """Begin with what another reader knows.

        Only at the start: what was read from the log once is never replaced by what
        somebody else remembers.
        """
        if self._newest_from_peer is None or self.offset:
            return
        newest = await self._newest_from_peer(self._topic)
        if newest is not None:
            note("log.loaded_elsewhere", topic=self._topic, offset=newest.end)
            self._apply_newest(newest)

    def _apply_newest(self, newest):
        for key in set(self._values) - set(newest.values):
            self._on_value(key, b"")
        for key, value in newest.values.items():
            self._on_value(key, value)
        self._values = dict(newest.values)
        self.offset = max(self.offset, newest.end)
        self.loaded = True

    def _fold_record(self, offset, record):
        try:
            key, value = split_keyed(record)
        except (IndexError, UnicodeDecodeError) as error:
            reason = str(error)
            note(
                "log.record_unreadable",
                topic=self._topic,
                offset=offset,
                reason=reason,
            )
            return
        if value:
            self._values[key] = value
        else:
            self._values.pop(key, None)
        self._on_value(key, value)
