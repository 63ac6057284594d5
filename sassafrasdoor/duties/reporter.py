"""Writes what this instance counted, and reports the windows while it holds the lease."""

import asyncio
import time
from abc import ABC, abstractmethod

from sassafrasdoor.clock import LONG_AGO, deadline_in, now, passed, remaining
from sassafrasdoor.decisions import note
from sassafrasdoor.duties.usage import (
    APPEND_TIMEOUT,
    FLUSH_INTERVAL,
    RETRY_DELAY,
    UsageCounter,
    UsageLedger,
    began_record,
    closed_record,
    fixed_record,
    gather_time,
    last_closed,
    may_fix,
    sent_record,
)
from sassafrasdoor.duties.watermarks import ENDED
from sassafrasdoor.log.tail import Tail
from sassafrasdoor.metrics import counter
from sassafrasdoor.outcomes import Outcome
from sassafrasdoor.pauses import sleep_and_settle

TOPIC = "usage"
READ_INTERVAL = 0.25  # seconds; one read returns the increments of several instances
CHECK_INTERVAL = 0.25  # seconds between checks for windows to report
CONFIRM_TIMEOUT = 1.0  # seconds
CALL_TIMEOUT = 1.5  # seconds for the platform to answer a report
# Seconds for which a former holder continues to read the topic. In an outage of the log
# the lease lapses; whoever reads on knows at its end when the log answered again.
FOLLOW_TIME = 30.0

REPORTS = counter("usage_reports_total", "Calls with a usage report, by result.")
MISSED = counter(
    "usage_increments_missed_total",
    "Increments that came after their counts were fixed.",
)
COUNTED = counter("usage_requests_total", "Requests that began to run, by account.")


class Fenced(Outcome):
    """Another holder with a higher fencing number has called."""

    __slots__ = ()


class DutyClient(ABC):
    """The platform's end of the duties."""

    @abstractmethod
    async def report_usage(self, holder, fence, window, counts, deadline):
        """Return True if accepted, ``Fenced`` or ``Unavailable``."""

    @abstractmethod
    async def order_replicas(self, holder, fence, service, place, count, deadline):
        """Return True if accepted, else ``Unavailable``.

        ``place`` is an availability zone and whether the replicas are interruptible.
        """


class UsageReporter:
    """Counts requests on every instance; reports all counts on one.

    ``turn`` is the ``Turn`` of the duty. ``settings`` has ``usage_window`` and ``usage_due`` in seconds.
    ``process`` names this process, which is new after each start. ``longest_request()``
    returns the longest seconds that a counted request may take.
    """

    __slots__ = (
        "_acting_since",
        "_awaited",
        "_client",
        "_closed",
        "_counter",
        "_first_window",
        "_floor",
        "_follow_deadline",
        "_gathered",
        "_in_progress",
        "_ledger",
        "_log",
        "_longest_request",
        "_number",
        "_pending",
        "_process",
        "_settings",
        "_skipped",
        "_turn",
        "tail",
    )

    def __init__(self, log, client, turn, settings, process, longest_request):
        self._longest_request = longest_request
        self._log = log
        self._client = client
        self._turn = turn
        self._settings = settings
        self._process = process
        self._number = 0
        self._counter = UsageCounter(settings.usage_window)
        self._ledger = UsageLedger(settings.usage_window)
        self._first_window = self._current_window
        self._floor = self._skipped = 0
        self._pending = []
        self._in_progress = {}
        self._closed = -1
        self._awaited = set()
        self._acting_since = None
        self._follow_deadline = LONG_AGO
        self._gathered = set()
        self.tail = Tail(log, TOPIC, 0, self._fold, self._pause, asyncio.Event())

    @property
    def _current_window(self):
        return int(time.time() // self._settings.usage_window)

    def open(self, request):
        """Keep the current window open until ``close()`` is called with the request."""
        self._in_progress[request] = now()

    def close(self, request):
        """End a request, which was counted if a replica has begun to run it."""
        self._in_progress.pop(request, None)

    def record(self, account, sent_at):
        """Count a request that was sent to a replica at a monotonic time, and began."""
        if account:
            COUNTED.inc({"account": account})
            self._counter.record(account, time.time() - (now() - sent_at))

    def _pause(self):
        return READ_INTERVAL

    def _fold(self, offset, data):
        missed = self._ledger.missed.total()
        problem = self._ledger.fold(data)
        if problem is not None:
            note("usage.record_unreadable", offset=offset, reason=problem.reason)
        if self._ledger.missed.total() > missed:
            MISSED.inc({})
            note(
                "usage.counted_late",
                offset=offset,
                missed={str(key): count for key, count in self._ledger.missed.items()},
            )

    async def flush(self):
        """Append what was counted, again and again, until cancelled."""
        while True:
            # What was counted during an outage follows at once.
            while await self._flush_counted():
                pass
            # Answers that arrived during a pause are of requests still in progress.
            await sleep_and_settle(FLUSH_INTERVAL)

    async def _flush_counted(self):
        """Append what was counted since the last time; return whether it was held up.

        Attempts overlap: one that began before the end of an outage is never answered,
        and must not delay the next one. A record that lands twice counts once.
        """
        self._take_counted()
        is_held_up, attempts = False, set()
        try:
            while self._pending:
                attempt = self._append_pending(deadline_in(APPEND_TIMEOUT))
                attempts.add(asyncio.ensure_future(attempt))
                retry_at = deadline_in(RETRY_DELAY)
                while attempts and self._pending and not passed(retry_at):
                    done, attempts = await asyncio.wait(
                        attempts,
                        timeout=remaining(retry_at),
                        return_when=asyncio.FIRST_COMPLETED,
                    )
                    for finished in done:
                        self._note_attempt(finished.result(), is_held_up)
                        is_held_up |= isinstance(finished.result(), Outcome)
                if self._pending:
                    is_held_up = True
                    await asyncio.sleep(remaining(retry_at))
        finally:
            for attempt in attempts:
                attempt.cancel()
        return is_held_up

    def _note_attempt(self, result, is_held_up):
        """Log the first failure and the success after it."""
        if isinstance(result, Outcome) and not is_held_up:
            note("usage.not_kept", reason=result.reason)
        elif is_held_up and not isinstance(result, Outcome):
            note("usage.kept", offset=result.first)

    def _take_counted(self):
        counts = self._counter.take()
        if counts:
            self._number += 1
            self._pending.append(began_record(self._process, self._number, counts))
        closed = last_closed(
            self._settings.usage_window,
            self._settings.usage_due,
            time.time(),
            time.time() - now() + min(self._in_progress.values(), default=now()),
        )
        if closed > self._closed:
            self._closed = closed
            self._pending.append(closed_record(self._process, closed))

    async def _append_pending(self, deadline):
        """Append the records not acknowledged yet; return the result."""
        records = list(self._pending)
        result = await self._log.append(TOPIC, 0, records, deadline)
        if not isinstance(result, Outcome):
            self._pending = [one for one in self._pending if one not in records]
        return result

    async def flush_once(self, deadline):
        """Append what was counted and not acknowledged, before the process ends."""
        self._take_counted()
        if self._pending:
            await self._append_pending(deadline)

    async def end(self, deadline):
        """Append what was counted, and that this process counts no more."""
        self._take_counted()
        self._pending.append(closed_record(self._process, ENDED))
        await self._append_pending(deadline)

    async def run(self):
        """Report due windows while this process holds the lease, until cancelled."""
        while True:
            if self._may_act():
                await self._report_due_windows()
            await asyncio.sleep(CHECK_INTERVAL)

    def _may_act(self):
        if self._turn.is_held:
            self._follow_deadline = deadline_in(FOLLOW_TIME)
        elif passed(self._follow_deadline):
            self.tail.wanted.clear()
            self._acting_since = None
            self._gathered.clear()
            return False
        self.tail.wanted.set()
        if self._acting_since is None and self.tail.has_caught_up:
            self._acting_since = now()
        return bool(self._turn.fence) and self.tail.has_caught_up

    async def _report_due_windows(self):
        current = self._current_window
        self._ledger.discard(current)
        unsent = self._ledger.unsent(current, self._first_window)
        self._gathered.intersection_update(unsent)
        self._awaited.intersection_update(unsent)
        if self.tail.skipped != self._skipped:
            self._skipped, self._floor = self.tail.skipped, current
            note("usage.records_expired", skipped=self._skipped, first_window=current)
        for window in self._ledger.unsent(current, self._first_window, self._floor):
            if not self._may_act():
                return
            if self._ledger.fixed(window) is None and await self._is_gathered(window):
                await self._fix(window)
            counts = self._ledger.fixed(window)
            if counts is not None:
                await self._send(window, counts)

    async def _is_gathered(self, window):
        """Return whether the increments of a window were read; remembers that they were.

        A window whose counts could not be fixed before an outage does not wait for what
        the other instances held up in it.
        """
        if window in self._gathered:
            return True
        seconds = gather_time(self._settings.usage_due, self._longest_request())
        if self._seconds_after_end(window) < seconds:
            return False
        if not self._may_fix(window, seconds) and self.tail.failing_since is None:
            # The long poll in progress may end only a second later.
            await self.tail.confirm(deadline_in(CONFIRM_TIMEOUT))
        if self._may_fix(window, seconds) and not self._awaits_processes(window):
            self._gathered.add(window)
        return window in self._gathered

    def _awaits_processes(self, window):
        """Return whether some process may hold counts of a window."""
        awaited = self._ledger.watermarks.awaited(window, time.time())
        if awaited and window not in self._awaited:
            note("usage.awaited", window=window, processes=awaited)
            self._awaited.add(window)
        return bool(awaited)

    def _may_fix(self, window, seconds):
        offset = time.time() - now()
        return self.tail.has_caught_up and may_fix(
            window,
            self._settings.usage_window,
            seconds,
            time.time(),
            self.tail.confirmed_at + offset,
            self._restored_at + offset,
        )

    @property
    def _restored_at(self):
        """Monotonic time since which the log answers, as far as this holder knows.

        A new holder did not see outages of before: for it the log answers since it was
        read to its end.
        """
        return max(self.tail.restored_at or LONG_AGO, self._acting_since)

    async def _fix(self, window):
        """Fix the counts of a window in the log, and read which ones were fixed first."""
        counts = self._ledger.began(window)
        record = fixed_record(window, counts)
        deadline = deadline_in(APPEND_TIMEOUT)
        result = await self._log.append(TOPIC, 0, [record], deadline)
        if isinstance(result, Outcome):
            note("usage.not_fixed", window=window, reason=result.reason)
            return
        note(
            "usage.fixed",
            window=window,
            offset=result.first,
            accounts=len(counts),
            requests=sum(counts.values()),
            seconds_after_end=round(self._seconds_after_end(window), 3),
            restored_seconds=round(now() - self._restored_at, 3),
        )
        await self.tail.confirm(deadline_in(CONFIRM_TIMEOUT))

    def _seconds_after_end(self, window):
        return time.time() - (window + 1) * self._settings.usage_window

    async def _send(self, window, counts):
        fence = self._turn.fence
        if not fence:
            return
        deadline = deadline_in(CALL_TIMEOUT)
        result = await self._client.report_usage(
            self._turn.identity, fence, window, counts, deadline
        )
        label = "accepted" if result is True else type(result).__name__
        REPORTS.inc({"result": label})
        note(
            "usage.reported",
            window=window,
            fence=fence,
            accounts=len(counts),
            requests=sum(counts.values()),
            result=label,
            reason="" if result is True else result.reason,
        )
        if isinstance(result, Fenced):
            self._turn.record_refusal(fence)
        elif result is True:
            deadline = deadline_in(APPEND_TIMEOUT)
            await self._log.append(TOPIC, 0, [sent_record(window)], deadline)
            self._ledger.fold(sent_record(window))
