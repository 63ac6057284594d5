"""Tests of the fold of a shard's records, and of their encoding."""

import tracemalloc
import unittest
from types import SimpleNamespace
from unittest import mock

from hypothesis import given, settings, strategies as st

from sassafrasdoor.log.tail import Tail
from sassafrasdoor.steps.durable import records
from sassafrasdoor.steps.durable.records import (
    COMPLETED,
    End,
    Failure,
    RewardFailure,
    Sample,
    encode,
    encode_step,
)
from sassafrasdoor.steps.durable.state import Steps
from sassafrasdoor.steps.durable.tests.fixtures import spec


def sample(item="i0", text="a", step="s1", versions=(1,)):
    return encode(Sample(step, item, COMPLETED, text, list(versions)))


def folded(*data):
    steps = Steps()
    for offset, record in enumerate(data):
        steps.fold(0, offset, record)
    return steps


def step_records(step_id="s1", items=2, limit=10_000):
    return encode_step(spec(step_id, items), limit)


class FoldTest(unittest.TestCase):
    def test_first_sample_of_an_item_counts(self):
        """Guards against a second sample that replaces one already read."""
        steps = folded(*step_records(), sample(text="first"), sample(text="second"))
        self.assertEqual(
            [sample.text for sample in steps.by_id["s1"].listed], ["first"]
        )

    def test_bytes_held_are_those_of_the_known_steps(self):
        """Guards against a count that grows with steps that are gone."""
        steps = folded(*step_records(), *step_records("s2"), sample(text="a" * 500))
        self.assertEqual(steps.held_bytes, 2 * spec().held_bytes() + 500)
        steps.fold(0, 9, encode(End("s1")))
        steps.discard_done(float("inf"))
        self.assertEqual(steps.held_bytes, spec().held_bytes())

    def test_estimate_covers_a_step_of_short_headers(self):
        """Guards against steps that take more memory than was counted for them."""
        long_step = spec(items=50)
        for item in long_step.items:
            item.headers = {f"{number:x}": f"{number}" for number in range(1000)}
        packed = encode_step(long_step, 10_000)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        steps = folded(*packed)
        taken, _ = tracemalloc.get_traced_memory()
        self.assertLess(taken, steps.held_bytes)
        self.assertLess(steps.held_bytes, 3 * taken)

    def test_duplicate_submission_keeps_the_step(self):
        """Guards against a repeated submission that discards samples."""
        steps = folded(*step_records(), sample(), *step_records())
        self.assertEqual(len(steps.by_id["s1"].listed), 1)

    def test_sample_after_the_end_is_not_listed(self):
        steps = folded(*step_records(), encode(End("s1")), sample())
        self.assertEqual(steps.by_id["s1"].listed, [])
        self.assertTrue(steps.by_id["s1"].is_done)

    def test_sample_of_an_unknown_item_is_not_listed(self):
        steps = folded(*step_records(), sample(item="other"))
        self.assertEqual(steps.by_id["s1"].listed, [])

    def test_failures_are_counted_across_runners(self):
        failures = [encode(Failure("s1", "i0")) for _ in range(2)]
        steps = folded(*step_records(), *failures)
        self.assertEqual(len(steps.by_id["s1"].failed_attempts["i0"]), 2)

    def test_duplicate_failure_record_counts_once(self):
        """Guards against a failure counted twice after a repeated append."""
        for record_type, attribute in (
            (Failure, "failed_attempts"),
            (RewardFailure, "failed_reward_calls"),
        ):
            with self.subTest(record_type.__name__):
                data = encode(record_type("s1", "i0"))
                steps = folded(
                    *step_records(), data, data, encode(record_type("s1", "i0"))
                )
                self.assertEqual(len(getattr(steps.by_id["s1"], attribute)["i0"]), 2)

    def test_large_step_is_split_into_records_and_joined(self):
        parts = step_records(items=400, limit=1000)
        self.assertGreater(len(parts), 2)
        self.assertTrue(all(len(part) <= 1000 for part in parts))
        steps = folded(*parts)
        self.assertEqual(steps.by_id["s1"].items["i7"].body, b"body 7")

    def test_incomplete_step_is_not_accepted(self):
        parts = step_records(items=400, limit=1000)
        self.assertEqual(folded(*parts[:-1]).by_id, {})
        self.assertEqual(folded(*parts[1:]).by_id, {})

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=64))
    def test_arbitrary_bytes_do_not_break_the_fold(self, data):
        steps = folded(*step_records(), data, b"S" + data, b"R" + data, sample())
        self.assertEqual(len(steps.by_id["s1"].listed), 1)

    @settings(derandomize=True, deadline=None)
    @given(st.permutations(["i0", "i1", "i2", "i0", "i2"]))
    def test_positions_follow_offsets(self, order):
        steps = folded(*step_records(items=3), *(sample(item) for item in order))
        listed = [sample.item_id for sample in steps.by_id["s1"].listed]
        self.assertEqual(listed, list(dict.fromkeys(order)))

    def test_old_open_steps_are_kept(self):
        steps = folded(
            *step_records("open"), *step_records("done"), encode(End("done"))
        )
        steps.discard_done(float("inf"))
        self.assertEqual(list(steps.by_id), ["open"])

    def test_step_is_not_skipped_for_lack_of_memory(self):
        """Guards against an accepted step that one instance never knows of."""
        steps = Steps()
        record = records.encode(records.End("s"))
        with mock.patch.object(records, "decode", side_effect=MemoryError):
            with self.assertRaises(MemoryError):
                tail = Tail(None, "steps", 0, lambda at, data: steps.fold(0, at, data))
                batch = SimpleNamespace(end=1, first=0, records=[record])
                tail._fold_batch(batch)


class RecordTest(unittest.TestCase):
    def test_step_round_trip(self):
        original = spec(items=3)
        parts = [records.decode(data) for data in encode_step(original, 500)]
        decoded = records.unpack_step([part.piece for part in parts])
        self.assertEqual(decoded.step_id, original.step_id)
        self.assertEqual(decoded.min_version, original.min_version)
        self.assertEqual(
            [item.body for item in decoded.items], [b"body 0", b"body 1", b"body 2"]
        )

    def test_number_that_is_too_large_is_unreadable(self):
        """Guards against a record that ends its readers again after each start."""
        decoders = {records.END: mock.Mock(side_effect=OverflowError("too large"))}
        with mock.patch.dict(records._DECODERS, decoders):
            self.assertIsInstance(records.decode(encode(End("s1"))), records.Unreadable)
        with mock.patch.object(records.zlib, "decompress", side_effect=OverflowError):
            self.assertIsInstance(records.unpack_step([b"a"]), records.Unreadable)

    def test_sample_round_trip(self):
        data = encode(Sample("s", "i", COMPLETED, "ä\nb", [3, 4]))
        decoded = records.decode(data)
        self.assertEqual((decoded.text, decoded.versions), ("ä\nb", [3, 4]))
