"""Bounded queues before the leased quota, one for each row.

A call waits only if it is expected to be served before its deadline; else it is refused
at once.
"""

import asyncio
import random
import secrets
from collections import deque

from sassafrasdoor import metrics
from sassafrasdoor.admission.grants import Report, Usage
from sassafrasdoor.admission.quota import allowance
from sassafrasdoor.clock import now, passed, remaining
from sassafrasdoor.outcomes import NotRun

# Durations in seconds.
DEMAND_HALF_LIFE = 3.0  # of the peak demand, so that rows with few calls keep a slot
MIN_DEMAND = 0.25  # slots; below it a decayed peak counts as none
MIN_RETRY_AFTER = 0.5
MAX_RETRY_AFTER = 30.0
SERVICE_TIME_WEIGHT = 0.1  # of the last call in the mean service time
DISPATCH_INTERVAL = 0.05  # no event is raised when a grant lapses

ADMITTED = metrics.counter("sassafrasdoor_admitted_total", "Calls given a slot.")
REFUSED = metrics.counter("sassafrasdoor_refused_total", "Calls refused a slot.")


class Permit:
    """A slot in use; ``release`` is idempotent."""

    __slots__ = ("_queue", "_acquired_at")

    def __init__(self, queue):
        self._queue = queue
        self._acquired_at = now()

    def release(self):
        """Release the slot."""
        queue, self._queue = self._queue, None
        if queue is not None:
            queue.release_slot(now() - self._acquired_at)

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self.release()


class RowQueue:
    """The calls of one row, in progress and queued."""

    __slots__ = (
        "_mean_service_time",
        "_peak",
        "_peak_at",
        "_settings",
        "_view",
        "_waiting",
    )
    __slots__ += ("in_use", "row")

    def __init__(self, settings, row, view):
        self.row = row
        self.in_use = 0
        self._settings = settings
        self._view = view
        self._waiting = deque()
        self._mean_service_time = 0.0
        self._peak = 0.0
        self._peak_at = now()

    @property
    def waiting(self):
        """Number of queued calls."""
        return len(self._waiting)

    @property
    def is_idle(self):
        """Whether it has no calls and no demand."""
        return not self.in_use and not self._waiting and self.demand() == 0

    def allowed(self):
        """Return the number of slots that may be in use now."""
        return allowance(self._settings, self._view, self.row)

    def demand(self):
        """Return the demand in slots: the current one, or a decaying recent peak."""
        decayed = self._peak * 0.5 ** ((now() - self._peak_at) / DEMAND_HALF_LIFE)
        current = self.in_use + self.waiting
        if current >= decayed:
            self._peak, self._peak_at = current, now()
            return current
        return max(current, -int(-decayed // 1)) if decayed >= MIN_DEMAND else current

    def update_view(self, view, row):
        """Use a newer view and the row of its table."""
        self._view = view
        self.row = row
        self.dispatch()

    async def admit(self, deadline):
        """Return a ``Permit``, or ``NotRun``."""
        self.dispatch()
        if not self._waiting and self.in_use < self.allowed():
            return self._new_permit()
        refusal = self._refusal(deadline)
        if refusal is not None:
            return refusal
        future = asyncio.get_running_loop().create_future()
        self._waiting.append((future, deadline))
        self.demand()
        return await self._wait_for_slot(future, deadline)

    async def _wait_for_slot(self, future, deadline):
        try:
            async with asyncio.timeout(remaining(deadline)):
                return await future
        except TimeoutError:
            return self._result_or(future, self._refuse_expired())
        except asyncio.CancelledError:
            # The slot may have been granted just before the cancellation; no other
            # code would release it.
            permit = self._result_or(future, None)
            if permit:
                permit.release()
            raise

    def _result_or(self, future, default):
        if future.done() and not future.cancelled():
            return future.result()
        self._waiting = deque(call for call in self._waiting if call[0] is not future)
        return default

    def release_slot(self, held):
        """Free a slot after a call that took ``held`` seconds."""
        self.in_use -= 1
        self._mean_service_time += SERVICE_TIME_WEIGHT * (
            held - self._mean_service_time
        )
        self.dispatch()

    def dispatch(self):
        """Grant free slots in queue order to calls that can still meet their deadline.

        A call whose remaining time is below the mean service time is refused, so that
        under overload slots serve calls that end in time.
        """
        while self._waiting and self.in_use < self.allowed():
            future, deadline = self._waiting.popleft()
            if future.done():
                continue
            is_too_late = remaining(deadline) < self._mean_service_time
            future.set_result(
                self._refuse_expired() if is_too_late else self._new_permit()
            )

    def _refuse_expired(self):
        REFUSED.inc({"row": self.row.name, "reason": "no time left"})
        return NotRun("no slot in time", self.retry_after())

    def retry_after(self):
        """Return the seconds until a slot is expected to be free, with jitter."""
        base_delay = min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, self._expected_wait()))
        return base_delay * random.uniform(1.0, 1.5)

    def _new_permit(self):
        self.in_use += 1
        ADMITTED.inc({"row": self.row.name})
        return Permit(self)

    def _refusal(self, deadline):
        reasons = {
            "deadline passed": passed(deadline),
            "queue full": self.waiting >= self._settings.admission.queue_size,
            "queue too long for the deadline": self._expected_wait()
            + self._mean_service_time
            > remaining(deadline),
        }
        for reason, applies in reasons.items():
            if applies:
                REFUSED.inc({"row": self.row.name, "reason": reason})
                return NotRun(reason, self.retry_after())
        return None

    def _expected_wait(self):
        """Return the expected queueing time in seconds of a new call."""
        return self._mean_service_time * (self.waiting + 1) / max(1, self.allowed())


class Admission:
    """The queues of all rows of one entry process."""

    __slots__ = ("_life", "_queues", "_settings", "_view")

    def __init__(self, settings):
        self._life = secrets.token_hex(8)
        self._settings = settings
        self._queues = {}
        self._view = None

    async def admit(self, view, row, deadline):
        """Return a ``Permit`` for one call of ``row``, or ``NotRun``."""
        self.update_view(view)
        queue = self._queues.get(row.name)
        if queue is None:
            queue = RowQueue(self._settings, row, view)
            self._queues[row.name] = queue
        return await queue.admit(deadline)

    def update_view(self, view):
        """Use a newer view and its grants."""
        if view is self._view:
            return
        self._view = view
        for name, queue in list(self._queues.items()):
            row = view.row(name)
            if row is not None:
                queue.update_view(view, row)
            elif queue.is_idle:
                del self._queues[name]

    async def run(self, view_getter):
        """Dispatch queued calls as grants arrive and lapse, until cancelled."""
        while True:
            await asyncio.sleep(DISPATCH_INTERVAL)
            self.update_view(view_getter())
            for queue in self._queues.values():
                queue.dispatch()

    def demand(self):
        """Return ``{row: slots wanted}``."""
        wanted = {name: queue.demand() for name, queue in self._queues.items()}
        return {name: slots for name, slots in wanted.items() if slots}

    def in_use(self):
        """Return ``{row: slots in use}``."""
        used = {name: queue.in_use for name, queue in self._queues.items()}
        return {name: slots for name, slots in used.items() if slots}

    def allowed(self):
        """Return ``{row: slots}`` that may be used here now, of the rows in use."""
        return {name: queue.allowed() for name, queue in self._queues.items()}

    def status(self):
        """Return quota and queue of every row of the table, JSON-ready."""
        view = self._view
        if view is None or view.table is None:
            return {}
        return {
            row.name: _grant_status((view.grants or {}).get(row.name))
            | {"allowed": allowance(self._settings, view, row)}
            | _queue_status(self._queues.get(row.name))
            for row in view.table.rows
        }

    def report(self):
        """Return the ``Report`` of this instance for the holder of the quota."""
        grants = (self._view.grants if self._view else None) or {}
        wanted, in_use = self.demand(), self.in_use()
        rows = {
            name: Usage(
                wanted.get(name, 0),
                in_use.get(name, 0),
                grants[name].fallback if name in grants else 0,
            )
            for name in {*wanted, *in_use, *grants}
        }
        number = max((grant.number for grant in grants.values()), default=0)
        return Report(self._settings.instance.name, self._life, number, rows)


def _grant_status(grant):
    """Return a grant, JSON-ready: None if there is none, negative seconds if lapsed."""
    return {
        "granted": grant.slots if grant else None,
        "grant_number": grant.number if grant else 0,
        "fallback": grant.fallback if grant else None,
        "lapses_in_seconds": round(grant.deadline - now(), 3) if grant else None,
    }


def _queue_status(queue):
    return {
        "in_use": queue.in_use if queue else 0,
        "waiting": queue.waiting if queue else 0,
        "wanted": queue.demand() if queue else 0,
    }
