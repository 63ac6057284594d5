"""The entry's connection to its own control process."""

import asyncio
import json
import random

from sassafrasdoor import logs, metrics
from sassafrasdoor.admission.grants import Report
from sassafrasdoor.clock import now
from sassafrasdoor.control import messages
from sassafrasdoor.events import EVENTS
from sassafrasdoor.peers.link import PeerLink
from sassafrasdoor.table.rows import table_from
from sassafrasdoor.view import View

# Seconds that control may hold an exchange open; an entry with demand reports more
# often than an idle one.
IDLE_WAIT = 1.0
BUSY_WAIT = 0.3
CALL_TIMEOUT_MARGIN = 2.0  # seconds
RETRY_DELAY = 0.1  # seconds
RETRY_DELAY_MAX = 1.0  # seconds

UPDATES = metrics.counter("control_updates_total", "Updates from control.")
LINK_LOSSES = metrics.counter("control_link_losses_total", "Times control went away.")


class ControlLink:
    """Receives the current ``view``; keeps the last one while control is unreachable.

    A restart of the control process must not interrupt its entry: the last view
    remains in use, its age grows, and the first update of the next session replaces
    all parts.
    """

    __slots__ = (
        "_addresses",
        "_callbacks",
        "_confirm_link",
        "_confirm_opening",
        "_inherited_grants",
        "_known",
        "_link",
        "_is_lost",
        "_report",
        "_settings",
        "_view",
    )

    def __init__(self, settings, address):
        self._settings = settings.steps
        self._link = PeerLink(settings, address, messages.SCHEMA.Control)
        # Of its own: a failed call closes its connection, and an earlier version of
        # control does not know this one.
        self._confirm_link = PeerLink(settings, address, messages.SCHEMA.Control)
        self._confirm_opening = asyncio.Lock()
        self._addresses = {"entry": "", "peer": ""}
        self._report = Report("")
        self._known = {"session": 0, "number": 0}
        self._callbacks = []
        self._inherited_grants = {}
        self._is_lost = True
        self._view = View(confirmed_at=float("-inf"), grants={})

    @property
    def view(self):
        """The current ``View``; its table is None until one is known."""
        return self._view

    @property
    def connected(self):
        """Whether control answered the last exchange."""
        return not self._is_lost

    def on_change(self, callback):
        """Call ``callback(view)`` with each new view."""
        self._callbacks.append(callback)

    def set_addresses(self, entry_address, peer_address):
        """Set the addresses for callers and peers (``host:port``), sent to control."""
        self._addresses = {"entry": entry_address, "peer": peer_address}

    def set_report(self, report):
        """Set the admission ``Report`` that the next exchange sends."""
        self._report = report

    async def leave(self):
        """Make control announce to all members that this instance is leaving."""
        return await self._link.call("leave", stamp=EVENTS.clock.stamp())

    async def confirm(self, seconds):
        """Have control read the log to its end, for at most some seconds.

        If that is done the view is as new as this call.
        """
        async with self._confirm_opening:
            if not self._confirm_link.connected:
                await self._confirm_link.open()
        sent_at = now()
        answer = await self._confirm_link.call(
            "confirm",
            timeout=seconds + CALL_TIMEOUT_MARGIN,
            known=self._known,
            waitMs=int(seconds * 1000),
            stamp=EVENTS.clock.stamp(),
        )
        if answer:
            EVENTS.clock.observe(answer.stamp)
            self._apply(answer.update, sent_at)

    async def metrics(self):
        """Return control's metrics as text, or ``Unavailable``."""
        answer = await self._link.call("metrics", stamp=EVENTS.clock.stamp())
        return answer.text if answer else answer

    async def run(self):
        """Exchange with control until cancelled."""
        delay = RETRY_DELAY
        try:
            while True:
                if await self._exchange():
                    delay = RETRY_DELAY
                    continue
                self._record_loss()
                await asyncio.sleep(delay * random.uniform(0.5, 1.0))
                delay = min(RETRY_DELAY_MAX, delay * 2)
        finally:
            self._link.close()
            self._confirm_link.close()

    async def _exchange(self):
        if not self._link.connected and await self._link.open() is not None:
            return False
        wait = BUSY_WAIT if self._wants_slots() else IDLE_WAIT
        sent_at = now()
        answer = await self._link.call(
            "exchange",
            timeout=IDLE_WAIT + CALL_TIMEOUT_MARGIN,
            known=self._known,
            waitMs=int(wait * 1000),
            stamp=EVENTS.clock.stamp(),
            addresses=self._addresses,
            report=messages.report_message(self._report),
        )
        if not answer:
            return False
        EVENTS.clock.observe(answer.stamp)
        self._apply(answer.update, sent_at)
        return True

    def _wants_slots(self):
        return any(usage.wanted for usage in self._report.rows.values())

    def _apply(self, update, sent_at):
        if self._is_lost:
            self._is_lost = False
            logs.changed("control:connected", address=self._link.address)
        UPDATES.inc({})
        previous_age = self._view.age
        is_new_session = update.session != self._known["session"]
        # A control process of an earlier version states only the age.
        confirmed_at = update.confirmedAt or messages.confirmed_at_from(update, sent_at)
        self._apply_parts(update, is_new_session, confirmed_at)
        self._log_confirmation(update, previous_age)

    def _apply_parts(self, update, is_new_session, confirmed_at):
        if not is_new_session and update.number == self._known["number"]:
            self._refresh_confirmation(confirmed_at)
            return
        if is_new_session:
            self._inherited_grants = self._view.grants
        self._known = {"session": update.session, "number": update.number}
        self._view = self._merge(update, confirmed_at)
        for callback in self._callbacks:
            callback(self._view)

    def _refresh_confirmation(self, confirmed_at):
        # Only the confirmation is newer. It is the one field of a view that is
        # mutable, as every reader wants its latest value.
        if confirmed_at is not None:
            self._view.confirmed_at = max(self._view.confirmed_at, confirmed_at)

    def _log_confirmation(self, update, previous_age):
        """Log that the view is recent enough again to deliver samples."""
        if previous_age <= self._settings.view_confirm or not update.confirmed:
            return
        if self._view.age <= self._settings.view_confirm:
            logs.changed(
                "control:view-confirmed",
                previous_age=round(previous_age, 3),
                age=round(self._view.age, 3),
                stated_age=update.confirmedAgeMs / 1000,
            )

    def _merge(self, update, confirmed_at):
        old = self._view
        table, revision = self._merged_table(update)
        if confirmed_at is None or update.revision < old.revision:
            confirmed_at = old.confirmed_at
        weights = messages.weights_from(update.weights) if update.hasWeights else {}
        members = _apply_changes(
            {} if update.allMembers else {m.name: m for m in old.members},
            map(messages.member_from, update.members),
            update.goneMembers,
        )
        backends = _apply_changes(
            {} if update.allBackends else {b.name: b for b in old.backends},
            map(messages.backend_from, update.backends),
            update.goneBackends,
        )
        return View(
            number=old.number + 1,
            table=table,
            revision=revision,
            weights=_newest_versions(old.weights, weights),
            members=members,
            backends=backends,
            confirmed_at=confirmed_at,
            grants=self._merged_grants(update),
        )

    def _merged_grants(self, update):
        # A restarted control process has no grants yet. Earlier grants remain valid
        # until they lapse: without them every call would be refused until the
        # holder replies, which takes long while the log is down.
        if not update.hasGrants:
            return self._view.grants
        grants = messages.grants_from(update.grants)
        served = {self._service_of(row) for row in grants}
        kept = {
            row: grant
            for row, grant in self._inherited_grants.items()
            if self._service_of(row) not in served
        }
        return {**kept, **grants}

    def _service_of(self, row_name):
        row = self._view.row(row_name)
        return row.service if row else ""

    def _merged_table(self, update):
        # A restarted control process may have an older revision than the one in
        # force here, or none. The revision never decreases, as adopting an older
        # one would temporarily revert the table.
        old = self._view
        if not update.hasTable or not update.table or update.revision <= old.revision:
            return old.table, old.revision
        table = table_from(json.loads(update.table))
        if not table:
            logs.changed("control:table-unreadable", reason=table.reason)
            return old.table, old.revision
        EVENTS.add("table-in-force", revision=update.revision)
        return table, update.revision

    def _record_loss(self):
        if not self._is_lost:
            self._is_lost = True
            LINK_LOSSES.inc({})
            logs.changed("control:lost", address=self._link.address)


def _apply_changes(known, changed, removed):
    for name in removed:
        known.pop(name, None)
    known |= {item.name: item for item in changed}
    return known.values()


def _newest_versions(old, new):
    return {
        model: max(old.get(model, 0), new.get(model, 0)) for model in {**old, **new}
    }
