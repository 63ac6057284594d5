"""Helpers for tests and the demo: real processes and waits for conditions."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time

from sassafrasdoor.clock import deadline_in, passed

ROOT = pathlib.Path(__file__).resolve().parent.parent
START_TIMEOUT = 30.0
STOP_TIMEOUT = 30.0
POLL_INTERVAL = 0.02


class Process:
    """A program of this package as a child process, with its ready line."""

    __slots__ = ("_lines", "_popen", "_reader", "program", "ready")

    def __init__(self, program, *arguments):
        self.program = program
        self._lines = []
        self._popen = subprocess.Popen(
            [sys.executable, "-m", f"sassafrasdoor.tools.{program}", *arguments],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        self.ready = None
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()

    @property
    def returncode(self):
        """The exit code, or None while it runs."""
        return self._popen.poll()

    @property
    def pid(self):
        """The process id."""
        return self._popen.pid

    @property
    def output(self):
        """The lines printed so far."""
        return list(self._lines)

    def _read(self):
        for line in self._popen.stdout:
            self._lines.append(line.rstrip("\n"))
            if self.ready is None and line.startswith("{"):
                with contextlib.suppress(ValueError):
                    document = json.loads(line)
                    if document.get("ready"):
                        self.ready = document

    def wait_ready(self):
        """Wait for the ready line and return it."""
        deadline = deadline_in(START_TIMEOUT)
        while self.ready is None:
            if self.returncode is not None or passed(deadline):
                raise AssertionError(
                    f"{self.program} did not start:\n" + "\n".join(self._lines[-40:])
                )
            time.sleep(POLL_INTERVAL)
        return self.ready

    def signal(self, signum):
        """Send a signal; does nothing if the process has ended."""
        with contextlib.suppress(ProcessLookupError):
            self._popen.send_signal(signum)

    def kill(self):
        """Kill the process with SIGKILL."""
        self.signal(signal.SIGKILL)
        self._popen.wait(STOP_TIMEOUT)

    def freeze(self):
        """Suspend the process until ``thaw()``."""
        self.signal(signal.SIGSTOP)

    def thaw(self):
        """Resume the process."""
        self.signal(signal.SIGCONT)

    def stop(self, timeout=STOP_TIMEOUT):
        """Request a planned stop (SIGTERM) and return the exit code."""
        self.thaw()
        self.signal(signal.SIGTERM)
        return self.wait(timeout)

    def wait(self, timeout):
        """Wait for the process to exit and return the exit code."""
        return self._popen.wait(timeout)

    def close(self):
        """Kill the process if it still runs, and close its pipe."""
        if self.returncode is None:
            self.thaw()
            self.kill()
        self._reader.join(STOP_TIMEOUT)
        self._popen.stdout.close()


class Processes:
    """Starts programs and ends them all on exit; a context manager."""

    __slots__ = ("_folder", "all")

    def __init__(self):
        self.all = []
        self._folder = tempfile.TemporaryDirectory(prefix="sassafrasdoor-")

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        for process in self.all:
            process.close()
        self._folder.cleanup()

    def start(self, program, *arguments):
        """Start ``sassafrasdoor.tools.<program>`` and return at once."""
        process = Process(program, *[str(argument) for argument in arguments])
        self.all.append(process)
        return process

    def serve(self, program, *arguments):
        """Start a program and wait for its ready line."""
        process = self.start(program, *arguments)
        process.wait_ready()
        return process

    def write_json(self, name, document):
        """Write a JSON file to the temporary folder and return its path."""
        path = os.path.join(self._folder.name, name)
        with open(path, "w", encoding="utf-8") as file:
            json.dump(document, file)
        return path


async def until(condition, timeout=START_TIMEOUT, what="condition"):
    """Wait until ``condition()`` (plain or async) is truthy and return its value."""
    deadline = deadline_in(timeout)
    while True:
        value = condition()
        if asyncio.iscoroutine(value):
            value = await value
        if value:
            return value
        if passed(deadline):
            raise AssertionError(f"waited {timeout} s in vain for {what}")
        await asyncio.sleep(POLL_INTERVAL)
