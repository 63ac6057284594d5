"""A log that one instance alone cannot reach."""

import asyncio
import unittest

from sassafrasdoor.clock import deadline_in, passed
from sassafrasdoor.log import relay as module
from sassafrasdoor.log.memory_partitioned import MemoryPartitionedLog
from sassafrasdoor.log.partitioned import Appended, RawBatch, keyed_record
from sassafrasdoor.log.relay import RelayedLog
from sassafrasdoor.outcomes import ReplyLost, Unavailable

SILENCE = 30.0


class CuttableLog:
    """The way of one instance to a log; ``cut`` leaves every call without a reply.

    With ``held_fail`` the reads that wait fail; ``short_reads`` counts the others.
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
            await asyncio.sleep(SILENCE)
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
        """Symptom: an instance that alone is cut off loses its shards.

        Sequence: its connection to the log goes silent while it runs steps; its claim
        lapses before an append has failed. Cause: nobody else was asked to append.
        """
        self.direct.cut = True
        deadline = deadline_in(30.0)
        result = await self.relayed.append("t", 0, [b"x"], deadline)
        self.assertIsInstance(result, Appended)
        self.assertFalse(passed(deadline))
        self.assertEqual(self.records(), [b"x"])
        self.assertTrue(self.relayed.is_cut_off)

    async def test_expired_list_is_loaded_through_a_relay(self):
        """Guards against a list that stays as it was for as long as a cut lasts."""
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
        """Symptom: the instance renews its claim and does not see it.

        Sequence: as above, with a read that waits for new records. Cause: that read
        held on to the silent way until its own time was over.
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
        """Symptom: no caller is sent to an instance any more after a short cut.

        Sequence: one of its calls goes unanswered, a relay answers, the direct way
        comes back; reads wait at the relays one behind another. Cause: each relayed
        read was taken for a further sign that the direct way is cut.
        """
        self.direct.cut = True
        await self.append(seconds=30.0)
        self.direct.cut = False
        limit = deadline_in(30.0)
        while self.relayed.is_cut_off:
            self.assertFalse(passed(limit), "still relayed")
            await self.relayed.read("t", 0, 1, 0.05, 1.0)
        calls = self.peer.calls
        self.assertIsInstance(await self.append(), Appended)
        self.assertEqual(self.peer.calls, calls)

    async def test_call_lost_at_recovery_does_not_divert_callers(self):
        """Symptom: after an outage for all every instance names only others.

        Sequence: each has a call under way that was sent in silence, a relay answers
        first. Cause: the direct way was asked again only a second later.
        """
        interval, module.PROBE_INTERVAL = module.PROBE_INTERVAL, 1000.0
        self.addCleanup(setattr, module, "PROBE_INTERVAL", interval)
        self.direct.cut = True
        await self.append(seconds=30.0)
        self.direct.cut = False
        await self.relayed.read("t", 0, 1, 0.05, 1.0)
        self.assertFalse(self.relayed.is_cut_off)

    async def test_probe_of_a_cut_path_delays_no_read(self):
        """Each look at the direct way runs beside the reads, which relays answer."""
        self.direct.cut = True
        await self.append(seconds=30.0)
        asked, limit = self.direct.calls, deadline_in(30.0)
        while self.direct.calls < asked + 2:
            self.assertFalse(passed(limit), "never looked again")
            found = await self.relayed.read("t", 0, 0, 300.0, 300.0)
            self.assertEqual(found.records, [b"x"])
            await asyncio.sleep(0.02)
        self.assertTrue(self.relayed.is_cut_off)

    async def test_recovery_of_the_direct_path_ends_the_wait_for_a_relay(self):
        """Guards against lists that stay as they are while a dead relay is waited for."""
        self.direct.cut = True
        await self.append(seconds=30.0)
        self.peer.cut = True
        held = asyncio.ensure_future(self.relayed.read("t", 0, 0, 300.0, 300.0))
        self.addCleanup(held.cancel)
        await asyncio.sleep(0)
        self.direct.cut = False
        limit = deadline_in(30.0)
        while self.relayed.is_cut_off:
            self.assertFalse(passed(limit), "still relayed")
            await self.relayed.read("t", 0, 1, 0.05, 0.05)
        async with asyncio.timeout(20):
            self.assertEqual((await held).records, [b"x"])

    async def test_intermittent_direct_path_is_probed_once_per_interval(self):
        """Guards against reads that end each other at the speed of the network."""
        interval, module.PROBE_INTERVAL = module.PROBE_INTERVAL, 1000.0
        self.addCleanup(setattr, module, "PROBE_INTERVAL", interval)
        self.direct.long_polls_fail = True
        for _ in range(10):
            await self.relayed.read("t", 0, 1, 0.02, 0.02)
        self.assertEqual(self.direct.short_reads, 1)

    async def test_slow_log_is_not_sent_every_call_twice(self):
        """Guards against a log that relays keep slow after its cause has gone."""
        self.direct.answer = self.peer.answer = Unavailable("store answered 503")
        for _ in range(100):
            await self.append(seconds=0.1)
        self.assertEqual(self.direct.calls, 100)
        self.assertLess(self.peer.calls, 20)

    async def test_failed_relays_do_not_end_other_reads(self):
        """Symptom: while the log is away for all, every instance takes several times
        the processor and asks it again and again.

        Sequence: an instance reads through others; one relay does not reach the log
        either, the direct way is taken, fails, a relay answers. Cause: each such turn
        ended all reads that wait at relays, and they began anew.
        """
        self.direct.cut = True
        await self.append(seconds=30.0)
        held = asyncio.ensure_future(self.relayed.read("t", 0, 1, 300.0, 300.0))
        self.addCleanup(held.cancel)
        await asyncio.sleep(0.05)
        self.peer.answer = Unavailable("down")
        found = await self.relayed.read("t", 0, 1, 0.05, 0.05)
        self.assertIsInstance(found, Unavailable)
        self.assertFalse(self.relayed.is_cut_off)
        self.peer.answer = None
        calls = self.peer.calls + self.direct.calls
        await asyncio.sleep(0.05)
        self.assertFalse(held.done())
        self.assertEqual(self.peer.calls + self.direct.calls, calls)

    async def test_append_that_may_have_landed_is_reported_as_reply_lost(self):
        """Symptom: a step is refused as not kept, and runs.

        Sequence: the direct append loses its reply, the relay refuses. Cause: the
        last answer was taken for the outcome.
        """
        self.direct.answer = ReplyLost("reset")
        self.peer.answer = Unavailable("down")
        self.assertIsInstance(await self.append(), ReplyLost)
        self.direct.answer, self.peer.answer = self.peer.answer, self.direct.answer
        self.assertIsInstance(await self.append(), ReplyLost)
        self.direct.answer = self.peer.answer = Unavailable("down")
        self.assertIsInstance(await self.append(), Unavailable)

    async def test_unknown_outcome_of_a_relayed_append_is_kept(self):
        """Symptom: as above, at an instance that was cut off before.

        Sequence: the relay loses its reply, then refuses, the direct way refuses too.
        Cause: what became of the first relayed append was dropped.
        """
        self.direct.answer = Unavailable("store answered 429")
        await self.append()
        answers = [ReplyLost("reset"), Unavailable("down")]

        async def append(*_):
            return answers.pop(0) if len(answers) > 1 else answers[0]

        self.peer.append = append
        self.assertIsInstance(await self.append(), ReplyLost)

    async def test_unreachable_log_is_unavailable(self):
        self.direct.answer = self.peer.answer = Unavailable("down")
        found = await self.relayed.read("t", 0, 0, 0, 1.0)
        self.assertIsInstance(found, Unavailable)
        self.assertFalse(self.relayed.is_cut_off)
