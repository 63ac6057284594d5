"""Shares of the log's bandwidth, and pauses between reads."""

import asyncio
import unittest

from sassafrasdoor.clock import LONG_AGO, deadline_in, now
from sassafrasdoor.log import sharing as module
from sassafrasdoor.log.partitioned import keyed_record
from sassafrasdoor.log.tail import INITIAL_READ_SLACKS, PROBE_BYTES, KeyedTail, Tail
from sassafrasdoor.log.tests.test_tail import SilentLog


class CountingLog(SilentLog):
    """Records the requests, and how many are concurrently in flight."""

    def __init__(self):
        super().__init__()
        self.silent_part = None
        self.parts_in_flight = []
        self.max_concurrent_reads = 0
        self.requests = []

    async def read(self, topic, part, offset, wait, slack, max_bytes=None):
        self.requests.append((topic, part))
        self.parts_in_flight.append(part)
        self.max_concurrent_reads = max(
            self.max_concurrent_reads, len(self.parts_in_flight)
        )
        try:
            await asyncio.sleep(0.01)
            if (topic, part) == self.silent_part:
                return await self._unanswered(wait + slack)
            return await super().read(topic, part, offset, wait, slack, max_bytes)
        finally:
            self.parts_in_flight.remove(part)


class FollowerPauseTest(unittest.IsolatedAsyncioTestCase):
    async def test_many_followers_stay_within_their_read_share(self):
        """Guards against a configuration that takes effect seconds late.

        Of 300 instances 60 follow busy partitions, and each append ends all their long
        polls. Their reads exceeded the log's limit, and it refused others.
        """
        # followers, partitions, the log's reads a second, maximum reads a second
        cases = [(60, 5, 6000, 2400), (80, 5, 6000, 2400), (300, 7, 2000, 800)]
        for followers, partitions, limit, max_reads in cases:
            pause = module.follower_pause(followers, partitions, limit)
            self.assertLessEqual(followers * partitions / pause, max_reads + 1e-6)
        for few in ((12, 5, 2000), (16, 5, 6000)):
            self.assertEqual(module.follower_pause(*few), 0.0)


class ReadCoordinatorTest(unittest.IsolatedAsyncioTestCase):
    """The tails of one instance coordinate their reads."""

    def setUp(self):
        self.log = CountingLog()
        self.read_coordinator = module.ReadCoordinator()
        self.tails = [
            Tail(
                self.log,
                "t",
                part,
                lambda at, data: None,
                read_coordinator=self.read_coordinator,
            )
            for part in range(5)
        ]

    def follow(self, tail):
        task = asyncio.ensure_future(tail.run())
        self.addCleanup(task.cancel)

    async def until(self, condition):
        async with asyncio.timeout(30):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def test_one_backlog_is_read_at_a_time(self):
        """Guards against a start that requests the backlogs of all partitions at once."""
        await asyncio.gather(*(tail.poll(0) for tail in self.tails))
        self.assertEqual(self.log.max_concurrent_reads, 1)

    async def test_unresponsive_partition_delays_no_other(self):
        """Guards against a shard that is not read because another does not answer."""
        for part in range(1, 5):
            await self.log.append("t", part, [b"x"] * 30, deadline_in(1))
        self.log.silent_part = ("t", 0)
        self.read_coordinator.max_bytes = lambda: 1
        keyed_tail = KeyedTail(
            self.log,
            "keyed.t",
            lambda key, value: None,
            read_coordinator=self.read_coordinator,
        )
        for tail in [keyed_tail, *self.tails]:
            self.follow(tail)
        started_at = now()
        await self.until(lambda: all(tail.has_caught_up for tail in self.tails[1:]))
        # Thirty answers from each of four partitions, and a few failed reads of the first.
        self.assertLess(now() - started_at, 10 * module.BACKLOG_INTERVAL)
        self.assertFalse(self.tails[0].has_caught_up)

    async def test_partitions_wait_until_a_list_is_answered(self):
        """Guards against requests for megabytes during an outage."""
        for tail in self.tails:
            await tail.poll(0)
        self.log.silent = True
        await asyncio.gather(*(tail.poll(0) for tail in self.tails))
        self.log.requests.clear()
        polls = [asyncio.ensure_future(tail.poll(0)) for tail in self.tails]
        await asyncio.sleep(0.1)
        self.assertEqual(self.log.requests, [])
        self.log.silent = False
        keyed_tail = KeyedTail(
            self.log,
            "keyed.t",
            lambda key, value: None,
            read_coordinator=self.read_coordinator,
        )
        await keyed_tail.poll(0)
        self.assertEqual(await asyncio.gather(*polls), [True] * 5)
        self.assertEqual(self.log.max_concurrent_reads, 5)

    async def test_start_during_an_outage_resumes_once_a_list_is_answered(self):
        """Guards against shards that are read late because each waits in turn."""
        self.log.silent = True
        self.assertFalse(await self.tails[0].poll(0))
        polls = [asyncio.ensure_future(tail.poll(0)) for tail in self.tails]
        await asyncio.sleep(0.1)
        self.log.silent = False
        keyed_tail = KeyedTail(
            self.log,
            "keyed.t",
            lambda key, value: None,
            read_coordinator=self.read_coordinator,
        )
        await keyed_tail.poll(0)
        async with asyncio.timeout(INITIAL_READ_SLACKS[0]):
            self.assertEqual(await asyncio.gather(*polls), [True] * 5)

    def end_backoffs(self):
        for backoff in [
            self.read_coordinator._backoff,
            *self.read_coordinator._partition_backoffs.values(),
        ]:
            backoff._deadline = LONG_AGO

    async def fail_all(self, keyed_tail):
        """Let the list and all partitions fail until the backoffs are at their maximum."""
        self.log.silent = True
        self.assertFalse(await keyed_tail.poll(0))
        coordinator = self.read_coordinator
        for backoff in (
            coordinator._backoff,
            *coordinator._partition_backoffs.values(),
        ):
            for _ in range(8):
                backoff.record(False)

    async def test_return_of_the_log_ends_the_backoff_once(self):
        """Guards against steps that are not read for seconds after an outage.

        The log was down for seven seconds, so the backoff of a runner's shards had grown
        to seconds; its own claim, sent just before, was not seen until they had passed.
        """
        keyed_tail = KeyedTail(
            self.log,
            "keyed.t",
            lambda key, value: None,
            read_coordinator=self.read_coordinator,
        )
        await keyed_tail.poll(0)
        await asyncio.gather(*(tail.poll(0) for tail in self.tails))
        for tail in self.tails:
            tail.failing_since = now()
        await self.fail_all(keyed_tail)
        polls = [asyncio.ensure_future(tail.poll(0)) for tail in self.tails]
        await asyncio.sleep(0.05)
        self.log.silent = False
        await keyed_tail.poll(0)
        async with asyncio.timeout(module.RETURN_SPREAD + 0.5):
            self.assertEqual(await asyncio.gather(*polls), [True] * 5)
        # A list that comes and goes again within seconds ends no backoff.
        await self.fail_all(keyed_tail)
        self.log.silent = False
        await keyed_tail.poll(0)
        deadline = self.read_coordinator._backoff._deadline
        self.assertGreater(deadline, now() + module.RETURN_SPREAD)

    async def test_backoff_grows_while_reads_fail(self):
        """Guards against a constant rate of reads from a failing log."""
        pauses = []

        async def read(max_bytes, failures):
            return module.Unavailable("timeout")

        for _ in range(8):
            self.read_coordinator.record_list_answer("keyed.t")
            self.end_backoffs()
            await self.read_coordinator.read_backlog(0, read)
            pauses.append(self.read_coordinator._backoff._deadline - now())
            self.assertGreater(
                self.read_coordinator._partition_backoffs[0]._deadline, now()
            )
        self.assertLessEqual(pauses[0], module.RETRY_PAUSE)
        self.assertGreater(pauses[-1], module.MAX_RETRY_PAUSE / 2 - 0.1)
        self.assertLessEqual(max(pauses), module.MAX_RETRY_PAUSE)

    async def test_backoff_applies_to_all_partitions(self):
        """Guards against partitions that each read from a failing log."""
        self.log.down = True
        for tail in self.tails:
            self.read_coordinator.record_list_answer("keyed.t")
            self.end_backoffs()
            await tail.poll(0)
        self.assertEqual(self.read_coordinator._backoff.failure_count, len(self.tails))
        self.log.down = False
        self.read_coordinator.record_list_answer("keyed.t")
        self.end_backoffs()
        await self.tails[0].poll(0)
        self.assertEqual(self.read_coordinator._backoff.failure_count, 0)

    async def test_read_of_known_records_is_not_held_back_by_other_partitions(self):
        """Guards against an end that is read after the backoff of another partition."""
        coordinator = self.read_coordinator
        coordinator.record_read_failure("keyed.t")
        for _ in range(8):
            coordinator._backoff.record(False)

        async def read(max_bytes, failures):
            return module.Unavailable("timeout")

        coordinator._lists_answered.set()
        other = asyncio.ensure_future(coordinator.read_backlog(1, read))
        await asyncio.sleep(0.05)
        coordinator.record_read_failure("keyed.t")
        async with asyncio.timeout(module.BACKLOG_INTERVAL / 2):
            await coordinator.read_backlog(0, read, is_urgent=True)
        self.assertFalse(other.done())
        other.cancel()

    def test_retries_of_refused_lists_stay_within_their_read_share(self):
        """Guards against retries of all instances that exceed the log's limit."""
        for instances, limit in ((78, 6000), (300, 2000), (400, 6000)):
            pause = module.list_retry_pause(instances, limit)
            self.assertLessEqual(module.LIST_COUNT * instances / pause, limit / 2)
        self.assertEqual(module.list_retry_pause(10, 2000), module.RETRY_PAUSE)

    def test_backlog_shares_of_all_readers_fit_the_interval(self):
        """Guards against lists that arrive late behind many backlogs."""
        rate, record = 80e6, 262_144
        for readers in (1, 16, 48, 100):
            share = module.backlog_share(readers, rate, record)
            self.assertLessEqual(readers * share, module.BACKLOG_INTERVAL * rate / 2)
            self.assertGreater(share, record)
        # A record larger than the share can still be read.
        self.assertGreater(module.backlog_share(1000, rate, record), record)

    async def test_confirmation_waits_for_the_retry_of_a_failed_read(self):
        """Guards against confirming reads beside the retries of a failed read."""
        tail = self.tails[0]
        await tail.poll(0)
        self.follow(tail)
        self.log.down = True
        await self.until(lambda: tail.failing_since is not None)
        self.read_coordinator.record_read_failure()
        self.log.requests.clear()
        self.assertFalse(await tail.confirm(deadline_in(0.3)))
        self.assertEqual(self.log.requests, [])
        self.log.down = False
        self.read_coordinator.record_list_answer("keyed.t")
        self.assertTrue(await tail.confirm(deadline_in(20)))

    async def test_partitions_wait_for_each_list(self):
        """Guards against steps that are read before the operator's table."""
        self.read_coordinator.record_read_failure("keyed.a")
        self.read_coordinator.record_read_failure("keyed.b")
        poll = asyncio.ensure_future(self.tails[0].poll(0))
        self.read_coordinator.record_list_answer("keyed.b")
        await asyncio.sleep(0.05)
        self.assertEqual(self.log.requests, [])
        self.read_coordinator.record_list_answer("keyed.a")
        self.assertTrue(await poll)

    async def test_failing_list_is_probed_with_small_reads(self):
        """Guards against hedged reads that each transfer the backlog of a list."""
        requested = []

        async def read(topic, part, offset, wait, slack, max_bytes=None):
            requested.append(max_bytes)
            return module.Unavailable("timeout")

        keyed_tail = KeyedTail(
            self.log,
            "keyed.t",
            lambda key, value: None,
            read_coordinator=self.read_coordinator,
        )
        await keyed_tail.poll(0)
        self.log.read = read
        for _ in range(2):
            await keyed_tail.poll(0)
        self.assertEqual(requested[1:], [PROBE_BYTES] * len(requested[1:]))

    async def test_rest_after_a_short_answer_is_read_without_pause(self):
        """Guards against a list that is read in small parts with pauses between them."""
        keyed_tail = KeyedTail(self.log, "keyed.t", lambda key, value: None, 30.0)
        await keyed_tail.poll(0)
        records = [keyed_record(f"k{at}", bytes(900)) for at in range(5)]
        await self.log.append("keyed.t", 0, records, deadline_in(1))
        keyed_tail.failing_since = now()
        self.follow(keyed_tail)
        await self.until(lambda: keyed_tail.offset == 5)

    async def test_partition_is_read_although_lists_fail(self):
        """Guards against steps that stop because only the lists fail."""
        tail = self.tails[0]
        await tail.poll(0)
        self.log.down = True
        await tail.poll(0)
        self.log.down = False
        self.assertTrue(await tail.poll(0))
