"""Calls to plain services, retried where that is safe."""

from functools import singledispatch

from sassafrasdoor import metrics
from sassafrasdoor.backends.interface import Answer, Broken, Call
from sassafrasdoor.clock import deadline_in, passed, remaining
from sassafrasdoor.outcomes import NotRun, Unknown
from sassafrasdoor.requests.messages import combine_outcomes

MAX_TRIES = 3
# Fraction of the remaining time that a try may use if another may follow, so that a
# hanging server leaves time for the next one.
TRY_SHARE = 0.6
RETRY_AFTER = 1.0

TRIES = metrics.counter("sassafrasdoor_tries_total", "Calls sent to a server.")
RETRIES = metrics.counter("sassafrasdoor_retries_total", "Calls sent once more.")


class CallRunner:
    """Runs calls on plain services."""

    __slots__ = (
        "_admission",
        "_budget",
        "_chooser",
        "_service",
        "_settings",
        "_view_getter",
    )

    def __init__(self, settings, view_getter, admission, chooser, service, budget):
        self._settings = settings
        self._view_getter = view_getter
        self._admission = admission
        self._chooser = chooser
        self._service = service
        self._budget = budget

    async def run(self, row, request):
        """Return ``Answer``, ``NotRun`` or ``Unknown``."""
        permit = await self._admission.admit(self._view_getter(), row, request.deadline)
        if not permit:
            return permit
        with permit:
            return await self._run_attempts(row, request)

    async def _run_attempts(self, row, request):
        self._budget.deposit()
        tried, last = [], None
        while True:
            backend = self._chooser.choose(
                self._view_getter(), row.service, exclude=tried
            )
            if not backend:
                return combine_outcomes(last, backend)
            # After a pause of this process, the caller may have given up and repeated
            # the request elsewhere, so a late send would run it unnoticed.
            if passed(request.deadline):
                return combine_outcomes(last, NotRun("deadline passed", RETRY_AFTER))
            last = combine_outcomes(last, await self._attempt(backend, request))
            tried.append(backend.name)
            if last or not self._may_retry(last, request, tried):
                return last

    async def _attempt(self, backend, request):
        outcome = None
        self._chooser.started(backend)
        TRIES.inc({})
        try:
            outcome = await self._service.call(backend, self._call(request))
        finally:
            self._chooser.finished(backend, outcome)
        return _outcome_of(outcome)

    def _call(self, request):
        return Call(
            request.method,
            request.path,
            headers=request.headers,
            body=request.body,
            request_id=request.request_id,
            repeatable=request.repeatable,
            deadline=self._try_deadline(request),
        )

    def _try_deadline(self, request):
        if not request.repeatable:
            return request.deadline
        share = TRY_SHARE * remaining(request.deadline)
        return deadline_in(min(share, self._settings.requests.first_byte_timeout))

    def _may_retry(self, last, request, tried):
        allowed = isinstance(last, NotRun) or request.repeatable
        if not allowed or len(tried) >= MAX_TRIES or passed(request.deadline):
            return False
        if not self._budget.try_withdraw():
            return False
        RETRIES.inc({})
        return True


@singledispatch
def _outcome_of(outcome):
    """Return the outcome of a try as ``Answer``, ``NotRun`` or ``Unknown``."""
    raise TypeError(f"unsupported outcome of a call: {outcome!r}")


@_outcome_of.register(Answer)
@_outcome_of.register(NotRun)
def _(outcome):
    return outcome


@_outcome_of.register
def _(outcome: Broken):
    if outcome.began:
        return Unknown(outcome.reason)
    return NotRun(outcome.reason, RETRY_AFTER)
