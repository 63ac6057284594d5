"""Trainers of a load: sequential steps through the client library."""

import random

from sassafrasdoor.steps.client import Trainer

STEP_DEADLINE_MS = 600_000
WORDS = ("sign", "board", "level", "spaces", "exit", "shade", "market", "evening")


class TrainerLoad:
    """Runs one trainer's steps and summarizes their reports."""

    __slots__ = ("_profile", "_seed", "trainer")

    def __init__(self, profile, seeds, seed, ca_file=""):
        self._profile = profile
        self._seed = seed
        self.trainer = Trainer(seeds, profile.row, profile.key, ca_file=ca_file)

    async def run(self):
        """Run all steps; return their summary as a JSON-serializable mapping."""
        reports = []
        try:
            for number in range(self._profile.steps):
                run = self.trainer.run(self._step_document(number))
                async for _ in run.samples():
                    pass
                reports.append((run.complete, run.report))
        finally:
            self.trainer.close()
        return summary(self._profile.row, reports, self._expected_samples())

    def _expected_samples(self):
        profile = self._profile
        return profile.steps * profile.groups * profile.samples_per_group

    def _step_document(self, number):
        generator = random.Random(f"{self._seed}/{number}")
        prompts = [
            " ".join(generator.choices(WORDS, k=24))
            for _ in range(self._profile.groups)
        ]
        return {
            "step": f"load-{self._seed}-{number}",
            "groups": [{"prompt": prompt} for prompt in prompts],
            "samples_per_group": self._profile.samples_per_group,
            "max_tokens": self._profile.max_tokens,
            "deadline_ms": STEP_DEADLINE_MS,
            "seed": self._seed,
        }


def summary(row, reports, expected):
    """Return the totals of one trainer's steps."""
    delivered = sum(report.samples for _, report in reports)
    return {
        "row": row,
        "steps": sum(complete for complete, _ in reports),
        "samples": delivered,
        "missing": expected - delivered,
        "duplicates": sum(report.duplicates for _, report in reports),
        "idle_seconds": round(sum(report.idle for _, report in reports), 3),
        "step_seconds": [round(report.duration, 3) for _, report in reports],
        "largest_staleness": max(
            (max(report.staleness, default=0) for _, report in reports), default=0
        ),
        "mean_staleness": [round(report.mean_staleness, 3) for _, report in reports],
        "regenerated": sum(
            report.counts.get("regenerated", 0) for _, report in reports
        ),
    }
