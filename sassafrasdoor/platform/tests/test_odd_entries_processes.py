"""Tests that odd records of another writer neither end nor mislead real processes."""

import unittest

from sassafrasdoor.clock import deadline_in
from sassafrasdoor.log.partitioned import keyed_record
from sassafrasdoor.platform import configuration, wire
from sassafrasdoor.platform.standin import ReplicaStandin
from sassafrasdoor.platform.tests import odd_records
from sassafrasdoor.platform.tests.cases import ENGINES, MODEL, PLAIN, ProcessCase

MAX_RECORD_BYTES = 262_144  # that the store accepts
SERVICES = (PLAIN, ENGINES)


class OddEntriesTest(ProcessCase):
    more_settings = "PortRange=7720,7735\n"

    async def put_raw(self, topic, key, value):
        record = keyed_record(key, value)
        await self.store.log.append(topic, 0, [record], deadline_in(1))

    async def put_odd_entries(self):
        """Write each odd entry for both services, under the key of its own."""
        for service in SERVICES:
            entry = self.plain[0].entry(service, [MODEL])
            for number, (_, value) in enumerate(odd_records.odd_entries(entry)):
                key = f"odd-{service}-{number}"
                if len(value) < MAX_RECORD_BYTES:
                    await self.put_raw(configuration.SERVERS_TOPIC, key, value)
            for identity in filter(None, odd_records.ODD_IDENTITIES):
                await self.store.put(configuration.SERVERS_TOPIC, identity, entry)

    async def replica_gets_calls(self, replica):
        for instance in self.instances:
            await self.fetch(
                instance.front, "/plain/x", "POST", "b", **{wire.REQUEST_ID: "r"}
            )
        return bool(replica.runs)

    async def test_processes_stay_and_follow_the_list(self):
        """Guards against processes that end, or follow a list no more, by odd entries."""
        pids = [instance.process.pid for instance in self.instances]
        await self.put_odd_entries()
        late = ReplicaStandin("late")
        self.addCleanup(late.stop)
        entry = late.entry(PLAIN, [])
        await self.store.put(configuration.SERVERS_TOPIC, late.identity, entry)
        await self.wait_until(lambda: self.replica_gets_calls(late))
        self.assertEqual((await self.submit("s")).code, 202)
        self.check_texts(await self.wait_until(lambda: self.all_results("s", 1)))
        named = {"Model": MODEL, "Version": 2}
        await self.store.put(configuration.OPERATOR_TOPIC, f"version/{MODEL}", named)
        await self.wait_until(lambda: all(engine.orders for engine in self.engines))
        for instance, pid in zip(self.instances, pids, strict=True):
            self.assertTrue(instance.running, self.report())
            self.assertEqual(instance.process.pid, pid)
            self.assertTrue(await self.is_ready(instance))


if __name__ == "__main__":
    unittest.main()
