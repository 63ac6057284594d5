"""A row's hard limit in real processes while an instance is cut off."""

import asyncio

from sassafrasdoor.cluster import TABLE
from sassafrasdoor.requests.tests.cases import SHORT_TIMEOUTS, ProcessCase
from sassafrasdoor.support import until


class HardLimitTest(ProcessCase):
    async def test_limit_holds_while_an_instance_is_cut_off(self):
        """Guards against a row that exceeds its hard limit after a failure.

        Three instances are under load. One of them, possibly the quota holder, loses
        its control process and continues to serve. Slots that it may still use must not
        be granted to others.
        """
        short_timeouts = {
            **SHORT_TIMEOUTS,
            "admission": {"grant_duration": 1.5, "overhang": 2.0},
        }
        cluster = await self.cluster(short_timeouts, instances=3, engines=1, services=1)
        limited = [
            {**row, "limit": 0.25} if row["name"] == "once" else row
            for row in TABLE["rows"]
        ]
        _, status = await cluster.get(cluster.instances[0].address, "/v1/status")
        await cluster.propose({"rows": limited}, status["revision"], "limited")
        await self.service_faults(delay=0.3)
        self.max_running = 0
        callers = [
            asyncio.ensure_future(self.call_repeatedly(instance))
            for instance in cluster.instances
            for _ in range(12)
        ]
        sampling = asyncio.ensure_future(self.sample_running_calls())
        try:
            await until(lambda: self.is_limit_applied(status["revision"]))
            # Grants under the previous table may still be in transit to each instance.
            for _ in range(2):
                before = await self.grant_numbers()
                await until(lambda previous=before: self.has_renewed_grants(previous))
            await until(lambda: self.is_limit_applied(status["revision"]))
            self.max_running = 0
            await until(lambda: self.max_running >= 10, what="calls up to the limit")
            await until(self.has_even_shares, what="an equal share for each instance")
            cut, *living = cluster.instances
            before = await self.slots("once", living)
            cut.control.freeze()
            await until(
                lambda: self.is_declared_dead(cut, living),
                what="declaring the instance dead",
            )
            await self.until_or_show_quotas(
                lambda: self.has_taken_over_slots(living, before),
                "takeover of its slots",
            )
            self.running_now = 0
            await until(
                lambda: self.running_now >= 8, what="calls in the remaining slots"
            )
            self.assertGreater(await self.slots("once", [cut]), 0)
        finally:
            for task in (*callers, sampling):
                task.cancel()
        self.assertLessEqual(self.max_running, 16)

    async def grant_numbers(self):
        """Return the number of the current grant at each instance."""
        statuses = [
            await self.cluster.get(instance.address, "/v1/status")
            for instance in self.cluster.instances
        ]
        return [status["quota"]["once"]["grant_number"] for _, status in statuses]

    async def has_renewed_grants(self, previous):
        """Return whether every instance uses a later grant than the previous ones."""
        newer = await self.grant_numbers()
        return all(new > old for new, old in zip(newer, previous, strict=True))

    async def has_even_shares(self):
        """Return whether each has about a third of the limit and of the fallback."""
        statuses = [
            await self.cluster.get(instance.address, "/v1/status")
            for instance in self.cluster.instances
        ]
        quotas = [status["quota"]["once"] for _, status in statuses]
        fallbacks = [quota["fallback"] or 0 for quota in quotas]
        shares = [quota["allowed"] for quota in quotas]
        return min(shares) >= 4 and min(fallbacks) >= 2 and sum(fallbacks) == 8

    async def is_declared_dead(self, cut, living):
        """Return whether the other instances have declared the cut-off one dead."""
        for instance in living:
            _, status = await self.cluster.get(instance.address, "/v1/status")
            states = {member["name"]: member["state"] for member in status["members"]}
            if states.get(cut.name, "dead") != "dead":
                return False
        return True

    async def until_or_show_quotas(self, condition, what):
        """Wait for a condition; on failure, add all quotas to the message."""
        try:
            await until(condition, what=what)
        except AssertionError as error:
            statuses = [
                await self.cluster.get(instance.address, "/v1/status")
                for instance in self.cluster.instances
            ]
            quotas = [status["quota"]["once"] for _, status in statuses]
            raise AssertionError(f"{error}: {quotas}") from error

    async def has_taken_over_slots(self, living, before):
        """Return whether the living instances were granted more slots than before."""
        return await self.slots("once", living) > before

    async def call_repeatedly(self, instance):
        """Call in a loop, one call at a time."""
        while True:
            await self.send_request(instance, "once", X_Deadline_Ms="5000")

    async def sample_running_calls(self):
        """Sample the number of running calls at the service."""
        while True:
            self.running_now = await self.running_calls("service-1")
            self.max_running = max(self.max_running, self.running_now)
            await asyncio.sleep(0.05)

    async def is_limit_applied(self, revision):
        """Return whether no grant under the previous table is in use."""
        for instance in self.cluster.instances:
            _, status = await self.cluster.get(instance.address, "/v1/status")
            if status["revision"] <= revision:
                return False
        within = await self.slots("once", self.cluster.instances) <= 16
        return within and await self.running_calls("service-1") <= 16
