"""Tests of the planned stop of real processes while the store answers nothing."""

import asyncio
import json
import signal
import unittest

from sassafrasdoor.clock import deadline_in, passed
from sassafrasdoor.platform import wire
from sassafrasdoor.platform.tests.cases import ProcessCase
from sassafrasdoor.platform.tests.test_duties_processes import DutiesCase

GRACE_SECONDS = 8.0  # the platform kills processes that have not ended by then
HELD_RENEWAL = 1.5  # seconds; the record is renewed every second
LANDS_AFTER = 1.0  # seconds after the deletion
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


class LateRenewalTest(ProcessCase):
    async def test_renewal_that_lands_late_does_not_bring_an_ended_instance_back(self):
        """Guards against callers sent to an instance that has ended as planned.

        Its path to the store stops, so that a renewal is held up there; its deletion is
        relayed and lands first.
        """
        first, second, _ = self.instances
        await self.wait_until(lambda: self.lists_instances(1))
        self.proxy.freeze()
        await asyncio.sleep(HELD_RENEWAL)
        first.signal(signal.SIGTERM)
        await self.wait_until(lambda: self.lists_instances(1, 2))
        await asyncio.sleep(LANDS_AFTER)
        self.proxy.thaw()
        await self.wait_until(lambda: not first.running)
        reply = await self.fetch(second.directory, "/-/resolve?Zone=z")
        self.assertNotIn(first.front, json.loads(reply.body)["Addresses"])


if __name__ == "__main__":
    unittest.main()
