"""Log lines under load and with a stalled reader."""

import os
import unittest

from sassafrasdoor import decisions
from sassafrasdoor.decisions import NonBlockingOutput, _LineBudget


class BudgetTest(unittest.TestCase):
    def test_lines_over_the_budget_are_counted_and_reported(self):
        budget = _LineBudget()
        results = [budget.take() for _ in range(int(decisions.BURST_LINES) + 50)]
        dropped = results.count(None)
        self.assertGreaterEqual(dropped, 49)
        budget._last -= 1.0
        self.assertEqual(budget.take(), dropped)


class OutputTest(unittest.TestCase):
    def setUp(self):
        self.read_end, self.write_end = os.pipe()
        self.addCleanup(os.close, self.read_end)
        self.output = NonBlockingOutput(self.write_end)

    def test_stopped_reader_does_not_block_the_writer(self):
        """Guards against writes that block on a full pipe."""
        line = "x" * 1000 + "\n"
        for _ in range(3000):
            self.output.write(line)
        self.assertLessEqual(len(self.output._buffer), decisions.MAX_BUFFER_BYTES)
        os.close(self.write_end)

    def test_lines_are_complete_after_the_reader_continues(self):
        line = "y" * 1000 + "\n"
        for _ in range(200):
            self.output.write(line)
        received = b""
        while self.output._buffer or received.count(b"\n") < 200:
            received += os.read(self.read_end, 65536)
            self.output.flush()
        self.assertEqual(received, line.encode() * 200)
        os.close(self.write_end)

    def test_closed_reader_raises_no_error(self):
        os.close(self.read_end)
        self.read_end = os.open(os.devnull, os.O_RDONLY)
        self.output.write("line\n")
        self.assertEqual(bytes(self.output._buffer), b"")
        os.close(self.write_end)
