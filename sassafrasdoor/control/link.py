"""The entry's end of the link to its own control process."""

import asyncio
import json
import random

from sassafrasdoor import logs, metrics
from sassafrasdoor.admission.grants import Report
from sassafrasdoor.control import messages
from sassafrasdoor.events import EVENTS
from sassafrasdoor.peers.link import PeerLink
from sassafrasdoor.table.rows import table_from
from sassafrasdoor.view import View

# How long control may hold an exchange open, in seconds: an entry that has work
# reports what it wants more often than one that has none.
IDLE_WAIT = 1.0
BUSY_WAIT = 0.3
CALL_TIMEOUT_MARGIN = 2.0
RETRY_DELAY = 0.1
RETRY_DELAY_MAX = 1.0

UPDATES = metrics.counter("control_updates_total", "Updates from control.")
LINK_LOSSES = metrics.counter("control_link_losses_total", "Times control went away.")


class ControlLink:
    """Keeps the newest ``view``; while control is away the last one stays.

    A control process that restarts must not take its entry down with it: the
    last view goes on to serve, its age grows, and the next session's first
    update replaces all parts.
    """

    __slots__ = (
        "_addresses",
        "_callbacks",
        "_inherited_grants",
        "_known",
        "_link",
        "_is_lost",
        "_report",
        "_view",
    )

    def __init__(self, settings, address):
        self._link = PeerLink(settings, address, messages.SCHEMA.Control)
        self._addresses = {"entry": "", "peer": ""}
        self._report = Report("")
        self._known = {"session": 0, "number": 0}
        self._callbacks = []
        self._inherited_grants = {}
        self._is_lost = True
        self._view = View(confirmed_at=float("-inf"), grants={})

    @property
    def view(self):
        """The newest ``View``; its table is None until one is known."""
        return self._view

    @property
    def connected(self):
        """Whether control answered the last exchange."""
        return not self._is_lost

    def on_change(self, callback):
        """Call ``callback(view)`` with each new view."""
        self._callbacks.append(callback)

    def set_addresses(self, entry_address, peer_address):
        """Tell where callers and peers reach this entry, as ``host:port``."""
        self._addresses = {"entry": entry_address, "peer": peer_address}

    def set_report(self, report):
        """Tell the ``Report`` of admission; sent with the next exchange."""
        self._report = report

    async def leave(self):
        """Have control tell all members that this instance is leaving."""
        return await self._link.call("leave", stamp=EVENTS.clock.stamp())

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

    async def _exchange(self):
        if not self._link.connected and await self._link.open() is not None:
            return False
        wait = BUSY_WAIT if self._wants_slots() else IDLE_WAIT
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
        self._apply(answer.update)
        return True

    def _wants_slots(self):
        return any(usage.wanted for usage in self._report.rows.values())

    def _apply(self, update):
        if self._is_lost:
            self._is_lost = False
            logs.changed("control:connected", address=self._link.address)
        UPDATES.inc({})
        is_new_session = update.session != self._known["session"]
        if not is_new_session and update.number == self._known["number"]:
            self._refresh_confirmation(update)
            return
        if is_new_session:
            self._inherited_grants = self._view.grants
        self._known = {"session": update.session, "number": update.number}
        self._view = self._merge(update)
        for callback in self._callbacks:
            callback(self._view)

    def _refresh_confirmation(self, update):
        # The number stays and only the confirmation is younger. A view is
        # immutable but for this one hint, which every reader wants newest.
        confirmed_at = messages.confirmed_at_from(update)
        if confirmed_at is not None:
            self._view.confirmed_at = max(self._view.confirmed_at, confirmed_at)

    def _merge(self, update):
        old = self._view
        table, revision = self._merged_table(update)
        confirmed_at = messages.confirmed_at_from(update)
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
        # A restarted control process knows no grants yet. Those of before hold
        # until they lapse: without them every call would be refused until the
        # holder answers, and for long while the log is down.
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
        # A control process that just restarted may know an older revision than
        # the one in force here, or none. Taking it would revert the table for
        # a while; one would notice the revision fall. So it only goes forward.
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
