"""Scores finished samples by their group's reward call to a plain service.

A reward call may be repeated, also by another owner of the step; its id, path and body
stay the same.
"""

import asyncio
import json

from sassafrasdoor.backends.interface import Answer, Call
from sassafrasdoor.clock import deadline_in, passed
from sassafrasdoor.metrics import counter
from sassafrasdoor.outcomes import Outcome

# Per process; leaves the service's other slots to live callers. It suffices, as the
# samples of a step finish over several seconds.
MAX_CONCURRENT_CALLS = 16
CALL_TIMEOUT = 5.0  # seconds per attempt; then retried, on another backend if possible
# Answers with status 500 after which a sample is delivered without a score: some calls
# always fail, and a step must not wait for them until its deadline.
MAX_FAILURES = 3
RETRY_DELAY = 0.1  # seconds; a refused call gets a slot within a few of these
SUCCESS_STATUSES = range(200, 300)
FAILED_STATUS = 500

REWARD_CALLS = counter("sassafrasdoor_reward_calls_total", "Reward calls, by result.")


class NoScore(Outcome):
    """The sample has no score, and will have none."""

    __slots__ = ()


class Scorer:
    """Sends reward calls through ``service``, the adapter to plain services or None."""

    __slots__ = ("_chooser", "_service", "_slots", "_view")

    def __init__(self, view, chooser, service):
        self._view = view
        self._chooser = chooser
        self._service = service
        self._slots = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

    async def score(self, reward, call_id, deadline):
        """Return the service's answer as decoded JSON, or ``NoScore``."""
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
        return NoScore("the step's deadline passed without a score")

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
        return NoScore("the service's answer is not valid JSON")
