"""Finds out which broken connections were crashes, and what must not run again.

Every instance keeps the crashes of all in a keyed topic of the log: a request that has
crashed replicas comes again at any of them, and after any restart. A record names a
request, by its fingerprint, and one replica that crashed under it.
"""

import asyncio
import contextlib

from sassafrasdoor.backends.interface import Answer, Broken, Refused
from sassafrasdoor.clock import deadline_in, passed
from sassafrasdoor.decisions import note
from sassafrasdoor.log.partitioned import keyed_record
from sassafrasdoor.metrics import counter, gauge
from sassafrasdoor.outcomes import Outcome, Unknown
from sassafrasdoor.requests.attempts import SERVER_ERROR
from sassafrasdoor.requests.crashes import Crashes, State

TOPIC = "keyed.crashes"
PROBE_PAUSES = (0.0, 0.3)
"""Seconds before each look whether anybody still listens at the replica's address."""
LIST_PAUSE = 0.25
"""Seconds between looks at the list where the address tells neither way."""
GONE_WITHIN = 6.0
"""Seconds after a broken connection in which the end of the replica's entry confirms a
crash: three heartbeats and the reading of the list, with room for a slow one."""
SETTLED_WITHIN = 1.0
"""Seconds that a suspect waits for what became of the replica it ran at."""
APPEND_TIMEOUT = 1.0
RETRY_PAUSE = 0.25
MOST_WAITING = 4096
"""Records that wait for the log; beyond them the oldest is left out."""
EXPIRY_PAUSE = 60.0
LONGEST_NAME = 128
"""Characters of a replica's identity in a record's key, which has 255 bytes."""

CRASHES = counter(
    "replica_crashes_total", "Replicas that broke a connection and ended."
)
QUARANTINED = counter(
    "requests_quarantined_total", "Requests not sent, since they crash replicas."
)
KNOWN = gauge("crash_requests_known", "Requests under which a replica has crashed.")


class Quarantined(Unknown):
    """The request ran before, under other ids, and crashed the replicas that ran it."""

    __slots__ = ()


class CrashWatch:
    """Looks after each connection that broke while a request ran at a replica.

    Without a ``log`` it knows its own crashes only; ``expires()`` says whether this
    instance is the one that drops expired records.
    """

    __slots__ = (
        "_broken",
        "_client",
        "_crashes",
        "_expires",
        "_log",
        "_name",
        "_replicas",
        "_settling",
        "_tasks",
        "_turns",
        "_waiting",
        "_wake",
    )

    def __init__(self, client, replicas, log=None, name="", expires=lambda: False):
        self._client = client
        self._replicas = replicas
        self._log = log
        self._name = name
        self._expires = expires
        self._crashes = Crashes()
        self._broken = {}
        self._tasks = {}
        self._turns = {}
        self._settling = set()
        self._waiting = {}
        self._wake = asyncio.Event()

    @property
    def looking(self):
        """Whether some replica is being looked after."""
        return bool(self._tasks)

    @property
    def telling(self):
        """Whether the log has not acknowledged everything yet."""
        return bool(self._waiting)

    def refusal(self, request):
        """Return ``Quarantined`` if a request must not be sent, else None."""
        if not self.quarantines(request):
            return None
        QUARANTINED.inc({})
        fingerprint = request.fingerprint
        replicas = self._crashes.replicas(fingerprint)
        note(
            "request.quarantined",
            request=request.request_id,
            fingerprint=fingerprint,
            crashes=len(replicas),
            replicas=replicas,
        )
        if self._crashes.came(fingerprint):
            self._tell(fingerprint, replicas[:1])
        return Quarantined(f"the request has crashed {len(replicas)} replicas")

    def quarantines(self, request):
        """Say whether a request must not be sent."""
        return self._state(request) is State.QUARANTINED

    def suspects(self, request):
        """Say whether a request is to run alone."""
        return self._state(request) is State.SUSPECT

    @contextlib.asynccontextmanager
    async def turn(self, service):
        """Let the suspects of a service run one after the other.

        The next one waits until it is known what became of the replica that the one
        before ran at: two that crash together could not be told apart.
        """
        turn = self._turns.setdefault(service, asyncio.Lock())
        await turn.acquire()
        try:
            yield
        finally:
            # The caller has its answer meanwhile.
            settling = asyncio.ensure_future(self._settle(turn))
            self._settling.add(settling)
            settling.add_done_callback(self._settling.discard)

    async def _settle(self, turn):
        try:
            if self._tasks:
                await asyncio.wait(self._tasks.values(), timeout=SETTLED_WITHIN)
        finally:
            turn.release()

    def judged(self, request, replica, result):
        """Take what became of a send; ``result`` is True for a whole stream."""
        if isinstance(result, Broken):
            if result.began:
                self._broke(request, replica)
        elif result is True or (
            isinstance(result, Answer) and result.status < SERVER_ERROR
        ):
            self._answered(request)

    def take(self, key, value):
        """Take a record of the log: a crash, or with no value that it is withdrawn."""
        fingerprint, separator, replica = key.partition("/")
        if not separator:
            note("crash.record_unreadable", key=key)
        elif not value:
            self._crashes.withdrawn(fingerprint, replica)
        elif self._crashes.crashed(fingerprint, replica):
            note(
                "crash.learned",
                fingerprint=fingerprint,
                replica=replica,
                crashes=len(self._crashes.replicas(fingerprint)),
                state=self._crashes.state(fingerprint).value,
                by=value.decode("utf-8", "replace")[:LONGEST_NAME],
            )
        KNOWN.set({}, len(self._crashes))

    async def run(self):
        """Append what others must know until cancelled."""
        while True:
            await self._wake.wait()
            batch = dict(self._waiting)
            records = [keyed_record(key, value) for key, value in batch.items()]
            deadline = deadline_in(APPEND_TIMEOUT)
            result = await self._log.append(TOPIC, 0, records, deadline)
            if isinstance(result, Outcome):
                note("crash.not_told", records=len(batch), reason=result.reason)
                await asyncio.sleep(RETRY_PAUSE)
                continue
            for key, value in batch.items():
                if self._waiting.get(key) == value:
                    del self._waiting[key]
            if not self._waiting:
                self._wake.clear()

    async def expire(self):
        """Forget what lies long back until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_PAUSE)
            for fingerprint in self._crashes.expired():
                self._withdraw(fingerprint, told=self._expires())

    def _state(self, request):
        # Most requests are asked about while no crash is known: no digest is made.
        if not len(self._crashes):
            return State.CLEAR
        return self._crashes.state(request.fingerprint)

    def _answered(self, request):
        if not len(self._crashes):
            return
        fingerprint = request.fingerprint
        if self._crashes.replicas(fingerprint):
            note("crash.cleared", request=request.request_id, fingerprint=fingerprint)
            self._withdraw(fingerprint, told=True)

    def _withdraw(self, fingerprint, told):
        replicas = self._crashes.replicas(fingerprint)
        self._crashes.forget(fingerprint)
        KNOWN.set({}, len(self._crashes))
        if told:
            self._tell(fingerprint, replicas, b"")

    def _broke(self, request, replica):
        running = self._broken.setdefault(replica, {})
        running[request.fingerprint] = request.request_id
        if replica not in self._tasks:
            self._tasks[replica] = asyncio.ensure_future(self._look_after(replica))

    async def _look_after(self, replica):
        try:
            if await self._has_crashed(replica):
                self._crashed(replica, self._broken[replica])
        finally:
            del self._broken[replica], self._tasks[replica]

    async def _has_crashed(self, replica):
        limit = deadline_in(GONE_WITHIN)
        for pause in PROBE_PAUSES:
            await asyncio.sleep(pause)
            reached = await self._client.reach(replica)
            if isinstance(reached, Refused):
                return True
        if reached is True:
            return False
        while not passed(limit):
            if self._replicas.get(replica.identity) is not replica:
                return not replica.listing.leaving
            if not replica.state.failures:
                return False
            await asyncio.sleep(LIST_PAUSE)
        return False

    def _crashed(self, replica, running):
        CRASHES.inc({})
        name = f"{replica.identity[:LONGEST_NAME]}@{replica.listing.born}"
        for fingerprint in running:
            self._crashes.crashed(fingerprint, name)
            self._tell(fingerprint, [name])
        note(
            "replica.crashed",
            replica=replica.identity,
            address=replica.listing.address,
            requests=list(running.values()),
            fingerprints=list(running),
            crashes=[len(self._crashes.replicas(one)) for one in running],
        )
        KNOWN.set({}, len(self._crashes))

    def _tell(self, fingerprint, replicas, value=None):
        if self._log is None:
            return
        for replica in replicas:
            key = f"{fingerprint}/{replica}"
            self._waiting[key] = self._name.encode() if value is None else value
        while len(self._waiting) > MOST_WAITING:
            del self._waiting[next(iter(self._waiting))]
        self._wake.set()
