"""Callers' requests with a whole answer: tries, hedges and the time left for them."""

import asyncio

from sassafrasdoor.backends.interface import Answer
from sassafrasdoor.metrics import counter
from sassafrasdoor.requests.attempts import SERVER_ERROR, Attempts
from sassafrasdoor.requests.crash_watch import CrashWatch
from sassafrasdoor.table.routes import Repeat

HEDGE_SHARE = 0.55
"""Part of the target latency after which a repeatable request is sent once more: a
second try of usual length (a fifth of the target) still ends within the target."""

OUTCOMES = counter("direct_requests_total", "Callers' requests, by outcome.")


class DirectService:
    """Answers callers' requests from replicas."""

    __slots__ = ("_client", "_crashes", "_replicas")

    def __init__(self, client, replicas, crashes=None):
        self._client = client
        self._replicas = replicas
        self._crashes = crashes or CrashWatch(client, replicas)

    async def answer(self, request):
        """Return the replica's ``Answer``, ``NotRun`` or ``Unknown``."""
        return await self.settle(Attempts(request))

    async def settle(self, attempts):
        """Send as often as need be; return as ``answer`` does."""
        try:
            async with asyncio.timeout_at(attempts.request.deadline):
                result = await self._run(attempts)
        except TimeoutError:
            result = attempts.out_of_time()
        finally:
            for task in attempts.running:
                task.cancel()
        OUTCOMES.inc({"outcome": type(result).__name__})
        if isinstance(result, Answer):
            attempts.answered(result.status)
        return result

    async def _run(self, attempts):
        """Send as often as need be, a suspect of crashes alone and once."""
        if not self._crashes.suspects(attempts.request):
            return await self._sends(attempts)
        async with self._crashes.turn(attempts.service):
            attempts.alone = True
            return await self._sends(attempts)

    async def _sends(self, attempts):
        refusal = self._crashes.refusal(attempts.request)
        if refusal is not None:
            return attempts.give_up(refusal)
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
                last = attempts.judge(replica, task.result())
                self._crashes.judged(attempts.request, replica, last)
                if isinstance(last, Answer) and last.status < SERVER_ERROR:
                    return attempts.final(last)
            if done:
                self._send(attempts, "failed")
        return attempts.final(last)

    def _hedge_after(self, attempts):
        if not attempts.may_send or attempts.request.route.repeat is not Repeat.SAFE:
            return None
        return attempts.request.route.target * HEDGE_SHARE

    def _send(self, attempts, why):
        """Send to one more replica; return whether it was sent."""
        if not attempts.may_send:
            return False
        if attempts.sent and self._crashes.refusal(attempts.request) is not None:
            return False
        replica = self._replicas.choose(attempts.service, attempts.tried)
        if replica is None:
            return False
        call = attempts.sending(replica, why)
        task = asyncio.ensure_future(self._call(replica, call))
        attempts.running[task] = replica
        return True

    async def _call(self, replica, call):
        replica.state.started()
        try:
            return await self._client.call(replica, call)
        finally:
            replica.state.finished()
