"""Tests of the load tool's arrivals, results and profiles."""

import unittest

from sassafrasdoor.load.arrivals import arrivals
from sassafrasdoor.load.callers import CallerResult
from sassafrasdoor.load.profile import load
from sassafrasdoor.support import Processes


class ArrivalsTest(unittest.TestCase):
    def test_same_seed_same_times(self):
        first = arrivals(rate=50, duration=10, seed=3)
        self.assertEqual(first, arrivals(rate=50, duration=10, seed=3))
        self.assertNotEqual(first, arrivals(rate=50, duration=10, seed=4))
        self.assertEqual(first, sorted(first))
        self.assertTrue(400 < len(first) < 600)


class ResultTest(unittest.TestCase):
    def test_only_answers_count_as_latency(self):
        result = CallerResult("row")
        result.note("answered", 0.2, late_after=0.1)
        result.note("not-run", 9.0, late_after=0.1)
        self.assertEqual(result.late, 1)
        self.assertEqual(result.histogram.get_total_count(), 1)
        self.assertEqual(result.outcomes["not-run"], 1)


class ProfileTest(unittest.TestCase):
    def test_all_findings_are_reported(self):
        with Processes() as processes:
            path = processes.write_json(
                "p.json", {"duration": -1, "callers": [{"row": "a", "rate": 1}], "x": 1}
            )
            places = [finding.place for finding in load(path).findings]
        self.assertEqual(sorted(places), ["callers.0.key", "duration", "x"])
