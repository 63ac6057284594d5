"""Relays streams from replicas to callers and resumes them at other replicas.

Only complete events are relayed, so that another replica can resume after the last one.
A stream that cannot be resumed is aborted without its regular end, so that the caller
does not take a part for the whole.
"""

import asyncio
from abc import ABC, abstractmethod

from sassafrasdoor.backends.interface import Answer, Broken
from sassafrasdoor.clock import deadline_in, now
from sassafrasdoor.metrics import counter
from sassafrasdoor.outcomes import Unknown
from sassafrasdoor.requests.access import Unauthorized
from sassafrasdoor.requests.attempts import (
    SERVER_ERROR,
    Attempts,
    denial,
    open_usage,
    record_usage,
)
from sassafrasdoor.requests.crash_watch import CrashWatch, Quarantined
from sassafrasdoor.table.routes import Repeat
from sassafrasdoor.timeouts import SettlingTimeout

# Seconds without an event before a resumable stream moves to another replica: ten times
# the typical interval of 150 ms, and below the 2 s after which callers give up.
SILENCE_TIMEOUT = 1.5

STREAMS = counter("direct_streams_total", "Callers' streams, by outcome.")


class StreamCaller(ABC):
    """The receiving end of a stream: the caller's connection."""

    @abstractmethod
    async def begin(self, headers):
        """Send status 200 and the headers, a list of pairs."""

    @abstractmethod
    async def send_event(self, block):
        """Send a complete event; return when there is room for more.

        The event is written before the first wait: if that is cancelled, the caller gets
        the event nevertheless, and the stream is resumed after it.
        """


class _StreamRelay:
    """Relays one stream; ``last_event`` is the number of the last event sent.

    ``record_data()`` is called with each event that arrives. ``silent_since`` is the
    monotonic time since which no event has arrived.
    """

    __slots__ = (
        "_caller",
        "_headers",
        "_record_data",
        "begun",
        "last_event",
        "silent_since",
        "timeout",
    )

    def __init__(self, caller, record_data):
        self._caller = caller
        self._record_data = record_data
        self.silent_since = now()
        self._headers = None
        self.begun = False
        self.last_event = None
        self.timeout = None

    def head(self, headers):
        """Keep the headers of the first replica that answers 200."""
        if not self.begun:
            self._headers = headers

    async def event(self, number, block):
        """Send an event, preceded by the headers if they are not sent yet."""
        self._record_data()
        # The time that a slow caller needs does not count as silence of the replica.
        self.stop_timeout()
        await self.begin()
        # A timeout may end the wait for a slow caller, who gets the event nevertheless.
        if number is not None:
            self.last_event = number
        await self._caller.send_event(block)
        self.restart_timeout()

    async def begin(self):
        """Send the headers if they are not sent yet."""
        if not self.begun:
            self.begun = True
            await self._caller.begin(self._headers)

    def stop_timeout(self):
        """Suspend the silence timeout."""
        if self.timeout is not None:
            self.timeout.reschedule(None)

    def restart_timeout(self):
        """Restart the silence timeout."""
        self.silent_since = now()
        if self.timeout is not None:
            self.timeout.reschedule(deadline_in(SILENCE_TIMEOUT))


class StreamService:
    """Relays streams from replicas to callers."""

    __slots__ = ("_access", "_client", "_crash_watch", "_replicas", "_usage")

    def __init__(self, client, replicas, crash_watch=None, access=None, usage=None):
        self._access = access
        self._usage = usage
        self._client = client
        self._replicas = replicas
        self._crash_watch = crash_watch or CrashWatch(client, replicas)

    async def answer(self, request, caller):
        """Relay a stream; return True when it is complete.

        Otherwise return an ``Answer`` that is not a stream, ``NotRun``, or ``Unknown``,
        which may also follow after a part was sent to the ``StreamCaller``.
        """
        attempts = Attempts(request)
        relay = _StreamRelay(caller, lambda: self._record_data(attempts.service))
        open_usage(self._usage, attempts)
        try:
            async with SettlingTimeout(request.deadline):
                result = await self._run(attempts, relay)
        except TimeoutError:
            result = attempts.timeout_outcome()
        finally:
            for replica in attempts.running.values():
                attempts.record_begin(replica)
            record_usage(self._usage, attempts)
        outcome = "whole" if result is True else type(result).__name__
        STREAMS.inc({"outcome": outcome})
        if isinstance(result, Answer):
            attempts.log_answer(result.status)
        return result

    async def _run(self, attempts, relay):
        last = None
        while attempts.may_send:
            refusal = self._crash_watch.refusal(attempts.request)
            if refusal is None:
                refusal = denial(self._access, attempts.request)
            if refusal is not None:
                last = refusal
                break
            replica = self._replicas.choose(attempts.service, attempts.tried)
            if replica is None:
                break
            result = await self._attempt(attempts, relay, replica)
            # Not earlier: a send that is running at the deadline may have run.
            attempts.running.clear()
            if result is True:
                attempts.record_begin(replica)
                self._crash_watch.record_result(attempts.request, replica, result)
                replica.state.answered()
                attempts.log_answer(200, replica)
                return True
            last = attempts.record_outcome(replica, result)
            self._crash_watch.record_result(attempts.request, replica, last)
            if isinstance(last, Answer) and last.status < SERVER_ERROR:
                break
        if relay.begun:
            reason = getattr(last, "reason", "") or "no replica goes on"
            return attempts.give_up(Unknown(f"stream cut: {reason}"))
        if isinstance(last, (Quarantined, Unauthorized)):
            return attempts.give_up(last)
        return attempts.final_outcome(last)

    def _record_data(self, service):
        self._replicas.silences.record_data(service, now())

    def _is_given_up(self, attempts, relay):
        """Return whether a stream that is silent goes on at another replica."""
        has_idle_replica = any(
            replica.state.in_flight == 0 and not replica.state.is_suspect
            for replica in self._replicas.of_service(attempts.service)
            if replica.identity not in attempts.tried
        )
        return self._replicas.silences.is_given_up(
            attempts.service,
            relay.silent_since,
            now(),
            SILENCE_TIMEOUT,
            has_idle_replica,
        )

    async def _attempt(self, attempts, relay, replica):
        call = attempts.begin_send(replica, "resumed" if relay.begun else "first")
        call.after = relay.last_event
        resumable = attempts.request.route.repeat is Repeat.RESUME
        silence_deadline = deadline_in(SILENCE_TIMEOUT) if resumable else None
        self._replicas.silences.record_start(attempts.service, now())
        relay.silent_since = now()
        attempts.running[asyncio.current_task()] = replica
        replica.state.started()
        try:
            async with SettlingTimeout(
                silence_deadline, lambda: self._is_given_up(attempts, relay)
            ) as timeout:
                relay.timeout = timeout if resumable else None
                result = await self._client.stream(replica, call, relay)
                if result is True:
                    # A stream may be complete without any event.
                    relay.stop_timeout()
                    await relay.begin()
                return result
        except TimeoutError:
            return Broken("stream went silent", began=True)
        finally:
            replica.state.finished()
