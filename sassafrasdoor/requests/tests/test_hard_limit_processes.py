"""A row's hard limit in real processes, while an instance is cut off."""

import asyncio

from sassafrasdoor.cluster import TABLE
from sassafrasdoor.requests.tests.cases import QUICK, ProcessCase
from sassafrasdoor.support import until


class HardLimitTest(ProcessCase):
    async def test_limit_holds_while_an_instance_is_cut_off(self):
        """Symptom: a row uses more than its hard limit after a failure.

        Sequence: callers press at three instances; one loses its control
        process, perhaps the holder of the quota, and goes on serving. Cause:
        its slots were given away although it may still use some of them.
        """
        quick = {**QUICK, "admission": {"grant_duration": 1.5, "overhang": 2.0}}
        cluster = await self.cluster(quick, instances=3, engines=1, services=1)
        limited = [
            {**row, "limit": 0.25} if row["name"] == "once" else row
            for row in TABLE["rows"]
        ]
        _, status = await cluster.get(cluster.instances[0].address, "/v1/status")
        await cluster.propose({"rows": limited}, status["revision"], "limited")
        await self.service_faults(delay=0.3)
        self.most = 0
        pressing = [
            asyncio.ensure_future(self.press(instance))
            for instance in cluster.instances
            for _ in range(12)
        ]
        watching = asyncio.ensure_future(self.watch())
        try:
            await until(lambda: self.limit_known(status["revision"]))
            # A grant of the table before may still be on its way to each of them.
            for _ in range(2):
                before = await self.grant_numbers()
                await until(lambda seen=before: self.all_renewed(seen))
            await until(lambda: self.limit_known(status["revision"]))
            self.most = 0
            await until(lambda: self.most >= 10, what="use of the limit")
            await until(self.shares_are_even, what="a share for everybody")
            cut, *living = cluster.instances
            before = await self.slots("once", living)
            cut.control.freeze()
            await until(lambda: self.buried(cut, living), what="news of it")
            await self.until_told(lambda: self.took_over(living, before), "its slots")
            self.now = 0
            await until(lambda: self.now >= 8, what="use of what is left")
            self.assertGreater(await self.slots("once", [cut]), 0)
        finally:
            for task in (*pressing, watching):
                task.cancel()
        self.assertLessEqual(self.most, 16)

    async def grant_numbers(self):
        """Return the number of the grant that each instance now uses."""
        statuses = [
            await self.cluster.get(one.address, "/v1/status")
            for one in self.cluster.instances
        ]
        return [status["quota"]["once"]["grant_number"] for _, status in statuses]

    async def all_renewed(self, seen):
        """Say whether every instance uses a later grant than those seen."""
        newer = await self.grant_numbers()
        return all(new > old for new, old in zip(newer, seen, strict=True))

    async def shares_are_even(self):
        """Say whether each has about a third of the limit and of the fallback."""
        statuses = [
            await self.cluster.get(one.address, "/v1/status")
            for one in self.cluster.instances
        ]
        quotas = [status["quota"]["once"] for _, status in statuses]
        fallbacks = [quota["fallback"] or 0 for quota in quotas]
        shares = [quota["allowed"] for quota in quotas]
        return min(shares) >= 4 and min(fallbacks) >= 2 and sum(fallbacks) == 8

    async def buried(self, cut, living):
        """Say whether the others take the one cut off for dead."""
        for instance in living:
            _, status = await self.cluster.get(instance.address, "/v1/status")
            states = {one["name"]: one["state"] for one in status["members"]}
            if states.get(cut.name, "dead") != "dead":
                return False
        return True

    async def until_told(self, condition, what):
        """Wait for a condition; one that never comes true shows all quotas."""
        try:
            await until(condition, what=what)
        except AssertionError as error:
            statuses = [
                await self.cluster.get(one.address, "/v1/status")
                for one in self.cluster.instances
            ]
            quotas = [status["quota"]["once"] for _, status in statuses]
            raise AssertionError(f"{error}: {quotas}") from error

    async def took_over(self, living, before):
        """Say whether the living were granted more than they had."""
        return await self.slots("once", living) > before

    async def press(self, instance):
        """Call as often as possible, one call at a time."""
        while True:
            await self.ask(instance, "once", X_Deadline_Ms="5000")

    async def watch(self):
        """Follow how many calls run at the service."""
        while True:
            self.now = await self.busy("service-1")
            self.most = max(self.most, self.now)
            await asyncio.sleep(0.05)

    async def limit_known(self, revision):
        """Say whether nothing is granted under the table before any more."""
        for instance in self.cluster.instances:
            _, status = await self.cluster.get(instance.address, "/v1/status")
            if status["revision"] <= revision:
                return False
        within = await self.slots("once", self.cluster.instances) <= 16
        return within and await self.busy("service-1") <= 16
