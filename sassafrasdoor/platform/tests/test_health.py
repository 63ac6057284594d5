"""Tests with replicas whose failures only calls detect.

They answer with errors, go down repeatedly or drop idle connections.
"""

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
            self.replicas.update_listing(standin.identity, parse_listing(entry))
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
        """Make calls in sequence; return how many were answered correctly."""
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
        """Guards against preferring a replica that fails, or excluding it forever.

        It answers 500 immediately, so it always looks idle, and the choice of the least
        loaded replica would send it everything. The list shows it as healthy. Later it
        recovers.
        """
        self.standins[0].failures = [500] * CALLS
        self.assertEqual(await self.count_served(), CALLS)
        self.assertLess(self.runs(0), CALLS / 6)
        self.standins[0].failures = []
        before = self.runs(0)
        limit = deadline_in(60)
        while self.runs(0) == before:
            self.assertFalse(
                passed(limit), "recovered replica was not tried within 60 s"
            )
            self.assertEqual(await self.count_served(1), 1)
            await asyncio.sleep(0.02)

    async def test_all_failing_replicas_are_still_tried(self):
        """Guards against refusing all calls because every replica has failed once."""
        for standin in self.standins:
            standin.failures = [500]
        await self.count_served(3)
        self.assertEqual(await self.count_served(), CALLS)

    async def test_flapping_replica_costs_no_call(self):
        """Guards against losing calls each time a replica goes down.

        It repeatedly refuses connections, cuts open ones and recovers; a lost
        connection was taken for the final outcome of a call.
        """
        for down in (True, False, True, False, True):
            self.proxies[0].set({"refuse": down, "cut": down})
            self.assertEqual(await self.count_served(CALLS // 5), CALLS // 5)

    async def test_idle_connection_closed_while_a_call_is_sent(self):
        """Guards against losing a call that may run only once, or running it twice.

        The replica closes an idle connection just as a call is sent on it, so it is
        unknown whether the call was read. A repeatable call is sent to another replica;
        any other call never uses an idle connection.
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
        # A replica that broke a connection is probed by connecting without a request.
        limit = deadline_in(60)
        while self.crashes.is_checking:
            self.assertFalse(passed(limit), "replica was still being probed after 60 s")
            await asyncio.sleep(0.02)
        before = await self.count_connections()
        self.assertGreater(before, opened)
        self.assertIsInstance(await self.call(Repeat.ONCE), Answer)
        # Each count connects once to each proxy.
        self.assertEqual(await self.count_connections(), before + 1 + len(self.proxies))

    async def count_connections(self):
        """Return the number of connections opened to the proxies so far.

        A proxy counts a connection some time after the client has opened it, in order:
        once one opened here is counted, all earlier ones are.
        """
        for proxy in self.proxies:
            host, port = proxy.address.rsplit(":", 1)
            _, writer = await asyncio.open_connection(host, int(port))
            own = writer.get_extra_info("sockname")
            while own not in proxy.clients:  # noqa: ASYNC110
                await asyncio.sleep(0)
            writer.transport.abort()
        return sum(proxy.accepted for proxy in self.proxies)

    def run_count(self, request_id):
        """Return how many times a request ran."""
        runs = [run for standin in self.standins for run in standin.runs]
        return sum(run.request_id == request_id for run in runs)


if __name__ == "__main__":
    unittest.main()
