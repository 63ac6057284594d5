"""Retries of readers do not sustain an overload of the log after its cause has gone."""

import asyncio
import math
import unittest

from sassafrasdoor import clock
from sassafrasdoor.log.partitioned import keyed_record
from sassafrasdoor.log.sharing import ReadCoordinator, backlog_share, list_retry_pause
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

    def __init__(self, log, readers):
        reader = log.reader()
        share = backlog_share(readers, 2 * BYTES_PER_SECOND, 4 * RECORD_BYTES)
        pause = list_retry_pause(readers, log.calls_per_second)
        read_coordinator = ReadCoordinator(lambda: share, lambda: pause)
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
    """Instances that share one log, and the writers of its records."""

    def __init__(self, followers, newcomers, calls_per_second):
        self.log = BoundedLog(BYTES_PER_SECOND, calls_per_second)
        self.all = [
            Instance(self.log, followers + newcomers)
            for _ in range(followers + newcomers)
        ]
        self.newcomers = self.all[followers:]
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
        for instance in self.all[: len(self.all) - len(self.newcomers)]:
            self._tasks += instance.follow_steps()
            await asyncio.sleep(0.5)
        await asyncio.sleep(2.0)

    async def newcomers_read(self):
        """Let all newcomers start to read the steps at the same time."""
        self.step_followers = self.all
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


if __name__ == "__main__":
    unittest.main()
