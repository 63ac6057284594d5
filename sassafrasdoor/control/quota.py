"""Leased quota between instances: reports to the holders, grants to the entry.

The holder of the lease ``quota/{service}`` allocates the service's capacity
(``admission.allocator``). This instance reports its entry's demand and use to the
holder of each service, and passes the grants that it gets on to the entry.
"""

import asyncio

from sassafrasdoor import metrics
from sassafrasdoor.admission.allocator import Allocator
from sassafrasdoor.admission.grants import Report
from sassafrasdoor.admission.quota import capacity_of
from sassafrasdoor.clock import now
from sassafrasdoor.control import messages
from sassafrasdoor.events import EVENTS
from sassafrasdoor.lease.holder import Holder
from sassafrasdoor.outcomes import Unavailable
from sassafrasdoor.peers.link import PeerLink
from sassafrasdoor.view import Grant, View

# In a grant's lifetime, so that it outlasts one lost report. The holder makes grants
# last longer when many instances report to it, which makes reports rarer.
IDLE_REPORTS_PER_GRANT = 3
MAX_REPORTS_PER_GRANT = 10  # when the entry wants more slots than granted

REPORTS = metrics.counter("quota_reports_total", "Reports sent, by result.")


def lease_name(service):
    """Return the name of the lease on a service's quota."""
    return f"quota/{service}"


class ServiceQuota:
    """The quota of one service, as its holder or as an instance that reports to it.

    ``offers`` pairs the number of a view with the number of the grants first offered
    in it; ``used_number`` is the number of the grants that the entry uses.
    """

    __slots__ = (
        "_allocator",
        "_fence",
        "_grant_lifetime",
        "_link",
        "_plan_inputs",
        "_process",
        "_service",
        "_settings",
        "_report_requested",
        "grants",
        "holder",
        "offers",
        "used_number",
    )

    def __init__(self, settings, process, service):
        self._settings = settings
        self._process = process
        self._service = service
        self._allocator = Allocator(settings)
        self._fence = 0
        self._plan_inputs = None
        self._link = None
        self._grant_lifetime = settings.admission.grant_duration
        self._report_requested = asyncio.Event()
        self.grants = None
        self.offers = []
        self.used_number = 0
        self.holder = Holder(
            settings,
            process.log,
            process.follower,
            lease_name(service),
            may_claim=lambda: process.state_sync.is_chosen(lease_name(service)),
            # No grant outlives the lease under which it was made, so a successor
            # has no orders to wait for; the allocator accounts for fallbacks.
            max_order_duration=0.0,
        )

    def confirm_offers(self, number):
        """Note that the entry uses the grants offered up to view ``number``."""
        while self.offers and self.offers[0][0] <= number:
            self.used_number = self.offers.pop(0)[1]

    def wants_more(self, report):
        """Return whether the entry wants more slots than it was granted."""
        slots = self.grants.slots if self.grants else {}
        return any(
            usage.wanted > slots.get(row, 0) for row, usage in report.rows.items()
        )

    def request_report(self):
        """Send the next report as soon as ``MAX_REPORTS_PER_GRANT`` allows."""
        self._report_requested.set()

    async def run(self):
        """Report to the holder until cancelled."""
        claiming = asyncio.create_task(self.holder.run())
        try:
            while True:
                await self._report()
                min_interval = self._grant_lifetime / MAX_REPORTS_PER_GRANT
                await asyncio.sleep(min_interval)
                await _wait_until_set(
                    self._report_requested,
                    self._grant_lifetime / IDLE_REPORTS_PER_GRANT - min_interval,
                )
                self._report_requested.clear()
        finally:
            claiming.cancel()
            self._close_link()

    async def _report(self):
        report = self._process.quota.report_for(self._service)
        if not report.life:
            return
        sent_at = now()
        grants = await self._request_grants(report, sent_at)
        REPORTS.inc({"result": type(grants).__name__})
        if grants:
            self.grants = grants
            # A lease about to lapse shortens its grants, but not the report interval.
            shortest = self._settings.admission.grant_duration
            self._grant_lifetime = max(shortest, grants.deadline - sent_at)
            self._process.quota.offer(self)

    async def _request_grants(self, report, sent_at):
        if self.holder.fence:
            return self.handle_report(report)
        address = self._holder_address()
        if not address:
            return Unavailable("no holder of the quota lease to report to")
        if self._link is None or self._link.address != address:
            self._close_link()
            self._link = PeerLink(self._settings, address, messages.SCHEMA.Control)
        if not self._link.connected:
            failed = await self._link.open()
            if failed is not None:
                return failed
        answer = await self._link.call(
            "report",
            service=self._service,
            report=messages.report_message(report),
            stamp=EVENTS.clock.stamp(),
        )
        if not answer:
            return answer
        EVENTS.clock.observe(answer.stamp)
        if not answer.granted:
            return None
        return messages.grant_set_from(answer.grants, sent_at)

    def _holder_address(self):
        leases = self._process.follower.state.leases
        lease = leases.get(lease_name(self._service))
        if lease is None or lease.released:
            return ""
        name = lease.holder.partition("/")[0]
        members = self._process.members()
        addresses = (m.control_address for m in members if m.name == name)
        own = self._settings.instance.name
        return "" if name == own else next(addresses, "")

    def _close_link(self):
        if self._link is not None:
            self._link.close()
        self._link = None

    def handle_report(self, report):
        """As the holder, process a report; return a ``GrantSet`` or None."""
        fence = self.holder.fence
        if not fence:
            return None
        if fence != self._fence:
            self._fence = fence
            self._plan_inputs = None
            self._allocator.take_over(fence, self._process.possible_grant_holders())
        self._update_plan()
        return self._allocator.report(report, self.holder.deadline)

    def _update_plan(self):
        table = self._process.follower.state.table
        backends = self._process.source.backends
        if (
            self._plan_inputs
            and self._plan_inputs[0] is table
            and self._plan_inputs[1] is backends
        ):
            return
        self._plan_inputs = (table, backends)
        rows = [row for row in table.rows if row.service == self._service]
        view = View(backends=backends)
        self._allocator.plan(rows, capacity_of(view, self._service))

    def remove_instance(self, name):
        """Remove an instance that has shut down gracefully."""
        self._allocator.remove_instance(name)


class Quota:
    """The quota of all services of the table."""

    __slots__ = ("_process", "_report", "_services", "_settings", "_tasks")

    def __init__(self, settings, process):
        self._settings = settings
        self._process = process
        self._services = {}
        self._tasks = {}
        self._report = Report(settings.instance.name)

    def update_services(self, table):
        """Start the quota of services new in the table, stop that of removed ones."""
        wanted = {row.service for row in table.rows} if table else set()
        for service in wanted - set(self._services):
            quota = ServiceQuota(self._settings, self._process, service)
            self._services[service] = quota
            self._tasks[service] = asyncio.create_task(quota.run())
        for service in set(self._services) - wanted:
            del self._services[service]
            self._tasks.pop(service).cancel()

    def handle_entry_report(self, report, number):
        """Process the entry's report; its view has ``number``."""
        self._report = report
        for service, quota in self._services.items():
            quota.confirm_offers(number)
            if quota.wants_more(self.report_for(service)):
                quota.request_report()

    def report_for(self, service):
        """Return the entry's report for the rows of one service."""
        table = self._process.follower.state.table
        services = {row.name: row.service for row in table.rows} if table else {}
        rows = {
            name: usage
            for name, usage in self._report.rows.items()
            if services.get(name) == service
        }
        quota = self._services.get(service)
        number = quota.used_number if quota else 0
        instance = self._settings.instance.name
        return Report(instance, self._report.life, number, rows)

    def offer(self, changed):
        """Offer all grants to the entry; those of ``changed`` are new."""
        grants = {}
        for quota in self._services.values():
            grants |= _grants_by_row(quota.grants)
        number = self._process.source.set_grants(grants)
        changed.offers.append((number, changed.grants.number))

    def route_report(self, service, report):
        """Process another instance's report; None if not the service's holder."""
        quota = self._services.get(service)
        return quota.handle_report(report) if quota else None

    def remove_instance(self, name):
        """Remove an instance that has shut down gracefully."""
        for quota in self._services.values():
            quota.remove_instance(name)

    async def close(self):
        """Stop all tasks and release the leases."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
        holders = [quota.holder for quota in self._services.values()]
        await asyncio.gather(*(holder.release() for holder in holders))


def _grants_by_row(grants):
    if grants is None:
        return {}
    return {
        row: Grant(slots, grants.deadline, grants.fallback.get(row, 0), grants.number)
        for row, slots in grants.slots.items()
    }


async def _wait_until_set(event, seconds):
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        pass
