"""What is acknowledged once a partition serves again is read within seconds."""

import asyncio
import contextlib
import itertools
import math
import unittest
from unittest import mock

from sassafrasdoor import clock
from sassafrasdoor.clock import deadline_in
from sassafrasdoor.log.partition_retry import (
    MAX_BOUNDED_PAUSE,
    MAX_LENGTHENING,
    RETURN_SPREAD,
    Intervals,
)
from sassafrasdoor.log.partitioned import Appended, keyed_record
from sassafrasdoor.log.sharing import ReadCoordinator
from sassafrasdoor.log.tail import LONG_POLL_TIMEOUT, KeyedTail, Tail
from sassafrasdoor.log.tests.virtual import MEGABYTE, BoundedLog, run

# Seconds from the return of a partition until all that follow it have read what is
# acknowledged then. An item of a step must not reach a backend server later than three
# seconds after the end of its step; a slow log takes a quarter of a second for a call.
RETURN_BOUND = 2.0
SHARDS = 7
LISTS = ("keyed.table", "keyed.list", "keyed.instances")
LIST_INTERVALS = (5.0, 0.4, 1.0)  # seconds between changes of each list
PARTITION = ("steps", 0)
ALL_PARTITIONS = {("steps", shard) for shard in range(SHARDS)}
ALL_LISTS = {(topic, 0) for topic in LISTS}
SCOPES = {
    "one partition": {PARTITION},
    "some partitions": {PARTITION, ("steps", 2), ("steps", 5)},
    "all partitions": ALL_PARTITIONS,
    "a partition and a list": {PARTITION, ("keyed.list", 0)},
    "everything": ALL_PARTITIONS | ALL_LISTS,
}
LIST_PAUSE = 0.35  # seconds between two reads of a list
LIST_ANSWER = LIST_PAUSE + LONG_POLL_TIMEOUT + 0.05  # seconds until one is answered
# The intervals by calls and bytes of 20, 40 and 80 followers of seven partitions, where
# the log takes 6,000 reads and sends 80 MB a second.
FLEETS = ((0.0, 0.82), (0.12, 1.33), (0.23, 1.67))
RENEW_INTERVAL = 0.5  # seconds between the claims of an instance that runs a shard
RECORD_BYTES, BACKLOG_RECORDS = 3_000, 100
WARM_UP = 3.0  # seconds
MAX_SECONDS = 20.0  # until the end of a replay


class Instance:
    """The tails of one instance; one that ``claims`` appends to each shard."""

    def __init__(self, log, claims, coordinator=None):
        self.client = log.reader()
        coordinator = coordinator or ReadCoordinator()
        self.lists = [
            KeyedTail(
                self.client,
                topic,
                lambda *_: None,
                LIST_PAUSE,
                read_coordinator=coordinator,
            )
            for topic in LISTS
        ]
        self.read_at = {}
        self.steps = [
            Tail(
                self.client,
                "steps",
                shard,
                self._fold,
                lambda: 0.4,
                read_coordinator=coordinator,
            )
            for shard in range(SHARDS)
        ]
        self._claims = claims
        self._appends = set()

    def _fold(self, offset, data):
        self.read_at.setdefault(data, clock.now())

    def start(self):
        """Start to follow all; return the tasks."""
        jobs = [tail.run() for tail in (*self.lists, *self.steps)]
        if self._claims:
            jobs += [self._renew(shard) for shard in range(SHARDS)]
        return [asyncio.ensure_future(job) for job in jobs]

    async def _renew(self, shard):
        while True:
            append = asyncio.ensure_future(self._append_claim(shard))
            self._appends.add(append)
            append.add_done_callback(self._appends.discard)
            await asyncio.sleep(RENEW_INTERVAL)

    async def _append_claim(self, shard):
        result = await self.client.append("steps", shard, [b"claim"], deadline_in(1.5))
        if isinstance(result, Appended):
            self.steps[shard].record_append(result.end)


class Outage:
    """An outage of some partitions that ends at a chosen moment.

    That is just after the first read of ``PARTITION`` by ``victim`` that fails, or is
    sent in vain, once it has lasted for ``seconds``. Then ``record`` is acknowledged.
    """

    def __init__(self, log, partitions, scope, victim, seconds, record):
        self.returned_at = None
        self._log = log
        self._partitions = partitions
        self._victim = victim
        self._record = record
        self._ends_from = deadline_in(seconds)
        self._partitions |= scope
        self._has_ended = asyncio.Event()
        log.on_call = self._handle_call

    def _handle_call(self, reader, call, partition):
        is_awaited = (call, partition) == ("read", PARTITION)
        if (
            is_awaited
            and reader is self._victim.client
            and clock.now() >= self._ends_from
        ):
            self._has_ended.set()

    async def run(self):
        """Wait until the outage has ended."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(self._ends_from + MAX_SECONDS):
                await self._has_ended.wait()
        self._partitions.clear()
        self._log.on_call = lambda reader, call, partition: None
        self.returned_at = clock.now()
        await self._log.storage.append(*PARTITION, [self._record], deadline_in(1))


class ReturnTest(unittest.TestCase):
    """Partitions serve again just after a read has failed, the worst moment."""

    def replay(
        self,
        fault,
        scope,
        seconds,
        victim_claims,
        draw,
        outages=1,
        alone=False,
        intervals=Intervals,
        flaps=(),
    ):
        """Return the delays of a runner and of another reader.

        That is the greatest after ``outages``, which are one second apart. With ``alone``
        the log fails for the victim only. ``flaps`` are the seconds of failures and
        answers before the first outage; a backlog arrives in each time of answers.
        """

        async def main(loop):
            log = BoundedLog(80 * MEGABYTE)
            instances = [
                Instance(log, claims, ReadCoordinator(retry_intervals=intervals))
                for claims in (True, False)
            ]
            victim = instances[0 if victim_claims else 1]
            tasks = [task for instance in instances for task in instance.start()]
            tasks += [
                asyncio.ensure_future(self.write(log, topic, interval))
                for topic, interval in zip(LISTS, LIST_INTERVALS, strict=True)
            ]
            await asyncio.sleep(WARM_UP)
            log.failing_reader = victim.client if alone else None
            partitions = getattr(log, f"{fault}_parts")
            for down, up in flaps:
                partitions |= scope
                await asyncio.sleep(down)
                partitions.clear()
                backlog = [bytes(RECORD_BYTES)] * BACKLOG_RECORDS
                await log.storage.append(*PARTITION, backlog, deadline_in(1))
                await asyncio.sleep(up)
            delays = []
            for number in range(outages):
                record = b"end %d" % number
                outage = Outage(log, partitions, scope, victim, seconds, record)
                await outage.run()
                await asyncio.sleep(1.0)
                delays.append((outage, record))
            await asyncio.sleep(2 * MAX_SECONDS)
            for task in tasks:
                task.cancel()
            returns = [outage.returned_at for outage, _ in delays]
            return [
                max(
                    _seconds_since_last(returns, instance.read_at.get(record, math.inf))
                    for _, record in delays
                )
                for instance in instances
            ]

        with _draws(draw):
            return run(main)

    async def write(self, log, topic, interval):
        """Change a list periodically."""
        for number in itertools.count():
            record = keyed_record(f"k{number % 4}", b"%f" % clock.now())
            await log.storage.append(topic, 0, [record], deadline_in(1))
            await asyncio.sleep(interval)

    def check(self, scopes, durations, **options):
        cases = itertools.product(
            ("refused", "silent"), scopes, durations, (True, False), (0.0, 1.0)
        )
        for fault, scope, seconds, claims, draw in cases:
            with self.subTest(
                fault=fault, scope=scope, seconds=seconds, claims=claims, draw=draw
            ):
                delays = self.replay(
                    fault, SCOPES[scope], seconds, claims, draw, **options
                )
                self.assertLessEqual(max(delays), RETURN_BOUND)

    def test_acknowledged_records_are_read_soon_after_any_outage(self):
        """Guards against items of an ended step that run for seconds after its end."""
        self.check(SCOPES, (0.5, 2.5, 5.5, 9.0))

    def test_second_outage_soon_after_the_first(self):
        """Guards against a return that is noticed once in several seconds only."""
        self.check(("one partition", "everything"), (1.5, 3.5), outages=2)

    def test_outages_that_come_and_go(self):
        """Guards against a pause that has grown by failures of former outages."""
        for flaps in (((0.5, 0.5),) * 10, ((2.0, 0.05),) * 6):
            self.check(("one partition", "everything"), (1.0,), flaps=flaps)

    def test_instance_that_was_cut_off_alone(self):
        """Guards against a runner that misses an end while others write and read."""
        self.check(("one partition", "everything"), (2.5, 5.5), alone=True)

    def test_large_fleets(self):
        """Guards against a delay that grows with partitions, or for who appends at all."""
        cases = itertools.product(
            ("refused", "silent"), SCOPES, (True, False), (0.0, 1.0), FLEETS
        )
        for fault, scope, claims, draw, fleet in cases:
            with self.subTest(
                fault=fault, scope=scope, claims=claims, draw=draw, fleet=fleet
            ):
                runner, other = self.replay(
                    fault,
                    SCOPES[scope],
                    5.5,
                    claims,
                    draw,
                    intervals=lambda fleet=fleet: Intervals(*fleet),
                )
                self.assertLessEqual(runner, RETURN_BOUND)
                self.assertLessEqual(other, _bound(*fleet, fault == "silent"))

    def test_large_fleets_when_outages_come_and_go(self):
        """Guards against turns of silent partitions that outlast their silence."""
        cases = itertools.product(("refused", "silent"), (True, False), FLEETS)
        for fault, claims, fleet in cases:
            with self.subTest(fault=fault, claims=claims, fleet=fleet):
                runner, other = self.replay(
                    fault,
                    ALL_PARTITIONS,
                    1.0,
                    claims,
                    1.0,
                    intervals=lambda fleet=fleet: Intervals(*fleet),
                    flaps=((0.5, 0.5),) * 10,
                )
                self.assertLessEqual(runner, RETURN_BOUND)
                self.assertLessEqual(other, _bound(*fleet, fault == "silent"))

    def test_instance_that_started_during_an_outage(self):
        """Guards against first reads that are repeated seconds after the return."""
        cases = itertools.product(("refused", "silent"), SCOPES, (3.5, 9.0), (0.0, 1.0))
        for fault, scope, seconds, draw in cases:
            with self.subTest(fault=fault, scope=scope, seconds=seconds, draw=draw):
                delay = self.replay_start(fault, SCOPES[scope], seconds, draw)
                self.assertLessEqual(delay, RETURN_BOUND)

    def replay_start(self, fault, scope, seconds, draw):
        """Return the delay of an instance, and of a duty, that start in an outage."""

        async def main(loop):
            log = BoundedLog(80 * MEGABYTE)
            read_at = []
            instance = Instance(log, False)
            duty = Tail(
                instance.client, *PARTITION, lambda *_: read_at.append(clock.now())
            )
            tasks = [
                asyncio.ensure_future(self.write(log, topic, interval))
                for topic, interval in zip(LISTS, LIST_INTERVALS, strict=True)
            ]
            await asyncio.sleep(WARM_UP)
            partitions = getattr(log, f"{fault}_parts")
            outage = Outage(log, partitions, scope, instance, seconds, b"end")
            tasks += [*instance.start(), asyncio.ensure_future(duty.run())]
            await outage.run()
            await asyncio.sleep(2 * MAX_SECONDS)
            for task in tasks:
                task.cancel()
            last = max(instance.read_at.get(b"end", math.inf), *read_at, -math.inf)
            return last - outage.returned_at

        with _draws(draw):
            return run(main)


def _draws(draw):
    """Let all random pauses take the same place between their bounds, from 0 to 1."""
    return mock.patch("random.uniform", lambda low, high: low + draw * (high - low))


def _bound(by_calls, by_bytes, is_silent):
    """Return the seconds within which an instance reads that appends nothing."""
    pause = max(MAX_BOUNDED_PAUSE, by_calls, by_bytes * is_silent)
    spread = max(by_calls, RETURN_SPREAD)
    answers = 0.1  # seconds, of the turns of all partitions
    return max(pause * (1.0 + MAX_LENGTHENING), LIST_ANSWER + spread) + answers


def _seconds_since_last(moments, at):
    """Return the seconds from the last of some moments before ``at`` until then."""
    return at - max(moment for moment in moments if moment <= at)


if __name__ == "__main__":
    unittest.main()
