"""Slopes of one entry process: steps by size, discovery, requests, memory.

    python samples/measure_entry.py

One real cluster (1 instance, 4 engines in one process, 1 service). Processor time and
resident memory of the entry process alone, read from the operating system.
"""

import asyncio
import re
import statistics

import typer
from measure_passthrough import drive, processor_seconds
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from sassafrasdoor.cluster import KEYS, MODEL, TABLE, Cluster
from sassafrasdoor.fetch import fetch_response
from sassafrasdoor.steps.client import Trainer

SIZES = (128, 256, 512, 1024, 2048)
SAMPLES_PER_GROUP = 8
MAX_TOKENS = 96
RATES = (50, 200, 1000)
LONG_SAMPLES, LONG_TOKENS = 64, 800
ENGINES = ("--count", "4", "--capacity", "256", "--token-rate", "2000")
LINE = re.compile(r"VmRSS:\s+(\d+) kB")


def resident_megabytes(pid):
    """Return the resident memory of a process."""
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        return int(LINE.search(file.read())[1]) / 1024


class Step:
    """One step's cost: processor seconds of the entry, tokens, peak memory."""

    __slots__ = ("memory", "samples", "seconds", "spent", "tokens")

    def __init__(self, samples):
        self.samples = samples
        self.memory = self.seconds = self.spent = 0.0
        self.tokens = 0


async def run_step(cluster, samples, max_tokens=MAX_TOKENS):
    """Run a step of so many samples and return its ``Step``."""
    entry = cluster.instances[0]
    trainer = Trainer([entry.address], "trainer", KEYS["trainer"], newest_version=1)
    groups = samples // SAMPLES_PER_GROUP
    run = trainer.run(
        {
            "step": f"size-{samples}",
            "groups": [{"prompt": f"Prompt {n} of a sign."} for n in range(groups)],
            "samples_per_group": SAMPLES_PER_GROUP,
            "max_tokens": max_tokens,
            "deadline_ms": 600_000,
            "seed": samples,
        }
    )
    step, before = Step(samples), processor_seconds(entry.entry.pid)
    async for sample in run.samples():
        step.tokens += sum(last - first for _, first, last in sample["spans"])
        step.memory = max(step.memory, resident_megabytes(entry.entry.pid))
    step.spent = processor_seconds(entry.entry.pid) - before
    step.seconds = run.report.duration
    trainer.close()
    assert run.complete, run.failure
    return step


async def discovery_cost(client, entry, calls=1000):
    """Return the processor milliseconds of one discovery call."""
    before = processor_seconds(entry.entry.pid)
    url = f"http://{entry.address}/v1/addresses?row=idempotent"
    for _ in range(calls):
        reply = await fetch_response(client, HTTPRequest(url))
        assert reply.code == 200, reply.code
    return (processor_seconds(entry.entry.pid) - before) * 1000 / calls


async def call_cost(client, entry, row, calls=1000):
    """Return the processor milliseconds of one plain service call."""
    before = processor_seconds(entry.entry.pid)
    headers = {"Authorization": f"Bearer {KEYS[row]}"}
    await drive(client, entry.address, f"/v1/call/{row}/work", headers, calls)
    return (processor_seconds(entry.entry.pid) - before) * 1000 / calls


async def start(cluster, engines):
    """Start one instance before engines with these options; return it."""
    cluster.start_platform()
    cluster.start_engine("engine", *engines)
    cluster.start_service("service-1")
    await cluster.announce(MODEL, 1)
    await cluster.propose(TABLE)
    instance = cluster.start_instance("entry-1")
    cluster.backends.pop("engine")  # One process of four: none has this name.
    await cluster.wait_ready()
    return instance


async def measure_chunks():
    """Print what a token costs at different rates, that is, tokens a chunk."""
    for rate in RATES:
        async with Cluster() as cluster:
            options = ("--count", "4", "--capacity", "64", "--token-rate", str(rate))
            await start(cluster, options)
            step = await run_step(cluster, LONG_SAMPLES, LONG_TOKENS)
        print(
            f"{LONG_SAMPLES} samples at {rate} tokens a second: {step.tokens} tokens, "
            f"{step.seconds:.1f} s, {step.spent * 1e6 / step.tokens:.0f} us of CPU a token"
        )


async def measure():
    """Run everything; print a line for each figure."""
    await measure_chunks()
    client = CurlAsyncHTTPClient(force_instance=True, max_clients=16)
    async with Cluster() as cluster:
        entry = await start(cluster, ENGINES)
        idle = resident_megabytes(entry.entry.pid)
        print(f"entry process, idle: {idle:.0f} MB")
        control = resident_megabytes(entry.control.pid)
        print(f"control process, 1 member: {control:.0f} MB")
        for row in ("idempotent", "once"):
            costs = [await call_cost(client, entry, row) for _ in range(3)]
            print(f"call of row {row}: {statistics.median(costs):.2f} ms (3 runs)")
        costs = [await discovery_cost(client, entry) for _ in range(3)]
        print(f"discovery: {statistics.median(costs):.2f} ms (3 runs)")
        steps = [await run_step(cluster, size) for size in SIZES]
    client.close()
    for step in steps:
        print(
            f"step of {step.samples}: {step.seconds:.1f} s, {step.tokens} tokens, "
            f"entry {step.spent:.2f} s of CPU = {step.spent * 1000 / step.samples:.2f} "
            f"ms a sample, {step.spent * 1e6 / step.tokens:.0f} us a token, "
            f"{step.memory:.0f} MB"
        )
    fit = statistics.linear_regression(
        [step.samples for step in steps], [step.spent for step in steps]
    )
    print(f"fit: {fit.slope * 1000:.2f} ms of CPU a sample + {fit.intercept:.2f} s")
    fit = statistics.linear_regression(
        [step.samples for step in steps], [step.memory for step in steps]
    )
    print(f"fit: {fit.slope * 1024:.1f} KB a sample + {fit.intercept:.0f} MB")


if __name__ == "__main__":
    typer.run(lambda: asyncio.run(measure()))
