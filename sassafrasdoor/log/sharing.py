"""How instances share the log's bandwidth and its limit of reads a second.

Load pattern: many instances follow the same partitions, or all start to read megabytes
at the same time. Together they exceed what the log can answer, it refuses reads or
answers late, and retries sustain the overload after its cause has gone.

So pauses between reads grow with the number of readers, a backlog is read in shares,
and failed reads are retried with backoff.
"""

import asyncio
import contextlib
import random

from sassafrasdoor.clock import LONG_AGO, deadline_in, now, passed, remaining
from sassafrasdoor.log.partition_retry import (
    MAX_LIST_WAIT,
    MAX_RETRY_PAUSE,
    RETRY_PAUSE,
    RETURN_SPREAD,
    Intervals,
    Lists,
    Silence,
)
from sassafrasdoor.log.schedules import RetrySchedule
from sassafrasdoor.outcomes import Unavailable

MAX_READ_SLACK = 2.0  # seconds allowed for a read of a failing log
# Seconds in which the log can send one backlog share to every reader.
BACKLOG_INTERVAL = 1.0
MAX_ANSWER_BYTES = 1024 * 1024  # so that records are folded while more are read
RECORD_MARGIN_BYTES = 4096  # in addition to the size of the largest record
LIST_COUNT = 4  # lists that every instance follows
# What a read waits for: the pause after failed reads of its partition, the answers to
# former reads that are still pending, the answers of the lists, and its turn among the
# reads of the instance.
PAUSE, PENDING, LISTS, TURN = "pause", "pending", "lists", "turn"
# Fraction of the log's reads that all followers of partitions may use together. The
# lists, which every instance reads, and confirming reads use the rest.
FOLLOWER_READ_SHARE = 0.4
# Fraction of the log's reads that all instances together use to confirm that nothing newer
# was written, where callers could cause any number of such reads.
CONFIRM_READ_SHARE = 0.1
# Seconds; a shorter pause is left out: with few followers it would only add delay.
MIN_FOLLOWER_PAUSE = 0.08


def follower_pause(followers, partitions, reads_per_second):
    """Return the seconds that a follower pauses after each read of a partition.

    Each append ends the long polls of all followers. On busy partitions their next
    reads would exceed the log's limit, it would refuse other reads, and a configuration
    would take effect seconds late on some instances.
    """
    pause = followers * partitions / (FOLLOWER_READ_SHARE * reads_per_second)
    return pause if pause >= MIN_FOLLOWER_PAUSE else 0.0


def backlog_share(readers, bytes_per_second, record_bytes):
    """Return the maximum number of bytes of a backlog that one read may request.

    ``readers`` is the largest possible number of concurrent readers. The log can send
    one request of each within ``BACKLOG_INTERVAL``, so that the answers of the lists,
    which queue behind these, arrive in time.
    """
    share = BACKLOG_INTERVAL * FOLLOWER_READ_SHARE * bytes_per_second / max(1, readers)
    return max(min(share, MAX_ANSWER_BYTES), record_bytes + RECORD_MARGIN_BYTES)


def answer_pause(followers, bytes_per_second, record_bytes):
    """Return the seconds that a follower pauses after a read that was not answered.

    The log sends a whole record even to a small read. In this time it can send the
    largest one, and one part of a backlog, to all followers.
    """
    record = record_bytes + RECORD_MARGIN_BYTES
    share = backlog_share(followers, bytes_per_second, record_bytes)
    return followers * (record + share) / (FOLLOWER_READ_SHARE * bytes_per_second)


def list_retry_pause(instances, reads_per_second):
    """Return the seconds before an instance retries a refused read of a list.

    Refused reads count towards the log's limit: if the retries of all instances exceed
    it, no read is answered any more.
    """
    share = LIST_COUNT * instances / (FOLLOWER_READ_SHARE * reads_per_second)
    return max(RETRY_PAUSE, share)


def confirm_interval(instances, reads_per_second):
    """Return the least seconds between two confirming reads of one instance.

    One read confirms all that came before it was sent. Without a bound, callers that ask
    for what does not exist would have every instance read without a pause.
    """
    return max(1, instances) / (CONFIRM_READ_SHARE * reads_per_second)


class ReadCoordinator:
    """Schedules the reads that the tails of one instance send to the log.

    Load pattern: many instances start to read megabytes at the same time. Reads time out
    before their answers arrive and are retried, while the log still sends the answers
    that nobody waits for: the overload outlives its cause.

    So an instance starts one backlog read at a time, of ``max_bytes()`` bytes (None: the
    log decides). The next one starts when it is answered, or after ``BACKLOG_INTERVAL``.
    Failures increase a backoff common to all partitions, until a read is answered, and
    one of the partition, so that a single failing partition does not delay the others.
    Lists have priority: after a failed read, backlog reads wait for the lists to be
    answered, ``MAX_LIST_WAIT`` at most. Lists are retried after ``retry_delay``. While no
    list has failed for ``MAX_RETRY_PAUSE`` the log is not overloaded, and the backoffs are
    bounded as the pauses of ``PartitionRetry`` are.

    Load pattern: the log is down for seconds, so the backoff has grown to its maximum when
    it returns. Whoever runs the steps would read none of them for seconds more, and its
    claims lapse. So once all lists are answered again each instance makes one read without
    waiting out its backoff; a failure of that read increases the backoff further.

    ``retry_intervals()`` returns the ``Intervals`` between reads of one failing partition.
    """

    __slots__ = (
        "_failing_lists",
        "_list_failed_at",
        "_lists",
        "_lists_answered",
        "_lock",
        "_list_pause",
        "_backoff",
        "_next_return_at",
        "_partition_backoffs",
        "_retry_intervals",
        "_retry_schedules",
        "_silence",
        "max_bytes",
    )

    def __init__(
        self,
        max_bytes=lambda: None,
        list_pause=lambda: RETRY_PAUSE,
        retry_intervals=Intervals,
    ):
        self.max_bytes = max_bytes
        self._list_pause = list_pause
        self._retry_intervals = retry_intervals
        self._retry_schedules = []
        self._lock = asyncio.Lock()
        self._failing_lists = set()
        self._list_failed_at = LONG_AGO
        self._lists = Lists()
        self._silence = Silence()
        self._lists_answered = asyncio.Event()
        self._lists_answered.set()
        self._backoff = _Backoff()
        self._next_return_at = LONG_AGO
        self._partition_backoffs = {}

    @property
    def retry_delay(self):
        """Seconds before the retry of a failed read, with jitter."""
        return self._list_pause() * random.uniform(1.0, 1.3)

    def record_read_failure(self, list_topic=None, sent_at=None):
        """Record that a read was not answered.

        ``list_topic`` names a list that failed, ``sent_at`` is when another read was sent.
        """
        self._lists_answered.clear()
        self._lists.record_failure(now() if sent_at is None else sent_at)
        if list_topic:
            self._lists.record_list_failure()
            self._failing_lists.add(list_topic)
            self._list_failed_at = now()

    def record_list_answer(self, topic):
        """Record that the read of a list was answered."""
        had_failed = topic in self._failing_lists
        self._failing_lists.discard(topic)
        if self._failing_lists:
            return
        self._record_lists_answered(had_failed)
        # Lists that come and go under an overload must not keep up the backlog reads.
        if had_failed and passed(self._next_return_at):
            self._next_return_at = deadline_in(MAX_RETRY_PAUSE)
            retry_at = deadline_in(random.uniform(0.0, RETURN_SPREAD))
            for backoff in (self._backoff, *self._partition_backoffs.values()):
                backoff.end_by(retry_at)

    def _record_lists_answered(self, had_failed):
        were_answered = self._lists.are_answered
        self._lists.record_answer(now(), had_failed)
        self._lists_answered.set()
        if not were_answered:
            self._wake_schedules()

    def _wake_schedules(self):
        for schedule in self._retry_schedules:
            schedule.changed.set()

    def retry_schedule(self):
        """Return the ``RetrySchedule`` of a further partition."""
        schedule = RetrySchedule(
            self._lists, self._silence, self._retry_intervals, self._wake_schedules
        )
        self._retry_schedules.append(schedule)
        return schedule

    def record_caught_up(self, part):
        """Record that a failing partition was read to its end by a retry."""
        for backoff in (self._backoff, self._partition_backoffs.get(part)):
            if backoff is not None:
                backoff.record(True)

    @property
    def _max_backoff(self):
        """Seconds that a backlog read waits at most after one that has failed."""
        if not passed(self._list_failed_at + MAX_RETRY_PAUSE):
            return MAX_RETRY_PAUSE
        return self._retry_intervals().longest

    async def read_backlog(self, part, read, is_urgent=False, waits=None):
        """Schedule a backlog read; return the time at which it was sent and its result.

        Awaits ``read(max_bytes, failures)``; ``failures`` counts the consecutive failed
        backlog reads of the partition ``part``. The seconds that it waits before are added
        to ``waits``. An urgent read waits neither for the lists nor for the common backoff:
        only the few instances that append to the partition send such reads.
        """
        partition_backoff = self._partition_backoffs.setdefault(part, _Backoff())
        waits = waits or ReadWaits()
        with waits.measure(PAUSE):
            await partition_backoff.wait(self._max_backoff)
        if not is_urgent:
            with waits.measure(LISTS):
                await self._wait_for_lists()
        waiting_since = now()
        async with self._turn(is_urgent):
            sent_at = now()
            waits.add(TURN, sent_at - waiting_since)
            reading = asyncio.ensure_future(
                read(self.max_bytes(), partition_backoff.failure_count)
            )
            reading.add_done_callback(
                lambda done: _record_result(done, self._backoff, partition_backoff)
            )
            try:
                await asyncio.wait([reading], timeout=BACKLOG_INTERVAL)
            except asyncio.CancelledError:
                reading.cancel()
                raise
        try:
            return sent_at, await reading
        finally:
            reading.cancel()

    async def _wait_for_lists(self):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_LIST_WAIT):
                await self._lists_answered.wait()

    @contextlib.asynccontextmanager
    async def _turn(self, is_urgent):
        """Return a context for one backlog read at a time, after the common backoff.

        The backoff is waited out before the turn, as an urgent read takes its turn
        meanwhile; it has begun again if a read in between has failed.
        """
        while True:
            if not is_urgent:
                await self._backoff.wait(self._max_backoff)
            async with self._lock:
                if is_urgent or self._backoff.is_over:
                    yield
                    return


class ReadWaits:
    """Seconds that a read waited before it was sent, by reason; the pause is always one."""

    __slots__ = ("_seconds",)

    def __init__(self):
        self._seconds = {PAUSE: 0.0}

    def add(self, reason, seconds):
        """Add a wait."""
        self._seconds[reason] = self._seconds.get(reason, 0.0) + seconds

    @contextlib.contextmanager
    def measure(self, reason):
        """Add the time spent in a block."""
        began_at = now()
        try:
            yield
        finally:
            self.add(reason, now() - began_at)

    def fields(self):
        """Return the rounded seconds by reason, for a log line."""
        return {reason: round(value, 3) for reason, value in self._seconds.items()}


class _Backoff:
    """Exponential backoff with jitter after ``failure_count`` consecutive failures."""

    __slots__ = ("_deadline", "_failed_at", "_shortened", "failure_count")

    def __init__(self):
        self._deadline = self._failed_at = LONG_AGO
        self._shortened = asyncio.Event()
        self.failure_count = 0

    @property
    def is_over(self):
        """Whether the next read may start."""
        return passed(self._deadline)

    async def wait(self, max_pause):
        """Wait until the next read may start, at most ``max_pause`` after the last one."""
        self.end_by(self._failed_at + max_pause)
        while not self.is_over:
            self._shortened.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining(self._deadline)):
                    await self._shortened.wait()

    def end_by(self, deadline):
        """End the current pause by a deadline, without forgetting the failures."""
        if deadline < self._deadline:
            self._deadline = deadline
            self._shortened.set()

    def record(self, answered):
        """Record whether a read was answered."""
        if answered:
            self.failure_count = 0
            self._deadline = LONG_AGO
            return
        pause = min(MAX_RETRY_PAUSE, RETRY_PAUSE * 2**self.failure_count)
        self.failure_count += 1
        self._failed_at = now()
        self._deadline = deadline_in(pause * random.uniform(0.5, 1.0))


def _record_result(reading, *backoffs):
    if reading.cancelled() or reading.exception() is not None:
        return
    answered = not isinstance(reading.result(), Unavailable)
    for backoff in backoffs:
        backoff.record(answered)
