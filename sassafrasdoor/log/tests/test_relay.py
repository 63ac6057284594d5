"""Relays for an instance that alone cannot reach the log."""

import asyncio
import unittest

from sassafrasdoor.clock import deadline_in, passed
from sassafrasdoor.log import relay as module
from sassafrasdoor.log.memory_partitioned import MemoryPartitionedLog
from sassafrasdoor.log.partitioned import Appended, RawBatch, keyed_record
from sassafrasdoor.log.relay import RelayedLog
from sassafrasdoor.outcomes import ReplyLost, Unavailable

UNANSWERED_SECONDS = 30.0


class CuttableLog:
    """An instance's path to a log; ``cut`` leaves every call without a reply.

    With ``long_polls_fail`` the reads that wait fail; ``short_reads`` counts the others.
    """

    def __init__(self, log):
        self.log = log
        self.cut = False
        self.long_polls_fail = False
        self.answer = None
        self.calls = 0
        self.short_reads = 0

    async def append(self, topic, part, records, deadline):
        self.calls += 1
        if self.cut:
            await asyncio.sleep(max(0.0, deadline - asyncio.get_running_loop().time()))
            return ReplyLost("timeout")
        if self.answer is not None:
            return self.answer
        return await self.log.append(topic, part, records, deadline)

    async def read(self, topic, part, offset, wait, slack, max_bytes=None):
        self.calls += 1
        self.short_reads += not wait
        if self.long_polls_fail and wait:
            return Unavailable("refused")
        if self.cut:
            await asyncio.sleep(wait + slack)
            return Unavailable("timeout")
        if self.answer is not None:
            return Unavailable("refused")
        return await self.log.read(topic, part, offset, wait, slack)

    async def newest(self, topic):
        self.calls += 1
        if self.cut:
            await asyncio.sleep(UNANSWERED_SECONDS)
            return Unavailable("timeout")
        return await self.log.newest(topic)


class RelayTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.log = MemoryPartitionedLog()
        self.direct, self.peer = CuttableLog(self.log), CuttableLog(self.log)
        self.relayed = RelayedLog(self.direct, lambda: [self.peer])

    def records(self):
        return self.log.partition("t", 0).records

    async def append(self, data=b"x", seconds=1.0):
        return await self.relayed.append("t", 0, [data], deadline_in(seconds))

    async def test_only_the_direct_path_is_used_while_it_answers(self):
        self.assertIsInstance(await self.append(), Appended)
        self.assertIsInstance(await self.relayed.read("t", 0, 0, 0, 1.0), RawBatch)
        self.assertEqual(self.peer.calls, 0)

    async def test_unresponsive_direct_path_is_relayed_before_the_deadline(self):
        """Guards against the loss of shards by an instance that alone is cut off.

        The log stops answering while the instance runs steps. Without a relay its claim
        lapses before an append has failed.
        """
        self.direct.cut = True
        deadline = deadline_in(30.0)
        result = await self.relayed.append("t", 0, [b"x"], deadline)
        self.assertIsInstance(result, Appended)
        self.assertFalse(passed(deadline))
        self.assertEqual(self.records(), [b"x"])
        self.assertTrue(self.relayed.is_cut_off)

    async def test_expired_list_is_loaded_through_a_relay(self):
        """Guards against a list that is stale for as long as a cut lasts."""
        await self.log.append("keyed.t", 0, [keyed_record("a", b"1")], deadline_in(1))
        self.direct.cut = True
        await self.append(seconds=30.0)
        calls = self.direct.calls
        newest = await self.relayed.newest("keyed.t")
        self.assertEqual((newest.values, newest.end), ({"a": b"1"}, 1))
        self.assertEqual(self.direct.calls, calls)
        self.peer.newest = self.refused
        self.assertIsInstance(await self.relayed.newest("keyed.t"), Unavailable)

    async def refused(self, topic):
        return Unavailable("store answered 503")

    async def test_long_polls_are_relayed_once_an_append_detects_the_cut(self):
        """Guards against an instance that renews its claim but does not read that.

        The pending long poll used the cut path until its own timeout.
        """
        self.direct.cut = True
        reading = asyncio.ensure_future(self.relayed.read("t", 0, 0, 500.0, 500.0))
        await asyncio.sleep(0)
        await self.append(seconds=30.0)
        async with asyncio.timeout(20):
            self.assertEqual((await reading).records, [b"x"])

    async def test_refused_call_is_relayed_at_once(self):
        self.direct.answer = Unavailable("store answered 429")
        self.assertIsInstance(await self.append(), Appended)
        calls = self.direct.calls
        self.assertIsInstance(await self.append(), Appended)
        self.assertEqual(self.direct.calls, calls)
        self.assertIsInstance(await self.relayed.read("t", 0, 0, 0, 1.0), RawBatch)

    async def test_instance_returns_to_the_direct_path_once_it_answers(self):
        """Guards against an instance that gets no callers any more after a short cut.

        A call is not answered, a relay answers it, and the direct path recovers while
        long polls wait at relays. Each relayed read was taken as a sign that the direct
        path was still cut.
        """
        self.direct.cut = True
        await self.append(seconds=30.0)
        self.direct.cut = False
        deadline = deadline_in(30.0)
        while self.relayed.is_cut_off:
            self.assertFalse(passed(deadline), "still relayed")
            await self.relayed.read("t", 0, 1, 0.05, 1.0)
        calls = self.peer.calls
        self.assertIsInstance(await self.append(), Appended)
        self.assertEqual(self.peer.calls, calls)

    async def test_call_lost_at_recovery_does_not_divert_callers(self):
        """Guards against instances that all send their callers away after an outage.

        Each has a pending call that was sent during the outage, and a relay answers
        first. The direct path was probed only a second later.
        """
        interval, module.PROBE_INTERVAL = module.PROBE_INTERVAL, 1000.0
        self.addCleanup(setattr, module, "PROBE_INTERVAL", interval)
        self.direct.cut = True
        await self.append(seconds=30.0)
        self.direct.cut = False
        await self.relayed.read("t", 0, 1, 0.05, 1.0)
        self.assertFalse(self.relayed.is_cut_off)

    async def test_probe_of_a_cut_path_delays_no_read(self):
        """Probes of the direct path run beside the reads, which relays answer."""
        self.direct.cut = True
        await self.append(seconds=30.0)
        calls_before, deadline = self.direct.calls, deadline_in(30.0)
        while self.direct.calls < calls_before + 2:
            self.assertFalse(passed(deadline), "the direct path was not probed again")
            batch = await self.relayed.read("t", 0, 0, 300.0, 300.0)
            self.assertEqual(batch.records, [b"x"])
            await asyncio.sleep(0.02)
        self.assertTrue(self.relayed.is_cut_off)

    async def test_recovery_of_the_direct_path_ends_the_wait_for_a_relay(self):
        """Guards against stale lists while a read waits for a relay that is down."""
        self.direct.cut = True
        await self.append(seconds=30.0)
        self.peer.cut = True
        pending_read = asyncio.ensure_future(self.relayed.read("t", 0, 0, 300.0, 300.0))
        self.addCleanup(pending_read.cancel)
        await asyncio.sleep(0)
        self.direct.cut = False
        deadline = deadline_in(30.0)
        while self.relayed.is_cut_off:
            self.assertFalse(passed(deadline), "still relayed")
            await self.relayed.read("t", 0, 1, 0.05, 0.05)
        async with asyncio.timeout(20):
            self.assertEqual((await pending_read).records, [b"x"])

    async def test_intermittent_direct_path_is_probed_once_per_interval(self):
        """Guards against reads that end each other at the speed of the network."""
        interval, module.PROBE_INTERVAL = module.PROBE_INTERVAL, 1000.0
        self.addCleanup(setattr, module, "PROBE_INTERVAL", interval)
        self.direct.long_polls_fail = True
        for _ in range(10):
            await self.relayed.read("t", 0, 1, 0.02, 0.02)
        self.assertEqual(self.direct.short_reads, 1)

    async def test_slow_log_is_not_sent_every_call_twice(self):
        """Guards against relayed calls that keep a log slow after the cause has gone."""
        self.direct.answer = self.peer.answer = Unavailable("store answered 503")
        for _ in range(100):
            await self.append(seconds=0.1)
        self.assertEqual(self.direct.calls, 100)
        self.assertLess(self.peer.calls, 20)

    async def test_failed_relays_do_not_end_other_reads(self):
        """Guards against high processor load and repeated reads while the log is down.

        An instance reads through relays, one relay does not reach the log either, the
        direct path is tried and fails, and a relay answers. Each such switch ended and
        restarted all long polls at relays.
        """
        self.direct.cut = True
        await self.append(seconds=30.0)
        pending_read = asyncio.ensure_future(self.relayed.read("t", 0, 1, 300.0, 300.0))
        self.addCleanup(pending_read.cancel)
        await asyncio.sleep(0.05)
        self.peer.answer = Unavailable("down")
        result = await self.relayed.read("t", 0, 1, 0.05, 0.05)
        self.assertIsInstance(result, Unavailable)
        self.assertFalse(self.relayed.is_cut_off)
        self.peer.answer = None
        calls = self.peer.calls + self.direct.calls
        await asyncio.sleep(0.05)
        self.assertFalse(pending_read.done())
        self.assertEqual(self.peer.calls + self.direct.calls, calls)

    async def test_append_that_may_have_landed_is_reported_as_reply_lost(self):
        """Guards against a step that is refused as not stored, and runs.

        The direct append loses its reply and the relay refuses. The last outcome was
        returned.
        """
        self.direct.answer = ReplyLost("reset")
        self.peer.answer = Unavailable("down")
        self.assertIsInstance(await self.append(), ReplyLost)
        self.direct.answer, self.peer.answer = self.peer.answer, self.direct.answer
        self.assertIsInstance(await self.append(), ReplyLost)
        self.direct.answer = self.peer.answer = Unavailable("down")
        self.assertIsInstance(await self.append(), Unavailable)

    async def test_unknown_outcome_of_a_relayed_append_is_kept(self):
        """Guards against a step refused as not stored while its instance uses relays.

        The relay loses its reply, then refuses, as does the direct path. The outcome of
        the first relayed append was dropped.
        """
        self.direct.answer = Unavailable("store answered 429")
        await self.append()
        answers = [ReplyLost("reset"), Unavailable("down")]

        async def append(*_):
            return answers.pop(0) if len(answers) > 1 else answers[0]

        self.peer.append = append
        self.assertIsInstance(await self.append(), ReplyLost)

    async def test_acknowledged_appends_are_reported(self):
        ends = []
        self.relayed = RelayedLog(
            self.direct,
            lambda: [self.peer],
            lambda *acknowledged: ends.append(acknowledged),
        )
        await self.append()
        self.direct.cut = True
        await self.append()
        self.peer.answer = Unavailable("refused")
        await self.append(seconds=0.2)
        self.assertEqual(ends, [("t", 0, 1), ("t", 0, 2)])

    async def test_unreachable_log_is_unavailable(self):
        self.direct.answer = self.peer.answer = Unavailable("down")
        result = await self.relayed.read("t", 0, 0, 0, 1.0)
        self.assertIsInstance(result, Unavailable)
        self.assertFalse(self.relayed.is_cut_off)
