"""End-to-end test with real processes: the demo, checked by its report."""

import unittest

from sassafrasdoor.demo import violated_guarantees
from sassafrasdoor.support import Processes

DEMO_TIMEOUT = 120.0

GOOD_REPORT = {
    "duplicates": 0,
    "missing": 0,
    "executed_twice": 0,
    "killed": "entry-1",
    "regenerated": 0,
    "resumed": 3,
    "failure": "",
    "requests": {"once": {"answered": 3, "unknown": 1}},
    "revision_in_force": {"entry-2": 4, "entry-3": 4},
}


class WholePathTest(unittest.TestCase):
    def test_demo_holds_every_guarantee(self):
        """Guards against state that is lost with a killed instance."""
        with Processes() as processes:
            process = processes.start("demo", "--json")
            exit_code = process.wait(DEMO_TIMEOUT)
            self.assertEqual(exit_code, 0, "\n".join(process.output))

    def test_each_violation_is_reported(self):
        self.assertEqual(violated_guarantees(GOOD_REPORT), [])
        faults = {
            "duplicates": 1,
            "missing": 1,
            "executed_twice": 1,
            "killed": "",
            "failure": "late",
            "requests": {"once": {"no-reply": 1}},
            "revision_in_force": {"entry-2": 4, "entry-3": 3},
        }
        for name, value in faults.items():
            with self.subTest(fault=name):
                self.assertEqual(
                    len(violated_guarantees({**GOOD_REPORT, name: value})), 1
                )
