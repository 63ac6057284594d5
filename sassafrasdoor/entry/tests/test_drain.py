"""Planned stops interrupt no request in progress."""

import asyncio
import json
import unittest

from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from sassafrasdoor.cluster import KEYS, ZONES, Cluster
from sassafrasdoor.fetch import NO_REPLY, fetch_response
from sassafrasdoor.load.callers import Addresses
from sassafrasdoor.steps.client import Trainer

CALLERS = 6
STREAM_TOKENS = 120
SLOW_ENGINE = ("--token-rate", "30", "--tail", "0.1")


class Caller:
    """Calls repeatedly with cached discovery answers; records every status code."""

    def __init__(self, http, seeds, number):
        self._http = http
        self._addresses = Addresses(http, "idempotent", seeds, number)
        self.codes = []
        self.stop = False

    async def run(self):
        while not self.stop:
            address = await self._addresses.pick()
            request = HTTPRequest(
                f"http://{address}/v1/call/idempotent/work",
                method="POST",
                headers={"Authorization": f"Bearer {KEYS['idempotent']}"},
                body="{}",
            )
            reply = await fetch_response(self._http, request)
            self.codes.append(reply.code)
            if reply.code != 200:
                self._addresses.drop(address)


async def streamed(http, address):
    """Return the lines of one long streamed reply."""
    body = {"prompt": "Describe the car park.", "max_tokens": STREAM_TOKENS}
    request = HTTPRequest(
        f"http://{address}/v1/generate/chat",
        method="POST",
        headers={"Authorization": f"Bearer {KEYS['chat']}"},
        body=json.dumps({**body, "stream": True}),
        request_timeout=60.0,
    )
    reply = await fetch_response(http, request)
    lines = (reply.body or b"").decode().splitlines()
    return [json.loads(line) for line in lines]


class RollingRestartTest(unittest.IsolatedAsyncioTestCase):
    async def test_rolling_restart_interrupts_no_request(self):
        """Guards against an instance that stops serving before discovery omits it."""
        http = SimpleAsyncHTTPClient(force_instance=True, max_clients=100)
        async with Cluster() as cluster:
            await cluster.start(engines=2, services=1, engine_options=SLOW_ENGINE)
            seeds = [instance.address for instance in cluster.instances]
            callers = [Caller(http, seeds, number) for number in range(CALLERS)]
            calls = [asyncio.ensure_future(caller.run()) for caller in callers]
            step = asyncio.ensure_future(self._step(seeds))
            for instance in list(cluster.instances):
                stream = asyncio.ensure_future(streamed(http, instance.address))
                await asyncio.sleep(0.1)  # Lets the stream start; not checked.
                codes = await asyncio.to_thread(instance.stop)
                self.assertEqual(codes, (0, 0))
                lines = await stream
                self.assertTrue(lines and lines[-1].get("done"), lines[-1:])
                cluster.instances.remove(instance)
                await asyncio.to_thread(
                    cluster.start_instance, f"{instance.name}-next", ZONES[0]
                )
                await cluster.wait_ready()
            run = await step
            for caller in callers:
                caller.stop = True
            await asyncio.gather(*calls)
        codes = [code for caller in callers for code in caller.codes]
        self.assertEqual(codes.count(NO_REPLY), 0, f"of {len(codes)} calls")
        self.assertGreater(codes.count(200), 0)
        self.assertTrue(run.complete, run.failure)
        self.assertEqual(run.report.duplicates, 0)

    async def _step(self, seeds):
        trainer = Trainer(seeds, "trainer", KEYS["trainer"], newest_version=1)
        run = trainer.run(
            {
                "step": "rolling",
                "groups": [{"prompt": f"prompt {n}"} for n in range(8)],
                "samples_per_group": 4,
                "max_tokens": 200,
                "deadline_ms": 120_000,
                "seed": 1,
            }
        )
        async for _ in run.samples():
            pass
        trainer.close()
        return run
