"""Test case with a cluster of real processes on the platform's protocol."""

import asyncio
import base64
import json
import tempfile
import unittest
from collections import Counter, deque

from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from sassafrasdoor.clock import deadline_in, passed
from sassafrasdoor.failures import KeepsFailures, TestClock
from sassafrasdoor.fetch import fetch_response
from sassafrasdoor.platform import configuration, wire
from sassafrasdoor.platform.local import LocalInstance
from sassafrasdoor.platform.standin import ReplicaStandin, StoreStandin
from sassafrasdoor.standin.proxy import Proxy
from sassafrasdoor.steps.durable.service import TOPIC, shard_of
from sassafrasdoor.steps.durable.state import Steps
from sassafrasdoor.timeline.lines import select

HOST, MODEL, ENGINES, PLAIN = "h.example", "m", "engines", "plain"
CONDITION_TIMEOUT = 60.0  # seconds
# What a failure shows: the last answers, bytes of each, and log lines of an instance.
MAX_SHOWN_ANSWERS, MAX_SHOWN_BODY_BYTES, MAX_SHOWN_LOG_LINES = 5, 200, 40
ROUTE = {
    "Host": HOST,
    "TimeoutMs": 8000,
    "TargetLatencyMs": 500,
    "MaxAttempts": 3,
    "RetentionS": 60,
}
ROUTES = [
    {**ROUTE, "Name": "p", "PathPrefix": "/plain/", "Kind": "safe", "Service": PLAIN},
    {**ROUTE, "Name": "s", "PathPrefix": "/s/", "Kind": "rollout", "Service": ENGINES},
    {
        **ROUTE,
        "Name": "o",
        "PathPrefix": "/o/",
        "Kind": "streaming",
        "Service": ENGINES,
    },
    {
        **ROUTE,
        "Name": "r",
        "PathPrefix": "/r/",
        "Kind": "streaming",
        "Resumable": True,
        "Service": ENGINES,
    },
]
SERVICES = [
    {"Name": PLAIN},
    {"Name": ENGINES, "Engine": {"Models": [{"Name": MODEL}]}},
]


class ProcessCase(KeepsFailures, unittest.IsolatedAsyncioTestCase):
    """Three instances, two engines, two plain replicas and a store."""

    # Further lines of the instances' settings files.
    more_settings = ""
    # Sent with the calls on steps, for example a key.
    caller_headers = {}

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.answers = deque(maxlen=MAX_SHOWN_ANSWERS)
        self.clock = TestClock()
        self.addCleanup(self.clock.stop)
        self.client = AsyncHTTPClient(force_instance=True, max_clients=50)
        self.addCleanup(self.client.close)
        self.store = StoreStandin()
        self.addCleanup(self.store.stop)
        self.engines = [ReplicaStandin(f"e{at}") for at in range(2)]
        self.plain = [ReplicaStandin(f"p{at}") for at in range(2)]
        for replica in self.engines + self.plain:
            self.addCleanup(replica.stop)
        await self.configure(1)
        await self.list_replicas()
        self.instances = []
        # The first instance reaches the store through a proxy that can inject faults.
        self.proxy = await Proxy(self.store.address).open()
        self.addAsyncCleanup(self.proxy.close)
        for name, store in zip("abc", self.store_addresses(), strict=True):
            instance = LocalInstance(folder.name, name, store, more=self.more_settings)
            self.addCleanup(instance.close)
            self.instances.append(instance)
        self.addCleanup(self.keep_if_failed)
        await self.wait_until_ready()

    def store_addresses(self):
        """Return the address at which each instance reaches the store."""
        return [self.proxy.address, self.store.address, self.store.address]

    async def configure(self, version, routes=ROUTES):
        document = {"Version": version, "Routes": routes, "Services": SERVICES}
        await self.store.configure(document)

    async def list_replicas(self):
        for replica in self.engines:
            entry = replica.entry(ENGINES, [MODEL])
            await self.store.put(configuration.SERVERS_TOPIC, replica.identity, entry)
        for replica in self.plain:
            entry = replica.entry(PLAIN, [])
            await self.store.put(configuration.SERVERS_TOPIC, replica.identity, entry)

    async def wait_until(self, condition):
        deadline = deadline_in(CONDITION_TIMEOUT)
        while True:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return result
            if passed(deadline):
                self.fail(f"condition not met in time\n{self.report()}")
            await asyncio.sleep(0.05)

    def report(self):
        """Return a description of the cluster for a failure message.

        It has the last answers, and each instance's exit code and last log lines.
        """
        texts = [*self.state(), f"last answers: {list(self.answers)}"]
        for instance in getattr(self, "instances", ()):
            lines = instance.log_path.read_text("utf-8").splitlines()[
                -MAX_SHOWN_LOG_LINES:
            ]
            texts += [
                f"{instance.name} front {instance.front} ended {instance.process.poll()}",
                *lines,
            ]
        return "\n".join(texts)

    def state(self):
        """Return lines with what each side has: the runs of each engine by path."""
        return [
            f"{engine.identity} runs {Counter(run.path for run in engine.runs)}"
            for engine in self.engines
        ]

    def failure_texts(self):
        """Return the lines of all instances, the store's calls and the test's pauses."""
        calls = "\n".join(map(str, self.store.answered_calls))
        texts = {
            "state": self.report(),
            "store": calls,
            "test-clock": self.clock.report(),
        }
        for instance in self.instances:
            texts[instance.name] = instance.log_path.read_text("utf-8")
        return texts

    async def wait_until_ready(self):
        for instance in self.instances:
            await self.wait_until(lambda instance=instance: self.is_ready(instance))

    async def is_ready(self, instance):
        return (await self.fetch(instance.ready, "/-/ready")).code == 200

    async def fetch(self, address, path, method="GET", body=None, **headers):
        request = HTTPRequest(
            f"http://{address}{path}",
            method=method,
            body=body,
            headers={"Host": HOST, **headers},
            request_timeout=10,
        )
        reply = await fetch_response(self.client, request)
        self.answers.append(
            (address, path, reply.code, reply.body[:MAX_SHOWN_BODY_BYTES])
        )
        return reply

    async def submit(self, step_id, items=4, at=0, rewarded=False, prefix="/s/"):
        rows = [
            {
                "Id": f"{step_id}-{number}",
                "Path": f"{prefix}{number}",
                "Headers": {},
                "Body": base64.b64encode(b"body").decode(),
                "Tokens": 10,
                "Group": f"g{number // 2}",
            }
            for number in range(items)
        ]
        for number, row in enumerate(rows if rewarded else ()):
            path = f"/plain/{number}"
            reward = {"Id": f"{row['Id']}-r", "Host": HOST, "Path": path, "Body": ""}
            row["Scorer"] = reward
        document = {"Step": 1, "Model": MODEL, "MinVersion": 1, "Desired": 2}
        body = json.dumps({**document, "Items": rows})
        headers = {wire.REQUEST_ID: step_id, **self.caller_headers}
        address = self.instances[at].front
        return await self.fetch(address, prefix, "POST", body, **headers)

    async def page(self, step_id, at=0, after=0):
        address = self.instances[at].front
        path = f"/-/lots/{step_id}?After={after}"
        reply = await self.fetch(address, path, **self.caller_headers)
        return json.loads(reply.body) if reply.code == 200 else None

    async def all_results(self, step_id, at=0):
        page = await self.page(step_id, at)
        done = page is not None and page["NextToken"] == page["Total"]
        return page["Results"] if done else None

    def check_texts(self, results, events=4):
        for result in results:
            lines = [f"{result['Id']}.{number}" for number in range(events)]
            self.assertEqual(result["Output"].split("\n"), lines)
            self.assertEqual(result["Versions"], [1])

    def runner_instance(self):
        """Return the instance whose process runs the steps of the model."""
        # Two instances may claim at the same time; folding decides which claim counts.
        shard, steps = shard_of(MODEL), Steps()
        records = self.store.log.partition(TOPIC, shard).records
        for offset, data in enumerate(records):
            steps.fold(shard, offset, data)
        front = steps.claims[shard].runner.partition("/")[0]
        return next(instance for instance in self.instances if instance.front == front)

    def all_runs(self):
        return [run for engine in self.engines for run in engine.runs]

    async def is_accepted(self, step_id):
        return (await self.submit(step_id)).code == 202

    async def lists_instances(self, at, count=0):
        """Return whether a directory lists ``count`` instances, by default all."""
        reply = await self.fetch(self.instances[at].directory, "/-/resolve?Zone=z")
        addresses = json.loads(reply.body)["Addresses"]
        return len(addresses) == (count or len(self.instances))

    def lines(self, wanted, kind=""):
        """Return the log lines of all instances that contain an id, in order."""
        texts = []
        for instance in self.instances:
            texts += instance.log_path.read_text("utf-8").splitlines()
        return select(texts, wanted, kind)

    async def wait_for_line(self, wanted, kind):
        """Wait for a log line and return the fields of the last one."""
        await self.wait_until(lambda: self.lines(wanted, kind))
        return self.lines(wanted, kind)[-1].fields

    async def refuses_body(self, front):
        headers = {wire.REQUEST_ID: "r"}
        reply = await self.fetch(front, "/plain/x", "POST", "b" * 11, **headers)
        return reply.code in (400, 413, 599)

    async def plain_call_returns(self, instance, status):
        headers = {wire.REQUEST_ID: "r"}
        reply = await self.fetch(instance.front, "/plain/x", "POST", "b", **headers)
        return reply.code == status
