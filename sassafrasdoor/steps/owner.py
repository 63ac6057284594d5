"""The owner of one step on one instance: produces and delivers its samples.

No state here is durable. The trainer's token names the samples that it has, and the
engines hold the streams; another instance can take the step over from these two.
"""

import asyncio

from sassafrasdoor import logs
from sassafrasdoor.backends.interface import prefix_key
from sassafrasdoor.clock import deadline_in, passed
from sassafrasdoor.events import EVENTS
from sassafrasdoor.outcomes import Outcome
from sassafrasdoor.steps.adoption import adopt
from sassafrasdoor.steps.dispatch import Dispatcher
from sassafrasdoor.steps.reader import Reader
from sassafrasdoor.steps.resources import SAMPLE_EVENTS, WASTED_TOKENS, Counts, Signal
from sassafrasdoor.steps.sample import Sample, SampleState
from sassafrasdoor.steps.spec import Identity
from sassafrasdoor.steps.stragglers import LengthEstimator, StragglerMonitor
from sassafrasdoor.steps.token import DeliveryToken
from sassafrasdoor.table.rows import Preference

FAULT_RETRY_DELAY = 1.0  # seconds after an exception
# By the row's preference: a stream that spans a weight swap is restarted if it has less
# than this fraction of the expected sample length.
RESTART_THRESHOLDS = {Preference.STALENESS: 0.25, Preference.IDLE: 0.0}


class StepOwner:
    """One step: its samples, the tasks that produce them, and the acknowledged ones."""

    __slots__ = (
        "_affinities",
        "_reader",
        "_resources",
        "_stragglers",
        "_tasks",
        "acknowledged",
        "attach",
        "attach_deadline",
        "changes",
        "closed",
        "counts",
        "deadline",
        "dispatcher",
        "identity",
        "is_trainer_connected",
        "lengths",
        "ready",
        "row",
        "samples",
        "spec",
        "stopping",
        "trainer_version",
    )

    def __init__(self, resources, row, spec, token):
        self._resources = resources
        self._reader = Reader(resources, self)
        self._affinities = {}
        self._tasks = set()
        self._stragglers = StragglerMonitor(resources, self)
        self.dispatcher = Dispatcher(resources, self)
        self.row = row
        self.spec = spec
        self.identity = Identity(row.name, spec)
        self.deadline = deadline_in(spec.deadline_ms / 1000)
        self.attach = spec.attach
        self.counts = Counts()
        self.changes = Signal()
        self.lengths = LengthEstimator(spec.max_tokens)
        self.ready = {}
        self.samples = [Sample(position) for position in range(spec.sample_count)]
        self.trainer_version = 0
        self.acknowledged = DeliveryToken(spec.sample_count)
        self.stopping = False
        self.closed = False
        self.record_trainer_activity()
        self.acknowledge(token)

    @property
    def is_dispatching(self):
        """Whether new streams may be started now."""
        return self.is_trainer_connected and not (
            self.stopping or self.closed or self.is_expired
        )

    @property
    def is_expired(self):
        """Whether the step's deadline has passed."""
        return passed(self.deadline)

    @property
    def is_abandoned(self):
        """Whether the trainer has been silent for longer than ``attach_idle``."""
        return passed(self.attach_deadline)

    def prompt(self, position):
        """Return the prompt of a sample."""
        group, _ = self.identity.place(position)
        return self.spec.groups[group].prompt

    def affinity(self, position):
        """Return the prefix key of a sample's prompt, the same for a whole group."""
        group, _ = self.identity.place(position)
        if group not in self._affinities:
            self._affinities[group] = prefix_key(self.prompt(position))
        return self._affinities[group]

    def newest(self):
        """Return the newest version known here or stated by the trainer."""
        return max(self.trainer_version, self._resources.newest_of(self.row.model))

    def oldest_allowed(self):
        """Return the oldest version within the row's staleness bound."""
        return self.newest() - self.row.staleness_bound

    def record_trainer_activity(self):
        """Extend the attachment's idle deadline and resume starting streams."""
        idle = self._resources.settings.steps.attach_idle
        self.attach_deadline = deadline_in(idle)
        self.is_trainer_connected = True
        self.dispatcher.request_permits()

    def start(self):
        """Start producing the samples that the trainer lacks."""
        self.event("step-started")
        self.spawn(self._start_samples())

    def event(self, kind, **fields):
        """Add an event of this step to the timeline."""
        common = {"row": self.row.name, "step": self.spec.step, "attach": self.attach}
        EVENTS.add(kind, **common, **fields)

    def reattach(self, attach, token):
        """Switch to a newer attachment of the trainer.

        A restarted trainer may have lost samples that it had acknowledged; those that
        its new token lacks are regenerated. With an unchanged attachment number, a
        token that lacks acknowledged samples is only a delayed message.
        """
        self.attach = attach
        self.event("step-attached")
        for position in self.acknowledged.difference(token):
            sample = self.samples[position]
            sample.generation += 1
            self.counts.regenerated += 1
            self.dispatcher.add(sample)
        self.acknowledged = DeliveryToken(self.spec.sample_count)
        self.acknowledge(token)
        self.dispatcher.request_permits()
        self.changes.changed()

    def acknowledge(self, token):
        """Release the samples that the token names."""
        for position in token.difference(self.acknowledged):
            sample = self.samples[position]
            self._stop_attempts(sample)
            self._cancel_streams(sample)
            self.ready.pop(position, None)
            sample.attempt = sample.adopted = None
            sample.state = SampleState.TAKEN
            self.acknowledged.add(position)

    def drop_stale_samples(self):
        """Regenerate ready samples that exceed the staleness bound."""
        allowed = self.oldest_allowed()
        for sample in list(self.ready.values()):
            if sample.attempt.oldest < allowed:
                self._regenerate_stale(sample)
        self.dispatcher.request_permits()

    def should_restart(self, attempt, version):
        """Return whether to restart a stream that has received tokens of ``version``.

        True if it holds tokens too old to be delivered, or if its engine has moved to
        the newest weights and it has fewer tokens than the row's threshold.
        """
        if attempt.oldest < self.oldest_allowed():
            return True
        threshold = RESTART_THRESHOLDS[self.row.prefers] * self.lengths.expected()
        return attempt.oldest < version == self.newest() and attempt.offset < threshold

    def check_stragglers(self):
        """Start second attempts at the last samples where these are likely faster."""
        if self.is_dispatching:
            self._stragglers.check()

    def start_sample(self, sample, attempt, permit, single_attempt=False):
        """Start a task that produces a sample, from ``attempt`` if given.

        The task owns the permit.
        """
        task = self.spawn(self._run_sample(sample, attempt, permit, single_attempt))
        sample.tasks.add(task)
        task.add_done_callback(sample.tasks.discard)

    def spawn(self, coroutine):
        """Run a coroutine as a task that ``close`` cancels."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def stop_dispatch(self):
        """Start no further streams: this instance is draining."""
        self.stopping = True
        self.changes.changed()

    async def close(self, cancel):
        """Stop all tasks; with ``cancel``, cancel the streams at once.

        Otherwise they run until the step's deadline: an owner that seems abandoned may
        be partitioned from a trainer that is attached to another instance, and an
        immediate cancel would destroy the streams that its new owner reads.
        """
        self.closed = True
        self.changes.changed()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        streams = [stream for sample in self.samples for stream in sample.open_streams]
        if cancel:
            self._resources.cleaner.cancel(streams)
        elif streams:
            self._resources.cleaner.cancel_at(streams, self.deadline)

    def status(self):
        """Return the step's status for operators, JSON-ready."""
        states = [sample.state for sample in self.samples]
        return {
            "row": self.row.name,
            "step": self.spec.step,
            "attach": self.attach,
            **{state.name.lower(): states.count(state) for state in SampleState},
            "counts": self.counts.as_dict(),
        }

    async def _start_samples(self):
        if self.spec.attach > 1:
            await adopt(self._resources, self)
        for sample in self.samples:
            if sample.state is SampleState.PENDING:
                self.dispatcher.add(sample)
        self.dispatcher.request_permits()

    async def _run_sample(self, sample, attempt, permit, single_attempt):
        try:
            completed = await self._reader.read(sample, attempt, single_attempt)
            # Scoring does not use the engine, so its slot is released first.
            permit.release()
            permit = None
            if completed is not None:
                score = await self._score(sample, completed)
                self._complete_sample(sample, completed, score)
        except Exception as error:
            # Without the retry the step would never complete, and without the delay
            # a repeated exception would keep the process busy.
            logs.changed("steps:fault", error=repr(error), stream=sample.position)
            await asyncio.sleep(FAULT_RETRY_DELAY)
            if sample.state is SampleState.RUNNING:
                self.dispatcher.add(sample)
        finally:
            if permit is not None:
                permit.release()
            self.dispatcher.request_permits()

    async def _score(self, sample, attempt):
        """Return the score of a finished sample, or None."""
        group, _ = self.identity.place(sample.position)
        reward = self.spec.groups[group].reward
        if reward is None:
            return None
        self.dispatcher.request_permits()
        call_id = f"{attempt.stream}.reward"
        score = await self._resources.scorer.score(reward, call_id, self.deadline)
        if isinstance(score, Outcome):
            logs.changed("steps:unscored", reason=score.reason, stream=attempt.stream)
            return None
        return score

    def _complete_sample(self, sample, attempt, score):
        # Another attempt may have been scored first; a score belongs to its text.
        if sample.state is not SampleState.RUNNING:
            return
        sample.score = score
        winner = attempt.location
        self._stop_attempts(sample, attempt.imported_tokens)
        self._cancel_streams(sample, keep=winner)
        self.lengths.add(attempt.offset)
        self._stragglers.record_finished(attempt)
        sample.attempt = attempt
        sample.state = SampleState.READY
        self.ready[sample.position] = sample
        self.changes.changed()

    def _regenerate_stale(self, sample):
        self.counts.stale_dropped += 1
        self.counts.regenerated += 1
        self.counts.tokens_wasted += sample.attempt.offset
        WASTED_TOKENS.add({"row": self.row.name}, sample.attempt.offset)
        SAMPLE_EVENTS.inc({"kind": "stale-dropped", "row": self.row.name})
        del self.ready[sample.position]
        sample.attempt = None
        sample.generation += 1
        self._cancel_streams(sample)
        self.dispatcher.add(sample)

    def _stop_attempts(self, sample, kept_tokens=0):
        """Cancel other attempts; count all but ``kept_tokens`` tokens as wasted."""
        current = asyncio.current_task()
        for task in sample.tasks - {current}:
            task.cancel()
        wasted = sum(
            max(0, attempt.offset - max(kept_tokens, attempt.imported_tokens))
            for attempt in sample.running
        )
        self.counts.tokens_wasted += wasted
        WASTED_TOKENS.add({"row": self.row.name}, wasted)

    def _cancel_streams(self, sample, keep=None):
        self._resources.cleaner.cancel(sample.open_streams - {keep})
        sample.open_streams.intersection_update({keep})
