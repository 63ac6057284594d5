"""Pages match the code: quoted samples, metrics, events, log lines, settings files."""

import re
import subprocess
import sys
import unittest

from sassafrasdoor import settings
from sassafrasdoor.support import ROOT

SOURCE = ROOT / "sassafrasdoor"
METRIC = re.compile(r'\b(?:counter|gauge|histogram)\(\s*"(\w+)"')
EVENT = re.compile(r'\b(?:EVENTS\.add|\.event)\(\s*"([\w-]+)"')
DECISION = re.compile(r'\b(?:note|note_routine|write)\(\s*"([\w.:-]+)"')
REPLICA_LINES = ("absent", "back", "gone", "leaving", "listed", "restarted")
LINE = re.compile(r'\b(?<!order\.)changed\(\s*"([\w.:-]+)"')


class LINES:
    """Finds the names of all log lines, of both kinds, in the sources."""

    @staticmethod
    def findall(code):
        decisions = [name for name in DECISION.findall(code) if "." in name]
        replicas = [f"replica.{kind}" for kind in REPLICA_LINES]
        return [*LINE.findall(code), *decisions, *replicas]


SETTING = re.compile(r"`([a-z]+)\.([a-z_]+)`")
FENCED = re.compile(r"```python\n(.*?)```", re.DOTALL)


def page(name):
    """Return the text of a page."""
    return (ROOT / "docs" / name).read_text("utf-8")


def sources():
    """Return the text of all modules except tests."""
    paths = [path for path in SOURCE.rglob("*.py") if "tests" not in path.parts]
    return "\n".join(path.read_text("utf-8") for path in sorted(paths))


class PagesTest(unittest.TestCase):
    def test_the_library_page_quotes_the_samples(self):
        samples = sorted((ROOT / "samples").glob("library_*.py"))
        self.assertTrue(samples)
        quoted = FENCED.findall(page("LIBRARY.md"))
        self.assertCountEqual(quoted, [path.read_text("utf-8") for path in samples])

    def test_the_operating_page_lists_what_the_code_has(self):
        """Guards against metrics, events and log lines that no page explains."""
        text = page("OPERATING.md") + page("OPERATIONS.md")
        code = sources()
        cases = [
            ("metrics", METRIC, r"^\| `(\w+)`"),
            ("events", EVENT, r"^\| event `([\w-]+)`"),
            ("log lines", LINES, r"^\| line `([\w.:-]+)`"),
        ]
        for name, defined, row_pattern in cases:
            with self.subTest(name):
                documented = re.findall(row_pattern, text, re.MULTILINE)
                self.assertEqual(sorted(documented), sorted(set(defined.findall(code))))

    def test_the_pages_name_settings_that_exist(self):
        lines = set(LINE.findall(sources()))
        for name in ("OPERATING.md", "LIBRARY.md", "USING.md"):
            for section, setting in SETTING.findall(page(name)):
                is_section = section in settings.DEFAULT
                if is_section and f"{section}.{setting}" not in lines:
                    with self.subTest(page=name, setting=f"{section}.{setting}"):
                        self.assertIn(setting, settings.DEFAULT[section])

    def test_the_settings_files_of_the_quick_start_are_valid(self):
        for path in sorted((ROOT / "samples" / "quickstart").glob("*.json")):
            with self.subTest(path.name):
                loaded = settings.load(path)
                self.assertTrue(loaded, getattr(loaded, "findings", ""))

    def test_the_samples_of_the_library_run(self):
        for path in sorted((ROOT / "samples").glob("library_*.py")):
            with self.subTest(path.name):
                completed = subprocess.run(
                    [sys.executable, path],
                    cwd=ROOT,
                    env={"PYTHONPATH": str(ROOT)},
                    capture_output=True,
                    text=True,
                    timeout=60,
                )
                self.assertEqual((completed.returncode, completed.stderr), (0, ""))
                self.assertTrue(completed.stdout)
