"""A short soak with a fixed seed; longer ones are run by hand."""

import asyncio
import json
import tempfile
import unittest

from sassafrasdoor.clock import LONG_AGO, deadline_in
from sassafrasdoor.platform.soak import Soak
from sassafrasdoor.platform.soak_callers import ITEM_COUNT
from sassafrasdoor.soak.checks import StepObservation

SECONDS, INSTANCES = 15, 3
SEEDS = (1, 2, 36)
"""1 and 2 hold stops, kills, cuts and outages that overlap. 36 once showed a step that
ran although it was refused: all its submissions had ended without an answer while every
process was down, and the check took these for refusals.
"""

SINGLE_INSTANCE_SEED, SINGLE_INSTANCE_SECONDS = 332, 20
"""One instance, which nobody can help while it is cut off: it once used a replica that
had left after a cut, up to 2.6 s after its end."""


class Answer:
    """An instance's answer."""

    def __init__(self, code, listed=0):
        self.code = code
        self.body = json.dumps({"Results": [{}] * listed})


class ScriptedSoak(Soak):
    """A soak whose instances answer as they are told: ends, then listings."""

    def __init__(self, ends, listed):
        super().__init__(1, 1, 1, "")
        self.ends, self.listed = list(ends), listed

    def _random_instance(self):
        return self

    front = "nowhere"

    async def _fetch(self, address, path, method="GET", body=None, **headers):
        if method == "DELETE":
            return Answer(self.ends.pop(0) if len(self.ends) > 1 else self.ends[0])
        return Answer(200, self.listed)


class BaseClassesTest(unittest.TestCase):
    def test_base_classes_share_no_method_name(self):
        """Symptom: a soak prints "kill of 0", and no process of it ever ends.

        Sequence: two parts of it name a method alike, the end of a step and that of an
        instance. Cause: the first part's was called for both, and never awaited.
        """
        classes = [Soak, *Soak.__bases__]
        names = [
            name for cls in classes for name in vars(cls) if not name.startswith("__")
        ]
        self.assertEqual(sorted(names), sorted(set(names)))


class FinishStepTest(unittest.IsolatedAsyncioTestCase):
    """What becomes of a step once the faults are over."""

    async def finish_step(self, limit, asked_to_end=False, ends=(599,), listed=2):
        soak = ScriptedSoak(ends, listed)
        self.addCleanup(soak._client.close)
        step = StepObservation("s1", [f"i{index}" for index in range(ITEM_COUNT)])
        step.asked_to_end = asked_to_end
        is_finished = await soak._finish_step(step, limit)
        self.assertEqual(step.ended_at is not None, asked_to_end and is_finished)
        return is_finished

    async def test_unanswered_end_is_requested_again(self):
        """Symptom: a soak beside load says that accepted steps were not run.

        Sequence: the instance that a step's end was sent to is killed; the end is kept,
        its trainer gets no answer. Cause: the check waited for all samples of it, and
        for those of every step behind it no more.
        """
        limit = deadline_in(20)
        self.assertTrue(await self.finish_step(limit, True, ends=(599, 504, 200)))

    async def test_unacknowledged_end_is_a_violation(self):
        self.assertFalse(await self.finish_step(LONG_AGO, True))
        self.assertFalse(await self.finish_step(LONG_AGO, True, listed=ITEM_COUNT))

    async def test_finished_step_is_read_after_the_limit(self):
        self.assertTrue(await self.finish_step(LONG_AGO, listed=ITEM_COUNT))

    async def test_accepted_step_that_is_not_run_is_a_violation(self):
        self.assertFalse(await self.finish_step(LONG_AGO))


class SoakTest(unittest.TestCase):
    def test_no_guarantee_is_violated(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.run_soak(seed, SECONDS, INSTANCES)

    def test_single_instance_violates_no_guarantee(self):
        soak = self.run_soak(SINGLE_INSTANCE_SEED, SINGLE_INSTANCE_SECONDS, 1)
        self.assertTrue(soak._departures)

    def run_soak(self, seed, seconds, instances):
        with tempfile.TemporaryDirectory() as folder:
            soak = Soak(seed, seconds, instances, folder)
            asyncio.run(soak.run())
        self.assertEqual(soak.violations.messages, [])
        self.assertGreater(len(soak._calls), 50)
        self.assertTrue(any(step.accepted for step in soak._steps))
        return soak
