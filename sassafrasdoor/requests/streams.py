"""Streams from model engines: resumed where they broke, never truncated silently."""

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
    """The text generation that a caller requests from an engine."""

    __slots__ = ("max_tokens", "prompt", "repeatable", "restartable", "stream")

    def __init__(self, stream, prompt, max_tokens, repeatable, restartable):
        self.stream = stream
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.repeatable = repeatable
        # Whether received chunks may be discarded. True if the caller gets nothing
        # before the stream is complete.
        self.restartable = restartable


class StreamRunner:
    """Runs the streams of callers on model engines."""

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

        A ``Restart`` invalidates all chunks before it. Closing the iterator cancels the
        stream at its engine.
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
        self._budget.deposit()
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
        return self._budget.try_withdraw()

    def cancel(self, backend, stream):
        """Cancel a stream at its engine in the background.

        Closing the connection is not enough: the engine does not notice that a silent
        connection was closed and would continue to generate.
        """
        CANCELS.inc({})
        task = asyncio.ensure_future(self._cancel(backend, stream))
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)

    async def _cancel(self, backend, stream):
        # Sent twice: the first cancel may be lost, or may overtake the order of the
        # stream, which the engine would then start.
        for delay in CANCEL_DELAYS:
            await asyncio.sleep(delay)
            await self._engine.cancel(backend, stream)

    async def has_stream(self, backend, stream):
        """Return whether the engine still has the stream, or ``Unavailable``."""
        states = await self._engine.streams(backend, stream)
        if isinstance(states, Unavailable):
            return states
        return any(state.stream == stream for state in states)

    @property
    def chooser(self):
        """The chooser of backend servers."""
        return self._chooser

    @property
    def engine(self):
        """The engine client."""
        return self._engine

    @property
    def settings(self):
        """The settings of this process."""
        return self._settings


class Restart:
    """Invalidates all earlier chunks: the stream starts again from offset 0."""

    __slots__ = ()


class _Attempt:
    """One stream on one engine, resumed there up to ``MAX_RESUMES`` times.

    ``outcome`` is ``Finished``, ``NotRun`` or ``Unknown`` once ``items`` has ended.
    """

    __slots__ = (
        "_backend",
        "_began",
        "_deadline",
        "_last_item",
        "_request",
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
        """Yield the chunks, with each token once."""
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
        """Return whether the engine may continue the stream without a reader.

        A caller may disconnect after the engine has started and before the first chunk
        has arrived. Judged by chunks alone, such a stream would be left running.
        """
        return self.outcome is None or (self._began and not self.outcome)

    async def _read_connection(self):
        """Yield the chunks of one connection and handle its end."""
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
            # A length other than what was received is the end of another stream. The
            # caller must not take the received part for complete.
            is_complete = last.length == self.offset
            self.outcome = last if is_complete else Unknown("the stream is not whole")
            return
        if isinstance(last, Broken):
            self._began = self._began or last.began
        if not self._began:
            self.outcome = NotRun(last.reason, getattr(last, "retry_after", 1.0))
        elif isinstance(last, NotRun) or not await self._may_resume():
            self.outcome = Unknown(last.reason)

    async def _may_resume(self):
        """Return whether the engine still has the stream, retried while unavailable.

        A restarted engine would treat the order as a new stream, and its different text
        would follow the part that was already delivered.
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
