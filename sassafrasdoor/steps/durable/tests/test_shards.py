"""Who runs a shard, and how its work is handed on."""

import asyncio
import unittest
from unittest import mock

from sassafrasdoor.clock import deadline_in, passed, remaining
from sassafrasdoor.log.memory_partitioned import MemoryPartitionedLog
from sassafrasdoor.log.tail import Tail
from sassafrasdoor.outcomes import ReplyLost, Unavailable
from sassafrasdoor.steps.durable import records, shards as module
from sassafrasdoor.steps.durable.jobs import Job
from sassafrasdoor.steps.durable.records import Claim, Progress, encode, encode_step
from sassafrasdoor.steps.durable.service import TOPIC
from sassafrasdoor.steps.durable.shards import Shards
from sassafrasdoor.steps.durable.state import Steps
from sassafrasdoor.steps.durable.tests.fixtures import spec


class Processes:
    """Which process each instance runs, as the list of instances says."""

    def __init__(self):
        self.by_instance = {}
        self.is_listed = True

    def has_ended(self, instance, name, since):
        return self.by_instance.get(instance, name) != name


class Instance:
    """One process that may run shard 0."""

    def __init__(self, log, name, rank):
        self.log = log
        self.name = name
        self.steps = Steps()
        self.events = []
        self.processes = Processes()
        self.tail = Tail(log, TOPIC, 0, lambda at, data: self.steps.fold(0, at, data))
        self.shards = Shards(
            log,
            TOPIC,
            self.steps,
            [self.tail],
            name,
            lambda shard: rank,
            lambda shard: self.events.append("gained"),
            lambda shard: self.events.append("lost"),
            self.processes,
        )
        self.tasks = []

    @property
    def holds(self):
        return self.events[-1:] == ["gained"]

    def start(self):
        self.tasks = [
            asyncio.ensure_future(one) for one in (self.tail.run(), self.shards.run())
        ]

    def stop(self):
        for task in self.tasks:
            task.cancel()


class ShardsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.log = MemoryPartitionedLog()
        lapse, module.LAPSE_AFTER = module.LAPSE_AFTER, 1.0
        self.addCleanup(setattr, module, "LAPSE_AFTER", lapse)
        self.one, self.two = (
            Instance(self.log, "one/1", 0),
            Instance(self.log, "two/1", 1),
        )
        for instance in (self.one, self.two):
            instance.start()
            self.addCleanup(instance.stop)

    async def submit(self):
        await self.append(*encode_step(spec(), 10_000))

    async def append(self, *data):
        await self.log.append(TOPIC, 0, list(data), deadline_in(1))

    async def until(self, condition):
        limit = deadline_in(20)
        while not condition():
            self.assertFalse(passed(limit), "condition never came true")
            await asyncio.sleep(0.01)

    async def test_first_in_rank_runs_a_new_shard(self):
        await self.submit()
        await self.until(lambda: self.one.holds)
        self.assertEqual(self.two.events, [])

    async def test_shard_of_a_dead_process_goes_to_the_next(self):
        await self.submit()
        await self.until(lambda: self.one.holds)
        self.one.stop()
        await self.until(lambda: self.two.holds)

    async def test_sleeper_loses_the_shard_by_the_log(self):
        """Guards against a resumed process that renews a replaced claim."""
        await self.submit()
        await self.until(lambda: self.one.holds)
        self.one.stop()
        await self.until(lambda: self.two.holds)
        self.one.start()
        await self.until(lambda: self.one.events == ["gained", "lost"])
        self.assertTrue(self.two.holds)

    async def test_restarted_process_takes_its_shards_back_at_once(self):
        """Guards against a restarted process that waits for its own former claim."""
        module.LAPSE_AFTER = 1000.0
        await self.submit()
        await self.until(lambda: self.one.holds)
        self.one.stop()
        again = Instance(self.log, "one/2", 3)
        again.start()
        self.addCleanup(again.stop)
        await self.until(lambda: again.holds)

    async def test_shard_of_a_process_known_to_have_ended_is_taken_at_once(self):
        """Guards against waiting for the claim of a process that has ended."""
        module.LAPSE_AFTER = 1000.0
        await self.submit()
        await self.until(lambda: self.one.holds)
        self.one.stop()
        self.two.processes.by_instance["one"] = "one/2"
        with mock.patch.object(module, "note") as note:
            await self.until(lambda: self.two.holds)
            renewed = self.two.steps.claims[0].offset + 2
            await self.until(lambda: self.two.steps.claims[0].offset >= renewed)
        said = [call for call in note.mock_calls if "shard.runner_ended" in call.args]
        self.assertEqual([one.kwargs["runner"] for one in said], ["one/1"])

    async def test_shard_runs_elsewhere_while_its_claim_is_renewed(self):
        """Guards against loads and items that end up at two processes."""
        await self.submit()
        await self.until(lambda: self.one.holds)
        await self.until(lambda: self.two.shards.runs_elsewhere(0))
        self.assertFalse(self.one.shards.runs_elsewhere(0))
        self.two.processes.by_instance["one"] = "one/2"
        self.assertFalse(self.two.shards.runs_elsewhere(0))

    async def test_process_that_is_not_listed_claims_nothing(self):
        """Guards against a claim that others take for that of an ended process."""
        self.one.processes.is_listed = False
        await self.submit()
        await self.until(lambda: self.two.holds)
        self.assertEqual(self.one.events, [])

    async def test_released_shard_is_taken_at_once(self):
        module.LAPSE_AFTER = 1000.0
        await self.submit()
        await self.until(lambda: self.one.holds)
        await self.append(*self.one.shards.leave().values())
        await self.until(lambda: self.two.holds)
        await self.until(lambda: self.one.events == ["gained", "lost"])

    async def test_outage_of_the_log_moves_nothing(self):
        """Guards against claims that lapse by the time of an outage."""
        await self.submit()
        await self.until(lambda: self.one.holds)
        self.log.down = True
        await asyncio.sleep(2 * module.LAPSE_AFTER)
        self.log.down = False
        renewed = self.two.steps.claims[0].offset
        await self.until(lambda: self.two.steps.claims[0].offset > renewed)
        self.assertEqual((self.one.events, self.two.events), (["gained"], []))


class SilentLog(MemoryPartitionedLog):
    """Leaves every call without an answer while it is ``silent``; appends land."""

    def __init__(self):
        super().__init__()
        self.silent = False
        self.held = []

    async def append(self, topic, part, records, deadline):
        if not self.silent:
            return await super().append(topic, part, records, deadline)
        self.held.append(records)
        await asyncio.sleep(remaining(deadline))
        return ReplyLost("timeout")

    async def read(self, topic, part, offset, wait, slack, max_bytes=None):
        result = await super().read(topic, part, offset, wait, slack, max_bytes)
        if self.silent:
            await asyncio.sleep(wait + slack)
            return Unavailable("timeout")
        return result


class SilenceTest(unittest.IsolatedAsyncioTestCase):
    async def test_nobody_claims_while_the_log_is_silent(self):
        """Guards against claims made because a silent log shows no renewal."""
        log = SilentLog()
        one, two = Instance(log, "one/1", 0), Instance(log, "two/1", 1)
        lapse, module.LAPSE_AFTER = module.LAPSE_AFTER, 1.0
        self.addCleanup(setattr, module, "LAPSE_AFTER", lapse)
        for instance in (one, two):
            instance.start()
            self.addCleanup(instance.stop)
        await log.append(TOPIC, 0, encode_step(spec(), 10_000), deadline_in(1))
        await self.until(lambda: one.holds and 0 in two.steps.claims)
        log.silent = True
        await self.until(lambda: two.tail.failing_since is not None)
        await asyncio.sleep(2 * module.LAPSE_AFTER)
        log.silent = False
        claims = [records.decode(data) for held in log.held for data in held]
        self.assertEqual({claim.runner for claim in claims}, {"one/1"})
        renewed = two.steps.claims[0].offset
        await self.until(lambda: two.steps.claims[0].offset > renewed)
        self.assertEqual((one.events, two.events), (["gained"], []))

    async def until(self, condition):
        limit = deadline_in(20)
        while not condition():
            self.assertFalse(passed(limit), "condition never came true")
            await asyncio.sleep(0.01)


class ClaimTest(unittest.TestCase):
    def test_of_two_claims_on_one_the_first_counts(self):
        steps = Steps()
        for offset, runner in enumerate(("a", "b")):
            steps.fold(0, offset, encode(Claim(runner, -1, False)))
        self.assertEqual(steps.claims[0].runner, "a")


class ProgressTest(unittest.TestCase):
    def setUp(self):
        self.steps = Steps()
        for offset, data in enumerate(encode_step(spec(min_version=2), 10_000)):
            self.steps.fold(0, offset, data)
        self.step = self.steps.by_id["s1"]

    def keep(self, run, first, texts, versions=None):
        numbers = list(range(first, first + len(texts)))
        versions = versions or [2] * len(texts)
        record = Progress("s1", "i0", run, first, numbers, texts, versions)
        self.steps.fold(0, 10, encode(record))

    def job(self):
        return Job(self.step, self.step.items["i0"])

    def test_next_runner_goes_on_after_what_was_kept(self):
        self.keep("r", 0, ["a", "b"])
        self.keep("r", 2, ["c"])
        job = self.job()
        self.assertEqual((job.texts, job.last_number), (["a", "b", "c"], 2))

    def test_events_of_two_runs_never_join(self):
        """Guards against progress of two runs joined into one text."""
        self.keep("r", 0, ["a", "b"])
        self.keep("q", 2, ["X"])
        self.assertEqual(self.job().texts, ["a", "b"])

    def test_record_that_was_appended_twice_counts_once(self):
        self.keep("r", 0, ["a"])
        self.keep("r", 0, ["a"])
        self.assertEqual(self.job().texts, ["a"])

    def test_beginning_of_too_old_weights_is_left(self):
        self.keep("r", 0, ["a", "b"], [1, 2])
        self.assertEqual(self.job().texts, [])

    def test_what_is_resumed_is_kept_anew(self):
        self.keep("r", 0, ["a", "b"])
        job = self.job()
        progress = job.progress()
        self.assertEqual((progress.first, progress.texts), (0, ["a", "b"]))
        self.assertNotEqual(progress.run, "r")
        self.assertIsNone(job.progress())

    def test_listed_item_needs_no_beginning(self):
        self.keep("r", 0, ["a"])
        sample = records.Sample("s1", "i0", "completed", "a", [2])
        self.steps.fold(0, 11, encode(sample))
        self.assertEqual(self.step.progress, {})
