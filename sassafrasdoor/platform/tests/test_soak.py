"""A short soak with a fixed seed; longer ones are run by hand."""

import asyncio
import json
import tempfile
import unittest

from sassafrasdoor.clock import LONG_AGO, deadline_in
from sassafrasdoor.platform.soak import Soak
from sassafrasdoor.platform.soak_callers import ITEMS
from sassafrasdoor.soak.checks import StepSeen

SECONDS, INSTANCES = 15, 3
SEEDS = (1, 2, 36)
"""1 and 2 hold stops, kills, cuts and outages that overlap. 36 once showed a step that
ran although it was refused: all its submissions had ended without an answer while every
process was down, and the check took these for refusals.
"""

ALONE, ALONE_SECONDS = 332, 20
"""One instance, which nobody can help while it is cut off: it once used a replica that
had left after a cut, up to 2.6 s after its end."""


class Answer:
    """An instance's answer."""

    def __init__(self, code, listed=0):
        self.code = code
        self.body = json.dumps({"Results": [{}] * listed})


class Answering(Soak):
    """A soak whose instances answer as they are told: ends, then listings."""

    def __init__(self, ends, listed):
        super().__init__(1, 1, 1, "")
        self.ends, self.listed = list(ends), listed

    def _any(self):
        return self

    front = "nowhere"

    async def _fetch(self, address, path, method="GET", body=None, **headers):
        if method == "DELETE":
            return Answer(self.ends.pop(0) if len(self.ends) > 1 else self.ends[0])
        return Answer(200, self.listed)


class PartsTest(unittest.TestCase):
    def test_parts_hide_nothing_of_each_other(self):
        """Symptom: a soak prints "kill of 0", and no process of it ever ends.

        Sequence: two parts of it name a method alike, the end of a step and that of an
        instance. Cause: the first part's was called for both, and never awaited.
        """
        parts = [Soak, *Soak.__bases__]
        names = [
            name for part in parts for name in vars(part) if not name.startswith("__")
        ]
        self.assertEqual(sorted(names), sorted(set(names)))


class SettleTest(unittest.IsolatedAsyncioTestCase):
    """What becomes of a step once the faults are over."""

    async def settled(self, limit, asked_to_end=False, ends=(599,), listed=2):
        soak = Answering(ends, listed)
        self.addCleanup(soak._client.close)
        step = StepSeen("s1", [f"i{at}" for at in range(ITEMS)])
        step.asked_to_end = asked_to_end
        found = await soak._settled(step, limit)
        self.assertEqual(step.ended_at is not None, asked_to_end and found)
        return found

    async def test_end_without_an_answer_may_be_kept(self):
        """Symptom: a soak beside load says that accepted steps were not run.

        Sequence: the instance that a step's end was sent to is killed; the end is kept,
        its trainer gets no answer. Cause: the check waited for all samples of it, and
        for those of every step behind it no more.
        """
        late = deadline_in(20)
        self.assertTrue(await self.settled(late, True, ends=(599, 504, 200)))

    async def test_end_that_nobody_acknowledges_is_a_violation(self):
        self.assertFalse(await self.settled(LONG_AGO, True))
        self.assertFalse(await self.settled(LONG_AGO, True, listed=ITEMS))

    async def test_step_behind_one_that_stands_still_is_looked_at(self):
        self.assertTrue(await self.settled(LONG_AGO, listed=ITEMS))

    async def test_accepted_step_that_is_not_run_is_a_violation(self):
        self.assertFalse(await self.settled(LONG_AGO))


class SoakTest(unittest.TestCase):
    def test_no_promise_is_broken(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.play(seed, SECONDS, INSTANCES)

    def test_no_promise_is_broken_by_one_alone(self):
        soak = self.play(ALONE, ALONE_SECONDS, 1)
        self.assertTrue(soak._left)

    def play(self, seed, seconds, instances):
        with tempfile.TemporaryDirectory() as folder:
            soak = Soak(seed, seconds, instances, folder)
            asyncio.run(soak.run())
        self.assertEqual(soak.violations.found, [])
        self.assertGreater(len(soak._calls), 50)
        self.assertTrue(any(step.accepted for step in soak._steps))
        return soak
