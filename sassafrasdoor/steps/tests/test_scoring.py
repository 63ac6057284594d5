"""Reward calls of samples: scores, retries and failures."""

import asyncio
import unittest

from sassafrasdoor.backends.interface import Answer, Broken
from sassafrasdoor.clock import deadline_in
from sassafrasdoor.outcomes import NotRun, Rejected
from sassafrasdoor.steps.scoring import NoScore, Scorer
from sassafrasdoor.steps.spec import Reward, StepSpec, parse_input
from sassafrasdoor.steps.tests.fakes import Bench

GOOD = Answer(200, {}, b'{"score": 0.5}')
FAILED = Answer(500, {}, b"")
REWARD = {"service": "engines", "path": "/score", "body": "b"}


class FakeService:
    """Returns ``answers``, then ``GOOD``; ``calls`` holds ``(id, path, body)``."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []

    async def call(self, backend, call):
        self.calls.append((call.request_id, call.path, call.body))
        await asyncio.sleep(0)
        return self.answers.pop(0) if self.answers else GOOD


class ScorerTest(unittest.IsolatedAsyncioTestCase):
    async def score(self, *answers, seconds=30.0):
        bench = Bench()
        chooser = bench.instance()._resources.chooser
        self.service = FakeService(*answers)
        scorer = Scorer(bench.view, chooser, self.service)
        return await scorer.score(Reward(**REWARD), "s.reward", deadline_in(seconds))

    async def test_answer_is_the_score(self):
        self.assertEqual(await self.score(), {"score": 0.5})
        self.assertEqual(self.service.calls, [("s.reward", "/score", b"b")])

    async def test_repeated_call_is_unchanged(self):
        result = await self.score(Broken("cut"), NotRun("full", 0.1), FAILED)
        self.assertEqual(result, {"score": 0.5})
        self.assertEqual(len(self.service.calls), 4)
        self.assertEqual(len(set(self.service.calls)), 1)

    async def test_failing_call_is_abandoned_after_max_failures(self):
        """Guards against endless retries of a failing reward call."""
        result = await self.score(*[FAILED] * 9)
        self.assertIsInstance(result, NoScore)
        self.assertEqual(len(self.service.calls), 3)

    async def test_no_score_after_the_deadline_or_a_malformed_answer(self):
        self.assertIsInstance(await self.score(seconds=-1.0), NoScore)
        self.assertIsInstance(await self.score(Answer(200, {}, b"{")), NoScore)


class StepTest(unittest.IsolatedAsyncioTestCase):
    async def collect(self, *answers):
        bench = Bench()
        self.addAsyncCleanup(bench.close)
        steps = bench.instance()
        steps._resources.scorer._service = FakeService(*answers)
        groups = [{"prompt": "one", "reward": REWARD}, {"prompt": "two"}]
        steps.submit(bench.row, bench.spec(groups=groups))
        return await bench.collect(steps)

    async def test_samples_include_their_scores(self):
        samples = await self.collect()
        self.assertEqual(samples[0, 0]["score"], {"score": 0.5})
        self.assertEqual(samples[0, 1]["score"], {"score": 0.5})
        self.assertNotIn("score", samples[1, 0])

    async def test_failed_reward_call_delivers_a_null_score(self):
        samples = await self.collect(*[FAILED] * 9)
        self.assertIsNone(samples[0, 0]["score"])

    def test_malformed_reward_call_is_refused_with_its_place(self):
        spec = Bench().spec().model_dump_json()
        bad = spec.replace('"reward":null', '"reward":{"service":"s","path":"x"}', 1)
        result = parse_input(StepSpec, bad.encode())
        self.assertIsInstance(result, Rejected)
        self.assertIn("reward", result.findings[0].place)

    def test_step_with_another_reward_call_is_another_step(self):
        plain = Bench().spec()
        scored = Bench().spec(
            groups=[{"prompt": "one", "reward": REWARD}, {"prompt": "two"}]
        )
        self.assertNotEqual(plain.digest(), scored.digest())
