"""Callers' own requests: tries, hedges and the time that is left for them."""

import asyncio

from sassafrasdoor.backends.interface import Answer, Broken
from sassafrasdoor.backends.replicas import DirectCall, WrongReplica
from sassafrasdoor.clock import passed, remaining
from sassafrasdoor.decisions import note, note_routine
from sassafrasdoor.metrics import counter
from sassafrasdoor.outcomes import NotRun, Unknown
from sassafrasdoor.routing.replicas import SUSPECT_FOR
from sassafrasdoor.table.routes import Repeat

HEDGE_SHARE = 0.55
"""Part of the target latency after which a repeatable request is sent once more: a
second try of usual length (a fifth of the target) still ends within the target."""
RETRY_AFTER = 0.1
"""Seconds a refused caller should wait: about two usual calls end in that time."""
NO_REPLICA_RETRY_AFTER = 0.4
"""Seconds to wait where no replica is known; the list is read more often than that."""
MOST_REFUSALS = 4
"""Replicas asked in a row that say they are full, before the caller is refused."""
SERVER_ERROR = 500
NOT_RUN_STATUSES = {408, 421, 429, 503}
"""Statuses that callers take for the promise that a request has not run."""

OUTCOMES = counter("direct_requests_total", "Callers' requests, by outcome.")
TRIES = counter("direct_tries_total", "Sends to replicas, by why.")


class DirectRequest:
    """A caller's request: what came in, its route and its deadline (monotonic)."""

    __slots__ = (
        "body",
        "deadline",
        "headers",
        "method",
        "path",
        "request_id",
        "route",
        "version",
    )

    def __init__(self, **fields):
        for name in self.__slots__:
            setattr(self, name, fields[name])


class _Attempts:
    """What has become of one request so far."""

    __slots__ = (
        "may_have_run",
        "refusals",
        "request",
        "running",
        "sent",
        "service",
        "tried",
    )

    def __init__(self, request):
        self.request = request
        self.service = request.route.pick_service()
        self.sent = 0
        self.refusals = 0
        self.tried = set()
        self.running = {}
        self.may_have_run = False

    @property
    def may_send(self):
        if self.sent >= self.request.route.attempts:
            return False
        if self.refusals >= MOST_REFUSALS or passed(self.request.deadline):
            return False
        repeatable = self.request.route.repeat is Repeat.SAFE
        return repeatable or not (self.may_have_run or self.running)


class DirectService:
    """Answers callers' requests from replicas."""

    __slots__ = ("_client", "_replicas")

    def __init__(self, client, replicas):
        self._client = client
        self._replicas = replicas

    async def answer(self, request):
        """Return the replica's ``Answer``, ``NotRun`` or ``Unknown``."""
        attempts = _Attempts(request)
        try:
            async with asyncio.timeout_at(request.deadline):
                result = await self._run(attempts)
        except TimeoutError:
            result = self._out_of_time(attempts)
        finally:
            for task in attempts.running:
                task.cancel()
        OUTCOMES.inc({"outcome": type(result).__name__})
        if isinstance(result, Answer):
            self._log_answer(attempts, result)
        return result

    async def _run(self, attempts):
        last = self._send(attempts, "first")
        while attempts.running:
            done, _ = await asyncio.wait(
                attempts.running,
                timeout=self._hedge_after(attempts),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done and not self._send(attempts, "slow"):
                attempts.sent = attempts.request.route.attempts
            for task in done:
                replica = attempts.running.pop(task)
                last = self._judge(attempts, replica, task.result())
                if isinstance(last, Answer) and last.status < SERVER_ERROR:
                    return self._final(attempts, last)
            if done:
                self._send(attempts, "failed")
        return self._final(attempts, last)

    def _hedge_after(self, attempts):
        if not attempts.may_send or attempts.request.route.repeat is not Repeat.SAFE:
            return None
        return attempts.request.route.target * HEDGE_SHARE

    def _send(self, attempts, why):
        """Send to one more replica; return whether it was sent."""
        if not attempts.may_send:
            return False
        replica = self._replicas.choose(attempts.service, attempts.tried)
        if replica is None:
            return False
        request = attempts.request
        call = DirectCall(
            request.method,
            request.path,
            request.headers,
            request.body,
            request.request_id,
            request.deadline,
            fresh=request.route.repeat is not Repeat.SAFE,
        )
        attempts.tried.add(replica.identity)
        attempts.sent += 1
        TRIES.inc({"why": why})
        task = asyncio.ensure_future(self._call(replica, call))
        attempts.running[task] = replica
        return True

    async def _call(self, replica, call):
        replica.state.started()
        try:
            return await self._client.call(replica, call)
        finally:
            replica.state.finished()

    def _judge(self, attempts, replica, result):
        """Take what became of one send into account; return it."""
        if isinstance(result, Answer):
            attempts.may_have_run = True
            if result.status < SERVER_ERROR:
                replica.state.answered()
                return result
            reason = f"status {result.status}"
            replica.state.failed(SUSPECT_FOR)
        elif isinstance(result, NotRun):
            reason = result.reason
            attempts.sent -= 1
            attempts.refusals += 1
            if isinstance(result, WrongReplica):
                replica.state.failed(SUSPECT_FOR)
        else:
            reason = result.reason
            replica.state.failed(SUSPECT_FOR)
            if result.began:
                attempts.may_have_run = True
            else:
                attempts.sent -= 1
                attempts.refusals += 1
        note(
            "request.try_failed",
            request=attempts.request.request_id,
            replica=replica.identity,
            tries=attempts.sent,
            routes_version=attempts.request.version,
            reason=reason,
        )
        return result

    def _final(self, attempts, last):
        if isinstance(last, Answer):
            repeatable = attempts.request.route.repeat is Repeat.SAFE
            if repeatable or last.status not in NOT_RUN_STATUSES:
                return last
            # A replica may run a request and answer with a status that callers take
            # for "not run". Passed on, they would send it again, and it runs twice.
            reason = f"replica answered {last.status} and may have run it"
            return self._log(attempts, Unknown(reason))
        if attempts.may_have_run:
            reason = last.reason if isinstance(last, Broken) else "no answer"
            return self._log(attempts, Unknown(reason))
        if not attempts.tried:
            refused = NotRun("no replica known", NO_REPLICA_RETRY_AFTER)
        else:
            refused = NotRun("every replica asked was full or away", RETRY_AFTER)
        return self._log(attempts, refused)

    def _out_of_time(self, attempts):
        if attempts.may_have_run or attempts.running:
            return self._log(attempts, Unknown("out of time"))
        return self._log(attempts, NotRun("out of time", RETRY_AFTER))

    def _log_answer(self, attempts, answer):
        note_routine(
            "request.answered",
            request=attempts.request.request_id,
            service=attempts.service,
            replicas=sorted(attempts.tried),
            routes_version=attempts.request.version,
            status=answer.status,
            seconds_left=round(remaining(attempts.request.deadline), 3),
        )

    def _log(self, attempts, result):
        note(
            "request.given_up",
            request=attempts.request.request_id,
            service=attempts.service,
            replicas=sorted(attempts.tried),
            routes_version=attempts.request.version,
            outcome=type(result).__name__,
            reason=result.reason,
        )
        return result
