"""Tests of the estimates of what JSON takes once it is decoded."""

import json
import tracemalloc
import unittest

from sassafrasdoor.callers.decoding import decoded_bytes, element_count

ENOUGH = 100
COUNT = 20_000
DOCUMENTS = {
    "empty objects": [{} for _ in range(COUNT)],
    "empty lists": [[] for _ in range(COUNT)],
    "nested objects": [{"a": {}} for _ in range(COUNT)],
    "short fields": {f"{number:x}": "" for number in range(COUNT)},
    "short texts": [f"{number:x}" for number in range(COUNT)],
    "objects of five fields": [dict.fromkeys("abcde", "xy") for _ in range(COUNT)],
    "numbers": [0.5] * COUNT,
    "one text": "x" * 20 * COUNT,
    "one text of wide characters": "\U0001f600" + "x" * 20 * COUNT,
}


class DecodingTest(unittest.TestCase):
    def test_estimate_covers_what_is_decoded(self):
        """Guards against fields that take more memory than was counted for them."""
        for name, document in DOCUMENTS.items():
            with self.subTest(name):
                body = json.dumps(document, ensure_ascii=False).encode()
                tracemalloc.start()
                decoded = json.loads(body)
                taken, _ = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                self.assertEqual(decoded, document)
                self.assertGreaterEqual(decoded_bytes(body), taken)

    def test_marks_in_texts_are_no_elements(self):
        """Guards against ordinary prose that is refused for its commas."""
        prose = json.dumps({"prompt": 'a, b, [c], {d}, "e", \\ ' * 1000}).encode()
        self.assertLess(element_count(prose, ENOUGH), ENOUGH)

    def test_long_text_is_not_held_many_times(self):
        """Guards against a legal text that takes a hundred times its bytes."""
        prose = json.dumps({"prompt": "a, b" * COUNT}).encode()
        tracemalloc.start()
        self.assertLess(element_count(prose, ENOUGH), ENOUGH)
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        self.assertLess(peak, 2 * len(prose))

    def test_text_without_end(self):
        """Guards against an event loop that stands still over a small body."""
        for marks in (b"," * 1000, b'\\",' * 1_000_000):
            with self.subTest(size=len(marks)):
                self.assertLess(element_count(b'["' + marks, ENOUGH), ENOUGH)

    def test_many_elements_are_noticed(self):
        """Guards against very many short fields that are decoded to be refused."""
        for name, document in DOCUMENTS.items():
            with self.subTest(name):
                body = json.dumps(document).encode()
                is_text = isinstance(document, str)
                self.assertEqual(element_count(body, ENOUGH) > ENOUGH, not is_text)


if __name__ == "__main__":
    unittest.main()
