"""Settings: defaults hold, and every mistake is reported with its place."""

import unittest

from sassafrasdoor import settings


class SettingsTest(unittest.TestCase):
    def test_defaults_are_valid(self):
        self.assertTrue(settings.from_document({}))

    def test_five_mistakes_are_reported_together(self):
        rejected = settings.from_document(
            {
                "instance": {"entry_port": 70000, "nick": "x"},
                "lease": {"duration": -1},
                "steps": {"batch_size": "many"},
                "colour": {},
            }
        )
        self.assertEqual(
            sorted(finding.place for finding in rejected.findings),
            [
                "colour",
                "instance.entry_port",
                "instance.nick",
                "lease.duration",
                "steps.batch_size",
            ],
        )


class PauseDetectorTest(unittest.TestCase):
    def test_a_gap_is_a_pause_until_refreshed(self):
        from sassafrasdoor.clock import PauseDetector

        detector = PauseDetector(limit=0.0)
        self.assertTrue(detector.paused)
        patient = PauseDetector(limit=60.0)
        self.assertFalse(patient.paused)
