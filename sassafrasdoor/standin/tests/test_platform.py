"""Tests of the platform stand-in as a process, beyond the contract of the log."""

import json
import unittest

from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from sassafrasdoor.clock import now
from sassafrasdoor.support import Processes


class PlatformTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        processes = self.enterContext(Processes())
        self.process = processes.serve("standin", "platform", "--port", "0")
        self.client = SimpleAsyncHTTPClient(force_instance=True)
        self.addCleanup(self.client.close)

    async def call(self, path, method="GET", document=None):
        body = None if document is None else json.dumps(document)
        url = self.process.ready["url"] + path
        request = HTTPRequest(url, method, body=body, request_timeout=20)
        return (await self.client.fetch(request)).body

    async def instance_names(self):
        instances = json.loads(await self.call("/instances"))["instances"]
        return [instance["name"] for instance in instances]

    async def test_instance_list_lags(self):
        async def set_lag(seconds):
            await self.call("/standin/faults", "POST", {"list_lag": seconds})

        await set_lag(3600)
        await self.call("/instances/one", "PUT", {"kind": "entry"})
        self.assertEqual(await self.instance_names(), [])
        await set_lag(0)
        self.assertEqual(await self.instance_names(), ["one"])
        await set_lag(3600)
        await self.call("/instances/one", "DELETE")
        self.assertEqual(await self.instance_names(), ["one"])

    async def test_weight_store_is_rate_limited(self):
        limits = {"weights_bytes": 40_000, "weights_rate": 200_000}
        await self.call("/standin/faults", "POST", limits)
        started = now()
        self.assertEqual(len(await self.call("/weights/m/3")), 40_000)
        self.assertGreater(now() - started, 0.15)

    async def test_truth_includes_expired_records(self):
        await self.call("/standin/faults", "POST", {"retain": 1})
        for number in range(3):
            await self.call("/log/s", "POST", {"n": number})
        truth = json.loads(await self.call("/standin/truth"))
        self.assertEqual(
            [record["body"]["n"] for record in truth["streams"]["s"]], [0, 1, 2]
        )
        with self.assertRaises(HTTPClientError) as gone:
            await self.call("/log/s?from=0")
        self.assertEqual(gone.exception.code, 410)

    async def test_unknown_fault_is_refused(self):
        with self.assertRaises(HTTPClientError) as refused:
            await self.call("/standin/faults", "POST", {"dwon": True})
        self.assertEqual(refused.exception.code, 400)

    async def test_exits_on_sigterm(self):
        self.assertEqual(self.process.stop(), 0)
