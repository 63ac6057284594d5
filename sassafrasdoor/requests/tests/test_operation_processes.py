"""Requests through real processes during a log outage and while processes leave."""

import asyncio
import json
import unittest

from sassafrasdoor.cluster import KEYS
from sassafrasdoor.requests.tests.cases import (
    GENERATE_BODY,
    SHORT_TIMEOUTS,
    ProcessCase,
)
from sassafrasdoor.standin.proxy import Proxy
from sassafrasdoor.support import until

# Two rows without demand share the 64 slots of a plain service, over two instances.
EQUAL_SHARES = [16, 16]


class OutageTest(ProcessCase):
    async def test_calls_continue_without_a_quota_holder(self):
        """Guards against refusing every call while the log is down.

        The log is down for longer than the quota lease and its grants, so all grants
        lapse and no instance may renew them.
        """
        cluster = await self.cluster(instances=2, engines=1, services=1)
        # Right after the start, one instance may hold slots that the other has released
        # or not yet reported for, so the shares are not equal yet.
        await until(lambda: self.has_equal_shares())
        await cluster.platform_faults(down=True)
        await until(lambda: self.has_fallen_back())
        for instance in cluster.instances * 5:
            reply = await self.send_request(instance, "idempotent")
            self.assertEqual(reply.code, 200, reply.body)
        await cluster.platform_faults(down=False)
        await until(lambda: self.has_equal_shares())

    async def has_equal_shares(self):
        """Return whether a holder grants each instance an equal share of the slots."""
        slots = [
            await self.slots("idempotent", [instance])
            for instance in self.cluster.instances
        ]
        return self.has_quota_holder() and slots == EQUAL_SHARES

    async def has_fallen_back(self):
        """Return whether all grants have lapsed and only fallback slots are left."""
        left = await self.slots("idempotent", self.cluster.instances)
        return not self.has_quota_holder() and left <= sum(EQUAL_SHARES)

    def has_quota_holder(self):
        """Return whether an instance logged that it holds the lease on the quota."""
        return any(
            self.last_lease_line(instance).get("held")
            for instance in self.cluster.instances
        )

    def last_lease_line(self, instance):
        """Return the fields of the last log line of an instance about that lease."""
        lines = [
            json.loads(line)
            for line in instance.control.output
            if "lease.held" in line and "quota/occupancy" in line
        ]
        return lines[-1] if lines else {}


class LeavingTest(ProcessCase):
    async def test_leaving_server_gets_no_calls_despite_a_lagging_list(self):
        """Guards against a leaving server that gets calls until it is gone.

        A server starts to leave while the instance list lags by 60 s and one instance
        cannot read it. The server's own load report must be enough.
        """
        cluster = await self.cluster(instances=1, engines=1, services=2)
        proxy = await Proxy(cluster.platform_url.removeprefix("http://")).open()
        self.addAsyncCleanup(proxy.close)
        cut = cluster.start_instance(
            "entry-cut", "zone-b", instances_url=f"http://{proxy.address}"
        )
        await cluster.wait_ready()
        await until(lambda: self.is_served(cut, "idempotent"))
        proxy.freeze()
        await cluster.platform_faults(list_lag=60)
        await cluster.faults("service-1", leaving=True)
        await until(lambda: self.gets_no_calls("service-1", 20))
        before = (await cluster.truth("service-1"))["total"]
        for instance in cluster.instances * 20:
            self.assertEqual(
                (await self.send_request(instance, "idempotent")).code, 200
            )
        self.assertEqual((await cluster.truth("service-1"))["total"], before)

    async def gets_no_calls(self, name, calls):
        """Send calls to every instance; return whether none reached the server."""
        before = (await self.cluster.truth(name))["total"]
        for instance in self.cluster.instances * calls:
            await self.send_request(instance, "idempotent")
        return (await self.cluster.truth(name))["total"] == before

    async def test_planned_stop_cuts_nobody_off(self):
        """Guards against calls that fail at every restart.

        An instance is stopped as planned while calls and streams run. It must not end
        before their last byte.
        """
        cluster = await self.cluster(instances=2, engines=1, services=1)
        # Long enough for all of them to run side by side on a loaded machine.
        await self.service_faults(delay=3.0)
        leaving = cluster.instances[0]
        running = [
            asyncio.ensure_future(call)
            for call in (
                *[self.send_request(leaving, "once") for _ in range(10)],
                *[self.generate(leaving, max_tokens=1000) for _ in range(3)],
            )
        ]
        await until(lambda: self.has_in_progress(leaving, 13))
        leaving.entry.signal(15)
        replies = await asyncio.gather(*running)
        self.assertEqual({reply.code for reply in replies[:10]}, {200})
        self.assertEqual({status for status, _ in replies[10:]}, {200})
        await until(lambda: leaving.entry.returncode == 0)

    async def test_planned_stop_refuses_streams_that_it_would_cut_off(self):
        """Guards against streams that are accepted in a stop and cut off at its end."""
        cluster = await self.cluster(
            {**SHORT_TIMEOUTS, "drain": {"spread": 3.0, "deadline": 1.0}},
            instances=2,
            engines=1,
            services=1,
            engine_options=("--token-rate", "30"),
        )
        leaving = cluster.instances[0]
        for _ in range(10):
            reply = await self.send_request(leaving, "idempotent")
            self.assertEqual(reply.code, 200)
        leaving.entry.signal(15)
        # Callers that renew their addresses have left by then.
        await asyncio.sleep(1.5)
        path, fields = "/v1/generate/chat", {"max_tokens": 2000, "stream": True}
        reply = await cluster.raw(
            "POST", leaving.address, path, KEYS["chat"], {**GENERATE_BODY, **fields}
        )
        self.assertEqual(reply.code, 503)
        self.assertEqual(reply.headers["Retry-After"], "0")
        self.assertEqual(reply.headers["X-Outcome"], "not-run")
        reply = await self.send_request(leaving, "idempotent")
        self.assertEqual(reply.code, 200)
        await until(lambda: leaving.entry.returncode == 0)

    async def has_in_progress(self, instance, count):
        """Return whether an instance has at least ``count`` requests in progress."""
        _, status = await self.cluster.get(instance.address, "/v1/status")
        return status["requests"]["in_progress"] >= count


if __name__ == "__main__":
    unittest.main()
