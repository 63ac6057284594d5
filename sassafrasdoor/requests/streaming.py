"""Callers' streams: events passed on as they come, and gone on with elsewhere.

Only whole events are passed on, so that another replica can go on after the last of
them. A stream that cannot be gone on with is cut without its end: the caller must not
take a part for the whole.
"""

import asyncio
from abc import ABC, abstractmethod

from sassafrasdoor.backends.interface import Answer, Broken
from sassafrasdoor.metrics import counter
from sassafrasdoor.outcomes import Unknown
from sassafrasdoor.requests.attempts import SERVER_ERROR, Attempts
from sassafrasdoor.requests.crash_watch import CrashWatch, Quarantined
from sassafrasdoor.table.routes import Repeat

LONGEST_SILENCE = 1.5
"""Seconds without an event after which a resumable stream goes on elsewhere: ten times
the usual pause of 150 ms, and sooner than callers give up (2 s)."""

STREAMS = counter("direct_streams_total", "Callers' streams, by outcome.")


class StreamCaller(ABC):
    """Who a stream is passed on to."""

    @abstractmethod
    async def begin(self, headers):
        """Send the head, of status 200; ``headers`` are pairs."""

    @abstractmethod
    async def pass_on(self, block):
        """Send a whole event; returns when there is room for more."""


class _Passing:
    """What of a stream has been passed on; ``last`` is the last event's number."""

    __slots__ = ("_caller", "_headers", "begun", "last", "timeout")

    def __init__(self, caller):
        self._caller = caller
        self._headers = None
        self.begun = False
        self.last = None
        self.timeout = None

    def head(self, headers):
        """Keep the head of the first replica that answers 200."""
        if not self.begun:
            self._headers = headers

    async def event(self, number, block):
        """Pass an event on, after the head."""
        # Time in which the caller does not read is no silence of the replica.
        self.rest()
        await self.begin()
        await self._caller.pass_on(block)
        if number is not None:
            self.last = number
        self.expect_more()

    async def begin(self):
        """Send the head unless it is sent."""
        if not self.begun:
            self.begun = True
            await self._caller.begin(self._headers)

    def rest(self):
        """Let no time limit run."""
        if self.timeout is not None:
            self.timeout.reschedule(None)

    def expect_more(self):
        """Let the limit for silence run anew."""
        if self.timeout is not None:
            at = asyncio.get_running_loop().time() + LONGEST_SILENCE
            self.timeout.reschedule(at)


class StreamService:
    """Passes replicas' streams on to callers."""

    __slots__ = ("_client", "_crashes", "_replicas")

    def __init__(self, client, replicas, crashes=None):
        self._client = client
        self._replicas = replicas
        self._crashes = crashes or CrashWatch(client, replicas)

    async def answer(self, request, caller):
        """Pass a stream on; return True when it is whole.

        Else an ``Answer`` that is no stream, ``NotRun`` or ``Unknown``; the last may
        also come after the ``StreamCaller`` was sent a part.
        """
        attempts = Attempts(request)
        passing = _Passing(caller)
        try:
            async with asyncio.timeout_at(request.deadline):
                result = await self._run(attempts, passing)
        except TimeoutError:
            result = attempts.out_of_time()
        outcome = "whole" if result is True else type(result).__name__
        STREAMS.inc({"outcome": outcome})
        return result

    async def _run(self, attempts, passing):
        last = None
        while attempts.may_send:
            refusal = self._crashes.refusal(attempts.request)
            if refusal is not None:
                last = refusal
                break
            replica = self._replicas.choose(attempts.service, attempts.tried)
            if replica is None:
                break
            result = await self._attempt(attempts, passing, replica)
            # Only now: at the deadline, what is running counts as perhaps run.
            attempts.running.clear()
            if result is True:
                self._crashes.judged(attempts.request, replica, result)
                replica.state.answered()
                attempts.answered(200)
                return True
            last = attempts.judge(replica, result)
            self._crashes.judged(attempts.request, replica, last)
            if isinstance(last, Answer) and last.status < SERVER_ERROR:
                break
        if passing.begun:
            reason = getattr(last, "reason", "") or "no replica goes on"
            return attempts.give_up(Unknown(f"stream cut: {reason}"))
        if isinstance(last, Quarantined):
            return attempts.give_up(last)
        return attempts.final(last)

    async def _attempt(self, attempts, passing, replica):
        call = attempts.sending(replica, "resumed" if passing.begun else "first")
        call.after = passing.last
        resumable = attempts.request.route.repeat is Repeat.RESUME
        silence = LONGEST_SILENCE if resumable else None
        attempts.running[asyncio.current_task()] = replica
        replica.state.started()
        try:
            async with asyncio.timeout(silence) as timeout:
                passing.timeout = timeout if resumable else None
                result = await self._client.stream(replica, call, passing)
                if result is True:
                    # A stream may be whole without any event.
                    passing.rest()
                    await passing.begin()
                return result
        except TimeoutError:
            return Broken("stream went silent", began=True)
        finally:
            replica.state.finished()
