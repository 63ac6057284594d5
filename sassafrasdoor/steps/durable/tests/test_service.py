"""Tests of the answers to trainers, with each fault of the log."""

import asyncio
import time
import unittest

from sassafrasdoor.clock import deadline_in, now, remaining
from sassafrasdoor.log.memory_partitioned import MemoryPartitionedLog
from sassafrasdoor.log.tail import Tail
from sassafrasdoor.outcomes import NotRun, Rejected, Unavailable, Unknown
from sassafrasdoor.steps.durable import records, service as module
from sassafrasdoor.steps.durable.service import (
    SHARD_COUNT,
    TOPIC,
    NotFound,
    StepService,
    shard_of,
)
from sassafrasdoor.steps.durable.state import Steps
from sassafrasdoor.steps.durable.tests.fixtures import MODEL, spec


class Instance:
    """One instance's fold and service over a shared log."""

    def __init__(self, log, has_room=lambda size: True):
        self.steps = Steps()
        self.tails = [
            Tail(log, TOPIC, shard, self._fold(shard)) for shard in range(SHARD_COUNT)
        ]
        self.service = StepService(log, self.steps, self.tails, 10_000, has_room)

    def _fold(self, shard):
        return lambda offset, data: self.steps.fold(shard, offset, data)


class ServiceTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.log = MemoryPartitionedLog()
        self.instance = Instance(self.log)
        self.submit_timeout = module.SUBMIT_TIMEOUT
        module.SUBMIT_TIMEOUT = 1.2

    def tearDown(self):
        module.SUBMIT_TIMEOUT = self.submit_timeout

    async def submit(self, forward=None, **fields):
        async def refuse_forward():
            return False

        step, limit = spec(**fields), deadline_in(5)
        return await self.instance.service.submit(
            step, limit, forward or refuse_forward
        )

    async def test_accepted_step_is_read_at_another_instance(self):
        self.assertIs(await self.submit(), True)
        other = Instance(self.log)
        page = await other.service.read("s1", 0, deadline_in(0))
        self.assertEqual((page.total, page.samples), (2, []))

    async def test_step_without_room_is_refused(self):
        """Guards against accepted steps that fill the memory of every instance."""
        limit = 3 * spec().held_bytes()
        instance = self.instance = Instance(self.log, lambda size: size <= limit)
        for number in range(4):
            result = await self.submit(step_id=f"s{number}")
            for tail in instance.tails:
                await tail.confirm(deadline_in(1))
            self.assertEqual(isinstance(result, NotRun), number == 3)
        self.assertEqual(len(instance.steps.by_id), 3)
        self.assertIs(await self.submit(step_id="s0"), True)

    async def test_step_of_an_account_is_hidden_from_others(self):
        """Guards against reads and ends by other accounts, and ids taken from them."""
        step = spec()
        step.account = "a"
        self.assertIs(await self.instance.service.submit(step, deadline_in(5)), True)
        other = Instance(self.log)
        for account, found in (("a", True), ("b", False), ("", False)):
            with self.subTest(account):
                page = await other.service.read("s1", 0, deadline_in(0), account)
                self.assertEqual(not isinstance(page, NotFound), found)
                ended = await other.service.end("s1", deadline_in(1), account=account)
                self.assertEqual(ended is True, found)
        taken = spec()
        taken.account = "b"
        self.assertIsInstance(
            await other.service.submit(taken, deadline_in(5)), Rejected
        )
        self.assertIs(await other.service.submit(step, deadline_in(5)), True)

    async def test_one_id_submitted_by_two_accounts_at_once_is_acknowledged_to_one(
        self,
    ):
        """Guards against an acknowledged step that is another account's."""
        instances = [Instance(self.log) for _ in range(2)]
        steps = [spec(), spec()]
        steps[0].account, steps[1].account = "ab"
        for instance in instances:
            await instance.tails[shard_of(MODEL)].poll(0)
        results = await asyncio.gather(
            *(
                instance.service.submit(step, deadline_in(5))
                for instance, step in zip(instances, steps, strict=True)
            )
        )
        accepted = [at for at, result in enumerate(results) if result is True]
        self.assertEqual(len(accepted), 1, results)
        self.assertIsInstance(results[1 - accepted[0]], Rejected)
        for instance in (*instances, Instance(self.log)):
            for at, account in enumerate("ab"):
                page = await instance.service.read("s1", 0, deadline_in(0), account)
                self.assertEqual(not isinstance(page, NotFound), at in accepted)

    async def test_step_from_before_there_were_accounts_is_open_to_all(self):
        """Guards against steps lost by a configuration that introduces accounts."""
        self.assertIs(await self.submit(), True)
        page = await self.instance.service.read("s1", 0, deadline_in(0), "a")
        self.assertEqual(page.total, 2)

    async def test_submission_is_refused_if_nothing_was_appended(self):
        self.log.down = True
        result = await self.submit()
        self.assertIsInstance(result, NotRun)
        self.log.down = False
        other = Instance(self.log)
        self.assertIsInstance(
            await other.service.read("s1", 0, deadline_in(0)), NotFound
        )

    async def test_last_append_has_the_minimum_timeout(self):
        """Guards against a refused submission that is reported as unknown."""
        timeouts = []

        async def refuse(topic, part, data, deadline):
            timeouts.append(remaining(deadline))
            return Unavailable("down")

        self.log.append = refuse
        module.SUBMIT_TIMEOUT = 1.5
        self.assertIsInstance(await self.submit(), NotRun)
        self.assertGreater(len(timeouts), 2)
        self.assertGreater(min(timeouts), module.MIN_APPEND_TIMEOUT / 2)

    async def test_last_append_after_a_pause_has_the_minimum_timeout(self):
        """Guards against an unknown outcome of an append that had no time left."""
        timeouts = []

        async def refuse(topic, part, data, deadline):
            timeouts.append(remaining(deadline))
            # The process is paused before the next attempt.
            asyncio.get_running_loop().call_later(0.05, time.sleep, 1.1)
            return Unavailable("down")

        self.log.append = refuse
        self.assertIsInstance(await self.submit(), NotRun)
        self.assertGreaterEqual(min(timeouts), module.MIN_APPEND_TIMEOUT - 0.05)

    async def test_step_is_forwarded_when_the_log_is_unreachable(self):
        """Guards against a submission held at an instance that cannot reach the log."""
        self.log.down = True
        for answer, expected in ((True, True), (None, Unknown), (False, NotRun)):
            calls = []

            async def forward(answer=answer, calls=calls):
                calls.append(1)
                return answer

            result = await self.submit(forward)
            self.assertTrue(calls)
            if expected is True:
                self.assertIs(result, True)
            else:
                self.assertIsInstance(result, expected)

    async def test_forwarded_step_is_appended_once(self):
        self.log.down = True
        result = await self.instance.service.submit(spec(), deadline_in(5))
        self.assertIsInstance(result, NotRun)
        self.assertEqual(len(self.log.calls), 1)

    async def test_append_without_reply_is_reported_as_unknown(self):
        """Guards against an append without reply that is reported as not run."""
        self.log.lose_replies = 100
        self.log.land_late = 0.5
        result = await self.submit()
        self.assertIsInstance(result, Unknown)
        self.assertNotIsInstance(result, NotRun)

    async def test_append_is_retried_after_a_lost_reply(self):
        self.log.lose_replies = 1
        self.assertIs(await self.submit(), True)
        page = await Instance(self.log).service.read("s1", 0, deadline_in(0))
        self.assertEqual(page.total, 2)

    async def test_unknown_step_is_not_found_only_with_a_readable_log(self):
        result = await self.instance.service.read("s1", 0, deadline_in(0))
        self.assertIsInstance(result, NotFound)
        self.log.down = True
        result = await self.instance.service.read("s1", 0, deadline_in(0))
        self.assertIsInstance(result, NotRun)

    async def test_body_is_returned_for_known_items_only(self):
        await self.submit()
        self.assertEqual(await self.instance.service.body("s1", "i1"), b"body 1")
        self.assertIsInstance(await self.instance.service.body("s1", "i9"), NotFound)

    async def test_end_is_logged_and_idempotent(self):
        await self.submit()
        for _ in range(2):
            self.assertIs(await self.instance.service.end("s1", deadline_in(2)), True)
        other = Instance(self.log)
        await other.service.read("s1", 0, deadline_in(0))
        self.assertTrue(other.steps.by_id["s1"].ended)

    async def test_end_without_the_log_is_reported_as_unknown(self):
        await self.submit()
        await self.instance.service.read("s1", 0, deadline_in(0))
        self.log.down = True
        result = await self.instance.service.end("s1", deadline_in(0.3))
        self.assertIsInstance(result, Unknown)

    async def test_reader_is_woken_by_a_sample(self):
        await self.submit()
        await self.instance.service.read("s1", 0, deadline_in(0))
        tail = self.instance.tails[shard_of(MODEL)]
        tail_task = asyncio.ensure_future(tail.run())
        read_task = asyncio.ensure_future(
            self.instance.service.read("s1", 0, deadline_in(20))
        )
        await asyncio.sleep(0)
        data = records.encode(records.Sample("s1", "i0", "completed", "x", [1]))
        await self.log.append(TOPIC, shard_of(MODEL), [data], deadline_in(1))
        page = await read_task
        tail_task.cancel()
        self.assertEqual([sample.text for sample in page.samples], ["x"])

    async def test_lagging_instance_returns_no_empty_page(self):
        """Guards against an empty answer from an instance that is behind the log."""
        await self.submit()
        lagging = Instance(self.log)
        await lagging.service.read("s1", 0, deadline_in(0))
        data = records.encode(records.Sample("s1", "i0", "completed", "x", [1]))
        await self.log.append(TOPIC, shard_of(MODEL), [data], deadline_in(1))
        lagging.tails[shard_of(MODEL)].confirmed_at = None
        page = await lagging.service.read("s1", 0, deadline_in(0))
        self.assertEqual(len(page.samples), 1)
        lagging.tails[shard_of(MODEL)].confirmed_at = None
        self.log.down = True
        result = await lagging.service.read("s1", 1, deadline_in(0))
        self.assertIsInstance(result, NotRun)

    async def test_starting_instance_refuses_immediately(self):
        """Guards against readers delayed by an instance that still starts."""
        await self.submit()
        await self.instance.service.read("s1", 0, deadline_in(0))
        for tail in self.instance.tails:
            tail._running, tail.confirmed_at = True, None
        for step_id in ("s1", "unknown"):
            started_at = now()
            result = await self.instance.service.read(step_id, 0, deadline_in(5))
            self.assertIsInstance(result, NotRun)
            self.assertEqual(result.retry_after, module.STARTUP_RETRY_AFTER)
            self.assertLess(now() - started_at, module.REFRESH_TIMEOUT)

    async def test_page_is_bounded_but_never_empty(self):
        await self.submit(items=3)
        await self.instance.service.read("s1", 0, deadline_in(0))
        big = "x" * (module.MAX_PAGE_BYTES - 100)
        for item in ("i0", "i1", "i2"):
            data = records.encode(records.Sample("s1", item, "completed", big, [1]))
            self.instance.steps.fold(shard_of(MODEL), 99, data)
        page = await self.instance.service.read("s1", 1, deadline_in(0))
        self.assertEqual([sample.item_id for sample in page.samples], ["i1"])
