"""Tests of shard leases, and of resuming a shard's items at the next runner."""

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
    """The process that each instance runs, as listed."""

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
            asyncio.ensure_future(loop) for loop in (self.tail.run(), self.shards.run())
        ]

    def stop(self):
        for task in self.tasks:
            task.cancel()


class ShardsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.log = MemoryPartitionedLog()
        timeout, module.LEASE_TIMEOUT = module.LEASE_TIMEOUT, 1.0
        self.addCleanup(setattr, module, "LEASE_TIMEOUT", timeout)
        self.first, self.second = (
            Instance(self.log, "one/1", 0),
            Instance(self.log, "two/1", 1),
        )
        for instance in (self.first, self.second):
            instance.start()
            self.addCleanup(instance.stop)

    async def submit(self):
        await self.append(*encode_step(spec(), 10_000))

    async def append(self, *data):
        await self.log.append(TOPIC, 0, list(data), deadline_in(1))

    async def until(self, condition):
        limit = deadline_in(20)
        while not condition():
            self.assertFalse(passed(limit), "condition not met within 20 s")
            await asyncio.sleep(0.01)

    async def test_first_ranked_process_claims_a_new_shard(self):
        await self.submit()
        await self.until(lambda: self.first.holds)
        self.assertEqual(self.second.events, [])

    async def test_shard_of_a_dead_process_is_taken_over(self):
        await self.submit()
        await self.until(lambda: self.first.holds)
        self.first.stop()
        await self.until(lambda: self.second.holds)

    async def test_resumed_process_loses_a_replaced_claim(self):
        """Guards against a frozen process that resumes and renews a replaced claim."""
        await self.submit()
        await self.until(lambda: self.first.holds)
        self.first.stop()
        await self.until(lambda: self.second.holds)
        self.first.start()
        await self.until(lambda: self.first.events == ["gained", "lost"])
        self.assertTrue(self.second.holds)

    async def test_restarted_process_reclaims_its_shards_immediately(self):
        """Guards against a restarted process that awaits the lapse of its old claim."""
        module.LEASE_TIMEOUT = 1000.0
        await self.submit()
        await self.until(lambda: self.first.holds)
        self.first.stop()
        restarted = Instance(self.log, "one/2", 3)
        restarted.start()
        self.addCleanup(restarted.stop)
        await self.until(lambda: restarted.holds)

    async def test_shard_of_an_ended_process_is_claimed_immediately(self):
        """Guards against waiting for the claim of an ended process to lapse."""
        module.LEASE_TIMEOUT = 1000.0
        await self.submit()
        await self.until(lambda: self.first.holds)
        self.first.stop()
        self.second.processes.by_instance["one"] = "one/2"
        with mock.patch.object(module, "note") as note:
            await self.until(lambda: self.second.holds)
            renewed = self.second.steps.claims[0].offset + 2
            await self.until(lambda: self.second.steps.claims[0].offset >= renewed)
        ended = [call for call in note.mock_calls if "shard.runner_ended" in call.args]
        self.assertEqual([call.kwargs["runner"] for call in ended], ["one/1"])

    async def test_shard_runs_elsewhere_while_its_claim_is_renewed(self):
        """Guards against loads and items handled by two processes."""
        await self.submit()
        await self.until(lambda: self.first.holds)
        await self.until(lambda: self.second.shards.runs_elsewhere(0))
        self.assertFalse(self.first.shards.runs_elsewhere(0))
        self.second.processes.by_instance["one"] = "one/2"
        self.assertFalse(self.second.shards.runs_elsewhere(0))

    async def test_unlisted_process_claims_nothing(self):
        """Guards against a claim that others attribute to an ended process."""
        self.first.processes.is_listed = False
        await self.submit()
        await self.until(lambda: self.second.holds)
        self.assertEqual(self.first.events, [])

    async def test_released_shard_is_claimed_immediately(self):
        module.LEASE_TIMEOUT = 1000.0
        await self.submit()
        await self.until(lambda: self.first.holds)
        await self.append(*self.first.shards.leave().values())
        await self.until(lambda: self.second.holds)
        await self.until(lambda: self.first.events == ["gained", "lost"])

    async def test_log_outage_moves_no_shard(self):
        """Guards against claims that lapse during an outage of the log."""
        await self.submit()
        await self.until(lambda: self.first.holds)
        self.log.down = True
        await asyncio.sleep(2 * module.LEASE_TIMEOUT)
        self.log.down = False
        renewed = self.second.steps.claims[0].offset
        await self.until(lambda: self.second.steps.claims[0].offset > renewed)
        self.assertEqual((self.first.events, self.second.events), (["gained"], []))


class SilentLog(MemoryPartitionedLog):
    """Answers no call while ``silent``; ``held`` collects the appends of that time."""

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


class SilentLogTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, log):
        """Start two instances, of which the first one runs the shard."""
        first, second = Instance(log, "one/1", 0), Instance(log, "two/1", 1)
        timeout, module.LEASE_TIMEOUT = module.LEASE_TIMEOUT, 1.0
        self.addCleanup(setattr, module, "LEASE_TIMEOUT", timeout)
        for instance in (first, second):
            instance.start()
            self.addCleanup(instance.stop)
        await log.append(TOPIC, 0, encode_step(spec(), 10_000), deadline_in(1))
        await self.until(lambda: first.holds and 0 in second.steps.claims)
        return first, second

    async def test_no_claims_while_the_log_is_silent(self):
        """Guards against claims sent because a silent log shows no renewal."""
        log = SilentLog()
        first, second = await self.start(log)
        log.silent = True
        await self.until(lambda: second.tail.failing_since is not None)
        await asyncio.sleep(2 * module.LEASE_TIMEOUT)
        log.silent = False
        claims = [records.decode(data) for held in log.held for data in held]
        self.assertEqual({claim.runner for claim in claims}, {"one/1"})
        renewed = second.steps.claims[0].offset
        await self.until(lambda: second.steps.claims[0].offset > renewed)
        self.assertEqual((first.events, second.events), (["gained"], []))

    async def test_no_claim_in_the_second_of_two_silences(self):
        """Guards against a claim that lapses in a silence shortly after another one.

        Between the two the holder could not renew: the time for it ends in the second.
        """
        log = SilentLog()
        first, second = await self.start(log)
        first.stop()
        log.silent = True
        await self.until(lambda: second.tail.failing_since is not None)
        log.silent = False
        await self.until(lambda: second.tail.failing_since is None)
        log.silent = True
        await asyncio.sleep(2 * module.LEASE_TIMEOUT)
        self.assertEqual(log.held, [])

    async def until(self, condition):
        limit = deadline_in(20)
        while not condition():
            self.assertFalse(passed(limit), "condition not met within 20 s")
            await asyncio.sleep(0.01)


class ClaimTest(unittest.TestCase):
    def test_first_of_competing_claims_counts(self):
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

    def fold_progress(self, run, first, texts, versions=None):
        numbers = list(range(first, first + len(texts)))
        versions = versions or [2] * len(texts)
        record = Progress("s1", "i0", run, first, numbers, texts, versions)
        self.steps.fold(0, 10, encode(record))

    def job(self):
        return Job(self.step, self.step.items["i0"])

    def test_next_runner_resumes_after_the_logged_events(self):
        self.fold_progress("r", 0, ["a", "b"])
        self.fold_progress("r", 2, ["c"])
        job = self.job()
        self.assertEqual((job.texts, job.last_number), (["a", "b", "c"], 2))

    def test_events_of_two_runs_are_not_joined(self):
        """Guards against progress of two runs joined into one text."""
        self.fold_progress("r", 0, ["a", "b"])
        self.fold_progress("q", 2, ["X"])
        self.assertEqual(self.job().texts, ["a", "b"])

    def test_duplicate_progress_record_is_ignored(self):
        self.fold_progress("r", 0, ["a"])
        self.fold_progress("r", 0, ["a"])
        self.assertEqual(self.job().texts, ["a"])

    def test_progress_of_outdated_weights_is_discarded(self):
        self.fold_progress("r", 0, ["a", "b"], [1, 2])
        self.assertEqual(self.job().texts, [])

    def test_resumed_events_are_logged_again(self):
        self.fold_progress("r", 0, ["a", "b"])
        job = self.job()
        progress = job.progress()
        self.assertEqual((progress.first, progress.texts), (0, ["a", "b"]))
        self.assertNotEqual(progress.run, "r")
        self.assertIsNone(job.progress())

    def test_progress_of_a_listed_item_is_discarded(self):
        self.fold_progress("r", 0, ["a"])
        sample = records.Sample("s1", "i0", "completed", "a", [2])
        self.steps.fold(0, 11, encode(sample))
        self.assertEqual(self.step.progress, {})
