"""Tests of the planned stop of real processes while the store answers nothing."""

import asyncio
import signal
import unittest

from sassafrasdoor.clock import deadline_in, passed
from sassafrasdoor.platform import wire
from sassafrasdoor.platform.tests.test_duties_processes import DutiesCase

GRACE_SECONDS = 8.0  # the platform kills processes that have not ended by then
OUTCOME_UNKNOWN = 504
HELD_BEFORE, HELD_AT = 0.5, 4.0  # seconds before and after SIGTERM


class StopTest(DutiesCase):
    window, due, grace = 5.0, 10.0, GRACE_SECONDS

    async def asyncSetUp(self):
        self.held = []
        self.addCleanup(lambda: [task.cancel() for task in self.held])
        await super().asyncSetUp()

    def hold_calls(self):
        """Begin a call at each instance that its replica does not answer."""
        for instance in self.instances:
            headers = {
                wire.REQUEST_ID: f"held-{len(self.held)}",
                wire.AUTHORIZATION: "Bearer key-a",
            }
            call = self.fetch(instance.front, "/plain/x", "POST", "b", **headers)
            self.held.append(asyncio.ensure_future(call))

    async def test_stop_ends_in_time_while_the_store_is_silent(self):
        """Guards against processes that are killed when the time for a stop runs out.

        The release of the shards, a call in progress and counts that were not written
        filled the time up to 0.12 s, and the process needed 0.14 s more to exit.
        """
        await self.make_calls(range(6))
        self.store.answering.clear()
        for replica in self.plain:
            replica.may_answer.clear()
        self.hold_calls()
        await asyncio.sleep(HELD_BEFORE)
        deadline = deadline_in(GRACE_SECONDS)
        for instance in self.instances:
            instance.signal(signal.SIGTERM)
        await asyncio.sleep(HELD_AT)
        self.hold_calls()
        running = list(self.instances)
        while running and not passed(deadline):
            await asyncio.sleep(0.01)
            running = [instance for instance in running if instance.running]
        self.assertEqual([one.name for one in running], [], self.report())
        for instance in self.instances:
            self.assertEqual(instance.process.returncode, 0)
        statuses = [(await call).code for call in self.held]
        self.assertEqual(statuses, [OUTCOME_UNKNOWN] * 6, "cut calls may have run")
        stopped = self.lines("", "process.stopped")
        self.assertEqual([line.fields["unfinished"] for line in stopped], [[]] * 3)


if __name__ == "__main__":
    unittest.main()
