"""Tests of placing the items of a step by their prompts, and of their priority."""

import asyncio
import unittest
from types import SimpleNamespace
from unittest import mock

from sassafrasdoor.clock import deadline_in, now, passed
from sassafrasdoor.routing.prompt_cache import Prompt
from sassafrasdoor.steps.durable import records
from sassafrasdoor.steps.durable.prompts import Prompts
from sassafrasdoor.steps.durable.runner import MIGRATED, Runner
from sassafrasdoor.steps.durable.state import Steps
from sassafrasdoor.steps.durable.tests.fixtures import (
    HOST,
    MODEL,
    PREFIX,
    SERVICE,
    ScriptedClient,
    replicas,
    routes_in_force,
)
from sassafrasdoor.steps.durable.urgency import (
    LAST_OF_LATE,
    LATE,
    SPARE,
    USUAL,
    urgency,
)

GROUPS, GROUP_SIZE, ENGINES = 4, 4, 4
DUE_AFTER = 7.5  # seconds


def prompt_of(item):
    return Prompt([(item.group, 1000), (item.item_id, 16)], 1016, item.expected)


def make_step(wanted=GROUPS):
    items = [
        records.Item(
            f"i{at}", f"{PREFIX}{at}", {}, b"", 100, 50, f"g{at % GROUPS}", MODEL
        )
        for at in range(GROUPS * GROUP_SIZE)
    ]
    return records.StepSpec("s1", HOST, PREFIX, 1, MODEL, 1, wanted, items)


class RecordingClient(ScriptedClient):
    """Keeps the priority of each order."""

    def __init__(self, *script):
        super().__init__(*script)
        self.priorities = {}

    async def generate(self, replica, order, on_event):
        self.priorities[order.item_id] = order.priority
        return await super().generate(replica, order, on_event)


class PromptsTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, disabled=(), reports_pace=True, memory=None, wanted=GROUPS):
        hang = [([(0, "a", 1)], ScriptedClient.HANG)] * GROUPS * GROUP_SIZE
        self.client = RecordingClient(*hang)
        self.replicas = replicas(ENGINES, slots=GROUP_SIZE)
        for replica in self.replicas.of_service(SERVICE):
            replica.record_load(0, 0, 1.0 if reports_pace else None)
            # At the start all are as fast, so only load and prompts decide.
            replica.event_interval = 0.01
        routes = routes_in_force()
        for route in routes.current.routes:
            route.due_after = DUE_AFTER
        if memory:
            routes.current.engine_memory[SERVICE] = memory
        steps = Steps()
        self.records = []
        outbox = SimpleNamespace(put=self.records.append)
        self.runner = Runner(
            self.client,
            self.replicas,
            routes,
            steps,
            [outbox],
            settings=SimpleNamespace(disabled_parts=frozenset(disabled)),
            prompt_of=prompt_of,
        )
        for offset, data in enumerate(records.encode_step(make_step(wanted), 10_000)):
            steps.fold(0, offset, data)
        self.runner.start_shard(0)
        task = asyncio.ensure_future(self.runner.run())
        self.addCleanup(task.cancel)
        await self.until(lambda: len(self.client.sent) >= GROUPS * GROUP_SIZE)

    async def until(self, condition):
        limit = deadline_in(20)
        while not condition():
            self.assertFalse(passed(limit), "condition not met within 20 s")
            await asyncio.sleep(0.005)

    def engines_of_groups(self):
        """Return the engines that each group's items were sent to."""
        engines = {}
        for engine, item_id, _ in self.client.sent:
            group = int(item_id.removeprefix("i")) % GROUPS
            engines.setdefault(group, set()).add(engine)
        return list(engines.values())

    async def test_items_of_a_group_go_to_the_engine_that_reads_their_prompt(self):
        await self.start()
        self.assertEqual(
            [len(engines) for engines in self.engines_of_groups()], [1] * 4
        )

    async def test_other_services_are_placed_by_load_and_state_no_priority(self):
        """Guards against another placement where replicas do not report their pace."""
        for options in ({"reports_pace": False}, {"disabled": ["prompts"]}):
            with self.subTest(options):
                await self.start(**options)
                sent = [engine for engine, _, _ in self.client.sent]
                self.assertEqual(sent, ["e0", "e1", "e2", "e3"] * 4)
                self.assertEqual(set(self.client.priorities.values()), {None})

    async def test_priority_says_whether_the_trainer_waits(self):
        await self.start(wanted=GROUPS - 1)
        ranks = list(self.client.priorities.values())
        self.assertEqual(ranks.count(SPARE), GROUP_SIZE)
        self.assertEqual(ranks.count(USUAL), (GROUPS - 1) * GROUP_SIZE)

    async def test_step_is_not_late_once_its_acknowledgement_is(self):
        """Guards against items that are urgent once the target latency has passed.

        The target latency is that of the step's acknowledgement, the step is due later.
        """
        await self.start()
        job = next(iter(self.runner._jobs.values()))
        route = self.runner._route(job)
        job.step.seen_at = now() - 2 * route.target
        priority = self.runner._prompts.priority(job, route, SERVICE)
        self.assertLess(2 * route.target, DUE_AFTER / 2)
        self.assertEqual(priority, USUAL)

    async def test_ended_attempts_release_the_memory_of_their_engine(self):
        """Guards against engines that seem full once attempts were cancelled."""
        await self.start()
        caches = [replica.prompts for replica in self.replicas.of_service(SERVICE)]
        self.assertEqual({cache.tokens_in_use for cache in caches}, {1000 + 4 * 66})
        self.runner.stop_shard(0)
        await self.until(lambda: not any(cache.tokens_in_use for cache in caches))

    async def test_memory_is_free_in_the_pass_after_an_attempt(self):
        """Guards against a free slot that is passed over for memory no longer in use."""
        await self.start()
        seen = []

        def observe(prompts):
            rows = self.replicas.of_service(SERVICE)
            seen.extend((row.load, row.prompts.tokens_in_use) for row in rows)

        with mock.patch.object(Prompts, "begin_pass", observe):
            self.runner.stop_shard(0)
            await self.until(lambda: (0, 0) in seen)
        self.assertEqual([tokens for load, tokens in seen if not load and tokens], [])

    async def test_migrating_sample_goes_to_the_fastest_engine(self):
        """Guards against a migration to an engine with its prompt that is no faster."""
        await self.start()
        rows = self.replicas.of_service(SERVICE)
        for row, seconds in zip(rows, (0.03, 0.03, 0.015, 0.03), strict=True):
            for at in range(8):
                row.speed.record(seconds, 1.0, 1.0, 0.25 * at)
        jobs = list(self.runner._jobs.values())
        for job in jobs[1:]:
            self.runner._remove(job)
        (job,) = self.runner._jobs.values()
        # Engine e1 has read the prompt; slots count as scarce since the step filled them.
        rows[1].prompts.mark_read(rows[1].prompts.start(MODEL, 1, job.prompt, None))
        job.abort_reason, job.avoid = MIGRATED, "e0"
        job.task.cancel()
        await self.until(lambda: job.attempts == 2)
        self.assertEqual(job.replica.identity, "e2")

    async def test_restarted_engine_gets_its_prompts_anew(self):
        """Guards against tracked prompts of a former incarnation of an engine."""
        await self.start()
        old = self.replicas.get("e0")
        self.assertTrue(old.prompts.tokens_in_use)
        listing = old.listing
        listing.born = 0
        restarted = type(listing)(
            SERVICE,
            listing.address,
            listing.zone,
            GROUP_SIZE,
            False,
            {MODEL: 1},
            born=5,
        )
        self.replicas.update_listing("e0", restarted)
        self.assertEqual(self.replicas.get("e0").prompts.tokens_in_use, 0)
        # The samples of the former incarnation end without effect on the new one.
        self.runner.stop_shard(0)
        await self.until(lambda: not old.prompts.tokens_in_use)
        self.assertEqual(self.replicas.get("e0").prompts.tokens_in_use, 0)

    async def test_small_memory_spreads_the_groups(self):
        """Guards against samples that preempt others while another engine has room.

        Two samples of a group fit: 1,000 shared tokens and twice 66 of their own.
        """
        await self.start(memory=1150)
        first = [engine for engine, _, _ in self.client.sent[:8]]
        self.assertEqual({first.count(engine) for engine in set(first)}, {2})


class UrgencyTest(unittest.TestCase):
    def test_priorities(self):
        cases = [
            ("on time", (1.0, 7.5, 80, 80, False), USUAL),
            ("late", (8.0, 7.5, 40, 80, False), LATE),
            ("last items of a late step", (8.0, 7.5, 8, 80, False), LAST_OF_LATE),
            ("last items of a step on time", (1.0, 7.5, 2, 80, False), USUAL),
            ("not waited for", (8.0, 7.5, 2, 80, True), SPARE),
        ]
        for name, arguments, expected in cases:
            with self.subTest(name):
                self.assertEqual(urgency(*arguments), expected)
        soon = urgency(6.0, 7.5, 40, 80, False)
        self.assertTrue(LATE < soon < USUAL)
