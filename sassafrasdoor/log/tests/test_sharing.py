"""How the log's rate is shared, and the pauses of those who read it."""

import asyncio
import unittest

from sassafrasdoor.clock import LONG_AGO, deadline_in, now
from sassafrasdoor.log import sharing as module
from sassafrasdoor.log.partitioned import keyed_record
from sassafrasdoor.log.tail import PROBE_BYTES, START_SLACKS, KeyedTail, Tail
from sassafrasdoor.log.tests.test_tail import SilentLog


class CountingLog(SilentLog):
    """Notes the reads under way, by partition, and how many there were of each."""

    def __init__(self):
        super().__init__()
        self.silent_part = None
        self.under_way = []
        self.most_at_once = 0
        self.asked = []

    async def read(self, topic, part, offset, wait, slack, most=None):
        self.asked.append((topic, part))
        self.under_way.append(part)
        self.most_at_once = max(self.most_at_once, len(self.under_way))
        try:
            await asyncio.sleep(0.01)
            if (topic, part) == self.silent_part:
                return await self._unanswered(wait + slack)
            return await super().read(topic, part, offset, wait, slack, most)
        finally:
            self.under_way.remove(part)


class SharedPauseTest(unittest.IsolatedAsyncioTestCase):
    async def test_many_followers_leave_reads_to_others(self):
        """Symptom: with 300 instances a configuration is in force seconds late.

        Sequence: sixty instances follow busy partitions, each append wakes them all.
        Cause: their reads exceed what the log gives to all, and it refuses others'.
        """
        # followers, partitions, reads a second -> at most so many reads a second
        cases = [(60, 5, 6000, 2400), (80, 5, 6000, 2400), (300, 7, 2000, 800)]
        for followers, partitions, limit, most in cases:
            pause = module.shared_pause(followers, partitions, limit)
            self.assertLessEqual(followers * partitions / pause, most + 1e-6)
        for few in ((12, 5, 2000), (16, 5, 6000)):
            self.assertEqual(module.shared_pause(*few), 0.0)


class WayTest(unittest.IsolatedAsyncioTestCase):
    """Tails of one instance do not ask for more than it has to ask for."""

    def setUp(self):
        self.log = CountingLog()
        self.way = module.Way()
        self.tails = [
            Tail(self.log, "t", part, lambda at, data: None, way=self.way)
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
        """Guards against a start that asks for the megabytes of all partitions."""
        await asyncio.gather(*(tail.poll(0) for tail in self.tails))
        self.assertEqual(self.log.most_at_once, 1)

    async def test_silent_partition_holds_no_other_up(self):
        """Guards against a shard that nobody reads since another one is silent."""
        for part in range(1, 5):
            await self.log.append("t", part, [b"x"] * 30, deadline_in(1))
        self.log.silent_part = ("t", 0)
        self.way.most = lambda: 1
        one = KeyedTail(self.log, "keyed.t", lambda key, value: None, way=self.way)
        for tail in [one, *self.tails]:
            self.follow(tail)
        began = now()
        await self.until(lambda: all(tail.has_caught_up for tail in self.tails[1:]))
        # Thirty answers of each of the four, and a few tries at the silent one.
        self.assertLess(now() - began, 10 * module.BACKLOG_WITHIN)
        self.assertFalse(self.tails[0].has_caught_up)

    async def test_partitions_wait_for_an_answer_of_a_list(self):
        """Guards against reads of megabytes that a silent log is asked for."""
        for tail in self.tails:
            await tail.poll(0)
        self.log.silent = True
        await asyncio.gather(*(tail.poll(0) for tail in self.tails))
        self.log.asked.clear()
        polls = [asyncio.ensure_future(tail.poll(0)) for tail in self.tails]
        await asyncio.sleep(0.1)
        self.assertEqual(self.log.asked, [])
        self.log.silent = False
        one = KeyedTail(self.log, "keyed.t", lambda key, value: None, way=self.way)
        await one.poll(0)
        self.assertEqual(await asyncio.gather(*polls), [True] * 5)
        self.assertEqual(self.log.most_at_once, 5)

    async def test_start_in_silence_goes_on_once_a_list_is_answered(self):
        """Guards against shards that are read late since each one waits its time."""
        self.log.silent = True
        self.assertFalse(await self.tails[0].poll(0))
        polls = [asyncio.ensure_future(tail.poll(0)) for tail in self.tails]
        await asyncio.sleep(0.1)
        self.log.silent = False
        one = KeyedTail(self.log, "keyed.t", lambda key, value: None, way=self.way)
        await one.poll(0)
        async with asyncio.timeout(START_SLACKS[0]):
            self.assertEqual(await asyncio.gather(*polls), [True] * 5)

    def end_pauses(self):
        for pause in [self.way._pause, *self.way._part_pauses.values()]:
            pause._until = LONG_AGO

    async def test_pauses_grow_while_reads_fail(self):
        """Guards against a log that is asked at the same rate however slow it is."""
        pauses = []

        async def read(most, failed):
            return module.Unavailable("timeout")

        for _ in range(8):
            self.way.note_list_answered("keyed.t")
            self.end_pauses()
            await self.way.read_backlog(0, read)
            pauses.append(self.way._pause._until - now())
            self.assertGreater(self.way._part_pauses[0]._until, now())
        self.assertLessEqual(pauses[0], module.RETRY_PAUSE)
        self.assertGreater(pauses[-1], module.LONGEST_PAUSE / 2 - 0.1)
        self.assertLessEqual(max(pauses), module.LONGEST_PAUSE)

    async def test_pauses_hold_for_all_partitions(self):
        """Guards against partitions that take turns at asking a slow log."""
        self.log.down = True
        for tail in self.tails:
            self.way.note_list_answered("keyed.t")
            self.end_pauses()
            await tail.poll(0)
        self.assertEqual(self.way._pause.failed, len(self.tails))
        self.log.down = False
        self.way.note_list_answered("keyed.t")
        self.end_pauses()
        await self.tails[0].poll(0)
        self.assertEqual(self.way._pause.failed, 0)

    def test_refused_lists_leave_reads_to_others(self):
        """Guards against refused reads of all that exceed what the log takes."""
        for instances, limit in ((78, 6000), (300, 2000), (400, 6000)):
            pause = module.retry_pause(instances, limit)
            self.assertLessEqual(module.LISTS * instances / pause, limit / 2)
        self.assertEqual(module.retry_pause(10, 2000), module.RETRY_PAUSE)

    def test_backlogs_of_all_readers_are_sent_within_a_second(self):
        """Guards against lists that are read late behind many backlogs."""
        rate, record = 80e6, 262_144
        for readers in (1, 16, 48, 100):
            share = module.backlog_share(readers, rate, record)
            self.assertLessEqual(readers * share, module.BACKLOG_WITHIN * rate / 2)
            self.assertGreater(share, record)
        # A record is read though it exceeds the share.
        self.assertGreater(module.backlog_share(1000, rate, record), record)

    async def test_confirmation_waits_for_a_read_that_is_made_again(self):
        """Guards against looks that are made beside a read that failed."""
        tail = self.tails[0]
        await tail.poll(0)
        self.follow(tail)
        self.log.down = True
        await self.until(lambda: tail.failing_since is not None)
        self.way.note_failed()
        self.log.asked.clear()
        self.assertFalse(await tail.confirm(deadline_in(0.3)))
        self.assertEqual(self.log.asked, [])
        self.log.down = False
        self.way.note_list_answered("keyed.t")
        self.assertTrue(await tail.confirm(deadline_in(20)))

    async def test_partitions_wait_for_each_list(self):
        """Guards against steps that are read while the operator's table is late."""
        self.way.note_failed("keyed.a")
        self.way.note_failed("keyed.b")
        poll = asyncio.ensure_future(self.tails[0].poll(0))
        self.way.note_list_answered("keyed.b")
        await asyncio.sleep(0.05)
        self.assertEqual(self.log.asked, [])
        self.way.note_list_answered("keyed.a")
        self.assertTrue(await poll)

    async def test_list_that_fails_is_asked_for_little(self):
        """Guards against lists whose repeats grow with what they are behind."""
        asked = []

        async def read(topic, part, offset, wait, slack, most=None):
            asked.append(most)
            return module.Unavailable("timeout")

        one = KeyedTail(self.log, "keyed.t", lambda key, value: None, way=self.way)
        await one.poll(0)
        self.log.read = read
        for _ in range(2):
            await one.poll(0)
        self.assertEqual(asked[1:], [PROBE_BYTES] * len(asked[1:]))

    async def test_what_is_left_behind_a_short_answer_is_read_at_once(self):
        """Guards against a list that is read in small parts with pauses between."""
        one = KeyedTail(self.log, "keyed.t", lambda key, value: None, 30.0)
        await one.poll(0)
        records = [keyed_record(f"k{at}", bytes(900)) for at in range(5)]
        await self.log.append("keyed.t", 0, records, deadline_in(1))
        one.failing_since = now()
        self.follow(one)
        await self.until(lambda: one.offset == 5)

    async def test_partition_is_read_though_no_list_is_answered(self):
        """Guards against steps that stand still where the lists alone fail."""
        tail = self.tails[0]
        await tail.poll(0)
        self.log.down = True
        await tail.poll(0)
        self.log.down = False
        self.assertTrue(await tail.poll(0))
