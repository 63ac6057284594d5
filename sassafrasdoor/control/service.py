"""The RPC interface of a control process to its entry and its peers."""

import json

from sassafrasdoor import metrics
from sassafrasdoor.control import messages
from sassafrasdoor.events import EVENTS

MAX_EXCHANGE_WAIT = 10.0  # seconds
MAX_CONFIRM_WAIT = 2.0  # seconds
MAX_EVENTS_PER_CALL = 1000


class ControlService(messages.SCHEMA.Control.Server):
    """Implements ``control.capnp`` on top of a ``ControlProcess``."""

    def __init__(self, process):
        self._process = process

    async def exchange_context(self, context):
        request, results = context.params, context.results
        EVENTS.clock.observe(request.stamp)
        process = self._process
        number = process.source.known_number(request.known)
        process.handle_entry_report(
            request.addresses.entry,
            request.addresses.peer,
            messages.report_from(request.report),
            number,
        )
        await process.source.wait(number, min(MAX_EXCHANGE_WAIT, request.waitMs / 1000))
        results.update = process.source.update(number)
        results.stamp = EVENTS.clock.stamp()

    async def confirm_context(self, context):
        request, results = context.params, context.results
        EVENTS.clock.observe(request.stamp)
        await self._process.confirm(min(MAX_CONFIRM_WAIT, request.waitMs / 1000))
        source = self._process.source
        results.update = source.update(source.known_number(request.known))
        results.stamp = EVENTS.clock.stamp()

    async def fetch_context(self, context):
        request, results = context.params, context.results
        EVENTS.clock.observe(request.stamp)
        state_sync = self._process.state_sync
        results.asOf, results.state = state_sync.state_for_peer(
            request.asOf, request.accepted
        )
        age = messages.age_fields(self._process.source.confirmed_at)
        results.confirmed = age["confirmed"]
        results.confirmedAgeMs = age["confirmedAgeMs"]
        results.confirmedHops = state_sync.hops
        results.stamp = EVENTS.clock.stamp()

    async def events(self, since, stamp, _context, **_):
        EVENTS.clock.observe(stamp)
        results = _context.results
        results.events = [
            {
                "stamp": event.stamp,
                "process": event.process,
                "kind": event.kind,
                "fields": json.dumps(event.fields),
            }
            for event in EVENTS.since(since)[:MAX_EVENTS_PER_CALL]
        ]
        results.stamp = EVENTS.clock.stamp()

    async def leave(self, stamp, _context, **_):
        EVENTS.clock.observe(stamp)
        self._process.leave()
        return EVENTS.clock.stamp()

    async def listing(self, stamp, _context, **_):
        EVENTS.clock.observe(stamp)
        results = _context.results
        known = self._process.source.backends
        results.backends = [messages.backend_message(backend) for backend in known]
        results.stamp = EVENTS.clock.stamp()

    async def metrics(self, stamp, _context, **_):
        EVENTS.clock.observe(stamp)
        _context.results.text = metrics.exposition()[0].decode()
        _context.results.stamp = EVENTS.clock.stamp()

    async def report_context(self, context):
        request, results = context.params, context.results
        EVENTS.clock.observe(request.stamp)
        report = messages.report_from(request.report)
        grants = self._process.quota.route_report(request.service, report)
        if grants is not None:
            results.granted = True
            results.grants = messages.grant_set_message(grants)
        results.stamp = EVENTS.clock.stamp()
