import asyncio
import unittest

from sassafrasdoor.steps.sample import SampleState
from sassafrasdoor.steps.stragglers import LengthEstimator
from sassafrasdoor.steps.tests.fakes import Bench
from sassafrasdoor.support import until
from sassafrasdoor.table.rows import Preference

LENGTH = 120


class LengthEstimatorTest(unittest.TestCase):
    def test_remaining_length_grows_with_a_long_tail(self):
        lengths = LengthEstimator(limit=1000)
        self.assertEqual(lengths.expected(), 500)
        for length in (10, 20, 30, 400):
            lengths.add(length)
        self.assertEqual(lengths.expected(), 115)
        for offset, remaining in ((0, 115), (25, 190), (100, 300), (400, 300)):
            with self.subTest(offset):
                self.assertEqual(lengths.remaining(offset), remaining)


class StragglersTest(unittest.IsolatedAsyncioTestCase):
    async def start_step(self, mode, **row):
        """Start a step of two samples, one on each engine, with 10 tokens each."""
        bench = Bench(length_of=lambda stream: LENGTH, **row)
        self.addAsyncCleanup(bench.close)
        steps = bench.instance(stragglers=mode)
        spec = bench.spec(groups=[{"prompt": "one"}], max_tokens=2 * LENGTH)
        steps.submit(bench.row, spec)
        owner = await bench.running(steps, 2)
        bench.engines.tick(10)
        await until(lambda: all(sample.tokens == 10 for sample in owner.samples))
        return bench, steps, owner

    async def test_second_attempt_for_a_straggler(self):
        """Guards against a stream that stays on a slow or frozen engine."""

        def slow(engine):
            engine.speed = 0

        def frozen(engine):
            engine.frozen = True

        table = [
            ("move", slow, {"moved": 1, "duplicated": 0}),
            ("move", frozen, {"moved": 0, "duplicated": 1}),
            ("duplicate", slow, {"moved": 0, "duplicated": 1}),
        ]
        for mode, fault, expected in table:
            with self.subTest(mode=mode, fault=fault.__name__):
                bench, steps, owner = await self.start_step(mode)
                fault(bench.engines["e1"])
                bench.engines["e2"].speed = 5
                samples = await asyncio.wait_for(bench.collect(steps), 30)
                self.assertEqual(set(samples), {(0, 0), (0, 1)})
                for sample in samples.values():
                    self.assertEqual(sample["spans"], [[1, 0, LENGTH]])
                    self.assertEqual(len(sample["text"].split()), LENGTH)
                counts = owner.counts.as_dict()
                self.assertEqual({name: counts[name] for name in expected}, expected)
                self.assertEqual(steps._resources.admission.used, 0)

    async def test_no_second_attempt_when_off(self):
        """Guards against second attempts that the operator has switched off."""
        bench, steps, owner = await self.start_step("off")
        bench.engines["e1"].speed = 0
        await bench.ready(steps, 1)
        running = [
            sample for sample in owner.samples if sample.state is SampleState.RUNNING
        ]
        self.assertEqual(len(running), 1)
        finished = next(sample for sample in owner.samples if sample not in running)
        await until(lambda: not finished.tasks)
        owner._stragglers._checked_at = 0
        owner.check_stragglers()
        self.assertFalse(owner._stragglers._preparing)
        self.assertEqual(sum(len(sample.tasks) for sample in owner.samples), 1)

    async def test_failed_second_attempt_does_not_affect_the_first(self):
        bench, steps, owner = await self.start_step("duplicate")
        first = next(
            sample
            for sample in owner.samples
            if next(iter(sample.running)).backend.name == "e1"
        )
        attempt = next(iter(first.running))
        bench.engines["e2"].refuses = True
        await owner._stragglers._start_second_attempt(
            first, attempt, bench.engines.backends[1]
        )
        await until(lambda: len(first.tasks) == 1)
        self.assertIn(attempt, first.running)
        self.assertEqual(first.generation, 0)

    async def test_replayed_tokens_do_not_count_towards_the_rate(self):
        """Guards against a rate that includes replayed tokens."""
        bench, steps, owner = await self.start_step("duplicate")
        await steps.close()
        successor = bench.instance(stragglers="duplicate")
        successor.submit(
            bench.row,
            bench.spec(attach=2, groups=[{"prompt": "one"}], max_tokens=2 * LENGTH),
        )
        owner = await bench.running(successor, 2)
        await until(lambda: all(sample.tokens == 10 for sample in owner.samples))
        self.assertEqual(
            [attempt.rate for sample in owner.samples for attempt in sample.running],
            [0, 0],
        )
        bench.engines.tick(5)
        await until(lambda: all(sample.tokens == 15 for sample in owner.samples))
        self.assertEqual(
            [
                attempt.progress
                for sample in owner.samples
                for attempt in sample.running
            ],
            [5, 5],
        )

    async def test_restart_at_a_weight_swap_depends_on_preference(self):
        """A row that prefers low staleness restarts short streams at a weight swap."""
        table = [(Preference.STALENESS, {2}), (Preference.IDLE, {1})]
        for prefers, oldest in table:
            with self.subTest(prefers):
                bench, steps, owner = await self.start_step("off", prefers=prefers)
                bench.engines.set_version(2)
                bench.engines.tick()
                await until(lambda owner=owner: owner.newest() == 2)
                bench.engines["e1"].speed = bench.engines["e2"].speed = 20
                samples = await bench.collect(steps)
                self.assertEqual(
                    {sample["oldest_version"] for sample in samples.values()}, oldest
                )
