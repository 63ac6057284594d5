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

SILENCE_TIMEOUT = 1.5
"""Seconds without an event after which a resumable stream goes on elsewhere: ten times
the usual pause of 150 ms, and sooner than callers give up (2 s)."""

STREAMS = counter("direct_streams_total", "Callers' streams, by outcome.")


class StreamCaller(ABC):
    """Who a stream is passed on to."""

    @abstractmethod
    async def begin(self, headers):
        """Send the head, of status 200; ``headers`` are pairs."""

    @abstractmethod
    async def send_event(self, block):
        """Send a whole event; returns when there is room for more."""


class _StreamRelay:
    """What of a stream has been passed on; ``last`` is the last event's number."""

    __slots__ = ("_caller", "_headers", "begun", "last_event", "timeout")

    def __init__(self, caller):
        self._caller = caller
        self._headers = None
        self.begun = False
        self.last_event = None
        self.timeout = None

    def head(self, headers):
        """Keep the head of the first replica that answers 200."""
        if not self.begun:
            self._headers = headers

    async def event(self, number, block):
        """Pass an event on, after the head."""
        # Time in which the caller does not read is no silence of the replica.
        self.stop_timeout()
        await self.begin()
        await self._caller.send_event(block)
        if number is not None:
            self.last_event = number
        self.restart_timeout()

    async def begin(self):
        """Send the head unless it is sent."""
        if not self.begun:
            self.begun = True
            await self._caller.begin(self._headers)

    def stop_timeout(self):
        """Let no time limit run."""
        if self.timeout is not None:
            self.timeout.reschedule(None)

    def restart_timeout(self):
        """Let the limit for silence run anew."""
        if self.timeout is not None:
            at = asyncio.get_running_loop().time() + SILENCE_TIMEOUT
            self.timeout.reschedule(at)


class StreamService:
    """Passes replicas' streams on to callers."""

    __slots__ = ("_client", "_crash_watch", "_replicas")

    def __init__(self, client, replicas, crash_watch=None):
        self._client = client
        self._replicas = replicas
        self._crash_watch = crash_watch or CrashWatch(client, replicas)

    async def answer(self, request, caller):
        """Pass a stream on; return True when it is whole.

        Else an ``Answer`` that is no stream, ``NotRun`` or ``Unknown``; the last may
        also come after the ``StreamCaller`` was sent a part.
        """
        attempts = Attempts(request)
        relay = _StreamRelay(caller)
        try:
            async with asyncio.timeout_at(request.deadline):
                result = await self._run(attempts, relay)
        except TimeoutError:
            result = attempts.timeout_outcome()
        outcome = "whole" if result is True else type(result).__name__
        STREAMS.inc({"outcome": outcome})
        return result

    async def _run(self, attempts, relay):
        last = None
        while attempts.may_send:
            refusal = self._crash_watch.refusal(attempts.request)
            if refusal is not None:
                last = refusal
                break
            replica = self._replicas.choose(attempts.service, attempts.tried)
            if replica is None:
                break
            result = await self._attempt(attempts, relay, replica)
            # Only now: at the deadline, what is running counts as perhaps run.
            attempts.running.clear()
            if result is True:
                self._crash_watch.record_result(attempts.request, replica, result)
                replica.state.answered()
                attempts.answered(200)
                return True
            last = attempts.record_outcome(replica, result)
            self._crash_watch.record_result(attempts.request, replica, last)
            if isinstance(last, Answer) and last.status < SERVER_ERROR:
                break
        if relay.begun:
            reason = getattr(last, "reason", "") or "no replica goes on"
            return attempts.give_up(Unknown(f"stream cut: {reason}"))
        if isinstance(last, Quarantined):
            return attempts.give_up(last)
        return attempts.final_outcome(last)

    async def _attempt(self, attempts, relay, replica):
        call = attempts.begin_send(replica, "resumed" if relay.begun else "first")
        call.after = relay.last_event
        resumable = attempts.request.route.repeat is Repeat.RESUME
        silence = SILENCE_TIMEOUT if resumable else None
        attempts.running[asyncio.current_task()] = replica
        replica.state.started()
        try:
            async with asyncio.timeout(silence) as timeout:
                relay.timeout = timeout if resumable else None
                result = await self._client.stream(replica, call, relay)
                if result is True:
                    # A stream may be whole without any event.
                    relay.stop_timeout()
                    await relay.begin()
                return result
        except TimeoutError:
            return Broken("stream went silent", began=True)
        finally:
            replica.state.finished()
