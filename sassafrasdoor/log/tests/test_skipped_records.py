"""Tests that a tail goes on after a record that cannot be applied."""

import asyncio
import unittest
from unittest import mock

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

    async def test_record_is_not_skipped_for_a_reason_of_this_process(self):
        """Guards against an accepted step that one instance never knows of."""
        cases = [
            ("lack of memory", MemoryError, True, Tail),
            ("lack of memory", MemoryError, True, KeyedTail),
            ("own records", RuntimeError, False, Tail),
        ]
        for reason, error_type, skips, kind in cases:
            with self.subTest(reason, kind=kind):
                log = MemoryPartitionedLog()
                apply = mock.Mock(side_effect=error_type)
                if kind is KeyedTail:
                    tail = KeyedTail(log, "keyed.u", apply)
                    records = [keyed_record("k", b"a")]
                else:
                    tail = Tail(log, "u", 0, apply, skips_unusable=skips)
                    records = [b"a"]
                before = value_of(SKIPPED_RECORDS, tail._topic)
                await log.append(tail._topic, 0, records, deadline_in(5))
                with self.assertRaises(error_type):
                    async with asyncio.timeout(20):
                        await tail.run()
                self.assertEqual(tail.offset, 0)
                self.assertEqual(value_of(SKIPPED_RECORDS, tail._topic), before)

    async def test_record_that_a_confirming_read_could_not_apply_ends_the_reader(self):
        """Guards against a record applied in part, then taken for a known one.

        The error of a confirming read reaches its callers only.
        """
        log, applied = MemoryPartitionedLog(), []

        def apply(offset, data):
            if offset not in applied:
                applied.append(offset)
                raise RuntimeError("applied in part")

        tail = Tail(log, "u", 0, apply, skips_unusable=False)
        await log.append("u", 0, [b"a"], deadline_in(5))
        with self.assertRaises(RuntimeError):
            await tail.confirm(deadline_in(5))
        with self.assertRaises(RuntimeError):
            async with asyncio.timeout(5):
                await tail.run()
        self.assertEqual(tail.offset, 0)


if __name__ == "__main__":
    unittest.main()
