"""Replicas that are unhealthy in ways that only calls show: grey, flapping, dropping."""

import asyncio
import unittest

from sassafrasdoor.backends.interface import Answer
from sassafrasdoor.clock import deadline_in, passed
from sassafrasdoor.outcomes import Unknown
from sassafrasdoor.platform.configuration import parse_listing
from sassafrasdoor.platform.servers import WireReplicas
from sassafrasdoor.platform.standin import ReplicaStandin
from sassafrasdoor.requests.crash_watch import CrashWatch
from sassafrasdoor.requests.direct import DirectService
from sassafrasdoor.requests.tests.fixtures import direct_request
from sassafrasdoor.routing.replicas import Replicas
from sassafrasdoor.standin.proxy import Proxy
from sassafrasdoor.steps.durable.tests.fixtures import SERVICE, route
from sassafrasdoor.table.routes import Repeat

CALLS = 60


class HealthTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.standins = [ReplicaStandin(f"p{at}", pause=0.001) for at in range(3)]
        self.replicas = Replicas("z")
        self.proxies = []
        for standin in self.standins:
            self.addCleanup(standin.stop)
            proxy = await Proxy(standin.address).open()
            self.addAsyncCleanup(proxy.close)
            self.proxies.append(proxy)
            entry = {**standin.entry(SERVICE, []), "Address": proxy.address}
            self.replicas.listed(standin.identity, parse_listing(entry))
        self.client = WireReplicas()
        self.addCleanup(self.client.close)
        self.crashes = CrashWatch(self.client, self.replicas)
        self.service = DirectService(self.client, self.replicas, self.crashes)
        self.number = 0

    async def call(self, repeat=Repeat.SAFE):
        self.number += 1
        request = direct_request(
            route(repeat=repeat, target=20.0),
            path="/plain/x",
            headers=[("Host", "h.example")],
            request_id=f"r{self.number}",
        )
        return await self.service.answer(request)

    async def count_served(self, count=CALLS):
        """Call one after the other; return how many were answered as they should."""
        answers = [await self.call() for _ in range(count)]
        return sum(
            isinstance(answer, Answer)
            and answer.status == 200
            and b"answer to" in answer.body
            for answer in answers
        )

    def runs(self, at):
        return len(self.standins[at].runs)

    async def test_failing_replica_gets_few_calls_and_is_probed_again(self):
        """Symptom: part of the calls fails although the list says all is well.

        Sequence: one replica answers 500 at once, so it always looks idle; later it is
        well again. Cause: the least loaded choice sends it everything, or it is left
        out for good.
        """
        self.standins[0].failures = [500] * CALLS
        self.assertEqual(await self.count_served(), CALLS)
        self.assertLess(self.runs(0), CALLS / 6)
        self.standins[0].failures = []
        before = self.runs(0)
        limit = deadline_in(60)
        while self.runs(0) == before:
            self.assertFalse(passed(limit), "never tried again")
            self.assertEqual(await self.count_served(1), 1)
            await asyncio.sleep(0.02)

    async def test_all_failing_replicas_are_still_tried(self):
        """Symptom: nobody is served because nobody is trusted.

        Sequence: every replica fails once. Cause: suspicion without a bound.
        """
        for standin in self.standins:
            standin.failures = [500]
        await self.count_served(3)
        self.assertEqual(await self.count_served(), CALLS)

    async def test_flapping_replica_costs_no_call(self):
        """Symptom: calls are lost each time that a replica goes down.

        Sequence: it refuses connections and cuts open ones, comes back, and so on.
        Cause: a lost connection is taken for the last word on a call.
        """
        for down in (True, False, True, False, True):
            self.proxies[0].set({"refuse": down, "cut": down})
            self.assertEqual(await self.count_served(CALLS // 5), CALLS // 5)

    async def test_idle_connection_closed_while_a_call_is_sent(self):
        """Symptom: a call that may run once is lost, or runs twice.

        Sequence: the replica closes an idle connection just when a call is sent on it.
        Cause: whether the call was read is open then. One that may be repeated goes to
        another replica; one that may not never uses a kept connection.
        """
        self.assertEqual(await self.count_served(9), 9)
        opened = sum(proxy.accepted for proxy in self.proxies)
        for proxy in self.proxies[:2]:
            proxy.set({"truncate": 0})
        self.assertEqual(await self.count_served(3), 3)
        for proxy in self.proxies:
            proxy.set({"truncate": 0})
        self.assertIsInstance(await self.call(Repeat.ONCE), Unknown)
        self.assertEqual(self.run_count("r13"), 1)
        for proxy in self.proxies:
            proxy.set({"clear": True})
        # A replica that broke a connection is connected to without a request.
        limit = deadline_in(60)
        while self.crashes.looking:
            self.assertFalse(passed(limit), "looked after for ever")
            await asyncio.sleep(0.02)
        before = sum(proxy.accepted for proxy in self.proxies)
        self.assertGreater(before, opened)
        self.assertIsInstance(await self.call(Repeat.ONCE), Answer)
        self.assertEqual(sum(proxy.accepted for proxy in self.proxies), before + 1)

    def run_count(self, request_id):
        """Return how often a request ran."""
        runs = [run for standin in self.standins for run in standin.runs]
        return sum(run.request_id == request_id for run in runs)


if __name__ == "__main__":
    unittest.main()
