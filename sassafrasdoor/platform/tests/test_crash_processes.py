"""Tests of a request that crashes each replica that runs it, with real processes."""

import asyncio
import functools
import unittest

from sassafrasdoor.clock import deadline_in, now, passed
from sassafrasdoor.platform import configuration, wire
from sassafrasdoor.platform.standin import ReplicaStandin
from sassafrasdoor.platform.tests.cases import ENGINES, MODEL, PLAIN, ProcessCase
from sassafrasdoor.requests.crash_watch import TOPIC as CRASHES_TOPIC

CRASHING, CONCURRENT = "/plain/crash", "/plain/beside"
CRASHES_TO_QUARANTINE = 3  # after which the request counts as their cause
# Time after the third crash for all instances to learn of it; later runs are counted.
QUARANTINE_PROPAGATION_SECONDS = 3.0
MAX_SENDS = 3
SLOTS = 64  # requests that wait for the crash leave room for the one that causes it
REPEAT_BY_KIND = 12


class CrashingCase(ProcessCase):
    """Replicas that are listed again under a new identity once they have recovered."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        services = [(self.plain, PLAIN, []), (self.engines, ENGINES, [MODEL])]
        for replicas, service, models in services:
            for replica in replicas:
                replica.on_recovered = functools.partial(
                    self.relist, replica, service, models
                )

    async def relist(self, replica, service, models, former):
        await self.store.put(configuration.SERVERS_TOPIC, former, None)
        entry = replica.entry(service, models)
        await self.store.put(configuration.SERVERS_TOPIC, replica.identity, entry)

    async def all_serve(self):
        """Return whether all instances answer calls and all replicas are idle."""
        for instance in self.instances:
            if not await self.plain_call_returns(instance, 200):
                return False
        return all(replica.running == [] for replica in self.plain)


class CrashTest(CrashingCase):
    async def asyncSetUp(self):
        self.sent = 0
        await super().asyncSetUp()
        added = [ReplicaStandin(f"p{at}") for at in range(2, 4)]
        for replica in added:
            self.addCleanup(replica.stop)
        self.plain += added
        for replica in self.plain:
            replica.pause = 0.2
            replica.slots = SLOTS
            replica.crash_paths = {CRASHING}
            replica.on_recovered = functools.partial(self.relist, replica, PLAIN, [])
        await self.list_replicas()
        for replica in added:
            await self.wait_until(lambda name=replica.identity: self.is_known(name))

    def is_known(self, identity):
        """Return whether each instance has logged that a replica is listed."""
        return len(self.lines(identity, "replica.listed")) == len(self.instances)

    async def send(self, path):
        """Send a request with a new id to the next instance."""
        self.sent += 1
        front = self.instances[self.sent % len(self.instances)].front
        headers = {wire.REQUEST_ID: f"r{self.sent}"}
        return await self.fetch(front, path, "POST", "b", **headers)

    async def send_with_concurrent_requests(self):
        """Send the crashing request while each replica runs another one."""
        for replica in self.plain:
            replica.may_answer.clear()
        requests = [self.send(CONCURRENT) for _ in range(3 * len(self.plain))]
        tasks = [asyncio.ensure_future(request) for request in requests]
        await self.wait_until(lambda: all(replica.running for replica in self.plain))
        await self.send(CRASHING)
        for replica in self.plain:
            replica.may_answer.set()
        await asyncio.gather(*tasks)

    @property
    def crashes(self):
        return sum(replica.crashes for replica in self.plain)

    def runs_since(self, moment):
        runs = [run for replica in self.plain for run in replica.runs]
        return [run for run in runs if run.path == CRASHING and run.at >= moment]

    async def test_request_that_crashes_replicas_reaches_few_more(self):
        """Guards against one request crashing replicas of its service repeatedly."""
        while self.crashes < CRASHES_TO_QUARANTINE:
            await self.send_with_concurrent_requests()
            await self.wait_until(self.all_serve)
        await asyncio.sleep(QUARANTINE_PROPAGATION_SECONDS)
        counted_from = now()
        for _ in range(REPEAT_BY_KIND):
            await self.send(CRASHING)
            await self.wait_until(self.all_serve)
        self.assertLessEqual(len(self.runs_since(counted_from)), MAX_SENDS)
        ran = [
            paths for replica in self.plain for paths in replica.paths_running_at_crash
        ]
        self.assertTrue(any(CONCURRENT in paths for paths in ran))
        limit = deadline_in(1.0)
        while not passed(limit):
            self.assertEqual((await self.send(CONCURRENT)).code, 200)


class ItemCrashTest(CrashingCase):
    async def crash_under(self, replicas, path):
        """Let replicas crash under a path, often enough to quarantine a request."""
        for replica in replicas:
            replica.crash_paths = {path}
        await self.wait_until(
            lambda: sum(row.crashes for row in replicas) >= CRASHES_TO_QUARANTINE
        )
        for replica in replicas:
            replica.crash_paths = set()

    async def test_reward_call_is_owed_after_crashes_under_it(self):
        """Guards against reward calls, and callers' requests alike, refused for good."""
        path = "/plain/0"
        submitted = asyncio.ensure_future(self.submit("s", rewarded=True))
        await self.crash_under(self.plain, path)
        self.assertEqual((await submitted).code, 202)
        results = await self.wait_until(lambda: self.all_results("s"))
        self.check_texts(results)
        self.assertTrue(all(result["Score"] for result in results))
        front = self.runner_instance().front
        headers = {wire.REQUEST_ID: "live"}
        await self.wait_until(self.all_serve)
        reply = await self.fetch(front, path, "POST", "", **headers)
        self.assertEqual(reply.code, 200)

    async def test_item_is_owed_after_crashes_under_it(self):
        """Guards against crashes under sound items that count against requests."""
        path = "/s/0"
        submitted = asyncio.ensure_future(self.submit("s"))
        await self.crash_under(self.engines, path)
        self.assertEqual((await submitted).code, 202)
        results = await self.wait_until(lambda: self.all_results("s"))
        self.check_texts(results)
        newest = await self.store.log.newest(CRASHES_TOPIC)
        self.assertEqual(newest.values, {})


if __name__ == "__main__":
    unittest.main()
