"""Tests that a tail goes on after a record that cannot be applied."""

import asyncio
import unittest

from sassafrasdoor.clock import deadline_in
from sassafrasdoor.log.memory_partitioned import MemoryPartitionedLog
from sassafrasdoor.log.partitioned import keyed_record
from sassafrasdoor.log.tail import SKIPPED_RECORDS, KeyedTail, Tail


def value_of(metric, topic):
    """Return the value of a counter by topic, 0 before its first use."""
    try:
        return metric.get({"topic": topic})
    except KeyError:
        return 0


async def until(condition):
    """Wait until a condition holds."""
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(0.01)


class TailTest(unittest.IsolatedAsyncioTestCase):
    async def test_reader_goes_on_after_a_record_that_it_cannot_apply(self):
        """Guards against a list that is followed no more, or a process that ends.

        Whatever a record is, it is skipped; a task that failed on it would fail on it
        again after each start.
        """
        log, applied = MemoryPartitionedLog(), []

        def apply(place, data):
            if data.endswith(b"odd"):
                raise RuntimeError("cannot be applied")
            applied.append(bytes(data))

        topics = {
            "keyed.t": KeyedTail(log, "keyed.t", apply),
            "t": Tail(log, "t", 0, apply),
        }
        for topic, tail in topics.items():
            with self.subTest(topic):
                applied.clear()
                before = value_of(SKIPPED_RECORDS, topic)
                records = [b"a", b"odd", b"b"]
                if topic.startswith("keyed"):
                    records = [
                        keyed_record(f"k{at}", data) for at, data in enumerate(records)
                    ]
                await log.append(topic, 0, records[:2], deadline_in(5))
                running = asyncio.ensure_future(tail.run())
                async with asyncio.timeout(20):
                    await until(lambda tail=tail: tail.has_caught_up)
                    await log.append(topic, 0, records[1:], deadline_in(5))
                    await until(lambda: len(applied) == 2)
                self.assertEqual([data[-1:] for data in applied], [b"a", b"b"])
                self.assertFalse(running.done())
                running.cancel()
                self.assertEqual(value_of(SKIPPED_RECORDS, topic), before + 2)


if __name__ == "__main__":
    unittest.main()
