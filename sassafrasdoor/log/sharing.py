"""How instances share what the log sends and the reads that it takes.

Load pattern: many instances follow the same partitions, or all begin to read megabytes
at the same moment. Together they ask for more than the log answers, it refuses others
or answers late, and what is asked again keeps it so after the cause has gone.

So readers pause by how many they are, ask for a share of a backlog at a time, and ask
less often while reads fail.
"""

import asyncio
import contextlib
import random

from sassafrasdoor.clock import LONG_AGO, deadline_in, now, remaining
from sassafrasdoor.outcomes import Unavailable

MAX_READ_SLACK = 2.0
"""Seconds for a read of a log that fails and is slow, and for which backlogs wait for
the lists."""
RETRY_PAUSE = 0.15
"""Seconds between tries while the log is away: back well within a second."""
MAX_RETRY_PAUSE = 5.0
"""Seconds to which the pauses between reads of a backlog grow while these fail."""
BACKLOG_INTERVAL = 1.0
"""Seconds in which the log sends what all readers of backlogs have asked for."""
MAX_ANSWER_BYTES = 1024 * 1024
"""Bytes of one answer, at most: the first of them are used while others are read."""
RECORD_MARGIN_BYTES = 4096
"""Bytes beyond those of the largest record."""
LIST_COUNT = 4
"""Lists that every instance follows."""
FOLLOWER_READ_SHARE = 0.4
"""Part of the log's reads that those who follow the same partitions may take together;
the lists, which every instance reads, and confirmations take the rest."""
MIN_FOLLOWER_PAUSE = 0.08
"""Seconds below which followers do not pause: they are few, and answers would only
come later."""


def follower_pause(followers, partitions, reads_per_second):
    """Return the seconds that each follower pauses after each read of a partition.

    Each append wakes all who wait for it. Where many follow busy partitions they exceed
    the log's reads a second, it refuses the others, and a configuration is in force
    seconds late on some instances.
    """
    pause = followers * partitions / (FOLLOWER_READ_SHARE * reads_per_second)
    return pause if pause >= MIN_FOLLOWER_PAUSE else 0.0


def backlog_share(readers, bytes_per_second, record_bytes):
    """Return how many bytes of a backlog one reader may ask for at a time.

    What all ``readers`` that there may be have asked for is sent within
    ``BACKLOG_WITHIN`` seconds, so that the answers of the lists behind it are in time.
    """
    share = BACKLOG_INTERVAL * FOLLOWER_READ_SHARE * bytes_per_second / max(1, readers)
    return max(min(share, MAX_ANSWER_BYTES), record_bytes + RECORD_MARGIN_BYTES)


def list_retry_pause(instances, reads_per_second):
    """Return the seconds after which an instance asks for a list that was refused.

    Refused reads count too: where those of all instances exceed the log's reads a
    second, nothing is answered any more.
    """
    share = LIST_COUNT * instances / (FOLLOWER_READ_SHARE * reads_per_second)
    return max(RETRY_PAUSE, share)


class ReadCoordinator:
    """What the tails of one instance know of their common way to the log.

    Load pattern: many instances begin to read megabytes at the same moment. Answers
    come later than they are waited for, all are asked for again, and what was asked in
    vain still takes its share of what the log sends: the overload outlives its cause.

    So each instance begins one read of a backlog at a time, of ``most()`` bytes (None:
    as many as the log sends): the next one once it is answered, or after the time in
    which the log sends what all have asked for. Pauses grow while such reads fail, for
    all partitions until one is answered, and for each by itself: one that alone is
    silent holds no other one up. The lists come first: once a read was not answered,
    backlogs wait until the lists are. These are asked for again after ``pause``
    seconds.
    """

    __slots__ = (
        "_failing_lists",
        "_lists_answered",
        "_lock",
        "_list_pause",
        "_backoff",
        "_partition_backoffs",
        "max_bytes",
    )

    def __init__(self, max_bytes=lambda: None, list_pause=lambda: RETRY_PAUSE):
        self.max_bytes = max_bytes
        self._list_pause = list_pause
        self._lock = asyncio.Lock()
        self._failing_lists = set()
        self._lists_answered = asyncio.Event()
        self._lists_answered.set()
        self._backoff = _Backoff()
        self._partition_backoffs = {}

    @property
    def retry_delay(self):
        """Seconds before a read that failed is made again."""
        return self._list_pause() * random.uniform(1.0, 1.3)

    def record_read_failure(self, list_topic=None):
        """Some read was not answered, that of a list if it is named."""
        self._lists_answered.clear()
        if list_topic:
            self._failing_lists.add(list_topic)

    def record_list_answer(self, topic):
        """A list's read was answered."""
        self._failing_lists.discard(topic)
        if not self._failing_lists:
            self._lists_answered.set()

    async def read_backlog(self, part, read):
        """Return when a read of a partition's backlog was sent, and its result.

        ``read(most, failed)`` reads so many bytes; so many such reads of the partition
        have failed in a row.
        """
        partition_backoff = self._partition_backoffs.setdefault(part, _Backoff())
        await partition_backoff.wait()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_READ_SLACK):
                await self._lists_answered.wait()
        async with self._lock:
            await self._backoff.wait()
            sent_at = now()
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


class _Backoff:
    """The pause before the next of some reads, of which ``failed`` failed in a row."""

    __slots__ = ("_deadline", "failure_count")

    def __init__(self):
        self._deadline = LONG_AGO
        self.failure_count = 0

    async def wait(self):
        """Wait until it is over."""
        await asyncio.sleep(remaining(self._deadline))

    def record(self, answered):
        """Take the end of a read."""
        if answered:
            self.failure_count = 0
            self._deadline = LONG_AGO
            return
        pause = min(MAX_RETRY_PAUSE, RETRY_PAUSE * 2**self.failure_count)
        self.failure_count += 1
        self._deadline = deadline_in(pause * random.uniform(0.5, 1.0))


def _record_result(reading, *backoffs):
    if reading.cancelled() or reading.exception() is not None:
        return
    answered = not isinstance(reading.result(), Unavailable)
    for backoff in backoffs:
        backoff.record(answered)
