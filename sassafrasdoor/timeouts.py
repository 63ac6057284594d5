"""Timeouts that end after what has arrived was handled."""

import asyncio

# Turns of the event loop that a reply takes from its socket to the task that waits for
# it: the read, the wake-up of the task, and those of the tasks in between.
SETTLE_TURNS = 10
RETRY_INTERVAL = 0.1  # seconds until a timeout that may not expire is looked at again


class SettlingTimeout:
    """An ``asyncio.timeout_at`` that lets arrived data be handled before it expires.

    After a pause of the process its timers run before the tasks whose replies lie in
    their sockets. A reply would be lost and, if it was a refusal, reported as an unknown
    outcome. The event loop is turned a few times more; that takes no time otherwise.

    ``may_expire()`` is asked then, and again until it returns True.
    """

    __slots__ = ("_deadline", "_handle", "_loop", "_may_expire", "_timeout")

    def __init__(self, deadline, may_expire=None):
        self._deadline = deadline
        self._may_expire = may_expire
        self._handle = None
        self._loop = asyncio.get_running_loop()
        self._timeout = asyncio.timeout(None)

    async def __aenter__(self):
        await self._timeout.__aenter__()
        self.reschedule(self._deadline)
        return self

    async def __aexit__(self, *exception):
        self._cancel()
        return await self._timeout.__aexit__(*exception)

    def reschedule(self, deadline):
        """Expire at another monotonic time, or never if it is None."""
        self._cancel()
        if deadline is not None:
            self._handle = self._loop.call_at(deadline, self._settle, SETTLE_TURNS)

    def _settle(self, turns):
        if turns:
            self._handle = self._loop.call_soon(self._settle, turns - 1)
        elif self._may_expire is not None and not self._may_expire():
            self.reschedule(self._loop.time() + RETRY_INTERVAL)
        else:
            self._handle = None
            self._timeout.reschedule(self._loop.time())

    def _cancel(self):
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
