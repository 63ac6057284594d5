"""Tests of wall-clock jumps while real processes hold leases and run steps."""

import json
import pathlib
import unittest

from sassafrasdoor.platform import wire
from sassafrasdoor.platform.tests.cases import MODEL, ProcessCase
from sassafrasdoor.platform.tests.stepped_clock import STEP_SUFFIX
from sassafrasdoor.steps.durable.service import TOPIC, shard_of
from sassafrasdoor.steps.durable.state import Steps

JUMP_SECONDS = 5.0  # above the 1.7 s of a lease and the 3.2 s of an instance's record
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
        """Return the offset of the first claim of the shard's current runner."""
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
        """Guards against lost leases and refused calls when a wall clock is set.

        The runner's clock jumps forward by five seconds and another instance's back
        while items run; then both return. A lease, a deadline or the age of a list was
        measured with the wall clock.
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
        """Guards against log lines of a process that a jump puts out of order.

        A step is submitted before and after a jump back; lines had only the wall-clock
        time.
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
