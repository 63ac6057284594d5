"""What calls notice of the control process: tables of 300 rows, and its death.

    python samples/measure_split.py [--seconds 8]

One instance in real processes and an open-loop caller of the idempotent row. Latency
in three periods: quiet; a table of 300 rows accepted each second; the control process
killed and started again each two seconds.
"""

import asyncio
import copy

import typer
from tornado.curl_httpclient import CurlAsyncHTTPClient

from sassafrasdoor.cluster import KEYS, TABLE, Cluster
from sassafrasdoor.load.callers import CallerLoad
from sassafrasdoor.load.profile import CallerProfile
from sassafrasdoor.support import until

RATE = 60
ROWS = 300
BETWEEN_TABLES = 1.0
BETWEEN_DEATHS = 2.0
PERCENTILES = (50, 99, 99.9)


def large_table(number):
    """Return the sample table with rows up to ``ROWS``, different each time."""
    table = copy.deepcopy(TABLE)
    like = table["rows"][-1]
    for index in range(ROWS - len(table["rows"])):
        table["rows"].append({**like, "name": f"row-{index}", "weight": number + 1})
    return table


async def nothing(cluster):
    """Leave the cluster alone."""


async def publish_tables(cluster):
    """Have a table of 300 rows accepted each second, until cancelled."""
    instance, number = cluster.instances[0], 0
    while True:
        number += 1
        _, status = await cluster.get(instance.address, "/v1/status")
        base = status["revision"]
        await cluster.propose(large_table(number), base, f"large-{number}-{base}")
        await asyncio.sleep(BETWEEN_TABLES)


async def kill_control(cluster):
    """Kill the control process and start it again, until cancelled."""
    instance = cluster.instances[0]
    while True:
        await asyncio.to_thread(instance.control.kill)
        settings = ["--settings", instance.settings_path]
        instance.control = await asyncio.to_thread(
            cluster.processes.serve, "control", *settings
        )
        await asyncio.sleep(BETWEEN_DEATHS)


async def period(cluster, disturb, seconds):
    """Call for so many seconds while ``disturb`` runs; return the result."""
    http = CurlAsyncHTTPClient(force_instance=True, max_clients=100)
    profile = CallerProfile(row="idempotent", key=KEYS["idempotent"], rate=RATE)
    load = CallerLoad(http, profile, [cluster.instances[0].address], seed=5)
    disturbing = asyncio.ensure_future(disturb(cluster))
    result = await load.run(seconds)
    disturbing.cancel()
    await asyncio.gather(disturbing, return_exceptions=True)
    http.close()
    return result


async def measure(seconds):
    """Run the three periods and print a line for each."""
    settings = {"instance": {"control_port": 7691}}
    async with Cluster(settings) as cluster:
        await cluster.start(instances=1, engines=1, services=1)
        address = cluster.instances[0].address
        path = "/v1/call/idempotent/work"
        await until(lambda: cluster.post(address, path, {}, KEYS["idempotent"]))
        for disturb in (nothing, publish_tables, kill_control):
            result = await period(cluster, disturb, seconds)
            points = [result.histogram.get_value_at_percentile(p) for p in PERCENTILES]
            shown = ", ".join(
                f"p{p:g} {value / 1000:.1f} ms"
                for p, value in zip(PERCENTILES, points, strict=True)
            )
            _, status = await cluster.get(address, "/v1/status")
            print(f"{disturb.__name__}: {dict(result.outcomes)}, {shown}")
            print(f"  table revision now {status['revision']}")


def run(seconds: float = 8.0):
    """Measure the three periods."""
    asyncio.run(measure(seconds))


if __name__ == "__main__":
    typer.run(run)
