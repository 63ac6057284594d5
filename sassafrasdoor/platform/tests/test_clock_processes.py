"""A time of day that jumps while real processes hold leases and run steps."""

import json
import pathlib
import unittest

from sassafrasdoor.platform import wire
from sassafrasdoor.platform.tests.cases import MODEL, ProcessCase
from sassafrasdoor.platform.tests.stepped_clock import STEP_SUFFIX
from sassafrasdoor.steps.durable.service import TOPIC, shard_of
from sassafrasdoor.steps.durable.state import Steps

JUMP_SECONDS = 5.0
"""Seconds; a lease lasts 1.7, the list of instances 3.2."""
PROGRAM_MODULE = "sassafrasdoor.platform.tests.stepped_clock"


class ClockProcessesTest(ProcessCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        for instance in self.instances:
            instance.kill()
            instance.start(PROGRAM_MODULE)
        await self.wait_until_ready()

    def jump(self, instance, seconds):
        path = pathlib.Path(f"{instance.settings_path}{STEP_SUFFIX}")
        path.write_text(str(seconds), "utf-8")

    def epoch(self):
        """Return the offset of the first claim of the runner that has the shard."""
        shard, steps = shard_of(MODEL), Steps()
        for offset, data in enumerate(self.store.log.partition(TOPIC, shard).records):
            steps.fold(shard, offset, data)
        return steps.claims[shard].epoch

    async def plain_calls(self, count):
        for number in range(count):
            headers = {wire.REQUEST_ID: f"call-{number}", wire.DEADLINE: "4000"}
            for instance in self.instances:
                path = f"/plain/{number}"
                reply = await self.fetch(instance.front, path, "POST", "b", **headers)
                self.assertEqual(reply.code, 200)

    async def test_clock_jumps_change_no_lease_and_no_answer(self):
        """Symptom: steps change hands and calls are refused when a clock is set.

        Sequence: the runner's time of day jumps forward by five seconds and another
        instance's back, while items run; then both jump back. Cause: a lease, a
        deadline or a list's age was counted on the time of day.
        """
        for engine in self.engines:
            engine.pause = 0.5
        self.assertEqual((await self.submit("s")).code, 202)
        await self.wait_until(
            lambda: sum(len(engine.running) for engine in self.engines) == 4
        )
        runner = self.runner_instance()
        epoch = self.epoch()
        other = next(instance for instance in self.instances if instance is not runner)
        self.jump(runner, JUMP_SECONDS)
        self.jump(other, -JUMP_SECONDS)
        await self.plain_calls(3)
        self.check_texts(await self.wait_until(lambda: self.all_results("s", 2)))
        self.jump(runner, 0.0)
        self.jump(other, 0.0)
        await self.plain_calls(3)
        self.assertEqual((await self.submit("t")).code, 202)
        self.check_texts(await self.wait_until(lambda: self.all_results("t", 1)))
        self.assertIs(self.runner_instance(), runner)
        self.assertEqual(self.epoch(), epoch)

    async def test_lines_carry_both_clocks(self):
        """Symptom: lines of one process cannot be ordered after a jump.

        Sequence: a call, a jump forward, a call. Cause: lines bore the time of day
        only.
        """
        instance = self.instances[1]
        self.assertEqual((await self.submit("s", at=1)).code, 202)
        await self.wait_for_line("s", "step.submitted")
        self.jump(instance, -JUMP_SECONDS)
        self.assertEqual((await self.submit("t", at=1)).code, 202)
        await self.wait_for_line("t", "step.submitted")
        texts = instance.log_path.read_text("utf-8").splitlines()
        lines = [json.loads(text) for text in texts if '"step.submitted"' in text]
        first, second = lines[-2:]
        self.assertLess(second["timestamp"], first["timestamp"])
        self.assertGreater(second["steady"], first["steady"])


if __name__ == "__main__":
    unittest.main()
