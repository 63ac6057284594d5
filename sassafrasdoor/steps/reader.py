"""Reads a sample's stream to its end, across broken connections and lost engines."""

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
from sassafrasdoor.steps.resources import SAMPLE_EVENTS, WASTED_TOKENS
from sassafrasdoor.steps.sample import Attempt, Spoiled

MAX_BREAKS = 3  # consecutive breaks after which an attempt is discarded
UNREACHABLE_PENALTY = 2  # additional breaks counted for an engine that does not answer
RETRY_DELAY = 0.05  # seconds; doubled with each break
MAX_RETRY_DELAY = 1.0  # seconds


class TooOld(Outcome):
    """The attempt has tokens older than the bound, or a restart is preferable."""

    __slots__ = ()


class Reader:
    """Reads the samples of one step; ``step`` is its ``StepOwner``."""

    __slots__ = ("_resources", "_step")

    def __init__(self, resources, step):
        self._resources = resources
        self._step = step

    async def read(self, sample, attempt=None, single_attempt=False):
        """Return a finished ``Attempt``, or None after the step's deadline.

        Starts from ``attempt`` if given, else at an engine selected by the chooser.
        With ``single_attempt``, None is also returned once the attempt fails.
        """
        excluded = set()
        while not passed(self._step.deadline):
            attempt = attempt or await self._place_sample(sample, excluded)
            if attempt is None:
                continue
            result = await self._read_attempt(sample, attempt)
            if isinstance(result, Finished):
                return attempt
            if single_attempt:
                self._cancel_stream(sample, attempt)
                return None
            backend = attempt.backend
            attempt = await self._recover(result, sample, attempt)
            if attempt is None:
                excluded.add(backend.name)
        return None

    async def _place_sample(self, sample, excluded):
        row, view = self._step.row, self._resources.view()
        affinity = self._step.affinity(sample.position)
        backend = self._resources.chooser.choose(
            view, row.service, row.model, affinity, exclude=tuple(excluded)
        )
        if isinstance(backend, Outcome):
            # The only engines left may be excluded ones, so all become eligible again.
            excluded.clear()
            await _sleep_with_jitter(backend.retry_after)
            return None
        return self.new_attempt(sample, backend)

    def new_attempt(self, sample, backend):
        """Return a new attempt at ``sample`` on ``backend``."""
        stream = self._step.identity.stream(sample.position, sample.generation)
        return Attempt(backend, stream, sample.generation)

    async def _read_attempt(self, sample, attempt):
        sample.running.add(attempt)
        sample.open_streams.add(attempt.location)
        self._resources.chooser.started(attempt.backend)
        result = None
        try:
            result = await self._read_chunks(attempt)
        finally:
            sample.running.discard(attempt)
            self._resources.chooser.finished(attempt.backend, result)
        return result

    async def _read_chunks(self, attempt):
        stream = self._resources.engine.stream(attempt.backend, self._order(attempt))
        async with aclosing(stream) as items:
            async for item in items:
                if not isinstance(item, Chunk):
                    return attempt.verify(item) if isinstance(item, Finished) else item
                self._resources.record_version(self._step.row.model, item.version)
                if not attempt.add_chunk(item):
                    return Spoiled("chunk at an unexpected offset")
                self._record_resumption(attempt)
                if self._step.should_restart(attempt, item.version):
                    return TooOld("restarted for newer weights")
        return Broken("stream ended without its final report")

    def _record_resumption(self, attempt):
        if attempt.breaks:
            attempt.breaks = 0
            self._step.counts.resumed += 1
            SAMPLE_EVENTS.inc({"kind": "resumed", "row": self._step.row.name})
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
    async def _recover(self, result, sample, attempt):
        """Return the attempt to continue, or None to start on another engine."""
        raise TypeError(f"no recovery for the result {result!r}")

    @_recover.register
    async def _(self, result: NotRun, sample, attempt):
        if not attempt.offset:
            sample.open_streams.discard(attempt.location)
            await _sleep_with_jitter(result.retry_after)
            return None
        return await self._recover_from_break(sample, attempt)

    @_recover.register
    async def _(self, result: TooOld, sample, attempt):
        # The finished sample would be dropped as stale at delivery.
        self._step.counts.cut_early += 1
        self._discard_attempt(sample, attempt, "cut-early")
        await _sleep_with_jitter(RETRY_DELAY)

    @_recover.register
    async def _(self, result: Spoiled, sample, attempt):
        self._discard_attempt(sample, attempt, "spoiled")

    @_recover.register
    async def _(self, result: Broken, sample, attempt):
        return await self._recover_from_break(sample, attempt)

    async def _recover_from_break(self, sample, attempt):
        attempt.breaks += 1
        await _sleep_with_jitter(RETRY_DELAY * 2**attempt.breaks)
        states = await self._resources.engine.streams(attempt.backend, attempt.stream)
        if isinstance(states, Unavailable):
            attempt.breaks += UNREACHABLE_PENALTY
        elif not self._is_stream_held(states, attempt):
            # The engine restarted and lost the stream. Resuming at an offset would
            # join the tokens of two runs, so the received ones are discarded.
            self._discard_attempt(sample, attempt, "regenerated")
            return None
        if attempt.breaks > MAX_BREAKS:
            self._discard_attempt(sample, attempt, "regenerated")
            return None
        return attempt

    @staticmethod
    def _is_stream_held(states, attempt):
        return any(
            state.stream == attempt.stream and state.offset >= attempt.offset
            for state in states
        )

    def _discard_attempt(self, sample, attempt, kind):
        """Cancel the attempt and move the sample to its next generation.

        The engine may return with the old stream; as the new one has another stream id,
        the two cannot be confused or joined.
        """
        sample.generation = max(sample.generation, attempt.generation + 1)
        self._cancel_stream(sample, attempt)
        counts, row = self._step.counts, self._step.row.name
        counts.regenerated += 1
        counts.tokens_wasted += attempt.offset
        WASTED_TOKENS.add({"row": row}, attempt.offset)
        SAMPLE_EVENTS.inc({"kind": kind, "row": row})

    def _cancel_stream(self, sample, attempt):
        sample.open_streams.discard(attempt.location)
        self._resources.cleaner.cancel([attempt.location])


async def _sleep_with_jitter(seconds):
    """Wait up to ``seconds``, with jitter so that retries are not synchronized."""
    await asyncio.sleep(min(seconds, MAX_RETRY_DELAY) * random.uniform(0.5, 1.0))
