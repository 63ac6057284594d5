import unittest

from sassafrasdoor.steps.sample import SampleState
from sassafrasdoor.steps.tests.fakes import Bench
from sassafrasdoor.support import until


class OwnerTest(unittest.IsolatedAsyncioTestCase):
    def bench(self, *arguments, **options):
        bench = Bench(*arguments, **options)
        self.addAsyncCleanup(bench.close)
        return bench

    def assert_labels_match_engines(self, bench, samples):
        """Assert that labels name each token's version, and that texts have one run."""
        for sample in samples.values():
            words = [f"{word} " for word in sample["text"].split()]
            labelled = {}
            for version, first, last in sample["spans"]:
                for number in range(first, last):
                    labelled.setdefault(number, set()).add(version)
            expected = {
                number: {bench.engines.versions_by_text[word]}
                for number, word in enumerate(words)
            }
            self.assertEqual(labelled, expected)
            numbers = [int(word.rsplit("/", 1)[1]) for word in words]
            self.assertEqual(numbers, list(range(len(words))))
            self.assertEqual(len({word.split("/")[1] for word in words}), 1)
            self.assertEqual(
                sample["oldest_version"],
                min(bench.engines.versions_by_text[w] for w in words),
            )

    async def wait_for_tokens(self, owner, tokens):
        await until(lambda: all(sample.tokens == tokens for sample in owner.samples))

    async def test_every_sample_is_delivered_once_with_correct_labels(self):
        bench = self.bench()
        steps = bench.instance()
        steps.submit(bench.row, bench.spec())
        samples = await bench.collect(steps)
        self.assertEqual(set(samples), {(0, 0), (0, 1), (1, 0), (1, 1)})
        self.assert_labels_match_engines(bench, samples)

    async def test_recovery_from_engine_faults(self):
        """Guards against a text joined from two streams after an engine fault."""

        def cut(bench):
            bench.engines["e1"].cut_next = 2

        def restart(bench):
            bench.engines.lose_streams("e1")
            bench.engines["e1"].version = 2

        def die(bench):
            bench.engines["e1"].dead = True

        def swap(bench):
            bench.engines.set_version(2)

        table = [
            (cut, {"resumed": 2, "regenerated": 0}),
            (restart, {"resumed": 0, "regenerated": 2}),
            (die, {"resumed": 0, "regenerated": 2}),
            (swap, {"resumed": 0, "regenerated": 0}),
        ]
        for fault, expected in table:
            with self.subTest(fault.__name__):
                bench = self.bench(length_of=lambda stream: 8)
                steps = bench.instance()
                steps.submit(bench.row, bench.spec())
                owner = await bench.running(steps, 4)
                bench.engines.tick(3)
                await self.wait_for_tokens(owner, 3)
                fault(bench)
                samples = await bench.collect(steps)
                self.assert_labels_match_engines(bench, samples)
                counts = owner.counts.as_dict()
                self.assertEqual({name: counts[name] for name in expected}, expected)

    async def test_stream_lost_between_listing_and_resuming_is_regenerated(self):
        """Guards against a resume that reaches another stream than the one listed."""
        bench = self.bench(engines=("e1",), length_of=lambda stream: 8)
        steps = bench.instance()
        spec = bench.spec(groups=[{"prompt": "one"}], samples_per_group=1)
        steps.submit(bench.row, spec)
        owner = await bench.running(steps, 1)
        bench.engines.tick(3)
        await until(lambda: owner.samples[0].tokens == 3)
        listed = bench.engines.streams

        async def list_then_lose(backend, prefix):
            states = await listed(backend, prefix)
            bench.engines.lose_streams("e1")
            bench.engines.streams = listed
            return states

        bench.engines.streams = list_then_lose
        bench.engines["e1"].cut_next = 1
        bench.engines.tick()
        self.assert_labels_match_engines(bench, await bench.collect(steps))
        self.assertEqual(owner.samples[0].generation, 1)

    async def test_successor_resumes_streams_of_a_closed_instance(self):
        """Guards against a successor that regenerates its predecessor's streams."""
        bench = self.bench(length_of=lambda stream: 8)
        first, second = bench.instance(), bench.instance()
        first.submit(bench.row, bench.spec())
        owner = await bench.running(first, 4)
        bench.engines.tick(3)
        await self.wait_for_tokens(owner, 3)
        await first.close()
        second.submit(bench.row, bench.spec(attach=2))
        samples = await bench.collect(second, attach=2)
        self.assert_labels_match_engines(bench, samples)
        self.assertEqual(
            sum(server.starts for server in bench.engines.servers.values()), 4
        )
        counts = second.status() or [bench]
        self.assertEqual(counts[0]["counts"]["resumed"], 4)
        self.assertEqual(counts[0]["counts"]["regenerated"], 0)

    async def test_successor_starts_no_acknowledged_sample(self):
        bench = self.bench()
        first, second = bench.instance(), bench.instance()
        first.submit(bench.row, bench.spec())
        await bench.ready(first, 4)
        reply = await bench.fetch(first)
        await first.close()
        self.assertEqual(reply["remaining"], 0)
        half = await bench.fetch(second) if second.status() else None
        self.assertIsNone(half)
        second.submit(bench.row, bench.spec(attach=2, token=reply["token"]))
        states = {sample.state for sample in bench.owner(second).samples}
        self.assertEqual(states, {SampleState.TAKEN})

    async def test_streams_of_acknowledged_samples_are_cancelled(self):
        bench = self.bench()
        steps = bench.instance()
        steps.submit(bench.row, bench.spec())
        await bench.ready(steps, 4)
        self.assertEqual(len(bench.engine_streams()), 4)
        reply = await bench.fetch(steps)
        await bench.fetch(steps, bench.owner(steps).acknowledged.union([2]).encode())
        await until(lambda: len(bench.engine_streams()) == 3)
        await bench.fetch(steps, reply["token"])
        await until(lambda: not bench.engine_streams())
        self.assertEqual(steps.status(), [])
