"""Scores of whole samples: a group's reward call, sent to a plain service.

A reward call may be repeated. It keeps its id, path and body, so that a further
owner of the step, or a further try, asks for the same thing.
"""

import asyncio
import json

from sassafrasdoor.backends.interface import Answer, Call
from sassafrasdoor.clock import deadline_in, passed
from sassafrasdoor.metrics import counter
from sassafrasdoor.outcomes import Outcome

MAX_CONCURRENT_CALLS = 16
"""Reward calls of this process at once: live callers of the service find the rest of
its places; a step's samples end over seconds."""
CALL_TIMEOUT = 5.0
"""Seconds for one try; a slower service is asked again, elsewhere where it can."""
MAX_FAILURES = 3
"""Answers of 500 after which a sample is delivered without a score: some calls always
fail, and a step must not wait for them until its deadline."""
RETRY_DELAY = 0.1
"""Seconds between tries; a refused call finds a place within some such."""
SUCCESS_STATUSES = range(200, 300)
FAILED_STATUS = 500

REWARD_CALLS = counter("sassafrasdoor_reward_calls_total", "Reward calls, by result.")


class NoScore(Outcome):
    """The sample has no score, and will have none."""

    __slots__ = ()


class Scorer:
    """Sends reward calls; ``service`` is the adapter to plain services, or None."""

    __slots__ = ("_chooser", "_slots", "_service", "_view")

    def __init__(self, view, chooser, service):
        self._view = view
        self._chooser = chooser
        self._service = service
        self._slots = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

    async def score(self, reward, call_id, deadline):
        """Return what the service answered, JSON-ready, or ``NoScore``."""
        failures = 0
        while not passed(deadline):
            async with self._slots:
                result = await self._call(reward, call_id, deadline)
            if isinstance(result, Answer) and result.status in SUCCESS_STATUSES:
                return _parse_score(result)
            failures += isinstance(result, Answer) and result.status == FAILED_STATUS
            if failures >= MAX_FAILURES:
                return NoScore(f"reward call failed {failures} times")
            await asyncio.sleep(RETRY_DELAY)
        return NoScore("out of time")

    async def _call(self, reward, call_id, deadline):
        backend = self._chooser.choose(self._view(), reward.service)
        if not backend:
            REWARD_CALLS.inc({"result": "no server"})
            return backend
        call = Call(
            "POST",
            reward.path,
            {"Content-Type": "application/json"},
            reward.body.encode(),
            call_id,
            deadline=min(deadline, deadline_in(CALL_TIMEOUT)),
        )
        result = None
        self._chooser.started(backend)
        try:
            result = await self._service.call(backend, call)
        finally:
            self._chooser.finished(backend, result)
        REWARD_CALLS.inc({"result": type(result).__name__})
        return result


def _parse_score(answer):
    try:
        return json.loads(answer.body)
    except ValueError:
        return NoScore("the service's answer is no JSON")
