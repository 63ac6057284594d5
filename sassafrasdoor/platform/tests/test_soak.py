"""Short soak tests with fixed seeds; longer ones are run by hand."""

import asyncio
import json
import tempfile
import unittest

from sassafrasdoor.clock import LONG_AGO, deadline_in
from sassafrasdoor.platform.soak import Soak
from sassafrasdoor.platform.soak_callers import ITEM_COUNT
from sassafrasdoor.soak.checks import StepObservation

SECONDS, INSTANCES = 15, 3
# 1 and 2 have overlapping stops, kills, cuts and outages. In 36 all submissions of a step
# end without an answer while every process is down; the check once took these for
# refusals and reported that a refused step ran. In 1104 routes are added while the runner of
# the steps is paused; it once gave up the items of steps on these.
SEEDS = (1, 2, 36, 1104)

# A single instance has no peer to learn from while it is cut off: after a cut it once
# used a replica that had left, up to 2.6 s after the replica's end.
SINGLE_INSTANCE_SEED, SINGLE_INSTANCE_SECONDS = 332, 20

# All replicas stutter. In both a caller got the first part of an answer with the whole one
# behind it, in 3 an item was given up early, in 4 a failed run gave a score.
STUTTER_SEEDS, STUTTER_REPLICAS = (3, 4), 2


class FakeResponse:
    """An instance's answer with ``listed`` samples."""

    def __init__(self, code, listed=0):
        self.code = code
        self.body = json.dumps({"Results": [{}] * listed})


class ScriptedSoak(Soak):
    """A soak whose instances answer ends with given codes, and reads with a listing."""

    def __init__(self, ends, listed):
        super().__init__(1, 1, 1, "")
        self.ends, self.listed = list(ends), listed

    def _random_instance(self):
        return self

    front = "nowhere"

    async def _fetch(self, address, path, method="GET", body=None, **headers):
        if method == "DELETE":
            return FakeResponse(
                self.ends.pop(0) if len(self.ends) > 1 else self.ends[0]
            )
        return FakeResponse(200, self.listed)


class BaseClassesTest(unittest.TestCase):
    def test_base_classes_share_no_method_name(self):
        """Guards against a base class that overrides another's method.

        The end of a step and that of an instance once had the same name: the former was
        called for both and never awaited, so "kill of 0" was printed but nothing ended.
        """
        classes = [Soak, *Soak.__bases__]
        names = [
            name for cls in classes for name in vars(cls) if not name.startswith("__")
        ]
        self.assertEqual(sorted(names), sorted(set(names)))


class FinishStepTest(unittest.IsolatedAsyncioTestCase):
    """Whether a step finishes after the last fault."""

    async def finish_step(self, deadline, asked_to_end=False, ends=(599,), listed=2):
        soak = ScriptedSoak(ends, listed)
        self.addCleanup(soak._client.close)
        step = StepObservation("s1", [f"i{index}" for index in range(ITEM_COUNT)])
        step.asked_to_end = asked_to_end
        is_finished = await soak._finish_step(step, deadline)
        self.assertEqual(step.ended_at is not None, asked_to_end and is_finished)
        return is_finished

    async def test_unanswered_end_is_requested_again(self):
        """Guards against reports that accepted steps were not run, seen under load.

        An instance is killed after it stored a step's end but before it answered. The
        check waited for all samples of the step, and then had no time for later steps.
        """
        deadline = deadline_in(20)
        self.assertTrue(await self.finish_step(deadline, True, ends=(599, 504, 200)))

    async def test_unacknowledged_end_is_a_violation(self):
        self.assertFalse(await self.finish_step(LONG_AGO, True))
        self.assertFalse(await self.finish_step(LONG_AGO, True, listed=ITEM_COUNT))

    async def test_finished_step_is_read_after_the_deadline(self):
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

    def test_stuttering_replicas_violate_no_guarantee(self):
        """Guards against answers that are not the caller's own, or not whole."""
        for seed in STUTTER_SEEDS:
            with self.subTest(seed=seed):
                soak = self.run_soak(
                    seed, SECONDS, INSTANCES, STUTTER_REPLICAS, stutters_throughout=True
                )
                surplus = [one.stutter.surplus_count for one in soak._replicas]
                self.assertGreater(min(surplus), 0)

    def run_soak(self, seed, seconds, instances, *args, **kwargs):
        with tempfile.TemporaryDirectory() as folder:
            soak = Soak(seed, seconds, instances, folder, *args, **kwargs)
            asyncio.run(soak.run())
        self.assertEqual(soak.violations.messages, [])
        self.assertGreater(len(soak._calls), 50)
        self.assertTrue(any(step.accepted for step in soak._steps))
        return soak
