"""Outcomes of keyed requests, kept so that no key runs twice."""

import asyncio
from collections import OrderedDict

from sassafrasdoor import metrics
from sassafrasdoor.backends.interface import Answer
from sassafrasdoor.clock import deadline_in, passed, remaining
from sassafrasdoor.outcomes import NotRun, Unknown
from sassafrasdoor.requests.messages import Conflict

MAX_KEYS = 200_000
MAX_ANSWER_BYTES = 64_000_000
RETRY_AFTER = 1.0
# Seconds beyond the deadline, at which the run itself ends, to wait for its outcome.
OUTCOME_MARGIN = 0.2

REPEATED = metrics.counter(
    "sassafrasdoor_repeated_keys_total", "Requests whose key was here before."
)
DROPPED = metrics.counter(
    "sassafrasdoor_dropped_answers_total", "Kept answers dropped for want of room."
)


class Execution:
    """One keyed request: fingerprint, task, outcome and expiry."""

    __slots__ = ("expires_at", "fingerprint", "outcome", "task")

    def __init__(self, fingerprint, expires_at, task):
        self.fingerprint = fingerprint
        self.expires_at = expires_at
        self.task = task
        self.outcome = None


class Executions:
    """The keyed requests of this process, oldest first, bounded by expiry and size."""

    __slots__ = ("_bytes", "_executions", "_lifetime")

    def __init__(self, settings):
        self._lifetime = settings.requests.key_lifetime
        self._executions = OrderedDict()
        self._bytes = 0

    def __len__(self):
        return len(self._executions)

    def __contains__(self, scope):
        self._forget_expired()
        return scope in self._executions

    async def run_once(self, scope, request, run):
        """Return the outcome of the one run under ``scope`` (row name, key).

        ``run()`` is awaited in a separate task that continues when the caller
        disconnects, because the caller may repeat the request with the same key.
        """
        self._forget_expired()
        fingerprint = request.fingerprint()
        execution = self._executions.get(scope)
        if execution is None:
            if passed(request.deadline):
                return NotRun("deadline passed", RETRY_AFTER)
            if len(self._executions) >= MAX_KEYS:
                return NotRun("too many keys in use", RETRY_AFTER)
            execution = self._start(scope, fingerprint, run)
        else:
            REPEATED.inc({})
        if execution.fingerprint != fingerprint:
            return Conflict("the key was used before for another request")
        return await self._outcome(execution, request)

    def _start(self, scope, fingerprint, run):
        task = asyncio.ensure_future(self._run(scope, run))
        execution = Execution(fingerprint, deadline_in(self._lifetime), task)
        self._executions[scope] = execution
        return execution

    async def _run(self, scope, run):
        outcome = Unknown("the run ended without an outcome")
        try:
            outcome = await run()
        finally:
            self._record_outcome(scope, outcome)
        return outcome

    def _record_outcome(self, scope, outcome):
        execution = self._executions[scope]
        execution.outcome = outcome
        if isinstance(outcome, NotRun):
            # It did not run, so the same key may be tried again.
            del self._executions[scope]
        elif isinstance(outcome, Answer):
            self._bytes += len(outcome.body)
            self._make_room()

    async def _outcome(self, execution, request):
        if execution.outcome is not None:
            return execution.outcome
        try:
            async with asyncio.timeout(remaining(request.deadline) + OUTCOME_MARGIN):
                return await asyncio.shield(execution.task)
        except TimeoutError:
            return Unknown("it still runs")

    def _forget_expired(self):
        while self._executions:
            scope, oldest = next(iter(self._executions.items()))
            if not passed(oldest.expires_at) or oldest.outcome is None:
                return
            del self._executions[scope]
            self._drop_answer(oldest)

    def _make_room(self):
        for execution in self._executions.values():
            if self._bytes <= MAX_ANSWER_BYTES:
                return
            if isinstance(execution.outcome, Answer):
                DROPPED.inc({})
                self._drop_answer(execution)

    def _drop_answer(self, execution):
        if isinstance(execution.outcome, Answer):
            self._bytes -= len(execution.outcome.body)
            execution.outcome = Unknown("it ran; its answer is no longer kept")
