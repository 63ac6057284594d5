"""Settings: defaults hold, and every mistake is reported with its place."""

import json
import unittest

from sassafrasdoor import settings
from sassafrasdoor.clock import PauseDetector
from sassafrasdoor.support import ROOT


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

    def test_the_page_lists_every_setting_with_its_default(self):
        page = (ROOT / "docs" / "SETTINGS.md").read_text("utf-8")
        for section, values in settings.DEFAULT.items():
            for key, value in values.items():
                with self.subTest(setting=f"{section}.{key}"):
                    line = next(
                        (
                            one
                            for one in page.splitlines()
                            if f"`{section}.{key}`" in one
                        ),
                        "",
                    )
                    self.assertIn(f"`{json.dumps(value)}`", line)


class PauseDetectorTest(unittest.TestCase):
    def test_a_gap_is_a_pause_until_refreshed(self):
        detector = PauseDetector(limit=0.0)
        self.assertTrue(detector.paused)
        patient = PauseDetector(limit=60.0)
        self.assertFalse(patient.paused)
