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

AT_ONCE = 16
"""Reward calls of this process at once: live callers of the service find the rest of
its places; a step's samples end over seconds."""
CALL_SECONDS = 5.0
"""Seconds for one try; a slower service is asked again, elsewhere where it can."""
MOST_FAILURES = 3
"""Answers of 500 after which a sample is delivered without a score: some calls always
fail, and a step must not wait for them until its deadline."""
PAUSE = 0.1
"""Seconds between tries; a refused call finds a place within some such."""
SUCCESSES = range(200, 300)
FAILED = 500

TRIES = counter("sassafrasdoor_reward_calls_total", "Reward calls, by result.")


class NoScore(Outcome):
    """The sample has no score, and will have none."""

    __slots__ = ()


class Scorer:
    """Sends reward calls; ``service`` is the adapter to plain services, or None."""

    __slots__ = ("_chooser", "_places", "_service", "_view")

    def __init__(self, view, chooser, service):
        self._view = view
        self._chooser = chooser
        self._service = service
        self._places = asyncio.Semaphore(AT_ONCE)

    async def score(self, reward, call_id, deadline):
        """Return what the service answered, JSON-ready, or ``NoScore``."""
        failures = 0
        while not passed(deadline):
            async with self._places:
                result = await self._call(reward, call_id, deadline)
            if isinstance(result, Answer) and result.status in SUCCESSES:
                return _score_in(result)
            failures += isinstance(result, Answer) and result.status == FAILED
            if failures >= MOST_FAILURES:
                return NoScore(f"reward call failed {failures} times")
            await asyncio.sleep(PAUSE)
        return NoScore("out of time")

    async def _call(self, reward, call_id, deadline):
        backend = self._chooser.choose(self._view(), reward.service)
        if not backend:
            TRIES.inc({"result": "no server"})
            return backend
        call = Call(
            "POST",
            reward.path,
            {"Content-Type": "application/json"},
            reward.body.encode(),
            call_id,
            deadline=min(deadline, deadline_in(CALL_SECONDS)),
        )
        result = None
        self._chooser.started(backend)
        try:
            result = await self._service.call(backend, call)
        finally:
            self._chooser.finished(backend, result)
        TRIES.inc({"result": type(result).__name__})
        return result


def _score_in(answer):
    try:
        return json.loads(answer.body)
    except ValueError:
        return NoScore("the service's answer is no JSON")
