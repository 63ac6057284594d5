"""Streams from model engines: resumed where they broke, never quietly cut."""

import asyncio
import contextlib

from sassafrasdoor import metrics
from sassafrasdoor.backends.interface import (
    Broken,
    Chunk,
    Finished,
    StreamOrder,
    prefix_key,
)
from sassafrasdoor.clock import passed
from sassafrasdoor.events import EVENTS
from sassafrasdoor.outcomes import NotRun, Unavailable, Unknown
from sassafrasdoor.requests.messages import combine_outcomes

MAX_TRIES = 3
MAX_RESUMES = 5
CANCEL_DELAYS = (0.0, 1.0)
RESUME_DELAY = 0.1
RETRY_AFTER = 1.0

RESUMES = metrics.counter("sassafrasdoor_stream_resumes_total", "Streams resumed.")
CANCELS = metrics.counter(
    "sassafrasdoor_stream_cancels_total", "Streams cancelled at their engine."
)


class GenerateRequest:
    """What a caller asks an engine to write."""

    __slots__ = ("max_tokens", "prompt", "repeatable", "restartable", "stream")

    def __init__(self, stream, prompt, max_tokens, repeatable, restartable):
        self.stream = stream
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.repeatable = repeatable
        # Whether what was received so far may still be thrown away: true as
        # long as no part of it goes to the caller before the whole is there.
        self.restartable = restartable


class StreamRunner:
    """Runs streams of applications on model engines."""

    __slots__ = (
        "_admission",
        "_budget",
        "_cancels",
        "_chooser",
        "_engine",
        "_settings",
        "_view_getter",
    )

    def __init__(self, settings, view_getter, admission, chooser, engine, budget):
        self._settings = settings
        self._view_getter = view_getter
        self._admission = admission
        self._chooser = chooser
        self._engine = engine
        self._budget = budget
        self._cancels = set()

    async def run(self, row, request, deadline):
        """Yield ``Chunk``s, then one ``Finished``, ``NotRun`` or ``Unknown``.

        A ``Restart`` among them takes back all chunks before it. Closing the
        iterator ends the stream at its engine.
        """
        permit = await self._admission.admit(self._view_getter(), row, deadline)
        if not permit:
            yield permit
            return
        with permit:
            async with contextlib.aclosing(
                self._run_attempts(row, request, deadline)
            ) as items:
                async for item in items:
                    yield item

    async def _run_attempts(self, row, request, deadline):
        self._budget.earned()
        tried, last = [], None
        while True:
            backend = self._choose(row, request, tried)
            if backend and passed(deadline):
                backend = NotRun("deadline passed", RETRY_AFTER)
            if not backend:
                yield combine_outcomes(last, backend)
                return
            attempt = _Attempt(self, backend, row, request, deadline)
            async with contextlib.aclosing(attempt.items()) as items:
                async for item in items:
                    yield item
            tried.append(backend.name)
            last = combine_outcomes(last, attempt.outcome)
            if last or not self._may_retry(last, attempt.offset, request, tried):
                yield last
                return
            yield Restart()

    def _choose(self, row, request, tried):
        return self._chooser.choose(
            self._view_getter(),
            row.service,
            row.model,
            affinity=prefix_key(request.prompt),
            exclude=tried,
        )

    def _may_retry(self, last, offset, request, tried):
        allowed = isinstance(last, NotRun) or request.repeatable
        is_delivered = offset > 0 and not request.restartable
        if not allowed or is_delivered or len(tried) >= MAX_TRIES:
            return False
        return self._budget.spend()

    def cancel(self, backend, stream):
        """Have the engine end a stream, without waiting for it.

        Closing the connection is not enough: one that went silent is not seen
        as closed by the engine, which would go on generating for nobody.
        """
        CANCELS.inc({})
        task = asyncio.ensure_future(self._cancel(backend, stream))
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)

    async def _cancel(self, backend, stream):
        # Said again after a while: the first may be lost, or overtake an order
        # that is still on its way, and the engine would then start the stream.
        for pause in CANCEL_DELAYS:
            await asyncio.sleep(pause)
            await self._engine.cancel(backend, stream)

    async def has_stream(self, backend, stream):
        """Say whether the engine still has the stream; ``Unavailable`` if unsure."""
        states = await self._engine.streams(backend, stream)
        if isinstance(states, Unavailable):
            return states
        return any(state.stream == stream for state in states)

    @property
    def chooser(self):
        """The chooser of this process."""
        return self._chooser

    @property
    def engine(self):
        """The engines' adapter."""
        return self._engine

    @property
    def settings(self):
        """The settings of this process."""
        return self._settings


class Restart:
    """All chunks so far are void: the stream runs anew from its start."""

    __slots__ = ()


class _Attempt:
    """One stream on one engine, resumed there as often as needed.

    ``outcome`` is ``Finished``, ``NotRun`` or ``Unknown`` once ``items`` ended.
    """

    __slots__ = (
        "_backend",
        "_began",
        "_deadline",
        "_request",
        "_last_item",
        "_resumes",
    )
    __slots__ += ("_row", "_streams", "offset", "outcome")

    def __init__(self, streams, backend, row, request, deadline):
        self._streams = streams
        self._backend = backend
        self._row = row
        self._request = request
        self._deadline = deadline
        self._began = False
        self._last_item = None
        self._resumes = 0
        self.offset = 0
        self.outcome = None

    async def items(self):
        """Yield the chunks, each token once."""
        chooser = self._streams.chooser
        chooser.started(self._backend)
        try:
            while self.outcome is None:
                async with contextlib.aclosing(self._read_connection()) as chunks:
                    async for chunk in chunks:
                        yield chunk
        finally:
            chooser.finished(self._backend, self._last_item)
            if self._may_still_run():
                self._streams.cancel(self._backend, self._request.stream)

    def _may_still_run(self):
        """Say whether the engine may go on with the stream for nobody.

        A caller may leave after the engine has begun and before its first chunk
        is here. Going by chunks alone, such a stream was left to run to its end.
        """
        return self.outcome is None or (self._began and not self.outcome)

    async def _read_connection(self):
        """Yield chunks from one connection and settle what comes after it."""
        last = Broken("the stream ended without its last line")
        items = self._streams.engine.stream(self._backend, self._order())
        async with contextlib.aclosing(items):
            async for item in items:
                if not isinstance(item, Chunk):
                    last = item
                    break
                self._began = True
                if item.offset != self.offset:
                    last = Broken("a chunk came out of order")
                    break
                self.offset += item.tokens
                yield item
        await self._handle_end(last)

    def _order(self):
        requests = self._streams.settings.requests
        return StreamOrder(
            self._request.stream,
            self._row.model,
            self._request.prompt,
            self._request.max_tokens,
            priority=self._row.priority,
            offset=self.offset,
            first_byte_timeout=requests.first_byte_timeout,
            gap_timeout=requests.gap_timeout,
            deadline=self._deadline,
        )

    async def _handle_end(self, last):
        self._last_item = last
        if isinstance(last, Finished):
            # A last line that tells another length than was received belongs to
            # something else; passed on, the caller would hold a part as whole.
            whole = last.length == self.offset
            self.outcome = last if whole else Unknown("the stream is not whole")
            return
        if isinstance(last, Broken):
            self._began = self._began or last.began
        if not self._began:
            self.outcome = NotRun(last.reason, getattr(last, "retry_after", 1.0))
        elif isinstance(last, NotRun) or not await self._may_resume():
            self.outcome = Unknown(last.reason)

    async def _may_resume(self):
        """Say whether the engine still has the stream, trying for a while.

        An engine that restarted would take the order as a new stream and run it
        anew, with other text behind the part that was passed on already.
        """
        while self._resumes < MAX_RESUMES and not passed(self._deadline):
            self._resumes += 1
            is_held = await self._streams.has_stream(
                self._backend, self._request.stream
            )
            if is_held is True:
                RESUMES.inc({})
                EVENTS.add(
                    "stream-resumed", row=self._row.name, backend=self._backend.name
                )
                return True
            if is_held is False:
                return False
            await asyncio.sleep(RESUME_DELAY * self._resumes)
        return False
