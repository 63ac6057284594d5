"""Base class for tests of requests in a cluster of real processes."""

import unittest

from sassafrasdoor.cluster import KEYS, Cluster
from sassafrasdoor.failures import KeepsFailures, TestClock
from sassafrasdoor.support import until

SHORT_TIMEOUTS = {
    "requests": {"first_byte_timeout": 1.5, "gap_timeout": 0.7},
    "admission": {"grant_duration": 1.5},
}
GENERATE_BODY = {"prompt": "how many spaces are free", "max_tokens": 40}


class ProcessCase(KeepsFailures, unittest.IsolatedAsyncioTestCase):
    """Starts a cluster for each test and sends requests to it."""

    async def cluster(self, settings=SHORT_TIMEOUTS, **counts):
        """Start a cluster and wait until all instances have slots."""
        cluster = await self.enterAsyncContext(Cluster(settings))
        self.clock = TestClock()
        self.addCleanup(self.clock.stop)
        self.addCleanup(self.keep_if_failed)
        self.cluster = cluster
        await cluster.start(**counts)
        for instance in cluster.instances:
            for row in ("idempotent", "chat"):
                await until(
                    lambda instance=instance, row=row: self.is_served(instance, row)
                )
        return cluster

    def failure_texts(self):
        """Return the lines of all processes, and the test's pauses."""
        texts = {"test-clock": self.clock.report()}
        for number, process in enumerate(self.cluster.processes.all):
            lines = "\n".join(process.output)
            texts[f"{number}-{process.program}"] = lines
        return texts

    async def is_served(self, instance, row):
        """Return whether an instance has slots for a row's service."""
        if row == "chat":
            status, _ = await self.generate(instance)
            return status == 200
        return (await self.send_request(instance, "idempotent")).code == 200

    async def send_request(self, instance, row, key="", body=None, **headers):
        """Call a row's service at one instance."""
        sent = {name.replace("_", "-"): value for name, value in headers.items()}
        if key:
            sent["Idempotency-Key"] = key
        path = f"/v1/call/{row}/do"
        return await self.cluster.raw(
            "POST", instance.address, path, KEYS[row], body or {}, sent
        )

    async def generate(self, instance, headers=None, **fields):
        """Generate text; return status and document."""
        return await self.cluster.post(
            instance.address,
            "/v1/generate/chat",
            {**GENERATE_BODY, **fields},
            KEYS["chat"],
            headers,
        )

    async def prefix(self, instance):
        """Return a prefix for keys that only this instance runs."""
        _, answer = await self.cluster.get(instance.address, "/v1/addresses?row=once")
        return answer["key_prefix"]

    async def runs(self, request_id):
        """Return how many times the services ran a request."""
        total = 0
        for name in self.cluster.backends:
            truth = await self.cluster.truth(name)
            total += truth.get("by_request", {}).get(request_id, 0)
        return total

    async def service_faults(self, **faults):
        """Set faults at every plain service."""
        for name in self.cluster.backends:
            if name.startswith("service"):
                await self.cluster.faults(name, **faults)

    async def running_calls(self, name):
        """Return the number of running calls that a service reports."""
        address = self.cluster.backends[name].ready["address"]
        _, load = await self.cluster.get(address, "/load")
        return load["running"]

    async def slots(self, row, instances):
        """Return the total slots of a row at the given instances."""
        total = 0
        for instance in instances:
            _, status = await self.cluster.get(instance.address, "/v1/status")
            total += status["requests"]["slots"].get(row, 0)
        return total
