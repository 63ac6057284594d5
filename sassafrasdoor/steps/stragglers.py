"""Starts second attempts on idle engines for the last samples of a step.

A few streams run far longer than the rest, some of them on loaded or slow engines. When
only these remain, a sample whose engine is slow gets a second attempt on another one:
continued with its KV cache ("move") or restarted ("duplicate"). The first attempt to
finish is kept. Both use the same stream id and seed, so that the race does not favour
short samples.
"""

from statistics import fmean

from sassafrasdoor.clock import deadline_in, now
from sassafrasdoor.outcomes import Outcome
from sassafrasdoor.settings import Stragglers as Mode
from sassafrasdoor.steps.resources import SAMPLE_EVENTS
from sassafrasdoor.steps.sample import Attempt, SampleState

TAIL_FRACTION = 0.15  # of a step's samples that count as its tail
MIN_TAIL_SAMPLES = 4  # lower bound of the tail's size
CHECK_INTERVAL = 0.2  # seconds
MAX_IDLE_LOAD = 0.5  # load up to which an engine counts as idle
MAX_TIME_RATIO = 0.67  # expected time of a second attempt to that of the first
SECOND_ATTEMPT_OVERHEAD = 0.1  # seconds
PERMIT_TIMEOUT = 0.05  # seconds
MIN_RATE = 0.1  # tokens per second, to estimate times of stalled streams


class LengthEstimator:
    """Estimates sample lengths from those of finished samples, in tokens."""

    __slots__ = ("_lengths", "_limit")

    def __init__(self, limit):
        self._limit = limit
        self._lengths = []

    def add(self, length):
        """Record the length of a finished sample."""
        self._lengths.append(length)

    def expected(self):
        """Return the expected length of a new sample, in tokens."""
        return fmean(self._lengths) if self._lengths else self._limit / 2

    def remaining(self, offset):
        """Return the expected remaining tokens of a sample with ``offset`` tokens.

        Lengths have a long tail, so the remainder grows with the offset: it is the mean
        over longer finished samples, or, without any, half of what the limit leaves.
        """
        longer = [length - offset for length in self._lengths if length > offset]
        return fmean(longer) if longer else max(1.0, (self._limit - offset) / 2)


class StragglerMonitor:
    """Checks the running samples of a step and starts second attempts."""

    __slots__ = (
        "_best_rate",
        "_checked_at",
        "_offsets",
        "_owner",
        "_preparing",
        "_resources",
    )

    def __init__(self, resources, owner):
        self._resources = resources
        self._owner = owner
        self._best_rate = 0.0
        self._checked_at = now()
        self._offsets = {}
        self._preparing = set()

    def record_finished(self, attempt):
        """Update the best rate from a finished attempt.

        Rates are averages over an attempt's duration: a burst after a pause, or a
        replay of an adopted stream, would suggest an engine faster than any, and all
        samples would be moved there.
        """
        self._best_rate = max(self._best_rate, attempt.rate)

    def check(self):
        """Start second attempts that are likely faster, once per ``CHECK_INTERVAL``."""
        elapsed = now() - self._checked_at
        if self._mode is Mode.OFF or elapsed < CHECK_INTERVAL:
            return
        rates = self._rates(elapsed)
        candidates = [
            sample
            for sample in self._owner.samples
            if sample.state is SampleState.RUNNING
            and len(sample.tasks) == 1
            and sample.position not in self._preparing
        ]
        for sample in candidates if self._is_tail(candidates) else []:
            for attempt in sample.running & rates.keys():
                self._evaluate(sample, attempt, rates[attempt])

    @property
    def _mode(self):
        return self._resources.settings.steps.stragglers

    def _is_tail(self, candidates):
        owner = self._owner
        max_tail = max(MIN_TAIL_SAMPLES, TAIL_FRACTION * len(owner.samples))
        return not len(owner.dispatcher.pending) and len(candidates) <= max_tail

    def _rates(self, elapsed):
        """Return each attempt's tokens per second since the last check."""
        running = {
            attempt for sample in self._owner.samples for attempt in sample.running
        }
        rates = {
            attempt: max(0, attempt.progress - self._offsets[attempt]) / elapsed
            for attempt in running & self._offsets.keys()
        }
        self._offsets = {attempt: attempt.progress for attempt in running}
        self._checked_at = now()
        self._best_rate = max([self._best_rate, *(attempt.rate for attempt in running)])
        return rates

    def _evaluate(self, sample, attempt, rate):
        remaining_tokens = self._owner.lengths.remaining(attempt.offset)
        current_seconds = remaining_tokens / max(rate, MIN_RATE)
        tokens = {
            Mode.MOVE: remaining_tokens,
            Mode.DUPLICATE: remaining_tokens + attempt.offset,
        }[self._mode]
        second_seconds = SECOND_ATTEMPT_OVERHEAD + tokens / max(
            self._best_rate, MIN_RATE
        )
        backend = (
            self._idlest_backend(attempt)
            if second_seconds < MAX_TIME_RATIO * current_seconds
            else None
        )
        if backend is not None:
            self._preparing.add(sample.position)
            self._owner.spawn(self._start_second_attempt(sample, attempt, backend))

    def _idlest_backend(self, attempt):
        chooser, row = self._resources.chooser, self._owner.row
        idle = [
            backend
            for backend in self._resources.view().serving(row.service)
            if backend.address != attempt.backend.address
            and (not backend.models or row.model in backend.models)
            and chooser.load_of(backend) <= MAX_IDLE_LOAD
        ]
        return min(idle, key=chooser.load_of, default=None)

    async def _start_second_attempt(self, sample, attempt, backend):
        permit = await self._resources.admission.admit(
            self._resources.view(), self._owner.row, deadline_in(PERMIT_TIMEOUT)
        )
        if isinstance(permit, Outcome):
            self._preparing.discard(sample.position)
            return
        try:
            second = await self._prepare_attempt(attempt, backend)
            if sample.state is SampleState.RUNNING and attempt in sample.running:
                kind = "moved" if second.imported_tokens else "duplicated"
                counts = self._owner.counts
                setattr(counts, kind, getattr(counts, kind) + 1)
                SAMPLE_EVENTS.inc({"kind": kind, "row": self._owner.row.name})
                self._owner.start_sample(sample, second, permit, single_attempt=True)
                permit = None
        finally:
            self._preparing.discard(sample.position)
            if permit is not None:
                permit.release()

    async def _prepare_attempt(self, attempt, backend):
        """Return a second attempt at ``backend``, with the KV cache if it was moved."""
        if self._mode is Mode.MOVE and attempt.offset:
            moved = attempt.copy_to(backend)
            engine = self._resources.engine
            kv = await engine.export_kv(attempt.backend, attempt.stream)
            if not isinstance(kv, Outcome):
                result = await engine.import_kv(backend, attempt.stream, kv)
                if not isinstance(result, Outcome):
                    return moved
        return Attempt(backend, attempt.stream, attempt.generation)
