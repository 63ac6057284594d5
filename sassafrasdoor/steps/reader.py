"""Reading the stream of one sample to its end, through breaks and lost engines."""

import asyncio
import random
from contextlib import aclosing
from functools import singledispatchmethod

from sassafrasdoor.backends.interface import (
    Broken,
    Chunk,
    Finished,
    StreamOrder,
)
from sassafrasdoor.clock import passed
from sassafrasdoor.outcomes import NotRun, Outcome, Unavailable
from sassafrasdoor.steps.resources import EVENTS_TOTAL, WASTED
from sassafrasdoor.steps.sample import Attempt, Spoiled

RESUMES = 3
UNREACHABLE_COUNTS = 2
PAUSE = 0.05
LONGEST_PAUSE = 1.0


class TooOld(Outcome):
    """The attempt holds tokens older than the bound, or worth making anew."""

    __slots__ = ()


class Reader:
    """Makes samples of one step; ``step`` gives its row, spec and deadline."""

    __slots__ = ("_resources", "_step")

    def __init__(self, resources, step):
        self._resources = resources
        self._step = step

    async def read(self, sample, attempt=None, once=False):
        """Return a whole ``Attempt``, or None once the step's deadline passed.

        Starts from ``attempt`` where one is given, else at an engine that the
        chooser names. With ``once``, a lost attempt is given up for good.
        """
        excluded = set()
        while not passed(self._step.deadline):
            attempt = attempt or await self._placed(sample, excluded)
            if attempt is None:
                continue
            result = await self._follow(sample, attempt)
            if isinstance(result, Finished):
                return attempt
            if once:
                self._release(sample, attempt)
                return None
            backend = attempt.backend
            attempt = await self._after(result, sample, attempt)
            if attempt is None:
                excluded.add(backend.name)
        return None

    async def _placed(self, sample, excluded):
        row, view = self._step.row, self._resources.view()
        affinity = self._step.affinity(sample.position)
        backend = self._resources.chooser.choose(
            view, row.service, row.model, affinity, exclude=tuple(excluded)
        )
        if isinstance(backend, Outcome):
            # Every engine left may be one that failed before: they count again.
            excluded.clear()
            await _pause(backend.retry_after)
            return None
        return self.attempt(sample, backend)

    def attempt(self, sample, backend):
        """Return a new attempt to make ``sample`` at ``backend``."""
        stream = self._step.identity.stream(sample.position, sample.generation)
        return Attempt(backend, stream, sample.generation)

    async def _follow(self, sample, attempt):
        sample.running.add(attempt)
        sample.visited.add(attempt.held)
        self._resources.chooser.started(attempt.backend)
        result = None
        try:
            result = await self._chunks(attempt)
        finally:
            sample.running.discard(attempt)
            self._resources.chooser.finished(attempt.backend, result)
        return result

    async def _chunks(self, attempt):
        stream = self._resources.engine.stream(attempt.backend, self._order(attempt))
        async with aclosing(stream) as items:
            async for item in items:
                if not isinstance(item, Chunk):
                    return attempt.whole(item) if isinstance(item, Finished) else item
                self._resources.reported(self._step.row.model, item.version)
                if not attempt.take(item):
                    return Spoiled("chunks out of order")
                self._note_resumed(attempt)
                if self._step.worth_restarting(attempt, item.version):
                    return TooOld("tokens older than the bound")
        return Broken("ended without its last line")

    def _note_resumed(self, attempt):
        if attempt.breaks:
            attempt.breaks = 0
            self._step.counts.resumed += 1
            EVENTS_TOTAL.inc({"kind": "resumed", "row": self._step.row.name})
            self._step.event("stream-resumed", backend=attempt.backend.name)

    def _order(self, attempt):
        step, requests = self._step, self._resources.settings.requests
        position, generation = step.identity.parse(attempt.stream)
        return StreamOrder(
            stream=attempt.stream,
            model=step.row.model,
            prompt=step.prompt(position),
            max_tokens=step.spec.max_tokens,
            priority=step.row.priority,
            offset=attempt.offset,
            seed=step.identity.seed(position, generation),
            first_byte_timeout=requests.first_byte_timeout,
            gap_timeout=requests.gap_timeout,
            deadline=step.deadline,
            flush_interval=self._resources.settings.steps.flush_interval,
        )

    @singledispatchmethod
    async def _after(self, result, sample, attempt):
        """Return the attempt to go on with, or None to start at another engine."""
        raise TypeError(f"no rule for {result!r}")

    @_after.register
    async def _(self, result: NotRun, sample, attempt):
        if not attempt.offset:
            sample.visited.discard(attempt.held)
            await _pause(result.retry_after)
            return None
        return await self._after_break(sample, attempt)

    @_after.register
    async def _(self, result: TooOld, sample, attempt):
        # The rest of the stream could only be dropped at delivery.
        self._step.counts.cut_early += 1
        self._give_up(sample, attempt, "cut-early")
        await _pause(PAUSE)

    @_after.register
    async def _(self, result: Spoiled, sample, attempt):
        self._give_up(sample, attempt, "spoiled")

    @_after.register
    async def _(self, result: Broken, sample, attempt):
        return await self._after_break(sample, attempt)

    async def _after_break(self, sample, attempt):
        attempt.breaks += 1
        await _pause(PAUSE * 2**attempt.breaks)
        held = await self._resources.engine.streams(attempt.backend, attempt.stream)
        if isinstance(held, Unavailable):
            attempt.breaks += UNREACHABLE_COUNTS
        elif not self._still_held(held, attempt):
            # The engine restarted and lost the stream. Resuming at an offset
            # would join tokens of two runs; so nothing received is kept.
            self._give_up(sample, attempt, "regenerated")
            return None
        if attempt.breaks > RESUMES:
            self._give_up(sample, attempt, "regenerated")
            return None
        return attempt

    @staticmethod
    def _still_held(held, attempt):
        return any(
            state.stream == attempt.stream and state.offset >= attempt.offset
            for state in held
        )

    def _give_up(self, sample, attempt, kind):
        """Make the sample anew under the next generation, anywhere.

        Its engine may yet come back with the old stream; under another id
        that can neither be mistaken for the new one nor be joined to it.
        """
        sample.generation = max(sample.generation, attempt.generation + 1)
        self._release(sample, attempt)
        counts, row = self._step.counts, self._step.row.name
        counts.regenerated += 1
        counts.tokens_wasted += attempt.offset
        WASTED.add({"row": row}, attempt.offset)
        EVENTS_TOTAL.inc({"kind": kind, "row": row})

    def _release(self, sample, attempt):
        sample.visited.discard(attempt.held)
        self._resources.cleaner.cancel([attempt.held])


async def _pause(seconds):
    """Wait up to ``seconds``, spread out so that retries do not come together."""
    await asyncio.sleep(min(seconds, LONGEST_PAUSE) * random.uniform(0.5, 1.0))
