"""Readers that follow one partition of a partitioned log, or the values of its keys.

Load pattern: during an outage the log accepts reads and never answers them, not even
after it has recovered. So reads time out early, and while the log fails, further reads
are sent without waiting for the pending ones.
"""

import asyncio
import contextlib
import math
from collections import Counter

from sassafrasdoor.clock import LONG_AGO, boot_now, deadline_in, now, passed, remaining
from sassafrasdoor.decisions import note
from sassafrasdoor.log.demand import CONFIRM, FOLLOW, LOAD, RETRY, START, call_purpose
from sassafrasdoor.log.partitioned import NewestKeys, split_keyed
from sassafrasdoor.log.schedules import HedgeSchedule
from sassafrasdoor.log.sharing import (
    MAX_READ_SLACK,
    PAUSE,
    PENDING,
    ReadCoordinator,
    ReadWaits,
)
from sassafrasdoor.metrics import counter, histogram
from sassafrasdoor.outcomes import Expired, Unavailable

# Seconds that a read waits for new records. With READ_SLACK, a read that is never
# answered times out well within 2 s, the time in which a change that is acknowledged
# right after an outage must be in force.
LONG_POLL_TIMEOUT = 1.0
# Seconds allowed beyond that wait: the log answers in 4 ms, in 240 ms where it is slow.
READ_SLACK = 0.5
# Size of a read that tests whether the log answers; the rest is read afterwards.
PROBE_BYTES = 1024
# Seconds allowed for successive attempts of an initial read, and for the retries after a
# failed read. A second attempt of 3 s would delay a start by that long after an outage;
# the third allows for a slow log.
INITIAL_READ_SLACKS = (1.5, 1.5, 3.0)
CONFIRM_RETRY_INTERVAL = 0.05  # seconds

MAX_LOGGED_REASON_LENGTH = 200  # characters

EXPIRED_READS = counter("log_tail_restarts_total", "Reads that met expired records.")
SKIPPED_RECORDS = counter(
    "log_records_skipped_total", "Records that could not be applied, by topic."
)
UNREAD_SECONDS = histogram(
    "log_acknowledged_unread_seconds",
    "Seconds from the acknowledgement of an own append to the steps to its reading.",
    buckets=[0.05, 0.1, 0.25, 0.5, 1, 2, 3, 5, 10],
)


def all_caught_up(tails):
    """Return whether all partitions that the log answers for were read to their ends.

    False if it answers for none.
    """
    answering = [tail for tail in tails if tail.failing_since is None]
    return bool(answering) and all(tail.has_caught_up for tail in answering)


class Outage:
    """A period without answers from the log, as observed by one reader.

    ``since`` is the time of the last answer before it (``LONG_AGO`` if there was none),
    ``until`` that of the first answer after it. Times are monotonic.
    """

    __slots__ = ("since", "until")

    def __init__(self, since, until):
        self.since = since
        self.until = until


class Tail:
    """Follows a partition: passes each record to ``fold(offset, record)``, in order.

    With ``skips_unusable``, a record that ``fold`` cannot handle is counted, logged and
    skipped: reading it again would fail again, on every instance that follows the
    partition. Without it, or for lack of memory, the error is raised, by each later read
    as well: the record may be applied in part. A process that ends then reads all
    records again; skipped, they would be missing here only.

    ``pause()`` returns the seconds to sleep after a read, which limits the reads of a
    busy partition; there is no pause inside ``without_pauses()``. The partition is
    followed while the event ``wanted`` is set. ``read_coordinator`` is shared by the
    tails of an instance; without one this tail schedules its reads alone.
    ``confirm_interval()`` returns the least seconds between confirming reads, which bounds
    them where callers can cause any number.

    Attributes, with monotonic times:

    - ``offset``: the next offset to read.
    - ``end``: the partition's end in the last answer, None before the first.
    - ``skipped``: number of records that expired before they were read.
    - ``confirmed_at``: when the last read that reached the end was sent; None if there
      was none since the partition is followed.
    - ``confirmed_boot_at``: the same by ``boot_now``, which counts suspension.
    - ``end_reached_at``: when that read was answered, ``LONG_AGO`` before the first; not
      later than it can have been answered.
    - ``failing_since``: when reads began to fail, None while they succeed.
    - ``restored_at``: when reads last began to succeed again, None before.
    - ``last_outage``: the last ``Outage`` that has ended, None before.
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
        confirm_interval=lambda: 0.0,
        skips_unusable=True,
    ):
        self.wanted = wanted or _make_set_event()
        self._read_coordinator = read_coordinator or ReadCoordinator()
        self._has_shared_coordinator = read_coordinator is not None
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
        self._confirm_interval = confirm_interval
        self._skips_unusable = skips_unusable
        self._error = None
        self._next_confirm_at = LONG_AGO
        self._following_since = now()
        self._last_answer_at = LONG_AGO
        self._bytes_read = 0
        self._reads = Counter()
        self._failed_reads = 0
        self._waits = ReadWaits()
        self._acknowledged_end = 0
        self._acknowledged_at = None
        self._retry_schedule = (
            HedgeSchedule()
            if read_coordinator is None
            else read_coordinator.retry_schedule()
        )
        self.offset = 0
        self.end = None
        self.skipped = 0
        self.confirmed_at = None
        self.confirmed_boot_at = None
        self.end_reached_at = LONG_AGO
        self.failing_since = None
        self.restored_at = None
        self.last_outage = None

    async def run(self):
        """Follow until cancelled."""
        self._running = True
        while True:
            if not self.wanted.is_set():
                self.confirmed_at = self._acknowledged_at = None
                await self.wanted.wait()
                self._following_since = now()
            elif not await self.poll(LONG_POLL_TIMEOUT):
                await asyncio.sleep(self._retry_delay)
            elif not (self._waiting_readers or self._has_backlog) and (
                pause := self._pause()
            ):
                await self._pause_until_needed(pause)

    @contextlib.contextmanager
    def without_pauses(self):
        """Return a context in which reads follow one another without a pause."""
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
        """Whether the end was reached since the partition is followed."""
        return self.confirmed_at is not None

    @property
    def is_starting(self):
        """Whether the tail runs and has not caught up yet."""
        return self._running and self.confirmed_at is None

    def progress(self):
        """Return the read progress as fields of a log line.

        Seconds count from the event to now; None if it has not occurred.
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

    def record_append(self, end):
        """Record that an append of this process was acknowledged.

        ``end`` is the end that the partition had then. If reads fail, another one is
        sent at once: the partition serves again.
        """
        if end <= self.offset or not self.wanted.is_set():
            return
        self._acknowledged_end = max(end, self._acknowledged_end)
        self._acknowledged_at = self._acknowledged_at or now()
        self._retry_schedule.record_append()

    async def poll(self, wait):
        """Read once; return whether the log answered."""
        sent_at, suspended = now(), boot_now() - now()
        timeout = INITIAL_READ_SLACKS[0]
        is_retry = self.failing_since is not None
        self._waits = ReadWaits()
        if is_retry:
            with call_purpose(RETRY):
                sent_at, result = await self._hedge(
                    self._probe, self._retry_slack, self._retry_schedule
                )
        elif self._needs_initial_read or (
            self._has_backlog and self._has_shared_coordinator
        ):
            is_urgent = self._misses_acknowledged and not self._needs_initial_read
            sent_at, result = await self._read_coordinator.read_backlog(
                self._part, self._read_backlog, is_urgent, self._waits
            )
        else:
            timeout = wait + READ_SLACK
            with call_purpose(FOLLOW if wait else CONFIRM):
                result = await self._read(
                    wait, READ_SLACK, self._read_coordinator.max_bytes()
                )
        if isinstance(result, Unavailable):
            self._reads["given up"] += 1
            self._record_failure(result, sent_at, not passed(sent_at + timeout))
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
            self._record_confirmation(sent_at, suspended)
            if is_retry and self._has_shared_coordinator:
                self._read_coordinator.record_caught_up(self._part)
        return True

    def _record_confirmation(self, sent_at, suspended):
        """Record that the end was reached by a read.

        ``suspended`` is by how much the clocks differed at or before the time at which
        the read was sent; taken later it would include a suspension during the read.
        """
        # A long poll may end after a read that was sent later.
        if self.confirmed_at is None or sent_at > self.confirmed_at:
            self.confirmed_at = sent_at
            self.confirmed_boot_at = sent_at + suspended
        # After a pause of this process an answer may have waited for it for long.
        self.end_reached_at = min(now(), sent_at + LONG_POLL_TIMEOUT + READ_SLACK)

    @property
    def _is_behind_or_failing(self):
        """Whether records are known to be unread, or the last read failed."""
        return self._has_backlog or self.failing_since is not None

    @property
    def _misses_acknowledged(self):
        """Whether an acknowledged append of this process has not been read."""
        return self._acknowledged_at is not None

    @property
    def _retry_delay(self):
        """Seconds from a failed read to the next ``poll()``, which may wait further."""
        if self._has_shared_coordinator:
            return 0.0
        return self._read_coordinator.retry_delay

    @property
    def _retry_slack(self):
        """Seconds allowed for the retries of a failed read."""
        return INITIAL_READ_SLACKS[(self._failed_reads - 1) % len(INITIAL_READ_SLACKS)]

    @property
    def _needs_initial_read(self):
        """Whether the end was not reached yet since the partition is followed."""
        return self.confirmed_at is None

    async def _read(self, wait, slack, max_bytes=None):
        return await self._log.read(
            self._topic, self._part, self.offset, wait, slack, max_bytes
        )

    async def _read_backlog(self, max_bytes, failures):
        # Not hedged: the answer may be megabytes, and two would take twice as long.
        slack = INITIAL_READ_SLACKS[failures % len(INITIAL_READ_SLACKS)]
        with call_purpose(START):
            return await self._read(0, slack, max_bytes)

    async def _probe(self, timeout):
        # Megabytes may have been appended during an outage: they are read afterwards.
        return await self._read(0, timeout, PROBE_BYTES)

    async def _hedge(self, call, seconds, schedule):
        """Return the time at which the first answered call was sent, and its result.

        Starts ``call(timeout)`` whenever the ``schedule`` says so, until one is answered
        or all pending ones have failed. No call lasts beyond ``seconds`` from the first.
        A single call that was sent just before the log recovers would block its reader
        for seconds: claims lapse, changes take effect late, and backend servers that
        left still get work.
        """
        sent_at, pending, deadline = {}, set(), math.inf
        try:
            while True:
                due_at = (
                    math.inf if passed(deadline) else schedule.due_at(bool(pending))
                )
                if passed(due_at):
                    deadline = min(deadline, deadline_in(seconds))
                    task = asyncio.ensure_future(call(remaining(deadline)))
                    schedule.record_read()
                    sent_at[task] = now()
                    pending.add(task)
                    continue
                with self._waits.measure(PENDING if pending else PAUSE):
                    done, pending = await _first_completed(
                        pending, schedule.changed, due_at
                    )
                completed = sorted(done, key=lambda task: not _was_answered(task))
                if not completed:
                    continue
                was_answered = _was_answered(completed[0])
                if not (was_answered or passed(deadline)):
                    schedule.record_refusal()
                if was_answered or not pending:
                    return sent_at[completed[0]], completed[0].result()
        finally:
            for task in sent_at:
                task.cancel()

    async def confirm(self, deadline):
        """Read until all records acknowledged before this call are folded in.

        Returns False after ``deadline``, or if the partition is no longer followed.
        """
        called_at = now()
        while not passed(deadline) and self.wanted.is_set():
            if self.confirmed_at is not None and self.confirmed_at >= called_at:
                return True
            if not await self._confirm_once():
                await asyncio.sleep(CONFIRM_RETRY_INTERVAL)
        return self.confirmed_at is not None and self.confirmed_at >= called_at

    def request_confirmation(self):
        """Start a confirming read unless one is pending; ``confirmed_at`` shows its end."""
        if self._may_confirm:
            self._start_confirming()

    async def _confirm_once(self):
        """Read once for all concurrent callers; return whether the log answered."""
        if not self._may_confirm:
            return False
        return await asyncio.shield(self._start_confirming())

    @property
    def _may_confirm(self):
        """Whether confirming reads are sent.

        None are while ``run`` still reads a backlog, which a second read would transfer
        again (megabytes, at a rate that all instances share), or already retries a failed
        read.
        """
        return not (self.is_starting or (self._running and self._is_behind_or_failing))

    def _start_confirming(self):
        """Return the task of the pending confirming read; start one if there is none."""
        if self._confirm_task is None:
            self._confirm_task = asyncio.ensure_future(self._poll_when_due())
            self._confirm_task.add_done_callback(self._confirm_done)
        return self._confirm_task

    async def _poll_when_due(self):
        delay = remaining(self._next_confirm_at)
        if delay:
            await asyncio.sleep(delay)
        self._next_confirm_at = deadline_in(self._confirm_interval())
        return await self.poll(0)

    def _confirm_done(self, task):
        self._confirm_task = None
        # Retrieves the exception, as every caller may have been cancelled meanwhile; a
        # failed read is logged where it failed.
        task.cancelled() or task.exception()

    async def ensure_fresh(self, max_age, deadline):
        """Confirm as ``confirm()`` does, unless done in the last ``max_age`` seconds."""
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
            # A long poll and a confirming read may overlap.
            if offset >= self.offset:
                self._try_apply(self._fold, offset, record)
                self.offset = offset + 1
            offset += 1
        if self._misses_acknowledged and self.offset >= self._acknowledged_end:
            UNREAD_SECONDS.observe({}, now() - self._acknowledged_at)
            self._acknowledged_at = None

    def _try_apply(self, apply, place, data):
        """Call ``apply(place, data)``; ``place`` is the offset or the key of a record."""
        if self._error is not None:
            raise self._error
        try:
            apply(place, data)
        except Exception as error:
            if not self._skips_unusable or isinstance(error, MemoryError):
                self._error = error
                raise
            SKIPPED_RECORDS.inc({"topic": self._topic})
            note(
                "log.record_skipped",
                topic=self._topic,
                part=self._part,
                place=place,
                bytes=len(data),
                reason=repr(error)[:MAX_LOGGED_REASON_LENGTH],
            )

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

    def _record_failure(self, result, sent_at, is_refused=False):
        self._report_failure_to_coordinator(sent_at)
        self._failed_reads += 1
        if self.failing_since is None:
            self.failing_since = now()
            self._retry_schedule.record_failure(is_refused)
            note("log.lost", topic=self._topic, part=self._part, reason=result.reason)

    def _report_failure_to_coordinator(self, sent_at):
        # A coordinator of its own has no lists that could end the wait for them.
        if self._has_shared_coordinator:
            self._read_coordinator.record_read_failure(sent_at=sent_at)

    def _report_answer_to_coordinator(self):
        """Report an answer to the coordinator, which only needs those of lists."""

    def _record_answer(self):
        previous_answer_at, self._last_answer_at = self._last_answer_at, now()
        self._report_answer_to_coordinator()
        self._retry_schedule.record_answer()
        if self.failing_since is None:
            return
        note(
            "log.regained",
            topic=self._topic,
            part=self._part,
            away_seconds=_age(self.failing_since),
            failed_reads=self._failed_reads,
            waited=self._waits.fields(),
            acknowledged_seconds=_age(self._acknowledged_at),
        )
        self._failed_reads = 0
        self.failing_since = None
        self.restored_at = now()
        self.last_outage = Outage(previous_answer_at, self.restored_at)


def _age(moment):
    return None if moment is None else round(now() - moment, 3)


def _make_set_event():
    wanted = asyncio.Event()
    wanted.set()
    return wanted


async def _first_completed(tasks, changed, deadline):
    """Wait until a task is done, ``changed`` is set or the deadline; return done, pending."""
    changed.clear()
    change = asyncio.ensure_future(changed.wait())
    try:
        done, pending = await asyncio.wait(
            {*tasks, change},
            timeout=None if math.isinf(deadline) else remaining(deadline),
            return_when=asyncio.FIRST_COMPLETED,
        )
    finally:
        change.cancel()
    return done - {change}, pending - {change}


def _was_answered(task):
    """Return whether a finished call was answered by the log."""
    return not isinstance(task.result(), Unavailable)


class KeyedTail(Tail):
    """Keeps the newest value of each key of a keyed topic (one partition).

    Calls ``on_value(key, value)`` for each change, with an empty value for a dropped
    key. ``newest_from_peer(topic)`` returns the ``NewestKeys`` of another instance, or
    None; it is used if the log does not answer at the start.
    """

    def __init__(
        self,
        log,
        topic,
        on_value,
        pause=0.0,
        newest_from_peer=None,
        read_coordinator=None,
        confirm_interval=lambda: 0.0,
    ):
        super().__init__(
            log,
            topic,
            0,
            self._fold_record,
            lambda: pause,
            confirm_interval=confirm_interval,
        )
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
        """The ``NewestKeys`` read so far, None before the first load."""
        return NewestKeys(dict(self._values), self.offset) if self.loaded else None

    async def poll(self, wait):
        """Load the newest values, or read new records; return whether the log answered."""
        if self.loaded:
            return await super().poll(wait)
        return await self._load()

    def _report_failure_to_coordinator(self, sent_at):
        self._read_coordinator.record_read_failure(self._topic)

    def _report_answer_to_coordinator(self):
        self._read_coordinator.record_list_answer(self._topic)

    def _handle_expired(self, expired):
        # Unread records are gone: only a new load of all values shows what changed and
        # which keys were dropped.
        self.loaded = False

    @property
    def _retry_slack(self):
        return MAX_READ_SLACK

    @property
    def _needs_initial_read(self):
        # Only a few records follow what was loaded, from the log or from a peer.
        return False

    async def _load(self):
        sent_at, suspended = now(), boot_now() - now()
        with call_purpose(LOAD):
            if self.failing_since is None:
                newest = await self._log.newest(self._topic)
            else:
                sent_at, newest = await self._hedge(
                    self._load_newest,
                    MAX_READ_SLACK,
                    self._retry_schedule,
                )
        if not isinstance(newest, Unavailable) and newest.end < self.offset:
            newest = Unavailable(
                "newest values are older than the records already read"
            )
        if isinstance(newest, Unavailable):
            self._record_failure(newest, sent_at)
            await self._load_from_peer()
            return False
        self._record_answer()
        self._apply_newest(newest)
        self._record_confirmation(sent_at, suspended)
        return True

    async def _load_newest(self, timeout):
        try:
            async with asyncio.timeout(timeout):
                return await self._log.newest(self._topic)
        except TimeoutError:
            return Unavailable("timeout")

    async def _load_from_peer(self):
        """Start from the values of another instance.

        Only before the first load: values read from the log are never replaced by those
        of a peer.
        """
        if self._newest_from_peer is None or self.offset:
            return
        newest = await self._newest_from_peer(self._topic)
        if newest is not None:
            note("log.loaded_elsewhere", topic=self._topic, offset=newest.end)
            self._apply_newest(newest)

    def _apply_newest(self, newest):
        for key in set(self._values) - set(newest.values):
            self._try_apply(self._on_value, key, b"")
        for key, value in newest.values.items():
            self._try_apply(self._on_value, key, value)
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
