"""Measures the CPU time that an instance uses per plain call and per item of a step.

One instance runs as a separate process; the stand-ins of the store and the replicas run
in this one. The instance's CPU time is read from the kernel before and after.

    python3 -m sassafrasdoor.platform.measure --calls 2000 --steps 20
"""

import asyncio
import base64
import json
import os
import pathlib
import tempfile

import typer

from sassafrasdoor.backends.connections import Connections, OutgoingRequest
from sassafrasdoor.clock import deadline_in
from sassafrasdoor.platform import configuration, wire
from sassafrasdoor.platform.local import LocalInstance
from sassafrasdoor.platform.standin import ReplicaStandin, StoreStandin

HOST, MODEL = "h.example", "m"
ITEMS, EVENTS = 40, 16
IN_FLIGHT = 8
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
ROUTE = {"Host": HOST, "TimeoutMs": 9000, "TargetLatencyMs": 500, "MaxAttempts": 3}
DOCUMENT = {
    "Version": 1,
    "Routes": [
        {**ROUTE, "Name": "p", "PathPrefix": "/plain/", "Kind": "safe", "Service": "p"},
        {**ROUTE, "Name": "s", "PathPrefix": "/s/", "Kind": "rollout", "Service": "e"},
    ],
    "Services": [{"Name": "p"}, {"Name": "e", "Engine": {"Models": [{"Name": MODEL}]}}],
}


class Benchmark:
    """One instance in a separate process, and its stand-ins."""

    def __init__(self, folder):
        self._store = StoreStandin()
        self._plain = ReplicaStandin("p0", slots=64, pause=0.001)
        self._engine = ReplicaStandin("e0", slots=64, events=EVENTS, pause=0.01)
        self._instance = LocalInstance(folder, "a", self._store.address)
        self._connections = Connections()

    async def start(self):
        """Write the list and the configuration; wait until the instance is ready."""
        topic = configuration.SERVERS_TOPIC
        await self._store.put(topic, "p0", self._plain.entry("p", []))
        await self._store.put(topic, "e0", self._engine.entry("e", [MODEL]))
        await self._store.configure(DOCUMENT)
        while await self._status("GET", "/-/ready", self._instance.ready) != 200:  # noqa: ASYNC110
            await asyncio.sleep(0.05)

    def close(self):
        """Stop the instance and close the connections."""
        self._instance.close()
        self._connections.close()

    async def _send(self, method, path, address, body=b"", request_id="r"):
        headers = {"Host": HOST, wire.REQUEST_ID: request_id}
        request = OutgoingRequest(method, path, headers, body, deadline_in(20))
        return await self._connections.send(address, request)

    async def _status(self, method, path, address, body=b"", request_id="r"):
        reply = await self._send(method, path, address, body, request_id)
        return getattr(reply, "status", None)

    def processor_seconds(self):
        """Return the CPU seconds that the instance has used so far."""
        text = pathlib.Path(f"/proc/{self._instance.process.pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND

    async def calls(self, count):
        """Send ``count`` calls on reused connections, ``IN_FLIGHT`` at a time."""

        async def caller(first):
            for number in range(first, count, IN_FLIGHT):
                path, front = "/plain/x", self._instance.front
                status = await self._status(
                    "POST", path, front, b"b" * 600, f"r{number}"
                )
                assert status == 200, status

        await asyncio.gather(*(caller(first) for first in range(IN_FLIGHT)))

    async def steps(self, count):
        """Submit ``count`` steps in sequence and read each to its end."""
        for number in range(count):
            name = f"s{number}"
            body = json.dumps(_step(name)).encode()
            front = self._instance.front
            assert await self._status("POST", "/s/", front, body, name) == 202
            position = 0
            while position < ITEMS:
                path = f"/-/lots/{name}?After={position}"
                reply = await self._send("GET", path, front)
                position = json.loads(reply.body)["NextToken"]
                await asyncio.sleep(0.1)


def _step(name):
    rows = [
        {
            "Id": f"{name}-{index}",
            "Path": f"/s/{index}",
            "Headers": {},
            "Body": base64.b64encode(b"b" * 600).decode(),
            "Tokens": 300,
            "Group": f"g{index // 4}",
        }
        for index in range(ITEMS)
    ]
    return {"Step": 1, "Model": MODEL, "MinVersion": 1, "Desired": 9, "Items": rows}


async def _measure(calls, steps):
    with tempfile.TemporaryDirectory() as folder:
        bench = Benchmark(folder)
        try:
            await bench.start()
            await bench.calls(200)
            before = bench.processor_seconds()
            await asyncio.sleep(5)
            idle = (bench.processor_seconds() - before) / 5
            print(f"idle: {100 * idle:.2f} % of a core")
            for label, count, work in (
                ("plain call", calls, bench.calls(calls)),
                (f"item of {EVENTS} events", steps * ITEMS, bench.steps(steps)),
            ):
                started = asyncio.get_running_loop().time()
                before = bench.processor_seconds()
                await work
                elapsed = asyncio.get_running_loop().time() - started
                used = bench.processor_seconds() - before - idle * elapsed
                print(f"{label}: {1000 * used / count:.2f} ms of CPU time")
        finally:
            bench.close()


def main(
    calls: int = typer.Option(2000, help="Plain calls."),
    steps: int = typer.Option(20, help=f"Steps of {ITEMS} items."),
):
    """Measure the CPU time of calls and items."""
    asyncio.run(_measure(calls, steps))


if __name__ == "__main__":
    typer.run(main)
