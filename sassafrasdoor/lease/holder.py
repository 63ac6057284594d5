"""Claims and renews a fenced lease over the platform's log.

Log order alone decides which claim is accepted (``claims.fold``). Each process uses
its own clock only to stop early and to start late:

- a holder measures from before it *sent* its last accepted claim;
- a successor measures from after it first *saw* that claim, which is later. Once
  the lease duration has passed there, the old holder has stopped; its orders have
  ended after another ``max_order_duration``.

A backend server that ignores fencing numbers may still receive an order whose sender
was frozen between its check and its send; no clock prevents that. So orders are
idempotent and the new holder reads back what the backend server reports.
"""

import asyncio
import contextlib
import uuid

from sassafrasdoor import clock
from sassafrasdoor.events import EVENTS
from sassafrasdoor.lease.claims import NO_EPOCH, VACANT
from sassafrasdoor.logs import changed
from sassafrasdoor.metrics import counter
from sassafrasdoor.outcomes import Unavailable

CHECKS_PER_RENEWAL = 8
MAX_PENDING_CLAIMS = 16
LONG_AGO = 0.0

CLAIMS = counter("lease_claims_total", "Claims appended, by result.")
PAUSES = counter("lease_pauses_total", "Times that a holder found it had not run.")


class Holder:
    """Claims and renews the lease ``name``; read ``fence`` right before each use.

    ``leases(state)`` returns the leases in the follower's state, and ``may_claim()``
    whether this instance may claim a free lease. ``max_order_duration`` is the
    number of seconds that an order of a lapsed holder may still be in flight: a
    successor acts only after that (default: the timeout of an order to an engine).
    """

    __slots__ = (
        "_active_from",
        "_claiming",
        "_deadline",
        "_follower",
        "_is_releasing",
        "_log",
        "_name",
        "_next_claim",
        "_pauses",
        "_observed",
        "_observed_at",
        "_claims_sent_at",
        "_settings",
        "_max_order_duration",
        "_was_held",
        "identity",
        "leases",
        "may_claim",
    )

    def __init__(
        self,
        settings,
        log,
        follower,
        name,
        leases=lambda state: state.leases,
        may_claim=lambda: True,
        max_order_duration=None,
    ):
        self._settings = settings
        self._max_order_duration = (
            settings.weights.order_timeout
            if max_order_duration is None
            else max_order_duration
        )
        self._log = log
        self._follower = follower
        self._name = name
        self._pauses = clock.PauseDetector(settings.lease.renew_interval)
        self._observed = VACANT
        self._observed_at = clock.now()
        self._claims_sent_at = {}
        self._deadline = LONG_AGO
        self._active_from = LONG_AGO
        self._next_claim = LONG_AGO
        self._claiming = None
        self._is_releasing = False
        self._was_held = False
        # A restarted process is another holder: its predecessor's orders may still
        # be in flight and must be fenced off.
        self.identity = f"{settings.instance.name}/{uuid.uuid4().hex[:12]}"
        self.leases = leases
        self.may_claim = may_claim
        follower.on_change(lambda state: self._observe())

    @property
    def fence(self):
        """The fencing number if this instance may act at this moment, else 0."""
        self._check_pause()
        self._observe()
        if not self._is_mine or clock.passed(self._deadline):
            return NO_EPOCH
        return self._observed.epoch if clock.passed(self._active_from) else NO_EPOCH

    @property
    def deadline(self):
        """The monotonic time at which the lease lapses unless it is renewed."""
        return self._deadline

    async def run(self):
        """Claim and renew the lease until cancelled."""
        try:
            while True:
                self._log_held_change()
                if self.claim_due and self._claiming is None:
                    # In a task of its own: a slow reply of the log must not count
                    # as a pause of this process.
                    self._claiming = asyncio.create_task(self.claim())
                    self._claiming.add_done_callback(self._on_claim_done)
                await asyncio.sleep(
                    self._settings.lease.renew_interval / CHECKS_PER_RENEWAL
                )
        finally:
            if self._claiming:
                self._claiming.cancel()

    @property
    def claim_due(self):
        """Whether to append a claim or a renewal now."""
        self._check_pause()
        self._observe()
        if self._is_releasing or self._follower.confirmed_at is None:
            return False
        if not clock.passed(self._next_claim):
            return False
        if self._is_mine:
            return True
        return self._is_free and self.may_claim()

    async def claim(self):
        """Append a claim on the last record observed; ``fold`` accepts or rejects it."""
        duration = self._settings.lease.renew_interval
        self._next_claim = clock.deadline_in(duration)
        claim_id = uuid.uuid4().hex
        self._record_claim_time(claim_id)
        result = await self._append(claim_id, release=False)
        if isinstance(result, Unavailable):
            self._claims_sent_at.pop(claim_id, None)

    async def release(self):
        """Stop claiming and release the lease, so that a successor may act at once.

        May be called only when no order of this process is in flight.
        """
        # Else this process would claim the lease again right after releasing it.
        self._is_releasing = True
        # A renewal in flight and the release replace the same claim; the renewal
        # would come first and the release would be rejected.
        if self._claiming:
            await asyncio.wait([self._claiming])
        # Before _active_from an earlier holder's orders may still be in flight; a
        # successor that observed a release would not wait for them.
        if not self.fence:
            return
        self._deadline = LONG_AGO
        await self._append(uuid.uuid4().hex, release=True)

    @property
    def _is_mine(self):
        return self._observed.holder == self.identity and not self._observed.released

    @property
    def _is_free(self):
        return self._observed.released or clock.passed(self._lapses_at)

    @property
    def _lapses_at(self):
        return self._observed_at + self._settings.lease.duration

    async def _append(self, claim_id, release):
        body = {
            "kind": "lease",
            "name": self._name,
            "holder": self.identity,
            "replaces": self._observed.offset,
            "id": claim_id,
            "release": release,
        }
        stream = self._settings.platform.agreed_stream
        result = await self._log.append(stream, body)
        CLAIMS.inc({"result": type(result).__name__})
        return result

    def _record_claim_time(self, claim_id):
        self._claims_sent_at[claim_id] = clock.now()
        while len(self._claims_sent_at) > MAX_PENDING_CLAIMS:
            self._claims_sent_at.pop(next(iter(self._claims_sent_at)))

    def _check_pause(self):
        # A paused process has observed neither a successor nor elapsed time. Without
        # this check its first order would be sent under a lease from before.
        if not self._pauses.paused:
            return
        PAUSES.inc({})
        self._claims_sent_at.clear()
        self._deadline = LONG_AGO
        self._next_claim = LONG_AGO
        self._pauses.clear_pause()

    def _observe(self):
        lease = self.leases(self._follower.state).get(self._name, VACANT)
        if lease.offset == self._observed.offset:
            return
        before, lapses_at = self._observed, self._lapses_at
        self._observed, self._observed_at = lease, clock.now()
        if not self._is_mine:
            self._claims_sent_at.clear()
            self._deadline = LONG_AGO
            return
        if lease.epoch != before.epoch:
            self._active_from = LONG_AGO
            if not before.released:
                self._active_from = lapses_at + self._max_order_duration
        sent_at = self._claims_sent_at.pop(lease.claim_id, None)
        if sent_at is not None:
            self._deadline = sent_at + self._settings.lease.duration

    def _log_held_change(self):
        held = bool(self.fence)
        if held != self._was_held:
            EVENTS.add("lease", name=self._name, held=held, epoch=self._observed.epoch)
            changed(
                "lease.held", name=self._name, held=held, epoch=self._observed.epoch
            )
        self._was_held = held

    def _on_claim_done(self, task):
        self._claiming = None
        with contextlib.suppress(asyncio.CancelledError):
            task.result()
