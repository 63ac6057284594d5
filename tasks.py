"""Development tasks, run by ``invoke`` (``make`` calls them)."""

import pathlib
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

from invoke import Exit, task

ROOT = pathlib.Path(__file__).resolve().parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
WORKERS = 5
ALONE = re.compile("crowd")  # modules that run one at a time, apart from the others
MODULE_TIMEOUT = 420
COUNT = re.compile(r"^Ran (\d+) tests?", re.MULTILINE)
FAILED = re.compile(r"^(?:FAIL|ERROR): .*?\(([\w.]+)\)", re.MULTILINE)


class ModuleRun:
    """What one test module's own process came to."""

    __slots__ = ("code", "failed", "module", "output", "ran")

    def __init__(self, module, code, output):
        self.module = module
        self.code = code
        self.output = output
        self.ran = sum(int(count) for count in COUNT.findall(output))
        self.failed = sorted(set(FAILED.findall(output)))

    def unexpected(self, known_red):
        """Return the failures that are not listed; a crash is one by itself."""
        if self.code and not self.failed:
            return [self.module]
        return [one for one in self.failed if one not in known_red]


def test_modules():
    """Return all test modules, those with real processes first: they run longest."""
    paths = sorted((ROOT / "sassafrasdoor").rglob("test_*.py"))
    names = [".".join(path.relative_to(ROOT).with_suffix("").parts) for path in paths]
    slow = re.compile("process|whole_path|drain|frozen|rolling")
    return sorted(names, key=lambda name: not slow.search(name))


def run_module(module):
    """Run one module in a process of its own; a hang is a failure with its output."""
    command = [sys.executable, "-m", "unittest", "-v", module]
    try:
        done = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=MODULE_TIMEOUT
        )
    except subprocess.TimeoutExpired as error:
        output = (error.stderr or b"").decode("utf-8", "replace")
        return ModuleRun(module, 1, f"{output}\ntimed out after {MODULE_TIMEOUT} s")
    return ModuleRun(module, done.returncode, done.stdout + done.stderr)


def known_red():
    """Return the tests listed in KNOWN-RED.txt, a line each: test, cause, issue."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text("utf-8").splitlines()
    return [line.split()[0].rstrip(",") for line in lines if line.strip()]


@task
def test(context, only=""):
    """Run the whole suite, modules side by side, or one test by name."""
    if only:
        context.run(f"{sys.executable} -m unittest -v {only}")
        return
    red = known_red()
    modules = test_modules()
    beside = [name for name in modules if not ALONE.search(name)]
    with ThreadPoolExecutor(WORKERS) as pool:
        runs = list(pool.map(run_module, beside))
    runs += [run_module(name) for name in modules if ALONE.search(name)]
    unexpected = [one for run in runs for one in run.unexpected(red)]
    for run in runs:
        if run.unexpected(red):
            print(f"==== {run.module}\n{run.output}")
    for one in red:
        print(f"known red: {one}")
    failed = sum(max(len(run.failed), bool(run.code)) for run in runs)
    print(f"{sum(run.ran for run in runs) - failed} passed, {failed} failed")
    if unexpected:
        raise Exit("failed: " + ", ".join(unexpected), code=1)


@task
def lint(context):
    """Check style and format without changing a file."""
    context.run(f"{sys.executable} -m ruff check .")
    context.run(f"{sys.executable} -m ruff format --check .")


@task(name="format")
def reformat(context):
    """Bring every file into the project's format."""
    context.run(f"{sys.executable} -m ruff check --fix .")
    context.run(f"{sys.executable} -m ruff format .")
