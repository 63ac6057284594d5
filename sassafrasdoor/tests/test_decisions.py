"""Log lines under load, and with a reader who has stopped."""

import os
import unittest

from sassafrasdoor import decisions
from sassafrasdoor.decisions import NonBlockingOutput, _Budget


class BudgetTest(unittest.TestCase):
    def test_lines_over_the_budget_are_counted_and_said(self):
        budget = _Budget()
        taken = [budget.take() for _ in range(int(decisions.BURST) + 50)]
        left_out = taken.count(None)
        self.assertGreaterEqual(left_out, 49)
        budget._last -= 1.0
        self.assertEqual(budget.take(), left_out)


class OutputTest(unittest.TestCase):
    def setUp(self):
        self.reading, self.writing = os.pipe()
        self.addCleanup(os.close, self.reading)
        self.output = NonBlockingOutput(self.writing)

    def test_reader_who_stops_blocks_nothing(self):
        """Guards against writes that block on a full pipe."""
        line = "x" * 1000 + "\n"
        for _ in range(3000):
            self.output.write(line)
        self.assertLessEqual(len(self.output._waiting), decisions.BUFFER_BYTES)
        os.close(self.writing)

    def test_lines_are_written_whole_once_the_reader_goes_on(self):
        line = "y" * 1000 + "\n"
        for _ in range(200):
            self.output.write(line)
        found = b""
        while self.output._waiting or found.count(b"\n") < 200:
            found += os.read(self.reading, 65536)
            self.output.flush()
        self.assertEqual(found, line.encode() * 200)
        os.close(self.writing)

    def test_closed_reader_is_no_failure(self):
        os.close(self.reading)
        self.reading = os.open(os.devnull, os.O_RDONLY)
        self.output.write("line\n")
        self.assertEqual(bytes(self.output._waiting), b"")
        os.close(self.writing)
