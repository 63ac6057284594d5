"""Real processes while single partitions of the store fail."""

import asyncio
import unittest

from sassafrasdoor.platform.standin import StoreStandin
from sassafrasdoor.platform.tests.cases import MODEL, ProcessCase
from sassafrasdoor.steps.durable.service import SHARD_COUNT, TOPIC, shard_of

CANCEL_PERIOD = 3.0  # seconds after the end of a step; no item may start later
OUTAGE = 5.5  # seconds
ITEMS = 300
SLOTS, EVENTS, PAUSE = 6, 5, 0.1  # two engines run 24 items a second
PARTITION = (TOPIC, shard_of(MODEL))
ALL_PARTITIONS = {(TOPIC, shard) for shard in range(SHARD_COUNT)}


class PartitionOutageTest(ProcessCase):
    """A step is ended just after the return of partitions that its runner has retried."""

    def store_addresses(self):
        # Each instance has an address of its own, which tells whose read was refused.
        self.stores = [StoreStandin(self.store.log) for _ in range(3)]
        for store in self.stores:
            self.addCleanup(store.stop)
        return [store.address for store in self.stores]

    async def run_outage(self, fault, partitions, is_retried):
        """Return the seconds from the end of a step to the start of its last item.

        The partitions serve again once ``is_retried(calls)`` says that the step's one was
        read again; ``calls`` are those that the runner's store has answered.
        """
        for engine in self.engines:
            engine.slots, engine.events, engine.pause = SLOTS, EVENTS, PAUSE
        await self.list_replicas()
        await asyncio.sleep(1.5)
        self.assertEqual((await self.submit("s", ITEMS)).code, 202)
        await self.wait_until(self.all_runs)
        calls = self.stores[self.instances.index(self.runner_instance())].answered_calls
        fault |= partitions
        await asyncio.sleep(OUTAGE)
        calls.clear()
        self.store.log.calls.clear()
        await self.wait_until(lambda: is_retried(calls))
        fault.clear()
        loop = asyncio.get_running_loop()
        while True:
            reply = await self.fetch(self.instances[1].front, "/-/lots/s", "DELETE")
            if reply.code == 200:
                break
        ended_at = loop.time()
        await asyncio.sleep(CANCEL_PERIOD + 2.0)
        self.assertLess(len({run.path for run in self.all_runs()}), ITEMS)
        return max(run.at for run in self.all_runs()) - ended_at

    def is_refused(self, calls):
        """Return whether a read of the step's partition was refused."""
        topic, part = PARTITION
        return any(
            status == 503 and f"Topic={topic}&part={part}&From" in query
            for _, _, status, _, query in calls
        )

    def is_sent(self, calls):
        """Return whether any instance has read the step's partition."""
        return ("read", *PARTITION) in self.store.log.calls

    async def test_ended_step_stops_after_one_partition_refused_its_reads(self):
        """Guards against items of an ended step that run until its reader's pause ends."""
        refused = self.store.log.refused_parts
        seconds = await self.run_outage(refused, {PARTITION}, self.is_refused)
        self.assertLess(seconds, CANCEL_PERIOD)

    async def test_ended_step_stops_after_all_partitions_refused_their_reads(self):
        """Guards against pauses of one partition's reader that delay the others."""
        refused = self.store.log.refused_parts
        seconds = await self.run_outage(refused, ALL_PARTITIONS, self.is_refused)
        self.assertLess(seconds, CANCEL_PERIOD)

    async def test_ended_step_stops_after_one_partition_answered_no_reads(self):
        """Guards against reads that were sent during an outage and are waited for."""
        silent = self.store.log.silent_parts
        seconds = await self.run_outage(silent, {PARTITION}, self.is_sent)
        self.assertLess(seconds, CANCEL_PERIOD)


if __name__ == "__main__":
    unittest.main()
