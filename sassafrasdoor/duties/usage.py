"""Counts the requests that began to run, by client account and window of time.

Decides what the usage report of each window says and when it is due. Load pattern: the
instances that counted and the one that reports are killed, cut off and replaced at any
moment, and calls to the platform are answered late, twice or never. So counts are
appended to the log in small increments, and the counts of a window are fixed there before
they are first sent: whoever sends them again sends the same.

Times are seconds since the epoch; window ``k`` begins at ``k`` times its length.
"""

import json
from collections import Counter

from sassafrasdoor.duties.watermarks import Watermarks
from sassafrasdoor.outcomes import Outcome

BEGAN, CLOSED, FIXED, SENT = "began", "closed", "fixed", "sent"
FLUSH_INTERVAL = 1.0  # seconds between increments; what is newer is lost with a process
APPEND_MARGIN = 0.5  # seconds for an increment to reach the holder through a slow log
APPEND_TIMEOUT = 1.0  # seconds for one attempt; a slow log answers within 0.25 s
RETRY_DELAY = 0.8  # seconds from the start of one attempt to that of the next
# Share of the time in which a report is due, counted from its window's end, by which the
# increments count as gathered.
MAX_GATHER_SHARE = 0.5
# Share of that time for which a request in progress holds its window open.
MAX_HOLD_SHARE = 0.6
# Seconds after an outage of the log in which instances append what they have counted: the
# next attempts begin, and succeed.
BACKLOG_TIME = RETRY_DELAY + APPEND_MARGIN
# Windows that ended longer ago than this number of windows, and this number of seconds,
# are not reported any more.
MAX_WINDOWS_BACK, MAX_REPORT_AGE = 12, 60.0
DECODE_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)


class Unreadable(Outcome):
    """A record that is none of this topic's."""

    __slots__ = ()


class UsageCounter:
    """Counts the requests of this process until they are written to the log."""

    __slots__ = ("_counts", "_length")

    def __init__(self, length):
        self._length = length
        self._counts = {}

    def record(self, account, began_at):
        """Count one request of an account."""
        window = int(began_at // self._length)
        self._counts.setdefault(window, Counter())[account] += 1

    def take(self):
        """Return the counts since the last call, by window, and start anew."""
        counts, self._counts = self._counts, {}
        return counts


def began_record(process, number, counts):
    """Return the record of an increment; ``number`` grows with each one of a process."""
    windows = {str(window): dict(by_name) for window, by_name in counts.items()}
    return _encode([BEGAN, process, number, windows])


def closed_record(process, window):
    """Return the record that a process counts no more in a window and those before it.

    Instances of earlier versions log it as unreadable, and use all other records.
    """
    return _encode([CLOSED, process, window])


def fixed_record(window, counts):
    """Return the record that fixes the counts of a window's report."""
    return _encode([FIXED, window, dict(counts)])


def sent_record(window):
    """Return the record that the platform has accepted a window's report."""
    return _encode([SENT, window])


def _encode(fields):
    return json.dumps(fields, separators=(",", ":")).encode()


class UsageLedger:
    """Folds the records of all instances; identical wherever they are folded.

    ``missed`` has the requests by window whose increments came after the window's counts
    were fixed: they are in no report. ``watermarks`` are the ``Watermarks`` of the
    processes.
    """

    __slots__ = (
        "_began",
        "_fixed",
        "_last_numbers",
        "_length",
        "_sent",
        "missed",
        "watermarks",
    )

    def __init__(self, length):
        self._length = length
        self._began = {}
        self._fixed = {}
        self._sent = set()
        self._last_numbers = {}
        self.missed = Counter()
        self.watermarks = Watermarks(length)

    @property
    def _max_windows_back(self):
        return max(MAX_WINDOWS_BACK, int(MAX_REPORT_AGE / self._length))

    def fold(self, data):
        """Fold one record; return ``Unreadable`` for bytes that are none."""
        try:
            kind, *fields = json.loads(data)
            _FOLDS[kind](self, *fields)
        except DECODE_ERRORS as error:
            return Unreadable(f"malformed record: {type(error).__name__}")
        return None

    def _fold_began(self, process, number, windows):
        # An append without a reply is repeated, and may still land.
        if number <= self._last_numbers.get(process, -1):
            return
        counts = {
            int(window): Counter({str(name): int(count) for name, count in row.items()})
            for window, row in windows.items()
        }
        self._last_numbers[process] = number
        for window, by_name in counts.items():
            self._began.setdefault(window, Counter()).update(by_name)
            if window in self._fixed:
                self.missed[window] += by_name.total()

    def _fold_closed(self, process, window):
        self.watermarks.record(str(process), int(window))

    def _fold_fixed(self, window, counts):
        counts = {str(name): int(count) for name, count in counts.items()}
        self._fixed.setdefault(int(window), counts)

    def _fold_sent(self, window):
        self._sent.add(int(window))

    def began(self, window):
        """Return the counts of a window so far."""
        return dict(self._began.get(window, ()))

    def fixed(self, window):
        """Return the counts that the window's report must have, None if not fixed."""
        return self._fixed.get(window)

    def unsent(self, current, first, floor=0):
        """Return the windows before ``current`` that are still to be reported.

        ``first`` is the first window to report if the log shows no earlier one. Records
        of windows below ``floor`` may have expired unread: what was reported of them is
        unknown unless their counts are known to be fixed.
        """
        known = [*self._began, *self._fixed]
        oldest = max(min([first, *known]), current - self._max_windows_back)
        return [
            window
            for window in range(oldest, current)
            if window not in self._sent and (window >= floor or window in self._fixed)
        ]

    def discard(self, current):
        """Forget windows that are not reported any more."""
        oldest = current - 2 * self._max_windows_back
        for windows in (self._began, self._fixed, self.missed):
            for window in [one for one in windows if one < oldest]:
                del windows[window]
        self._sent = {window for window in self._sent if window >= oldest}
        self.watermarks.discard_before(oldest)


_FOLDS = {
    BEGAN: UsageLedger._fold_began,
    CLOSED: UsageLedger._fold_closed,
    FIXED: UsageLedger._fold_fixed,
    SENT: UsageLedger._fold_sent,
}


def gather_time(due, longest_request):
    """Return the seconds after a window's end in which its increments arrive.

    A request is counted once it is answered, so the longest one counts; an early report
    is not missed if the log goes down before it is due.
    """
    return min(due * MAX_GATHER_SHARE, longest_request + FLUSH_INTERVAL + APPEND_MARGIN)


def last_closed(length, due, at, oldest_at):
    """Return the last window in which a process counts no more at a point in time.

    A request is counted once it is answered, in the window in which it began;
    ``oldest_at`` is when the oldest one in progress began. One that lasts so long that
    its window's report would be late is not waited for.
    """
    given_up_at = at - due * MAX_HOLD_SHARE
    return int(min(at, max(oldest_at, given_up_at)) // length) - 1


def may_fix(window, length, gather, at, read_at, restored_at):
    """Return whether the counts of a window may be fixed at a point in time.

    ``gather`` are the seconds after the window's end in which its increments arrive. The
    log was last read to its end at ``read_at``, and answers again, or is read again by
    this holder, since ``restored_at`` (None: it always was). After an outage the report
    may be late: fixed at once it would lack what the other instances still hold.
    """
    gathered_at = (window + 1) * length + gather
    is_backlog_read = restored_at is None or at >= restored_at + BACKLOG_TIME
    return min(at, read_at) >= gathered_at and is_backlog_read
