"""Requests of callers that get a complete answer: retries, hedges and deadlines."""

import asyncio

from sassafrasdoor.backends.interface import Answer
from sassafrasdoor.metrics import counter
from sassafrasdoor.requests.attempts import (
    SERVER_ERROR,
    Attempts,
    denial,
    open_usage,
    record_usage,
)
from sassafrasdoor.requests.crash_watch import CrashWatch
from sassafrasdoor.table.routes import Repeat
from sassafrasdoor.timeouts import SettlingTimeout

# Fraction of the target latency after which a repeatable request is sent once more. A
# second send of typical duration (a fifth of the target) still ends within the target.
HEDGE_FRACTION = 0.55

OUTCOMES = counter("direct_requests_total", "Callers' requests, by outcome.")


class DirectService:
    """Sends requests of callers to replicas and returns the answers."""

    __slots__ = (
        "_access",
        "_admission",
        "_client",
        "_crash_watch",
        "_replicas",
        "_usage",
    )

    def __init__(
        self,
        client,
        replicas,
        crash_watch=None,
        access=None,
        usage=None,
        admission=None,
    ):
        self._admission = admission
        self._access = access
        self._usage = usage
        self._client = client
        self._replicas = replicas
        self._crash_watch = crash_watch or CrashWatch(client, replicas)

    async def answer(self, request):
        """Return the replica's ``Answer``, ``NotRun`` or ``Unknown``."""
        return await self.run_attempts(Attempts(request))

    async def run_attempts(self, attempts):
        """Send until there is a final outcome; return it as ``answer`` does."""
        open_usage(self._usage, attempts)
        try:
            async with SettlingTimeout(attempts.request.deadline):
                result = await self._run(attempts)
        except TimeoutError:
            result = attempts.timeout_outcome()
        finally:
            for task, replica in attempts.running.items():
                task.cancel()
                attempts.record_begin(replica)
            if attempts.ticket is not None:
                self._admission.close(attempts.ticket)
            record_usage(self._usage, attempts)
        OUTCOMES.inc({"outcome": type(result).__name__})
        if isinstance(result, Answer):
            attempts.log_answer(result.status)
        return result

    async def _run(self, attempts):
        """Send until there is a final outcome; suspects run one at a time and once."""
        if not self._crash_watch.is_suspect(attempts.request):
            return await self._send_until_answered(attempts)
        async with self._crash_watch.suspect_lock(attempts.service):
            attempts.at_most_once = True
            return await self._send_until_answered(attempts)

    async def _send_until_answered(self, attempts):
        refusal = self._crash_watch.refusal(attempts.request)
        if refusal is None:
            refusal = denial(self._access, attempts.request)
        if refusal is None and self._admission is not None:
            refusal = await self._admission.admit(attempts)
        if refusal is not None:
            return attempts.give_up(refusal)
        last = self._send(attempts, "first")
        while attempts.running:
            done, _ = await asyncio.wait(
                attempts.running,
                timeout=self._hedge_delay(attempts),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done and not self._send(attempts, "slow"):
                attempts.may_hedge = False
                if attempts.ticket is None:
                    attempts.sent = attempts.request.route.attempts
            for task in done:
                replica = attempts.running.pop(task)
                last = attempts.record_outcome(replica, task.result())
                self._crash_watch.record_result(attempts.request, replica, last)
                if isinstance(last, Answer) and last.status < SERVER_ERROR:
                    return attempts.final_outcome(last)
            if done:
                self._send(attempts, "failed")
        return attempts.final_outcome(last)

    def _hedge_delay(self, attempts):
        if not attempts.may_send or attempts.request.route.repeat is not Repeat.SAFE:
            return None
        if not attempts.may_hedge:
            return None
        return attempts.request.route.target * HEDGE_FRACTION

    def _send(self, attempts, why):
        """Send to one more replica if allowed; return whether a send was started."""
        if not attempts.may_send:
            return False
        if attempts.sent and self._crash_watch.refusal(attempts.request) is not None:
            return False
        if denial(self._access, attempts.request) is not None:
            return False
        if attempts.ticket is not None:
            replica = self._admission.choose(attempts, why)
        else:
            replica = self._replicas.choose(attempts.service, attempts.tried)
        if replica is None:
            return False
        call = attempts.begin_send(replica, why)
        task = asyncio.ensure_future(self._call(replica, call))
        attempts.running[task] = replica
        if attempts.ticket is not None:
            self._admission.track(attempts.ticket, replica, task)
        return True

    async def _call(self, replica, call):
        replica.state.started()
        try:
            return await self._client.call(replica, call)
        finally:
            replica.state.finished()
