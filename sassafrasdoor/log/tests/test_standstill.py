"""Retries of readers do not sustain an overload of the log after its cause has gone."""

import asyncio
import math
import unittest
from unittest import mock

from sassafrasdoor import clock
from sassafrasdoor.log.partition_retry import Intervals
from sassafrasdoor.log.partitioned import keyed_record
from sassafrasdoor.log.sharing import (
    ReadCoordinator,
    answer_pause,
    backlog_share,
    follower_pause,
    list_retry_pause,
)
from sassafrasdoor.log.tail import KeyedTail, Tail
from sassafrasdoor.log.tests.virtual import MEGABYTE, BoundedLog, run

BYTES_PER_SECOND = 40 * MEGABYTE  # half of the bandwidth that the readers assume
CALLS_PER_SECOND = 1000  # more than the instances make in normal operation
SHARDS = 5
RECORD_BYTES = 50_000
RECORDS_PER_SHARD = 48  # 2.4 MB, read by each newcomer
FOLLOWERS, NEWCOMERS = 24, 24
SERVERS, SERVER_BYTES = 90, 300
STEP_INTERVAL, HEARTBEAT_INTERVAL, TABLE_INTERVAL = 0.5, 0.2, 2.0


class Instance:
    """The tails of one instance."""

    def __init__(self, log, readers, instances):
        reader = log.reader()
        share = backlog_share(instances, 2 * BYTES_PER_SECOND, 4 * RECORD_BYTES)
        pause = list_retry_pause(instances, log.calls_per_second)
        intervals = Intervals(
            follower_pause(readers, SHARDS, log.calls_per_second),
            answer_pause(readers, 2 * BYTES_PER_SECOND, 4 * RECORD_BYTES),
        )
        read_coordinator = ReadCoordinator(
            lambda: share, lambda: pause, lambda: intervals
        )
        self.table = KeyedTail(
            reader, "keyed.table", self._apply_table, read_coordinator=read_coordinator
        )
        self.servers = KeyedTail(
            reader, "keyed.list", self._ignore, 0.35, read_coordinator=read_coordinator
        )
        self.steps = [
            Tail(
                reader,
                "steps",
                shard,
                lambda offset, data: None,
                lambda: 0.4,
                read_coordinator=read_coordinator,
            )
            for shard in range(SHARDS)
        ]
        self.version = 0
        self.table_delay = 0.0
        self._log = log

    def _ignore(self, key, value):
        pass

    def _apply_table(self, key, value):
        version, written_at = value.split(b" ")[:2]
        if int(version) > self.version:
            self.version = int(version)
            self.table_delay = clock.now() - float(written_at)

    def follow_lists(self):
        """Start to follow the lists; return the tasks."""
        return [
            asyncio.ensure_future(tail.run()) for tail in (self.table, self.servers)
        ]

    def follow_steps(self):
        """Start to follow the steps; return the tasks."""
        return [asyncio.ensure_future(tail.run()) for tail in self.steps]

    @property
    def is_caught_up(self):
        """Whether at most two records of each shard are unread."""
        storage = self._log.storage
        return all(
            storage.partition("steps", shard).end - tail.offset <= 2
            for shard, tail in enumerate(self.steps)
        )


class Fleet:
    """Instances that share one log, and the writers of its records.

    ``others`` is the number of instances that only follow the lists.
    """

    def __init__(self, followers, newcomers, calls_per_second, others=0):
        self.log = BoundedLog(BYTES_PER_SECOND, calls_per_second)
        readers = followers + newcomers
        self.all = [
            Instance(self.log, readers, readers + others)
            for _ in range(readers + others)
        ]
        self.newcomers = self.all[followers:readers]
        self.step_followers = self.all[:followers]
        self._tasks = []
        self._version = 0

    async def begin(self):
        """Start the writers; let the followers catch up, one after another."""
        self._tasks = [
            asyncio.ensure_future(self._write_periodically(interval, write))
            for interval, write in (
                (STEP_INTERVAL, self._write_steps),
                (HEARTBEAT_INTERVAL, self._send_heartbeats),
                (TABLE_INTERVAL, self._write_table),
            )
        ]
        for shard in range(SHARDS):
            await self._put("steps", shard, [bytes(RECORD_BYTES)] * RECORDS_PER_SHARD)
        for instance in self.all:
            self._tasks += instance.follow_lists()
        for instance in self.step_followers:
            self._tasks += instance.follow_steps()
            await asyncio.sleep(0.5)
        await asyncio.sleep(2.0)

    async def newcomers_read(self):
        """Let all newcomers start to read the steps at the same time."""
        self.step_followers = self.step_followers + self.newcomers
        for instance in self.newcomers:
            self._tasks += instance.follow_steps()

    async def silence(self, seconds):
        """Leave all calls unanswered for a time."""
        self.log.silent = True
        await asyncio.sleep(seconds)
        self.log.silent = False

    async def refusal(self, seconds):
        """Refuse all calls for a time."""
        self.log.refuses_calls = True
        await asyncio.sleep(seconds)
        self.log.refuses_calls = False

    def end(self):
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()

    async def _write_periodically(self, interval, write):
        while True:
            await write()
            await asyncio.sleep(interval)

    async def _put(self, topic, part, records):
        await self.log.storage.append(topic, part, records, clock.now() + 1)

    async def _write_steps(self):
        for shard in range(SHARDS):
            await self._put("steps", shard, [bytes(5_000)])

    async def _send_heartbeats(self):
        for server in range(SERVERS):
            if int(clock.now() / HEARTBEAT_INTERVAL) % 6 == server % 6:
                record = keyed_record(
                    f"i-{server}", b"%f" % clock.now() + bytes(SERVER_BYTES)
                )
                await self._put("keyed.list", 0, [record])

    async def _write_table(self):
        self._version += 1
        value = b"%d %f " % (self._version, clock.now()) + bytes(40_000)
        await self._put("keyed.table", 0, [keyed_record("config", value)])


class OverloadRecoveryTest(unittest.TestCase):
    """Once the cause has gone, the load is well within the log's limits."""

    def run_fleet(self, newcomers, disturbance, settle_time, calls_per_second=math.inf):
        """Check the fleet ``settle_time`` seconds after ``disturbance()`` has returned."""

        async def main(loop):
            fleet = Fleet(FOLLOWERS, newcomers, calls_per_second)
            await fleet.begin()
            self.assertTrue(
                all(instance.is_caught_up for instance in fleet.all[:FOLLOWERS])
            )
            self.assertLess(fleet.log.backlog, 0.3)
            await disturbance(fleet)
            await asyncio.sleep(settle_time)
            fleet.end()
            self.check(fleet)

        run(main)

    def check(self, fleet):
        """Assert that the log answers promptly and all readers have caught up."""
        self.assertLess(fleet.log.backlog, 0.5)
        behind = sum(not instance.is_caught_up for instance in fleet.step_followers)
        self.assertEqual(behind, 0)
        self.assertLess(max(instance.table_delay for instance in fleet.all), 2.0)

    def test_newcomers_that_start_together_catch_up(self):
        """Guards against reads that time out and are retried for ever."""
        self.run_fleet(NEWCOMERS, Fleet.newcomers_read, 30.0)

    def test_newcomers_of_a_larger_fleet_catch_up(self):
        """Guards against limits that suit only one size of the fleet."""
        self.run_fleet(4 * NEWCOMERS, Fleet.newcomers_read, 60.0)

    def test_fleet_recovers_from_refused_reads(self):
        """Guards against retries of refused reads that exceed the log's limit."""
        self.run_fleet(
            4 * NEWCOMERS,
            lambda fleet: fleet.refusal(3.0),
            10.0,
            calls_per_second=CALLS_PER_SECOND,
        )

    def test_fleet_recovers_from_unanswered_reads(self):
        """Guards against an overload by retries that outlasts the outage."""
        self.run_fleet(0, lambda fleet: fleet.silence(6.0), 10.0)


class PartitionOutageTest(unittest.TestCase):
    """Partitions of the steps fail for seconds while the lists are answered."""

    INSTANCES = 40
    READS_PER_SECOND = 1000
    OUTAGE = 6.0  # seconds
    RETURN_BOUND = 3.0  # seconds until all have read what was written since

    def replay(self, partitions, fail, serve):
        """Check the log's load during an outage, and the readers after it.

        ``fail(log, partitions)`` and ``serve(log)`` begin and end it, in turn each half
        second if the latter is None.
        """

        async def main(loop):
            fleet = Fleet(self.INSTANCES, 0, self.READS_PER_SECOND)
            await fleet.begin()
            calls = fleet.log.sent_reads
            ends_at = clock.now() + self.OUTAGE
            while clock.now() < ends_at:
                fail(fleet.log, partitions)
                await asyncio.sleep(0.5)
                if serve is None:
                    _serve_all(fleet.log)
                    await asyncio.sleep(0.5)
            rate = (fleet.log.sent_reads - calls) / self.OUTAGE
            _serve_all(fleet.log)
            for shard in range(SHARDS):
                await fleet._put("steps", shard, [b"end"])
            ends = [
                fleet.log.storage.partition("steps", shard).end
                for shard in range(SHARDS)
            ]
            delay = max(instance.table_delay for instance in fleet.all)
            await asyncio.sleep(self.RETURN_BOUND)
            fleet.end()
            late = sum(
                tail.offset < end
                for instance in fleet.all
                for tail, end in zip(instance.steps, ends, strict=True)
            )
            self.assertLess(rate, self.READS_PER_SECOND)
            self.assertLess(delay, 2.0)
            self.assertEqual(late, 0)

        run(main)

    def test_refused_partitions_are_read_within_the_limit(self):
        """Guards against retries that take the reads of the lists, or come too late."""
        for count in (1, SHARDS):
            with self.subTest(partitions=count):
                self.replay(_partitions(count), _refuse, _serve_all)

    def test_silent_partitions_are_read_within_the_limit(self):
        """Guards against hedged reads of all instances that exceed the log's limit."""
        for count in (1, SHARDS):
            with self.subTest(partitions=count):
                self.replay(_partitions(count), _silence, _serve_all)

    def test_partitions_that_come_and_go_are_read_within_the_limit(self):
        """Guards against a pause that starts at its shortest with each answer."""
        self.replay(_partitions(SHARDS), _refuse, None)


class LargeAnswersTest(unittest.TestCase):
    """The log answers the lists promptly while it sends large answers too late."""

    FOLLOWERS, NEWCOMERS, OTHERS = 4, 76, 320
    SLOWNESS = 8
    SLOW, DRAIN, SETTLE = 6.0, 10.0, 60.0  # seconds

    def test_retries_of_large_reads_do_not_sustain_the_overload(self):
        """Guards against retries whose answers nobody waits for any more."""

        async def main(loop):
            fleet = Fleet(self.FOLLOWERS, self.NEWCOMERS, 6000, self.OTHERS)
            log = fleet.log
            log.prompt_bytes = RECORD_BYTES - 1
            await fleet.begin()
            log.rate /= self.SLOWNESS
            await fleet.newcomers_read()
            await asyncio.sleep(self.SLOW)
            log.rate *= self.SLOWNESS
            backlog = log.backlog
            await asyncio.sleep(self.DRAIN)
            # At most half of what the log can send is asked for again.
            self.assertLess(log.backlog, backlog - self.DRAIN / 2)
            await asyncio.sleep(self.SETTLE)
            fleet.end()
            self.assertLess(log.backlog, 0.5)
            self.assertEqual(
                sum(not instance.is_caught_up for instance in fleet.step_followers), 0
            )
            self.assertLess(max(instance.table_delay for instance in fleet.all), 2.0)

        with mock.patch(f"{__name__}.RECORDS_PER_SHARD", 8):
            run(main)


def _partitions(count):
    return {("steps", shard) for shard in range(count)}


def _refuse(log, partitions):
    log.refused_parts |= partitions


def _silence(log, partitions):
    log.silent_parts |= partitions


def _serve_all(log):
    log.refused_parts.clear()
    log.silent_parts.clear()


if __name__ == "__main__":
    unittest.main()
