import asyncio
import unittest

from sassafrasdoor.steps.stragglers import Lengths
from sassafrasdoor.steps.tests.fakes import Bench
from sassafrasdoor.support import until
from sassafrasdoor.table.rows import Preference

LENGTH = 120


class LengthsTest(unittest.TestCase):
    def test_the_rest_grows_with_a_long_tail(self):
        lengths = Lengths(limit=1000)
        self.assertEqual(lengths.expected(), 500)
        for length in (10, 20, 30, 400):
            lengths.add(length)
        self.assertEqual(lengths.expected(), 115)
        for offset, remaining in ((0, 115), (25, 190), (100, 300), (400, 300)):
            with self.subTest(offset):
                self.assertEqual(lengths.remaining(offset), remaining)


class StragglersTest(unittest.IsolatedAsyncioTestCase):
    async def started(self, mode, **row):
        """A step of two samples, one on each engine, with some tokens made."""
        bench = Bench(length_of=lambda stream: LENGTH, **row)
        self.addAsyncCleanup(bench.close)
        steps = bench.instance(stragglers=mode)
        spec = bench.spec(groups=[{"prompt": "one"}], max_tokens=2 * LENGTH)
        steps.submit(bench.row, spec)
        owner = await bench.running(steps, 2)
        bench.engines.tick(10)
        await until(lambda: all(one.tokens == 10 for one in owner.samples))
        return bench, steps, owner

    async def test_a_straggler_on_a_lagging_engine(self):
        """Guards against a stream that stays at a slow or frozen engine."""

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
                bench, steps, owner = await self.started(mode)
                fault(bench.engines["e1"])
                bench.engines["e2"].speed = 5
                have = await asyncio.wait_for(bench.collect(steps), 30)
                self.assertEqual(set(have), {(0, 0), (0, 1)})
                for sample in have.values():
                    self.assertEqual(sample["spans"], [[1, 0, LENGTH]])
                    self.assertEqual(len(sample["text"].split()), LENGTH)
                counts = owner.counts.as_dict()
                self.assertEqual({name: counts[name] for name in expected}, expected)
                self.assertEqual(steps._resources.admission.used, 0)

    async def test_off_means_off(self):
        bench, steps, owner = await self.started("off")
        bench.engines["e1"].speed = 0
        await bench.ready(steps, 1)
        owner._stragglers._looked_at = 0
        owner.look_for_stragglers()
        self.assertEqual(sum(len(one.tasks) for one in owner.samples), 1)

    async def test_a_failed_second_attempt_leaves_the_first_alone(self):
        bench, steps, owner = await self.started("duplicate")
        first = next(
            s for s in owner.samples if next(iter(s.running)).backend.name == "e1"
        )
        attempt = next(iter(first.running))
        bench.engines["e2"].refuses = True
        await owner._stragglers._second(first, attempt, bench.engines.backends[1])
        await until(lambda: len(first.tasks) == 1)
        self.assertIn(attempt, first.running)
        self.assertEqual(first.generation, 0)

    async def test_a_replay_is_no_speed(self):
        """Guards against replayed tokens counted as an engine's speed."""
        bench, steps, owner = await self.started("duplicate")
        await steps.close()
        after = bench.instance(stragglers="duplicate")
        after.submit(
            bench.row,
            bench.spec(attach=2, groups=[{"prompt": "one"}], max_tokens=2 * LENGTH),
        )
        owner = await bench.running(after, 2)
        await until(lambda: all(one.tokens == 10 for one in owner.samples))
        self.assertEqual([one.rate for s in owner.samples for one in s.running], [0, 0])
        bench.engines.tick(5)
        await until(lambda: all(one.tokens == 15 for one in owner.samples))
        self.assertEqual(
            [one.progress for s in owner.samples for one in s.running], [5, 5]
        )

    async def test_little_done_on_old_weights_is_made_again_by_preference(self):
        """A row that weighs staleness restarts a young stream at a swap."""
        table = [(Preference.STALENESS, {2}), (Preference.IDLE, {1})]
        for prefers, oldest in table:
            with self.subTest(prefers):
                bench, steps, owner = await self.started("off", prefers=prefers)
                bench.engines.set_version(2)
                bench.engines.tick()
                await until(lambda owner=owner: owner.newest() == 2)
                bench.engines["e1"].speed = bench.engines["e2"].speed = 20
                have = await bench.collect(steps)
                self.assertEqual(
                    {one["oldest_version"] for one in have.values()}, oldest
                )
