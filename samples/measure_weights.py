"""Measure a rollout of weights to engine stand-ins, and the cost of the adapters.

Real processes: the platform stand-in with its rate-limited weight store, engine
stand-ins (many in a process) and this one, which runs the rollout. An engine
serves nothing while it fetches and installs.

    PYTHONPATH=. python samples/measure_weights.py rollout
    PYTHONPATH=. python samples/measure_weights.py calls
"""

import asyncio
import contextlib
import json
import math
import sys
import time

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from sassafrasdoor import settings
from sassafrasdoor.backends.http import HttpEngine, HttpService
from sassafrasdoor.backends.interface import Call, Chunk, StreamOrder
from sassafrasdoor.clock import deadline_in
from sassafrasdoor.support import Processes, until
from sassafrasdoor.view import Backend, View
from sassafrasdoor.weights.rollout import Rollout

MODEL = "model"
WEIGHTS_BYTES = 65_536
WEIGHTS_RATE = 8_000_000
INSTALL_SECONDS = 0.5
IN_A_PROCESS = 150
ROLLOUT_TIMEOUT = 300
CALLS, AT_ONCE, STREAMS, TOKENS = 1600, 16, 16, 2000


class Holder:
    """A lease that is always held."""

    fence = 1


def configured(concurrency, share):
    """Return settings with that window and serving share."""
    shares = {"staleness": share, "idle": share}
    weights = {"store_concurrency": concurrency, "serving_share": shares}
    return settings.from_document({"weights": {**weights, "order_timeout": 60.0}})


POLICIES = (
    ("one by one", lambda count: configured(1, 0.0)),
    ("window of 4", lambda count: configured(4, 0.5)),
    ("window of 8", lambda count: configured(8, 0.5)),
    ("window of 16", lambda count: configured(16, 0.5)),
    ("window of 32", lambda count: configured(32, 0.5)),
    ("all at once", lambda count: configured(count, 0.0)),
)


class Http:
    """Faults and truths of the stand-ins."""

    def __init__(self):
        self._client = SimpleAsyncHTTPClient(force_instance=True, max_clients=50)

    async def post(self, address, document):
        """Set faults."""
        url = f"http://{address}/standin/faults"
        body = json.dumps(document)
        await self._client.fetch(HTTPRequest(url, method="POST", body=body))

    async def truth(self, address):
        """Return what truly happened."""
        reply = await self._client.fetch(f"http://{address}/standin/truth")
        return json.loads(reply.body)


def start_engines(processes, store, count):
    """Start engine stand-ins; return their ``Backend``s."""
    found = []
    for number in range(math.ceil(count / IN_A_PROCESS)):
        size = min(IN_A_PROCESS, count - len(found))
        options = ["--name", f"p{number}", "--count", size, "--weights-url", store]
        options += ["--install-seconds", INSTALL_SECONDS, "--tick", 0.1]
        ready = processes.serve("standin", "engine", *options).ready
        found += [
            Backend(
                name,
                address,
                "engine",
                "engines",
                checks_fencing=True,
                models=[MODEL],
            )
            for name, address in ready["addresses"].items()
        ]
    return found


async def roll_out(configuration, backends, version, http):
    """Bring all to a version; return the figures of the run."""
    client = HttpEngine(configuration)
    view = View(backends=backends, weights={MODEL: version})
    rollout = Rollout(configuration, client, Holder(), lambda: view)
    began, cpu = time.monotonic(), time.process_time()
    task = asyncio.create_task(rollout.run())
    await until(lambda: rollout.behind == {MODEL: 0}, ROLLOUT_TIMEOUT)
    seconds, cpu = time.monotonic() - began, time.process_time() - cpu
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    client.close()
    truths = [await http.truth(backend.address) for backend in backends]
    orders = [order for truth in truths for order in truth["orders"]]
    swaps = [one for one in orders if one["applied"] and one["version"] == version]
    assert len(swaps) == len(backends)
    out = [(swap["began"], 1) for swap in swaps]
    out += [(swap["ended"], -1) for swap in swaps]
    most = now_out = 0
    for _, change in sorted(out):
        now_out += change
        most = max(most, now_out)
    away = sum(swap["ended"] - swap["began"] for swap in swaps)
    return {
        "seconds": round(seconds, 2),
        "serving_mean": round(1 - away / (seconds * len(backends)), 3),
        "serving_least": round(1 - most / len(backends), 3),
        "lost_engine_seconds": round(away, 1),
        "cpu_ms_an_engine": round(1000 * cpu / len(backends), 2),
        "cpu_share": round(cpu / seconds, 4),
    }


async def measure_rollouts(sizes):
    """Print one line for each number of engines and each policy."""
    http = Http()
    for count in sizes:
        with Processes() as processes:
            platform = processes.serve("standin", "platform").ready["url"]
            store = {"weights_bytes": WEIGHTS_BYTES, "weights_rate": WEIGHTS_RATE}
            await http.post(platform.removeprefix("http://"), store)
            backends = start_engines(processes, platform, count)
            for version, (policy, configuration) in enumerate(POLICIES, 1):
                if policy == "one by one" and count > 64:
                    continue
                figures = await roll_out(configuration(count), backends, version, http)
                print(json.dumps({"engines": count, "policy": policy, **figures}))
                sys.stdout.flush()


async def measure_calls():
    """Print the processor time of this process for calls and chunks."""
    configuration = settings.from_document({})
    with Processes() as processes:
        address = processes.serve("standin", "service").ready["address"]
        backend = Backend("service", address, "service", "service")
        client = HttpService(configuration)
        plain = CurlAsyncHTTPClient(force_instance=True, max_clients=AT_ONCE)
        ways = {
            "adapter, repeatable": lambda: call_once(client, backend, True),
            "adapter, fresh connection": lambda: call_once(client, backend, False),
            "bare curl client": lambda: plain.fetch(
                f"http://{address}/x", method="POST", body=b"x" * 200
            ),
        }
        for at_once in (1, AT_ONCE):
            for way, make in ways.items():
                cpu = await cost_of(make, at_once)
                print(json.dumps({"call": way, "at_once": at_once, "cpu_ms": cpu}))
        options = ["--token-rate", 400, "--tail", 0.0, "--capacity", 64]
        address = processes.serve("standin", "engine", *options).ready["address"]
        backend = Backend("engine", address, "engine", "engines")
        client = HttpEngine(configuration)
        cpu = time.process_time()
        reads = [read(client, backend, number) for number in range(STREAMS)]
        counts = await asyncio.gather(*reads)
        cpu = 1000 * (time.process_time() - cpu) / sum(counts)
        print(json.dumps({"chunks": sum(counts), "cpu_ms": round(cpu, 3)}))


async def call_once(client, backend, repeatable):
    """Make one call that has to be answered."""
    call = Call("POST", "/x", {}, b"x" * 200, "r", repeatable, deadline_in(10))
    assert await client.call(backend, call)


async def cost_of(make, at_once):
    """Return the milliseconds of processor time for each call."""

    async def some():
        for _ in range(CALLS // at_once):
            await make()

    await make()
    began = time.process_time()
    await asyncio.gather(*[some() for _ in range(at_once)])
    return round(1000 * (time.process_time() - began) / CALLS, 3)


async def read(client, backend, number):
    """Read a stream and return how many chunks it had."""
    order = StreamOrder(f"s/{number}", MODEL, "a prompt", TOKENS)
    chunks = 0
    async with contextlib.aclosing(client.stream(backend, order)) as items:
        async for item in items:
            chunks += isinstance(item, Chunk)
    assert item
    return chunks


WHAT = {
    "rollout": lambda: measure_rollouts((8, 16, 32, 64)),
    "large": lambda: measure_rollouts((600,)),
    "calls": measure_calls,
}

if __name__ == "__main__":
    asyncio.run(WHAT[sys.argv[1]]())
