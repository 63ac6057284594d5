"""Tests of how counted requests reach the log."""

import asyncio
import unittest
from types import SimpleNamespace
from unittest import mock

from sassafrasdoor.clock import deadline_in, now
from sassafrasdoor.duties import reporter as module
from sassafrasdoor.duties.reporter import UsageReporter
from sassafrasdoor.duties.usage import UsageLedger
from sassafrasdoor.log.partitioned import Appended
from sassafrasdoor.outcomes import Unavailable

SETTINGS = SimpleNamespace(usage_window=3600.0, usage_due=10.0)


class FakeLog:
    """Refuses the first ``refusals`` appends, and keeps the records of the others.

    The first ``silent`` appends are never answered.
    """

    def __init__(self, refusals):
        self.refusals = refusals
        self.silent = 0
        self.calls = 0
        self.records = []

    async def append(self, topic, part, records, deadline):
        self.calls += 1
        if self.calls <= self.silent:
            await asyncio.get_running_loop().create_future()
        if self.calls <= self.refusals:
            return Unavailable("down")
        self.records += records
        return Appended(len(self.records) - len(records), len(self.records))

    @property
    def counted(self):
        """The requests of all windows that a reader of the log counts."""
        ledger = UsageLedger(SETTINGS.usage_window)
        for record in self.records:
            ledger.fold(record)
        return sum(sum(counts.values()) for counts in ledger._began.values())


class FlushTest(unittest.IsolatedAsyncioTestCase):
    def reporter(self, refusals):
        self.log = FakeLog(refusals)
        turn = SimpleNamespace(is_held=False)
        return UsageReporter(self.log, None, turn, SETTINGS, "p", lambda: 1.0)

    async def flush(self, reporter, until):
        """Run the periodic flush until ``until()``; return its task."""
        task = asyncio.ensure_future(reporter.flush())
        self.addCleanup(task.cancel)
        async with asyncio.timeout(10):
            while not until():  # noqa: ASYNC110
                await asyncio.sleep(0.005)
        return task

    async def test_last_increment_does_not_overtake_one_that_is_retried(self):
        """Guards against a planned stop in an outage that loses counted requests."""
        reporter = self.reporter(refusals=1)
        with mock.patch.object(module, "FLUSH_INTERVAL", 0.01):
            reporter.record("a", now())
            await self.flush(reporter, lambda: self.log.calls)
            reporter.record("a", now())
            await reporter.flush_once(deadline_in(1))
        self.assertEqual(self.log.counted, 2)

    async def test_attempt_without_an_answer_does_not_delay_the_next_one(self):
        """Guards against counts that arrive after their window was fixed.

        The log never answers an append that it received in an outage.
        """
        reporter = self.reporter(refusals=0)
        self.log.silent = 1
        with (
            mock.patch.object(module, "FLUSH_INTERVAL", 0.0),
            mock.patch.object(module, "RETRY_DELAY", 0.05),
            mock.patch.object(module, "APPEND_TIMEOUT", 3600.0),
        ):
            reporter.record("a", now())
            await self.flush(reporter, lambda: self.log.counted)
        self.assertEqual((self.log.counted, self.log.calls), (1, 2))

    async def test_what_was_counted_during_an_outage_follows_at_once(self):
        """Guards against a window that is fixed before its last increment is written."""
        reporter = self.reporter(refusals=1)
        with mock.patch.object(module, "RETRY_DELAY", 0.05):
            reporter.record("a", now())
            with mock.patch.object(module, "FLUSH_INTERVAL", 0.0):
                await self.flush(reporter, lambda: self.log.calls)
            reporter.record("a", now())
            async with asyncio.timeout(0.5 * module.FLUSH_INTERVAL):
                while self.log.counted < 2:  # noqa: ASYNC110
                    await asyncio.sleep(0.005)


if __name__ == "__main__":
    unittest.main()
