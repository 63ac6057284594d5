"""Settings: defaults are valid, and every fault is reported with its place."""

import json
import unittest

from sassafrasdoor import settings
from sassafrasdoor.clock import PauseDetector
from sassafrasdoor.support import ROOT


class SettingsTest(unittest.TestCase):
    def test_defaults_are_valid(self):
        self.assertTrue(settings.from_document({}))

    def test_all_findings_are_reported_together(self):
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
                    table_row = next(
                        (
                            row
                            for row in page.splitlines()
                            if f"`{section}.{key}`" in row
                        ),
                        "",
                    )
                    self.assertIn(f"`{json.dumps(value)}`", table_row)


class PauseDetectorTest(unittest.TestCase):
    def test_a_gap_is_a_pause_until_refreshed(self):
        detector = PauseDetector(limit=0.0)
        self.assertTrue(detector.paused)
        tolerant = PauseDetector(limit=60.0)
        self.assertFalse(tolerant.paused)
