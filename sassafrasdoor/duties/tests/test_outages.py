"""Replays, in virtual time, of usage reports beside outages of the log."""

import asyncio
import contextlib
import unittest
from collections import Counter
from types import SimpleNamespace
from unittest import mock

from sassafrasdoor import clock
from sassafrasdoor.duties import reporter
from sassafrasdoor.duties.reporter import UsageReporter
from sassafrasdoor.duties.turn import Turn
from sassafrasdoor.log import tail
from sassafrasdoor.log.partitioned import PartitionedLog
from sassafrasdoor.log.sharing import ReadCoordinator
from sassafrasdoor.log.tail import KeyedTail, Tail
from sassafrasdoor.log.tests.virtual import MEGABYTE, BoundedLog, run
from sassafrasdoor.outcomes import ReplyLost
from sassafrasdoor.steps.durable import shards, state
from sassafrasdoor.steps.durable.shards import ShardLease, Shards
from sassafrasdoor.steps.durable.state import Steps

WINDOW, DUE = 5.0, 10.0  # seconds
LONGEST_REQUEST = 8.0  # seconds, by the routes; half of the due time is waited for
HANDOVER = 0.3  # seconds
INSTANCES = 3
CALL_INTERVAL = 0.25  # seconds
CALL_SECONDS = 0.5  # from the start of a call to its answer
WARM_UP = 20.0  # seconds; whole windows
OUTAGE_DISTANCE = 30.0  # seconds from one outage's end to the next one
LAST_SECONDS = 30.0
CHECK_SECONDS = 0.3  # from the time at which counts may be fixed to the attempt
# Seconds from the end of an outage to the reports of the windows that waited for it. The
# lease is renewed last: a read in progress times out after 1.5 s, the next one begins
# within 0.4 s, and the second claim after it, sent within 1.1 s, counts as a renewal.
MAX_DELAY = 3.2


class SilentAppends(PartitionedLog):
    """One instance's client: while the log is silent, appends are not answered either.

    Appends to the topic of usage are sent only while ``may_send`` is set.
    """

    __slots__ = ("_log", "_reader", "may_send")

    def __init__(self, log):
        self._log = log
        self._reader = log.reader()
        self.may_send = asyncio.Event()
        self.may_send.set()

    is_cut_off = False

    async def append(self, topic, part, records, deadline):
        if topic == reporter.TOPIC:
            await self.may_send.wait()
        if self._log.silent:
            await asyncio.sleep(clock.remaining(deadline))
            return ReplyLost("timeout")
        return await self._reader.append(topic, part, records, deadline)

    def read(self, *arguments):
        return self._reader.read(*arguments)

    def newest(self, topic):
        return self._reader.newest(topic)


class Platform:
    """Takes the reports; keeps when each window's was accepted first."""

    def __init__(self):
        self.accepted = {}

    async def report_usage(self, holder, fence, window, counts, deadline):
        former = self.accepted.setdefault(window, (clock.now(), counts))
        assert former[1] == counts, "two reports of one window differ"
        return True


class Instance:
    """The parts of an instance that claim the lease, count and report."""

    def __init__(self, log, number, platform):
        client = self.client = SilentAppends(log)
        coordinator = ReadCoordinator()
        listed = KeyedTail(
            client, "keyed.list", lambda *_: None, 0.35, read_coordinator=coordinator
        )
        steps = Steps()
        claims = Tail(
            client,
            "steps",
            0,
            lambda offset, data: steps.fold(0, offset, data),
            read_coordinator=coordinator,
        )
        processes = SimpleNamespace(is_listed=True, has_ended=lambda *_: False)
        leases = Shards(
            client,
            "steps",
            steps,
            [claims],
            f"i{number}/p",
            lambda shard: number,
            lambda shard: None,
            lambda shard: None,
            processes,
        )
        steps.mark_used(0)
        turn = Turn(ShardLease(leases, 0, f"i{number}"), lambda: HANDOVER)
        settings = SimpleNamespace(usage_window=WINDOW, usage_due=DUE)
        self.usage = UsageReporter(
            client, platform, turn, settings, f"p{number}", lambda: LONGEST_REQUEST
        )
        jobs = [listed.run(), claims.run(), leases.run(), self.usage.tail.run()]
        jobs += [self.usage.run(), self.usage.flush(), self._call()]
        self.tasks = [asyncio.ensure_future(job) for job in jobs]
        self.began = Counter()

    async def _call(self):
        while True:
            sent_at = clock.now()
            self.usage.open(sent_at)
            await asyncio.sleep(CALL_SECONDS)
            self.usage.record("a", sent_at)
            self.usage.close(sent_at)
            self.began[int(sent_at // WINDOW)] += 1
            await asyncio.sleep(CALL_INTERVAL - CALL_SECONDS % CALL_INTERVAL)


class Replay:
    """Outages of given lengths; the first begins ``phase`` seconds into a window.

    With ``pauses`` the log answers, and instead one instance that is no holder cannot
    write what it counted.

    ``late`` maps windows to the seconds after their due time at which their report was
    accepted, ``off`` to the difference between the report and the calls made.
    """

    def __init__(self, phase, lengths, pauses=False):
        self._pauses = pauses
        self._phase = phase
        self._lengths = lengths
        self.outages = []
        self.late = {}
        self.off = {}

    async def __call__(self, loop):
        times = SimpleNamespace(time=loop.time)
        with contextlib.ExitStack() as patches:
            for module, name in (
                (reporter, "now"),
                (shards, "now"),
                (shards, "boot_now"),
                (state, "now"),
                (tail, "boot_now"),
            ):
                patches.enter_context(mock.patch.object(module, name, loop.time))
            patches.enter_context(mock.patch.object(reporter, "time", times))
            await self._play()
        return self

    async def _play(self):
        log, platform = BoundedLog(40 * MEGABYTE), Platform()
        instances = [Instance(log, number, platform) for number in range(INSTANCES)]
        await asyncio.sleep(WARM_UP + self._phase)
        for length in self._lengths:
            self.outages.append((clock.now(), clock.now() + length))
            if self._pauses:
                instances[-1].client.may_send.clear()
            else:
                log.silent = True
            await asyncio.sleep(length)
            log.silent = False
            instances[-1].client.may_send.set()
            await asyncio.sleep(OUTAGE_DISTANCE)
        await asyncio.sleep(LAST_SECONDS)
        last = int((clock.now() - WINDOW - DUE) // WINDOW)
        for instance in instances:
            for task in instance.tasks:
                task.cancel()
        truth = sum((instance.began for instance in instances), Counter())
        first = int((WARM_UP - DUE) // WINDOW)
        for window in range(first, last):
            at, counts = platform.accepted.get(window, (float("inf"), {}))
            lateness = at - (window + 1) * WINDOW - DUE
            if lateness > 0:
                self.late[window] = round(lateness, 2)
            if counts.get("a") != truth[window]:
                self.off[window] = counts.get("a", 0) - truth[window]


class OutageTest(unittest.TestCase):
    def test_reports_are_late_only_if_their_counts_cannot_be_fixed_in_time(self):
        """Guards against reports missed seconds after an outage of the log has ended.

        The lease lapses in an outage. Its holder then stopped reading the increments,
        read them 4.5 s after the log answered again, and waited 2.3 s more; of the
        windows around an outage of 4 to 6 s more than one was reported too late.
        """
        for lengths in ((4.0,), (6.0,), (5.0, 4.0)):
            for phase in range(int(WINDOW)):
                with self.subTest(lengths=lengths, phase=phase):
                    replay = run(Replay(phase, lengths))
                    self.assertEqual(replay.off, {})
                    for window, lateness in replay.late.items():
                        self.check_late(replay, window, lateness)

    def check_late(self, replay, window, lateness):
        """Check that an outage had begun before the counts could be fixed."""
        gathered_at = (window + 1) * WINDOW + DUE / 2
        ends = [
            end
            for begin, end in replay.outages
            if begin <= gathered_at + CHECK_SECONDS and gathered_at <= end
        ]
        self.assertTrue(ends, (window, lateness))
        reported_at = (window + 1) * WINDOW + DUE + lateness
        self.assertLessEqual(reported_at, ends[0] + MAX_DELAY)

    def test_counts_wait_for_an_instance_that_is_paused(self):
        """Guards against counts that are fixed while a paused instance holds some."""
        for length in (2.0, 4.0, WINDOW, 7.0):
            for phase in range(int(WINDOW)):
                with self.subTest(length=length, phase=phase):
                    replay = run(Replay(phase, (length,), pauses=True))
                    self.assertEqual(replay.off, {})
                    # Longer ones may last until a report is due.
                    if length <= WINDOW:
                        self.assertEqual(replay.late, {})

    def test_no_report_is_late_without_an_outage(self):
        replay = run(Replay(0.0, ()))
        self.assertEqual((replay.late, replay.off), ({}, {}))


if __name__ == "__main__":
    unittest.main()
