"""Chooses the engines that swap weights next; no I/O.

Swaps run in a sliding window without a barrier between waves, so a swap that hangs
occupies only one slot of the window.
"""

import math
from enum import StrEnum

from sassafrasdoor.clock import LONG_AGO, passed
from sassafrasdoor.table.rows import Kind, Preference


class Phase(StrEnum):
    """An engine's phase in the rollout."""

    IDLE = "idle"
    SWAPPING = "swapping"
    CONFIRMING = "confirming"


class EngineState:
    """An engine's state by its own reports; ``versions`` is None without a report.

    No order is sent before ``retry_deadline``; the report is outdated after
    ``check_deadline``. Both are monotonic.
    """

    __slots__ = (
        "attempts",
        "backend",
        "check_deadline",
        "failed_reads",
        "in_flight",
        "phase",
        "reading",
        "retry_deadline",
        "versions",
    )

    def __init__(self, backend):
        self.backend = backend
        self.versions = None
        self.in_flight = 0
        self.phase = Phase.IDLE
        self.reading = False
        self.attempts = 0
        self.failed_reads = 0
        self.check_deadline = LONG_AGO
        self.retry_deadline = LONG_AGO

    def is_behind(self, model, version):
        """Return whether the engine reports an older version.

        A newer version is not behind, since this process's view may be outdated.
        """
        return self.versions is not None and self.versions.get(model, 0) < version

    @property
    def is_ready(self):
        """Whether an order may be sent now: idle, with a recent report."""
        return (
            self.phase is Phase.IDLE
            and passed(self.retry_deadline)
            and not passed(self.check_deadline)
        )


class Swap:
    """An engine to be brought to a version of a model."""

    __slots__ = ("engine", "model", "version")

    def __init__(self, engine, model, version):
        self.engine = engine
        self.model = model
        self.version = version


def preference(table, model):
    """Return the ``Preference`` of a model's trainers, by the sum of row weights."""
    sums = dict.fromkeys(Preference, 0.0)
    for row in table.rows if table else ():
        if row.kind is Kind.TRAINER and row.model == model:
            sums[row.prefers] += row.weight
    return max(sums, key=sums.get)


def max_concurrent_swaps(settings, preferred, engines):
    """Return how many of a model's engines may be out of service for swaps.

    Engines without a report count as out of service. One swap is always allowed, so
    that a rollout makes progress with few live engines.
    """
    share = getattr(settings.weights.serving_share, preferred)
    reachable = sum(engine.versions is not None for engine in engines)
    return max(1, reachable - math.ceil(share * len(engines)))


def next_swaps(settings, view, engines):
    """Return the ``Swap``s to start now, the least loaded engines first.

    Bounded by the store's concurrency over all models, and for each model by the
    share of its engines that must keep serving.
    """
    swapping = sum(engine.phase is Phase.SWAPPING for engine in engines)
    free = settings.weights.store_concurrency - swapping
    chosen = {}
    if free <= 0:
        return []
    for model, version in sorted(view.weights.items()):
        model_engines = [engine for engine in engines if model in engine.backend.models]
        out_of_service = sum(
            engine.phase is not Phase.IDLE or engine in chosen
            for engine in model_engines
        )
        allowed = (
            max_concurrent_swaps(settings, preference(view.table, model), model_engines)
            - out_of_service
        )
        ready = [
            engine
            for engine in model_engines
            if engine.is_ready
            and engine not in chosen
            and engine.is_behind(model, version)
        ]
        ready.sort(key=lambda engine: (engine.in_flight, engine.backend.name))
        for engine in ready[: max(0, min(free, allowed))]:
            chosen[engine] = Swap(engine, model, version)
            free -= 1
    return list(chosen.values())
