import base64
import subprocess
import sys
import unittest

from hypothesis import given, settings, strategies as st

from sassafrasdoor.outcomes import Rejected
from sassafrasdoor.steps.token import MAX_SAMPLES, DeliveryToken
from sassafrasdoor.support import ROOT

SIZES = st.integers(1, 70)


class TokenTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(SIZES, st.sets(st.integers(0, 69)), st.sets(st.integers(0, 69)))
    def test_behaves_as_a_set_and_round_trips(self, size, left, right):
        left = {position for position in left if position < size}
        right = {position for position in right if position < size}
        token, other = DeliveryToken(size, left), DeliveryToken(size, right)
        self.assertEqual(DeliveryToken.parse(token.encode(), size), token)
        self.assertEqual(set(token), left)
        self.assertEqual(len(token), len(left))
        self.assertEqual(set(token.missing()), set(range(size)) - left)
        self.assertEqual(set(token.difference(other)), left - right)
        self.assertEqual(set(token.union(right)), left | right)
        self.assertEqual(token.complete, len(left) == size)

    def test_1024_samples_are_128_bytes(self):
        raw = base64.b64decode(DeliveryToken(1024, [1023]).encode())
        self.assertEqual(len(raw), 128)

    def test_bad_texts_are_findings(self):
        def encoded(raw):
            return base64.b64encode(raw).decode()

        table = [
            ("?", "not base64"),
            ("AQ=", "not base64"),
            ("é", "not base64"),
            (encoded(b"\0"), "1 bytes where 2 are due"),
            (encoded(bytes(3)), "3 bytes where 2 are due"),
            (encoded(b"\0\x04"), "names samples beyond the step's 10"),
        ]
        for text, reason in table:
            with self.subTest(text):
                result = DeliveryToken.parse(text, 10)
                self.assertIsInstance(result, Rejected)
                self.assertEqual(str(result.findings[0]), f"token: {reason}")

    def test_positions_and_sizes_are_bounded(self):
        token = DeliveryToken(10)
        for position in (-1, 10):
            self.assertRaises(ValueError, token.add, position)
        for size in (0, MAX_SAMPLES + 1):
            self.assertRaises(ValueError, DeliveryToken, size)

    def test_library_sample_runs_alone(self):
        done = subprocess.run(
            [sys.executable, "samples/library_delivery_token.py"],
            cwd=ROOT,
            env={"PYTHONPATH": str(ROOT)},
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertIn("3 of 1024 in 128 bytes", done.stdout)
        self.assertIn("[2, 3, 4, 6]", done.stdout)
