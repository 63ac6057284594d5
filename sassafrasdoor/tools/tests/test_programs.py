"""Every program's command line: help, version, exit codes, findings with places."""

import json
import pathlib
import subprocess
import sys
import tempfile
import tomllib
import unittest
from concurrent.futures import ThreadPoolExecutor

from sassafrasdoor import __version__
from sassafrasdoor.support import ROOT

TIMEOUT = 60
USAGE_ERROR = 2
PROJECT = tomllib.loads((ROOT / "pyproject.toml").read_text("utf-8"))["project"]
MODULES = [entry.partition(":")[0] for entry in PROJECT["scripts"].values()]
PROGRAMS = {module.rpartition(".")[2]: module for module in sorted(MODULES)}
DAEMONS = ("control", "entry")

FAULTY_SETTINGS = {
    "instance": {"entry_port": 70_000, "nick": "x"},
    "lease": {"duration": -1},
    "membership": {"peer_keys": [""]},
    "tls": {"certificate": "/no/such/file", "private_key": "/no/such/file"},
}
FINDING_PLACES = (
    "instance.entry_port",
    "instance.nick",
    "lease.duration",
    "membership.peer_keys.0",
    "tls.certificate",
    "tls.private_key",
)
DEEPLY_NESTED = "[" * 100_000

# program, arguments ({name}: a file of FILES), text in its output.
PROFILE = '{"duration": 1, "callers": [{"row": "r", "key": "k", "rate": 1}]}'
FILES = {
    "profile": PROFILE,
    "empty": "[]",
    "broken": "{",
    "deep": DEEPLY_NESTED,
    "step": '["a prompt"]',
}
TRAINER = ("--address", "127.0.0.1:9", "--row", "trainer", "--key", "a-key")
WRONG_USAGE = [
    *((name, ("--no-such-option",), "--no-such-option") for name in PROGRAMS),
    *((name, (), "--settings") for name in DAEMONS),
    *(
        (name, ("--check", "--settings", "{" + file + "}"), place)
        for name in DAEMONS
        for file, place in (("empty", "not an object"), ("broken", "Expecting"))
    ),
    ("entry", ("--settings", "/no/such/file"), "No such file"),
    ("entry", ("--settings", "{deep}"), "too deep"),
    ("load", ("--profile", "{broken}"), "Expecting"),
    ("load", ("--profile", "{deep}"), "recursion"),
    ("load", ("--profile", "{profile}"), "--address"),
    ("load", ("--profile", "/no/such/file"), "No such file"),
    ("load", ("--deployment", "/no/such/folder"), "No such file"),
    ("timeline", (), "--entry"),
    ("timeline", ("--settings", "{broken}", "--discover"), "Expecting"),
    ("trainer", ("{broken}", *TRAINER), "Expecting"),
    ("trainer", ("{deep}", *TRAINER), "recursion"),
    ("trainer", ("{empty}", *TRAINER), "groups"),
    ("trainer", ("{step}", *TRAINER, "--samples", "0"), "samples_per_group"),
    ("trainer", ("{step}", *TRAINER, "--deadline", "nan"), "--deadline"),
    ("trainer", ("{step}", *TRAINER, "--step", "a/b"), "step"),
]


def run(program, *arguments):
    """Run a program until it exits; return ``(exit code, all output)``."""
    completed = subprocess.run(
        [sys.executable, "-m", PROGRAMS[program], *arguments],
        cwd=ROOT,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=TIMEOUT,
        env={"PATH": "", "TERM": "dumb", "COLUMNS": "200"},
    )
    return completed.returncode, completed.stdout


def run_all(calls):
    """Run all calls, three at a time; return their results in order."""
    with ThreadPoolExecutor(3) as pool:
        return list(pool.map(lambda call: run(*call), calls))


class ProgramsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory(prefix="sassafrasdoor-programs-")
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def write(self, name, text):
        path = self.folder / f"{name}.json"
        path.write_text(text, "utf-8")
        return str(path)

    def test_help_and_version(self):
        calls = [
            (name, option) for name in PROGRAMS for option in ("--help", "--version")
        ]
        for (name, option), (code, output) in zip(calls, run_all(calls), strict=True):
            with self.subTest(program=name, option=option):
                self.assertEqual(code, 0, output)
                if option == "--version":
                    self.assertEqual(output.strip(), __version__)
                    continue
                self.assertIn("Exit codes:", output)
                if name in DAEMONS:
                    self.assertIn("--settings", output)
                    self.assertIn("--check", output)

    def test_all_faults_of_a_settings_file_are_reported_together(self):
        """Guards against a check of settings that stops at its first finding."""
        faulty_path = self.write("wrong", json.dumps(FAULTY_SETTINGS))
        valid_path = self.write("right", "{}")
        calls = [
            (name, "--settings", path, *check)
            for name in DAEMONS
            for path in (faulty_path, valid_path)
            for check in (("--check",), ())
            if check or path == faulty_path
        ]
        for call, (code, output) in zip(calls, run_all(calls), strict=True):
            with self.subTest(call=call):
                self.assertNotIn("Traceback", output)
                self.assertEqual(
                    code, USAGE_ERROR if faulty_path in call else 0, output
                )
                for place in FINDING_PLACES if faulty_path in call else ():
                    self.assertIn(f"{place}:", output)

    def test_usage_errors(self):
        """Guards against a traceback for a wrong command line."""
        paths = {name: self.write(name, text) for name, text in FILES.items()}
        calls = [
            (
                name,
                *(paths.get(argument.strip("{}"), argument) for argument in arguments),
            )
            for name, arguments, _ in WRONG_USAGE
        ]
        for case, (code, output) in zip(WRONG_USAGE, run_all(calls), strict=True):
            with self.subTest(program=case[0], arguments=case[1]):
                self.assertNotIn("Traceback", output)
                self.assertEqual(code, USAGE_ERROR, output)
                self.assertIn(case[2], output)
