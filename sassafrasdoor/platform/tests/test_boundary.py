"""Tests that only the platform's folder contains names of the platform's protocol."""

import ast
import pathlib
import re
import subprocess
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[3]
PACKAGE = ROOT / "sassafrasdoor"
FOLDER = PACKAGE / "platform"
WIRE_NAMES = re.compile(
    r"Sassafrasdoor-[A-Z]|SASSAFRASDOOR_BOOT"
    r"|/-/(?:resolve|ready|lots|items|order|report|log-|kv-|hold-)"
    r"|\b(?:PathPrefix|RunDeadlineMs|TargetLatencyMs|MaxAttempts|RetentionS"
    r"|FencingToken|SwitchMode|TrafficSplit|SingleVersion|NextToken|TimeoutMs)\b"
    r"|keyed\.(?:op|servers|status)"
)


def sources():
    return [path for path in ROOT.rglob("*.py") if is_ours(path)]


def is_ours(path):
    parts = path.relative_to(ROOT).parts
    return not (parts[0] in (".venv", "target", "build") or FOLDER in path.parents)


def imported(path):
    for node in ast.walk(ast.parse(path.read_text("utf-8"))):
        if isinstance(node, ast.Import):
            yield from (name.name for name in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield from (f"{node.module}.{name.name}" for name in node.names)


class BoundaryTest(unittest.TestCase):
    def test_sources_are_found(self):
        self.assertIn(PACKAGE / "requests" / "direct.py", sources())

    def test_nothing_outside_imports_the_folder(self):
        importers = [
            str(path)
            for path in sources()
            for name in imported(path)
            if name.startswith("sassafrasdoor.platform")
        ]
        self.assertEqual(importers, [])

    def test_wire_names_are_confined_to_the_folder(self):
        occurrences = [
            f"{path.relative_to(ROOT)}: {match.group()}"
            for path in sources()
            for match in WIRE_NAMES.finditer(path.read_text("utf-8"))
        ]
        self.assertEqual(occurrences, [])

    def test_program_does_not_import_unused_packages(self):
        """Guards against slow starts, during which callers find no instance.

        All instances restart at once after all have died. Importing the validation of
        settings that this program does not read took a third of the start.
        """
        script = (
            "import sys; from sassafrasdoor.platform.__main__ import main; "
            "main(['--check']); print(*sys.modules)"
        )
        command = [sys.executable, "-c", script]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, check=True)
        loaded = done.stdout.decode().split()
        self.assertIn("tornado", loaded)
        self.assertNotIn("pydantic", loaded)
        self.assertNotIn("capnp", loaded)

    def test_pattern_matches_wire_names(self):
        text = "".join(path.read_text("utf-8") for path in FOLDER.glob("*.py"))
        names = {match.group() for match in WIRE_NAMES.finditer(text)}
        self.assertGreater(len(names), 15)
