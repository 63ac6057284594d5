"""The whole path with real processes: the demo, judged by its report."""

import unittest

from sassafrasdoor.demo import broken_promises
from sassafrasdoor.support import Processes

DEMO_TIMEOUT = 120.0

GOOD = {
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
    def test_demo_keeps_every_promise(self):
        """Guards against state that is lost with a killed instance."""
        with Processes() as processes:
            process = processes.start("demo", "--json")
            code = process.wait(DEMO_TIMEOUT)
            self.assertEqual(code, 0, "\n".join(process.output))

    def test_each_broken_promise_is_noticed(self):
        self.assertEqual(broken_promises(GOOD), [])
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
                self.assertEqual(len(broken_promises({**GOOD, name: value})), 1)
