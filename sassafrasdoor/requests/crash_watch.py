"""Detects replica crashes and quarantines the requests that cause them.

Crashes are shared through a keyed topic of the log, because a caller may send the same
request to another instance, or again after an instance has restarted. The key of a
record is ``<request fingerprint>/<crashed replica>``.
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
from sassafrasdoor.requests.crashes import CrashHistory, State

TOPIC = "keyed.crashes"
PROBE_DELAYS = (0.0, 0.3)  # seconds before each connection probe of the replica
LISTING_CHECK_INTERVAL = 0.25  # seconds, used when the probes are inconclusive
# Seconds after a broken connection within which the end of the replica's listing
# confirms a crash: three heartbeats plus a slow read of the list.
CRASH_CONFIRM_TIMEOUT = 6.0
SUSPECT_WAIT_TIMEOUT = 1.0  # seconds to wait for crash checks between two suspects
APPEND_TIMEOUT = 1.0  # seconds
APPEND_RETRY_INTERVAL = 0.25  # seconds
MAX_PENDING_RECORDS = 4096  # records not yet in the log; the oldest are dropped
EXPIRY_INTERVAL = 60.0  # seconds
MAX_IDENTITY_LENGTH = 128  # characters, since a record's key is limited to 255 bytes

CRASHES = counter(
    "replica_crashes_total", "Replicas that broke a connection and ended."
)
QUARANTINED = counter(
    "requests_quarantined_total", "Requests not sent, since they crash replicas."
)
TRACKED_REQUESTS = gauge(
    "crash_requests_known", "Requests under which a replica has crashed."
)


class Quarantined(Unknown):
    """The request ran before, under other request ids, and crashed the replicas."""

    __slots__ = ()


class CrashWatch:
    """Checks replicas after broken connections and tracks which requests crash them.

    Without a ``log``, only crashes detected by this instance are known.
    ``is_expiry_owner()`` returns whether this instance deletes expired records in the
    log.
    """

    __slots__ = (
        "_checks",
        "_client",
        "_history",
        "_instance_name",
        "_interrupted_requests",
        "_is_expiry_owner",
        "_lock_releases",
        "_log",
        "_pending_records",
        "_replicas",
        "_suspect_locks",
        "_wake",
    )

    def __init__(
        self,
        client,
        replicas,
        log=None,
        instance_name="",
        is_expiry_owner=lambda: False,
    ):
        self._client = client
        self._replicas = replicas
        self._log = log
        self._instance_name = instance_name
        self._is_expiry_owner = is_expiry_owner
        self._history = CrashHistory()
        self._interrupted_requests = {}
        self._checks = {}
        self._suspect_locks = {}
        self._lock_releases = set()
        self._pending_records = {}
        self._wake = asyncio.Event()

    @property
    def is_checking(self):
        """Whether a crash check of a replica is in progress."""
        return bool(self._checks)

    @property
    def has_unpublished_records(self):
        """Whether records are waiting for an acknowledgement by the log."""
        return bool(self._pending_records)

    def refusal(self, request):
        """Return ``Quarantined``, logged, if a request must not be sent, else None."""
        if not self.is_quarantined(request):
            return None
        QUARANTINED.inc({})
        fingerprint = request.fingerprint
        replicas = self._history.replicas(fingerprint)
        note(
            "request.quarantined",
            request=request.request_id,
            fingerprint=fingerprint,
            crashes=len(replicas),
            replicas=replicas,
        )
        if self._history.record_arrival(fingerprint):
            self._enqueue(fingerprint, replicas[:1])
        return Quarantined(f"the request has crashed {len(replicas)} replicas")

    def is_quarantined(self, request):
        """Return whether a request must not be sent."""
        return self._state(request) is State.QUARANTINED

    def is_suspect(self, request):
        """Return whether a request is suspected of crashing replicas."""
        return self._state(request) is State.SUSPECT

    @contextlib.asynccontextmanager
    async def suspect_lock(self, service):
        """Let the suspects of a service run one at a time.

        The next suspect waits for the crash checks of the previous one, up to
        ``SUSPECT_WAIT_TIMEOUT``. Otherwise a crash could not be attributed to one of
        them.
        """
        lock = self._suspect_locks.setdefault(service, asyncio.Lock())
        await lock.acquire()
        try:
            yield
        finally:
            # In the background, so that the caller gets its answer without the wait.
            release_task = asyncio.ensure_future(self._release_after_checks(lock))
            self._lock_releases.add(release_task)
            release_task.add_done_callback(self._lock_releases.discard)

    async def _release_after_checks(self, lock):
        try:
            if self._checks:
                await asyncio.wait(self._checks.values(), timeout=SUSPECT_WAIT_TIMEOUT)
        finally:
            lock.release()

    def record_result(self, request, replica, result):
        """Process the result of a send; ``result`` is True for a complete stream."""
        if isinstance(result, Broken):
            if result.began:
                self._start_check(request, replica)
        elif result is True or (
            isinstance(result, Answer) and result.status < SERVER_ERROR
        ):
            self._clear_answered_request(request)

    def apply_record(self, key, value):
        """Apply a log record: a crash, or its removal if ``value`` is empty."""
        fingerprint, separator, replica = key.partition("/")
        if not separator:
            note("crash.record_unreadable", key=key)
        elif not value:
            self._history.remove_crash(fingerprint, replica)
        elif self._history.add_crash(fingerprint, replica):
            note(
                "crash.learned",
                fingerprint=fingerprint,
                replica=replica,
                crashes=len(self._history.replicas(fingerprint)),
                state=self._history.state(fingerprint).value,
                by=value.decode("utf-8", "replace")[:MAX_IDENTITY_LENGTH],
            )
        TRACKED_REQUESTS.set({}, len(self._history))

    async def run(self):
        """Append pending records to the log until cancelled."""
        while True:
            await self._wake.wait()
            batch = dict(self._pending_records)
            records = [keyed_record(key, value) for key, value in batch.items()]
            deadline = deadline_in(APPEND_TIMEOUT)
            result = await self._log.append(TOPIC, 0, records, deadline)
            if isinstance(result, Outcome):
                note("crash.not_told", records=len(batch), reason=result.reason)
                await asyncio.sleep(APPEND_RETRY_INTERVAL)
                continue
            for key, value in batch.items():
                if self._pending_records.get(key) == value:
                    del self._pending_records[key]
            if not self._pending_records:
                self._wake.clear()

    async def expire(self):
        """Drop expired crashes until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL)
            for fingerprint in self._history.expired():
                self._drop_crashes(fingerprint, publish=self._is_expiry_owner())

    def _state(self, request):
        # Skips the request's digest in the usual case that no crash is known.
        if not len(self._history):
            return State.CLEAR
        return self._history.state(request.fingerprint)

    def _clear_answered_request(self, request):
        if not len(self._history):
            return
        fingerprint = request.fingerprint
        if self._history.replicas(fingerprint):
            note("crash.cleared", request=request.request_id, fingerprint=fingerprint)
            self._drop_crashes(fingerprint, publish=True)

    def _drop_crashes(self, fingerprint, publish):
        replicas = self._history.replicas(fingerprint)
        self._history.forget(fingerprint)
        TRACKED_REQUESTS.set({}, len(self._history))
        if publish:
            self._enqueue(fingerprint, replicas, b"")

    def _start_check(self, request, replica):
        request_ids = self._interrupted_requests.setdefault(replica, {})
        request_ids[request.fingerprint] = request.request_id
        if replica not in self._checks:
            self._checks[replica] = asyncio.ensure_future(self._check_replica(replica))

    async def _check_replica(self, replica):
        try:
            if await self._has_crashed(replica):
                self._record_crash(replica, self._interrupted_requests[replica])
        finally:
            del self._interrupted_requests[replica], self._checks[replica]

    async def _has_crashed(self, replica):
        confirm_deadline = deadline_in(CRASH_CONFIRM_TIMEOUT)
        for probe_delay in PROBE_DELAYS:
            await asyncio.sleep(probe_delay)
            probe_result = await self._client.try_connect(replica)
            if isinstance(probe_result, Refused):
                return True
        if probe_result is True:
            return False
        while not passed(confirm_deadline):
            if self._replicas.get(replica.identity) is not replica:
                return not replica.listing.leaving
            if not replica.state.failures:
                return False
            await asyncio.sleep(LISTING_CHECK_INTERVAL)
        return False

    def _record_crash(self, replica, request_ids):
        CRASHES.inc({})
        crashed_replica = (
            f"{replica.identity[:MAX_IDENTITY_LENGTH]}@{replica.listing.born}"
        )
        for fingerprint in request_ids:
            self._history.add_crash(fingerprint, crashed_replica)
            self._enqueue(fingerprint, [crashed_replica])
        note(
            "replica.crashed",
            replica=replica.identity,
            address=replica.listing.address,
            requests=list(request_ids.values()),
            fingerprints=list(request_ids),
            crashes=[len(self._history.replicas(key)) for key in request_ids],
        )
        TRACKED_REQUESTS.set({}, len(self._history))

    def _enqueue(self, fingerprint, replicas, value=None):
        if self._log is None:
            return
        for replica in replicas:
            key = f"{fingerprint}/{replica}"
            self._pending_records[key] = (
                self._instance_name.encode() if value is None else value
            )
        while len(self._pending_records) > MAX_PENDING_RECORDS:
            del self._pending_records[next(iter(self._pending_records))]
        self._wake.set()


class NoCrashWatch:
    """Replaces ``CrashWatch`` for requests that are owed whatever crashes under them.

    They are never refused or delayed, and the crashes under them are no evidence against
    callers' requests with the same content.
    """

    __slots__ = ()

    def refusal(self, request):
        """Return None: every request may be sent."""

    def is_suspect(self, request):
        """Return False: no request runs alone."""
        return False

    def record_result(self, request, replica, result):
        """Ignore the result of a send."""
