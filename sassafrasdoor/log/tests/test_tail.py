"""Reading a partition and a keyed topic during and after faults of the log."""

import asyncio
import unittest
from unittest import mock

from sassafrasdoor.clock import LONG_AGO, deadline_in, now
from sassafrasdoor.log import sharing, tail as module
from sassafrasdoor.log.memory_partitioned import MemoryPartitionedLog
from sassafrasdoor.log.partitioned import NewestKeys, keyed_record
from sassafrasdoor.log.sharing import RETRY_PAUSE
from sassafrasdoor.log.tail import KeyedTail, Tail
from sassafrasdoor.log.tests.virtual import MEGABYTE, BoundedLog, run

CALL_TIMEOUT = 2.0  # seconds, of calls that have no timeout of their own


class SilentFirstReadLog(MemoryPartitionedLog):
    """Never answers the first read, as if it had been sent during an outage."""

    def __init__(self):
        super().__init__()
        self.silent = 1

    async def read(self, topic, part, offset, wait, slack, max_bytes=None):
        if self.silent:
            self.silent -= 1
            await asyncio.sleep(wait + slack)
            return module.Unavailable("timeout")
        return await super().read(topic, part, offset, wait, slack, max_bytes)


class SilentLog(MemoryPartitionedLog):
    """Never answers calls that were sent while it was ``silent``."""

    def __init__(self):
        super().__init__()
        self.silent = False
        self.waiting = self.given_up = 0

    async def read(self, topic, part, offset, wait, slack, max_bytes=None):
        if not self.silent:
            return await super().read(topic, part, offset, wait, slack, max_bytes)
        return await self._unanswered(wait + slack)

    async def newest(self, topic):
        if not self.silent:
            return await super().newest(topic)
        return await self._unanswered(CALL_TIMEOUT)

    async def _unanswered(self, seconds):
        self.waiting += 1
        try:
            await asyncio.sleep(seconds)
            self.given_up += 1
        finally:
            self.waiting -= 1
        return module.Unavailable("timeout")


class TailTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.log = MemoryPartitionedLog()
        self.folded = []
        self.tail = Tail(
            self.log, "t", 0, lambda at, data: self.folded.append((at, data))
        )

    async def append(self, *records):
        await self.log.append("t", 0, list(records), deadline_in(1))

    async def test_records_are_folded_in_order_and_once(self):
        await self.append(b"a", b"b")
        await asyncio.gather(*(self.tail.poll(0) for _ in range(3)))
        await self.append(b"c")
        await self.tail.poll(0)
        self.assertEqual(self.folded, [(0, b"a"), (1, b"b"), (2, b"c")])

    async def test_expired_records_are_skipped(self):
        await self.append(b"a", b"b", b"c")
        self.log.partition("t", 0).expire(2)
        await self.tail.poll(0)
        await self.tail.poll(0)
        self.assertEqual(self.folded, [(2, b"c")])

    async def test_confirms_only_with_reads_sent_after_the_call(self):
        self.assertTrue(await self.tail.confirm(deadline_in(1)))
        self.log.down = True
        self.assertFalse(await self.tail.confirm(deadline_in(0.1)))
        self.assertTrue(await self.tail.ensure_fresh(1000, deadline_in(0)))
        self.assertFalse(await self.tail.ensure_fresh(0, deadline_in(0)))

    async def test_concurrent_confirmations_share_one_read(self):
        """Guards against repeated reads of a shard's backlog during a start.

        Each confirmation read the megabytes again, which overloaded the log for seconds.
        """
        await self.append(b"a")
        deadline = deadline_in(5)
        await asyncio.gather(*(self.tail.confirm(deadline) for _ in range(20)))
        self.assertLessEqual(self.log.calls.count(("read", "t", 0)), 2)

    async def test_unwanted_partition_is_not_read(self):
        """Guards against instances that together exceed the log's bandwidth."""
        self.tail.wanted.clear()
        task = asyncio.ensure_future(self.tail.run())
        self.addCleanup(task.cancel)
        await self.append(b"a")
        self.assertFalse(await self.tail.confirm(deadline_in(0.2)))
        self.assertEqual(self.folded, [])
        self.tail.wanted.set()
        async with asyncio.timeout(20):
            while not self.folded:  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def test_waiting_reader_ends_the_pause(self):
        """Guards against samples that reach a waiting trainer late by a pause."""
        self.tail._pause = lambda: 1000.0
        task = asyncio.ensure_future(self.tail.run())
        self.addCleanup(task.cancel)
        async with asyncio.timeout(20):
            while self.tail.confirmed_at is None:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            with self.tail.without_pauses():
                for count, data in enumerate((b"a", b"b", b"c"), start=1):
                    await self.append(data)
                    while len(self.folded) < count:  # noqa: ASYNC110
                        await asyncio.sleep(0.01)

    async def test_end_of_an_outage_is_recorded(self):
        self.log.down = True
        await self.tail.poll(0)
        self.assertIsNotNone(self.tail.failing_since)
        self.log.down = False
        await self.tail.poll(0)
        self.assertIsNone(self.tail.failing_since)
        self.assertLessEqual(self.tail.restored_at, now())

    async def test_late_reading_of_acknowledged_records_is_logged(self):
        self.log.down = True
        await self.tail.poll(0)
        self.log.down = False
        await self.append(b"a")
        self.tail.record_append(1)
        with mock.patch.object(module, "note") as line:
            await self.tail.poll(0)
        fields = line.call_args_list[0].kwargs
        self.assertEqual(line.call_args_list[0].args, ("log.regained",))
        self.assertEqual(fields["failed_reads"], 1)
        self.assertIn(sharing.PAUSE, fields["waited"])
        self.assertGreaterEqual(fields["acknowledged_seconds"], 0.0)
        self.assertIsNone(self.tail._acknowledged_at)

    async def test_outage_starts_at_the_last_answer_before_it(self):
        """A long poll times out long after the start of an outage."""
        self.assertIsNone(self.tail.last_outage)
        await self.tail.poll(0)
        answered = now()
        self.log.down = True
        await asyncio.sleep(0.05)
        await self.tail.poll(0)
        failed = self.tail.failing_since
        self.log.down = False
        await self.tail.poll(0)
        outage = self.tail.last_outage
        self.assertLessEqual(outage.since, answered)
        self.assertLess(outage.since, failed)
        self.assertEqual(outage.until, self.tail.restored_at)

    async def test_outage_before_the_first_answer_has_no_start(self):
        self.log.down = True
        await self.tail.poll(0)
        self.log.down = False
        await self.tail.poll(0)
        self.assertEqual(self.tail.last_outage.since, LONG_AGO)

    async def test_unanswered_read_times_out_soon(self):
        """Guards against a change that takes effect 2.2 s after an outage.

        A read sent during the outage is never answered, and its timeout was 5 s.
        """
        self.assertLess(module.LONG_POLL_TIMEOUT + module.READ_SLACK + RETRY_PAUSE, 1.8)
        log = SilentFirstReadLog()
        seen = asyncio.Event()
        tail = Tail(log, "t", 0, lambda at, data: seen.set())
        task = asyncio.ensure_future(tail.run())
        self.addCleanup(task.cancel)
        await log.append("t", 0, [b"a"], deadline_in(1))
        async with asyncio.timeout(20):
            await seen.wait()

    async def test_recovery_is_detected_by_a_read_sent_after_it(self):
        """Guards against an instance that resumes 2.5 s after an outage.

        The log recovers while a read sent during the outage is pending. No other read
        was sent until that one, which is never answered, had timed out.
        """
        log = SilentLog()
        folded = asyncio.Event()
        tail = Tail(log, "t", 0, lambda at, data: folded.set())
        self.assertTrue(await tail.poll(0))
        log.silent = True
        task = asyncio.ensure_future(tail.run())
        self.addCleanup(task.cancel)
        await log.append("t", 0, [b"a"], deadline_in(1))
        async with asyncio.timeout(30):
            while not (log.given_up > 4 and log.waiting > 1):  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        log.silent = False
        given_up = log.given_up
        async with asyncio.timeout(20):
            await folded.wait()
        self.assertEqual(log.given_up, given_up)

    async def test_second_read_of_a_start_during_an_outage_is_short(self):
        """Guards against steps that stop for 3 s after an outage.

        An instance starts during the outage and its first read times out. The second was
        a long poll with a timeout of 3 s.
        """
        timeouts = []

        async def read(topic, part, offset, wait, slack, max_bytes=None):
            timeouts.append(wait + slack)
            return module.Unavailable("timeout")

        self.log.read = read
        for _ in range(4):
            await self.tail.poll(module.LONG_POLL_TIMEOUT)
        self.assertLessEqual(
            max(timeouts[:2]), module.LONG_POLL_TIMEOUT + module.READ_SLACK
        )
        # A later attempt allows for a log that is slower than that.
        self.assertGreater(max(timeouts), 2 * timeouts[0] - 0.1)

    async def test_pause_batches_records(self):
        reads = []
        read = self.log.read

        async def counted(*arguments):
            reads.append(self.tail.offset)
            return await read(*arguments)

        self.log.read = counted
        self.tail = Tail(
            self.log,
            "t",
            0,
            lambda at, data: self.folded.append(at),
            lambda: 30.0,
        )
        task = asyncio.ensure_future(self.tail.run())
        self.addCleanup(task.cancel)
        for record in (b"a", b"b", b"c"):
            await self.append(record)
            await asyncio.sleep(0)
        async with asyncio.timeout(20):
            while not self.folded:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        await self.append(b"d")
        await asyncio.sleep(0.05)
        self.assertEqual(len(reads), 1)


class KeyedTailRecoveryTest(unittest.IsolatedAsyncioTestCase):
    """A list is read again soon after an outage, whatever its state was."""

    async def asyncSetUp(self):
        self.log = SilentLog()
        self.changed = asyncio.Event()
        await self.put("a", b"1")

    async def put(self, key, value=b""):
        record = keyed_record(key, value)
        await self.log.append("keyed.t", 0, [record], deadline_in(1))

    async def newest_from_peer(self, topic):
        return NewestKeys({"a": b"1"}, 1)

    def follow(self, newest_from_peer=None):
        tail = KeyedTail(
            self.log, "keyed.t", self.take, newest_from_peer=newest_from_peer
        )
        task = asyncio.ensure_future(tail.run())
        self.addCleanup(task.cancel)
        return tail

    def take(self, key, value):
        if key == "a" and not value:
            self.changed.set()

    async def until(self, condition):
        async with asyncio.timeout(30):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def check_return(self):
        """End the outage just after a call was sent, which is never answered."""
        given_up = self.log.given_up
        # The calls of an attempt end together; wait for the first call of the next one.
        await self.until(lambda: self.log.given_up > given_up and not self.log.waiting)
        await self.until(lambda: self.log.waiting == 1)
        given_up = self.log.given_up
        self.log.silent = False
        async with asyncio.timeout(30):
            await self.changed.wait()
        self.assertEqual(self.log.given_up, given_up)

    async def test_list_from_a_peer_is_read_on_after_an_outage(self):
        """Guards against use of a backend server 3 s after it left.

        An instance starts during an outage with the list of a peer; after the outage a
        key is dropped. The initial reads were sent one after another, with timeouts of
        up to 3 s, although the list had been loaded.
        """
        self.log.silent = True
        self.follow(self.newest_from_peer)
        await self.put("a")
        await self.check_return()

    async def test_list_expired_during_an_outage_is_reloaded_after_it(self):
        """Guards against late detection of a dropped key if its record has expired.

        The log stops answering and records expire; it recovers and fails once more
        while the list is reloaded. The load had a timeout of 2 s and was not hedged.
        """
        tail = self.follow()
        await self.until(lambda: tail.loaded)
        self.log.silent = True
        await self.until(lambda: self.log.waiting)
        await self.put("a")
        tail.loaded = False
        await self.check_return()


class KeyedTailPaceTest(unittest.TestCase):
    def test_list_that_is_silent_and_then_refused_is_read_at_intervals(self):
        """Guards against a read that is repeated at the speed of the network."""

        async def main(loop):
            log = BoundedLog(MEGABYTE)
            tail = KeyedTail(log.reader(), "keyed.t", lambda key, value: None)
            task = asyncio.ensure_future(tail.run())
            await asyncio.sleep(2.0)
            log.silent = True
            while tail.failing_since is None:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.3)
            reads, log.silent, log.refuses_calls = log.sent_reads, False, True
            await asyncio.sleep(2.0)
            task.cancel()
            return log.sent_reads - reads

        self.assertLessEqual(run(main), 2.0 / RETRY_PAUSE)


class KeyedTailTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.log = MemoryPartitionedLog()
        self.values = []
        self.tail = KeyedTail(
            self.log, "keyed.t", lambda *pair: self.values.append(pair)
        )

    async def put(self, key, value=b""):
        record = keyed_record(key, value)
        await self.log.append("keyed.t", 0, [record], deadline_in(1))

    async def test_starts_with_the_newest_values(self):
        await self.put("a", b"1")
        await self.put("a", b"2")
        await self.tail.poll(0)
        await self.put("b", b"3")
        await self.tail.poll(0)
        self.assertEqual(self.values, [("a", b"2"), ("b", b"3")])

    async def test_dropped_key_has_no_value(self):
        await self.put("a", b"1")
        await self.tail.poll(0)
        await self.put("a")
        await self.tail.poll(0)
        self.assertEqual(self.values[-1], ("a", b""))

    async def test_key_dropped_in_expired_records_is_reported(self):
        """Guards against work for a replica that left long ago.

        While an instance is cut off a key is dropped and that record expires. Expired
        records were skipped without a reload.
        """
        await self.put("a", b"1")
        await self.put("b", b"1")
        await self.tail.poll(0)
        await self.put("a")
        await self.put("c", b"1")
        self.log.partition("keyed.t", 0).expire(4)
        for _ in range(2):
            await self.tail.poll(0)
        self.assertIn(("a", b""), self.values)
        self.assertIn(("c", b"1"), self.values)

    async def test_load_older_than_the_read_offset_is_rejected(self):
        """Guards against a list that is reverted by a reader that lags behind."""
        await self.put("a", b"1")
        await self.tail.poll(0)
        await self.put("a")
        await self.tail.poll(0)
        self.tail.loaded = False
        self.values.clear()
        newest, self.log.newest = self.log.newest, self.older
        self.assertFalse(await self.tail.poll(0))
        self.assertEqual(self.values, [])
        self.log.newest = newest
        self.assertTrue(await self.tail.poll(0))
        self.assertEqual(self.values, [])

    async def older(self, topic):
        return NewestKeys({"a": b"1"}, 1)

    async def test_unreadable_record_is_skipped(self):
        await self.tail.poll(0)
        partition = self.log.partition("keyed.t", 0)
        partition.records.append(b"")
        await self.put("a", b"1")
        await self.tail.poll(0)
        self.assertEqual(self.values, [("a", b"1")])


class AllCaughtUpTest(unittest.TestCase):
    def tails(self, *states):
        """Return tails that are caught up (read), behind, or failing (fails)."""
        tails = []
        for state in states:
            tail = Tail(MemoryPartitionedLog(), "t", 0, lambda at, data: None)
            tail.confirmed_at = now() if state == "read" else None
            tail.failing_since = now() if state == "fails" else None
            tails.append(tail)
        return tails

    def test_failing_partitions_are_ignored(self):
        """Guards against instances that never report that they have caught up."""
        cases = {
            ("read", "read"): True,
            ("read", "behind"): False,
            ("read", "fails"): True,
            ("behind", "fails"): False,
            ("fails", "fails"): False,
        }
        for states, expected in cases.items():
            with self.subTest(states):
                self.assertIs(module.all_caught_up(self.tails(*states)), expected)
