"""The demo: a cluster of real processes, one of them killed, and a checked report.

A table is accepted, applications call an idempotent and a non-repeatable
service, and a trainer runs a step. During the step new weights are announced and
the entry instance that owns it is killed. The report is checked against the
stand-ins' own records.
"""

import asyncio
import json
from collections import Counter

from sassafrasdoor.clock import now
from sassafrasdoor.cluster import KEYS, MODEL, Cluster
from sassafrasdoor.curl import CurlClient
from sassafrasdoor.load.callers import CallerLoad
from sassafrasdoor.load.profile import CallerProfile
from sassafrasdoor.steps.client import Trainer
from sassafrasdoor.support import ROOT, until

SAMPLES_PER_GROUP = 4
MAX_TOKENS = 160
STEP = "demo-step"
STEP_DEADLINE_MS = 50_000
ANNOUNCE_AT, KILL_AT = 0.2, 0.3
CALLS_RATE, CALLS_SECONDS = 20.0, 8.0
ENGINE_OPTIONS = ("--capacity", "24", "--token-rate", "60", "--swap-seconds", "0.3")


class Demo:
    """One run of the demo; ``print_progress`` receives each line of progress."""

    __slots__ = ("_cluster", "_killed", "_samples", "_print_progress", "_started")

    def __init__(self, print_progress):
        self._print_progress = print_progress
        self._cluster = Cluster()
        self._samples = []
        self._killed = ""
        self._started = now()

    async def run(self):
        """Run the demo; return the report as a JSON-ready mapping."""
        async with self._cluster as cluster:
            self._report_progress(
                "starting the platform, 2 engines, 1 service, 3 instances"
            )
            await cluster.start(engine_options=ENGINE_OPTIONS)
            self._report_progress("table accepted and in force on every instance")
            calls = asyncio.ensure_future(self._call_services())
            step = await self._run_step()
            applications = await calls
            return await self._report(step, applications)

    def _report_progress(self, line):
        self._print_progress(f"{now() - self._started:6.1f} s  {line}")

    def _addresses(self):
        return [instance.address for instance in self._cluster.instances]

    async def _call_services(self):
        http = CurlClient(force_instance=True, max_clients=200)
        loads = []
        for number, row in enumerate(("idempotent", "once")):
            profile = CallerProfile(
                row=row, key=KEYS[row], rate=CALLS_RATE, repeatable=row != "once"
            )
            loads.append(CallerLoad(http, profile, self._addresses(), seed=number))
        results = await asyncio.gather(*(load.run(CALLS_SECONDS) for load in loads))
        http.close()
        return results

    async def _run_step(self):
        prompts = json.loads((ROOT / "samples" / "prompts.json").read_text("utf-8"))
        trainer = Trainer(
            self._addresses(), "trainer", KEYS["trainer"], newest_version=1
        )
        step = trainer.run(
            {
                "step": STEP,
                "groups": [{"prompt": prompt} for prompt in prompts],
                "samples_per_group": SAMPLES_PER_GROUP,
                "max_tokens": MAX_TOKENS,
                "deadline_ms": STEP_DEADLINE_MS,
                "seed": 7,
            }
        )
        total = len(prompts) * SAMPLES_PER_GROUP
        self._report_progress(
            f"step of {len(prompts)} groups x {SAMPLES_PER_GROUP} submitted"
        )
        milestones = [(ANNOUNCE_AT, self._announce), (KILL_AT, self._kill_owner)]
        async for sample in step.samples():
            self._samples.append(sample)
            while milestones and len(self._samples) >= milestones[0][0] * total:
                await milestones.pop(0)[1](trainer)
        trainer.close()
        self._report_progress(f"step ended: {len(self._samples)} of {total} samples")
        return step

    async def _announce(self, trainer):
        await self._cluster.announce(MODEL, 2)
        trainer.newest_version = 2
        self._report_progress("new weights announced: version 2")

    async def _kill_owner(self, trainer):
        for instance in self._cluster.instances:
            _, status = await self._cluster.get(instance.address, "/v1/status")
            if status.get("steps"):
                instance.kill()
                self._killed = instance.name
                self._report_progress(f"killed {instance.name}, which owns the step")
                return

    def _running_instances(self):
        instances = self._cluster.instances
        return [instance for instance in instances if instance.entry.returncode is None]

    async def _report(self, step, applications):
        cluster = self._cluster
        streams = {}
        for name in ("engine-1", "engine-2"):
            streams.update((await cluster.truth(name))["streams"])
        executions = (await cluster.truth("service-1"))["by_request"]
        revisions = await until(
            self._common_revision, what="the same table revision on all instances"
        )
        delivered = Counter(
            (sample["group"], sample["index"]) for sample in self._samples
        )
        expected = len(step.token)
        return {
            "requests": {
                results.row: dict(results.outcomes) for results in applications
            },
            "executed_twice": _count_repeated_executions(executions),
            "samples": len(self._samples),
            "versions": _count_versions(self._samples),
            "duplicates": sum(delivered.values()) - len(delivered),
            "missing": expected - len(delivered),
            "largest_staleness": max(step.report.staleness, default=0),
            "resumed": step.report.counts.get("resumed", 0),
            "regenerated": step.report.counts.get("regenerated", 0),
            "attachments": step.report.attachments,
            "trainer_idle_seconds": round(step.report.idle, 2),
            "step_seconds": round(step.report.duration, 2),
            "killed": self._killed,
            "revision_in_force": revisions,
            "failure": str(step.failure or ""),
        }

    async def _common_revision(self):
        revisions = {}
        for instance in self._running_instances():
            _, status = await self._cluster.get(instance.address, "/v1/status")
            revisions[instance.name] = status["revision"]
        return revisions if len(set(revisions.values())) == 1 else None


def _count_repeated_executions(executions):
    """Count keyed requests that ran more than once."""
    return sum(count > 1 for key, count in executions.items() if key)


def _count_versions(samples):
    labels = Counter(
        "+".join(str(span[0]) for span in sample["spans"]) for sample in samples
    )
    return dict(sorted(labels.items()))


def violated_guarantees(report):
    """Return the guarantees that a report shows as violated, as sentences."""
    checks = {
        "a sample was delivered twice": report["duplicates"],
        "a sample is missing": report["missing"],
        "a non-repeatable request ran twice": report["executed_twice"],
        "no instance was killed": not report["killed"],
        "streams were regenerated although resumable": report["regenerated"]
        and not report["resumed"],
        "the step failed": report["failure"],
        "a request got no typed outcome": any(
            "no-reply" in outcomes or "rejected" in outcomes
            for outcomes in report["requests"].values()
        ),
        "instances use different table revisions": len(
            set(report["revision_in_force"].values())
        )
        != 1,
    }
    return [message for message, failed in checks.items() if failed]
