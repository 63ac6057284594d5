"""The duties with real processes: the usage report and orders of replicas."""

import asyncio
from collections import Counter

from sassafrasdoor.platform import configuration, wire
from sassafrasdoor.platform.standin import DutiesStandin
from sassafrasdoor.platform.tests.cases import ENGINES, ROUTES, SERVICES, ProcessCase

WINDOW, DUE = 1.0, 3.0  # seconds
CALLS = 30


class DutiesCase(ProcessCase):
    """A platform that takes reports and orders, and calls of two client accounts."""

    window, due = WINDOW, DUE
    grace = 5.0  # seconds for a planned stop

    async def asyncSetUp(self):
        self.duties = DutiesStandin()
        self.addCleanup(self.duties.stop)
        self.more_settings = (
            f"Cloud.Address={self.duties.address}\nCloud.Duties=usage,scale\n"
            f"Bounds.ReportWindowS={self.window}\nBounds.UsageLateS={self.due}\n"
            f"Bounds.GraceS={self.grace}\n"
            # Calls with a key are served for the whole of an outage of the log.
            "Bounds.RevokeMs=300000\n"
        )
        self.sent = 0
        await super().asyncSetUp()

    async def configure(self, version, routes=ROUTES):
        tenants = [{"Name": name, "ApiKeys": [f"key-{name}"]} for name in "ab"]
        engines = {**SERVICES[1], "Scaling": {"Min": 1, "Max": 15, "BootS": 4.0}}
        services = [SERVICES[0], engines]
        document = {"Version": version, "Routes": routes, "Services": services}
        await self.store.configure({**document, "Tenants": tenants})

    async def call(self, number):
        """Call with a new id until it is answered."""
        self.sent += 1
        headers = {
            wire.REQUEST_ID: f"r{self.sent}",
            wire.AUTHORIZATION: f"Bearer key-{'ab'[number % 3 == 0]}",
        }
        front = self.instances[number % len(self.instances)].front
        reply = await self.fetch(front, "/plain/x", "POST", "b", **headers)
        return reply.code == 200

    @property
    def truth(self):
        """The requests that replicas have begun, by account."""
        runs = [run for replica in self.plain for run in replica.runs]
        accounts = {run.request_id: run.headers[wire.ACCOUNT] for run in runs}
        return Counter(accounts.values())

    def reported(self):
        """Return the requests reported by account; checks that repeats are exact."""
        windows = {}
        for _, _, document in self.duties.calls:
            counts = windows.setdefault(document["Window"], document["Counts"])
            self.assertEqual(counts, document["Counts"])
        return sum(map(Counter, windows.values()), Counter())

    def state(self):
        """Return the requests begun, the accepted reports and the topic's records."""
        return [
            *super().state(),
            f"begun {dict(self.truth)}",
            *(f"report {call}" for call in self.duties.calls),
            *map(str, self.store.log.partition("usage", 0).records),
        ]

    def is_reported(self):
        return self.reported() == self.truth

    async def make_calls(self, numbers=range(CALLS)):
        for number in numbers:
            await self.wait_until(lambda number=number: self.call(number))
            await asyncio.sleep(0.05)


class DutiesTest(DutiesCase):
    async def test_each_request_is_reported_once(self):
        await self.make_calls()
        await self.wait_until(self.is_reported)
        await asyncio.sleep(2 * WINDOW)
        self.assertEqual(self.reported(), self.truth)
        self.assertEqual(len({holder for holder, _, _ in self.duties.calls}), 1)

    async def test_holder_is_killed_while_answers_are_lost(self):
        """Guards against two reports of one window with different counts."""
        await self.wait_until(lambda: self.duties.calls)
        await self.make_calls()
        self.duties.failures = [500, 429, 503, 500]
        holder = self.duties.calls[-1][0]
        await asyncio.sleep(1.2)  # until all instances have written their increments
        next(one for one in self.instances if one.name == holder).kill()
        await self.wait_until(self.is_reported)
        fences = [fence for _, fence, _ in self.duties.calls]
        self.assertEqual(fences, sorted(fences))
        self.assertGreater(len({name for name, _, _ in self.duties.calls}), 1)

    async def test_new_holder_meets_expired_records(self):
        """Guards against a second report with other counts after expired records."""
        await self.make_calls()
        await self.wait_until(self.is_reported)
        partition = self.store.log.partition("usage", 0)
        partition.expire(partition.end)
        holder = self.duties.calls[-1][0]
        next(one for one in self.instances if one.name == holder).kill()
        before = len(self.duties.calls)
        await self.wait_until(lambda: len(self.duties.calls) > before + 3)
        self.assertEqual(self.reported(), self.truth)

    async def test_counts_survive_an_outage_of_the_log(self):
        """Guards against requests that are counted while nothing can be written."""
        self.store.answering.clear()
        await self.make_calls()
        self.store.answering.set()
        await self.wait_until(self.is_reported)

    async def test_planned_stop_writes_what_was_counted(self):
        await self.make_calls((1, 4, 7))
        self.instances[1].signal(15)
        await self.wait_until(lambda: not self.instances[1].running)
        await self.wait_until(self.is_reported)

    async def test_lost_replica_is_ordered_again(self):
        """Guards against a service that stays as small as losses have made it."""
        await self.wait_until(lambda: self.store.log.partition("scale", 0).records)
        await self.store.put(configuration.SERVERS_TOPIC, "e1", None)
        await self.wait_until(lambda: self.duties.orders)
        _, _, document = self.duties.orders[0]
        self.assertEqual(
            document, {"Service": ENGINES, "Zone": "z", "Desired": len(self.engines)}
        )


class LongOutageTest(DutiesCase):
    """Reports are due 3 s after windows of 3 s; the log is silent for longer."""

    window, due = 3.0, 3.0

    async def test_counts_survive_an_outage_longer_than_the_due_time(self):
        """Guards against a report fixed while other instances still hold their counts."""
        self.store.answering.clear()
        await self.make_calls()
        await asyncio.sleep(self.window + self.due)
        self.store.answering.set()
        await self.wait_until(self.is_reported)
