"""Keeps what the processes of a failed test wrote, below ``out/failed``.

A failure of real processes may not come again; what each of them did is known from its
lines only.
"""

import asyncio
import itertools
import os

from sassafrasdoor.clock import now
from sassafrasdoor.support import ROOT

FAILED_FOLDER = ROOT / "out" / "failed"
TICK_INTERVAL = 0.05  # seconds
MIN_PAUSE = 0.2  # seconds between two ticks from which on a pause is recorded


class TestClock:
    """Records when the test's own process did not run.

    ``pauses`` has ``(end, seconds)`` of each, ``end`` as ``steady`` of the log lines.
    """

    __test__ = False

    __slots__ = ("_last_tick", "_task", "pauses")

    def __init__(self):
        self.pauses = []
        self._last_tick = now()
        self._task = asyncio.ensure_future(self._tick())

    async def _tick(self):
        while True:
            await asyncio.sleep(TICK_INTERVAL)
            gap, self._last_tick = now() - self._last_tick, now()
            if gap >= MIN_PAUSE:
                self.pauses.append((round(self._last_tick, 3), round(gap, 3)))

    def stop(self):
        """Stop recording."""
        self._task.cancel()

    def report(self):
        """Return the pauses as text."""
        lines = [f"{end} paused for {seconds} s" for end, seconds in self.pauses]
        return "\n".join(lines or ["the test's process ran all the time"])


class KeepsFailures:
    """Mixin for test cases: ``failure_texts()`` is kept if the test has failed.

    ``keep_if_failed()`` is called as a clean-up, while the processes still exist.
    """

    def failure_texts(self):
        """Return texts by file name."""
        raise NotImplementedError

    def keep_if_failed(self):
        """Write the texts of a failed test."""
        # unittest has no public way to ask this within a clean-up.
        result = self._outcome.result
        if any(test is self for test, _ in result.failures + result.errors):
            folder = keep_failure(self.id().rpartition(".")[2], self.failure_texts())
            print(f"lines of all processes: {folder}")


def keep_failure(name, texts):
    """Write texts by file name into a new folder for a failed test; return its path."""
    for number in itertools.count():
        folder = FAILED_FOLDER / f"{name}-{int(now())}-{os.getpid()}-{number}"
        try:
            folder.mkdir(parents=True)
            break
        except FileExistsError:
            continue
    for file_name, text in texts.items():
        (folder / file_name).write_text(text, "utf-8")
    return folder
