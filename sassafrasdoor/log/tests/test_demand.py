"""Calls to the log are counted by purpose."""

import asyncio
import unittest
from unittest import mock

from sassafrasdoor.clock import deadline_in
from sassafrasdoor.log import demand as module
from sassafrasdoor.log.memory_partitioned import MemoryPartitionedLog
from sassafrasdoor.log.tail import KeyedTail, Tail


class CountedLog(MemoryPartitionedLog):
    """Counts its calls as the platform's store does."""

    def __init__(self):
        super().__init__()
        self.counter = module.CallCounter()

    async def read(self, *arguments):
        """Read, and count the call."""
        return await self._counted("read", super().read(*arguments))

    async def newest(self, topic):
        """Return the newest values, and count the call."""
        return await self._counted("newest", super().newest(topic))

    async def _counted(self, name, call):
        purpose = self.counter.begin(name)
        result = await call
        self.counter.end(purpose, not self.down, 2048)
        return result


class CallCounterTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.log = CountedLog()

    def reported(self):
        with mock.patch.object(module, "note_routine") as line:
            self.log.counter.report()
        return line.call_args.kwargs

    async def test_reads_of_a_tail_are_counted_by_purpose(self):
        tail = Tail(self.log, "t", 0, lambda at, data: None)
        await tail.poll(0.01)
        await tail.poll(0.01)
        await tail.poll(0)
        self.log.down = True
        for _ in range(2):
            await tail.poll(0)
        expected = {
            "open": 0,
            "start": [1, 0, 2],
            "follow": [1, 0, 2],
            "confirm": [2, 1, 4],
            "again": [1, 1, 2],
        }
        self.assertEqual(self.reported(), expected)

    async def test_load_is_counted_by_purpose(self):
        tail = KeyedTail(self.log, "keyed.t", lambda key, value: None)
        await tail.poll(0.01)
        await tail.poll(0.01)
        expected = {"open": 0, "load": [1, 0, 2], "follow": [1, 0, 2]}
        self.assertEqual(self.reported(), expected)

    async def test_report_covers_calls_since_the_last_one(self):
        await self.log.read("t", 0, 0, 0, 1.0)
        self.assertIn("read", self.reported())
        self.assertEqual(self.reported(), {"open": 0})

    async def test_unfinished_call_is_open(self):
        waiting = asyncio.ensure_future(self.log.read("t", 0, 0, 5.0, 1.0))
        await asyncio.sleep(0)
        self.assertEqual(self.reported(), {"open": 1})
        await self.log.append("t", 0, [b"a"], deadline_in(1))
        await waiting
        self.assertEqual(self.reported()["open"], 0)

    async def test_purpose_applies_only_to_tasks_of_its_block(self):
        with module.call_purpose(module.RELAY):
            task = asyncio.ensure_future(self.log.read("t", 0, 0, 0, 1.0))
        await self.log.read("t", 0, 0, 0, 1.0)
        await task
        expected = {"open": 0, "relay": [1, 0, 2], "read": [1, 0, 2]}
        self.assertEqual(self.reported(), expected)


if __name__ == "__main__":
    unittest.main()
