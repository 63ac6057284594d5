"""Half of the backend servers, or the platform, away for a while under load.

    python samples/measure_outage.py [--folder samples/nkwanta] [--away 15]

Real processes of one deployment under its open-loop load. From 8 s on half of the
engines and services are frozen (``servers``), or the platform refuses everything
(``platform``). Prints answers in each period, outcomes, and executions a call.
"""

import asyncio
from collections import Counter

import typer

from sassafrasdoor import deployments
from sassafrasdoor.clock import now
from sassafrasdoor.cluster import Cluster
from sassafrasdoor.load import run as runs

BEGINS = 8.0
AFTER = 12.0
PERIOD = 4.0


class Outage:
    """Takes something away and brings it back."""

    __slots__ = ("_cluster", "_kind")

    def __init__(self, cluster, kind):
        self._cluster = cluster
        self._kind = kind

    async def switch(self, away):
        """Take it away, or bring it back."""
        if self._kind == "platform":
            await self._cluster.platform_faults(down=away)
        for process in self._half() if self._kind == "servers" else ():
            process.freeze() if away else process.thaw()

    def _half(self):
        by_service = {}
        for name, process in self._cluster.backends.items():
            by_service.setdefault(name.rpartition("-")[0], []).append(process)
        return [one for some in by_service.values() for one in some[: len(some) // 2]]

    async def run(self, away):
        """Be away for so many seconds, from ``BEGINS`` on."""
        await asyncio.sleep(BEGINS)
        await self.switch(True)
        await asyncio.sleep(away)
        await self.switch(False)


async def measure(folder, kind, away):
    """Run one outage under the deployment's load and print what came of it."""
    deployment = deployments.read(folder)
    assert deployment, deployment.findings
    profile = deployment.load.model_copy(update={"duration": BEGINS + away + AFTER})
    async with Cluster(deployment.settings) as cluster:
        await deployments.start(cluster, deployment, lambda line: None)
        addresses = [one.address for one in cluster.instances]
        began = now()
        outage = asyncio.ensure_future(Outage(cluster, kind).run(away))
        results, document = await runs.run(profile, addresses)
        await outage
        truths = [
            await cluster.truth(f"{backend['service']}-{number + 1}")
            for backend in deployment.backends
            if backend["kind"] == "service"
            for number in range(backend["count"])
        ]
    print(f"## {kind} away from {BEGINS:.0f} s to {BEGINS + away:.0f} s")
    for result in results:
        periods = Counter(int((at - began) // PERIOD) for at in result.answered_at)
        rates = [round(periods[n] / PERIOD, 1) for n in range(max(periods) + 1)]
        print(f"{result.row}: {dict(result.outcomes)}, late {result.late}")
        print(f"  answered a second, each {PERIOD:.0f} s: {rates}")
    calls = sum(
        sum(r.outcomes.values()) for r in results if r.row != "assistant-answers"
    )
    executions = sum(truth["total"] for truth in truths)
    print(f"executions a call: {executions / calls:.3f}")
    for trainer in document["trainers"]:
        print(trainer)


def run(folder: str = "samples/nkwanta", away: float = 15.0, kind: str = ""):
    """Measure one outage, or both, one after the other."""
    kinds = [kind] if kind else ["servers", "platform"]
    for each in kinds:
        asyncio.run(measure(folder, each, away))


if __name__ == "__main__":
    typer.run(run)
