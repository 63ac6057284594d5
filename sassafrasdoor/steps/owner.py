"""The owner of one step on one instance: makes its samples, hands them out.

Nothing here must last. The trainer knows what it has (the token), the engines
know their streams; a further instance becomes owner by asking both.
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
from sassafrasdoor.steps.resources import EVENTS_TOTAL, WASTED, Counts, Signal
from sassafrasdoor.steps.sample import Sample, SampleState
from sassafrasdoor.steps.spec import Identity
from sassafrasdoor.steps.stragglers import Lengths, Stragglers
from sassafrasdoor.steps.token import DeliveryToken
from sassafrasdoor.table.rows import Preference

PAUSE_AFTER_FAULT = 1.0
# Rows differ in this one number: a running stream that crosses a swap is made
# again if it has less than this share of an expected sample.
RESTART_SHARE = {Preference.STALENESS: 0.25, Preference.IDLE: 0.0}


class StepOwner:
    """One step: its samples, the tasks that make them, and what was taken."""

    __slots__ = (
        "_affinities",
        "_reader",
        "_resources",
        "_tasks",
        "_stragglers",
        "attach",
        "attach_deadline",
        "changes",
        "closed",
        "counts",
        "deadline",
        "dispatcher",
        "heard",
        "identity",
        "lengths",
        "ready",
        "row",
        "samples",
        "spec",
        "stated",
        "stopping",
        "taken",
    )

    def __init__(self, resources, row, spec, token):
        self._resources = resources
        self._reader = Reader(resources, self)
        self._affinities = {}
        self._tasks = set()
        self._stragglers = Stragglers(resources, self)
        self.dispatcher = Dispatcher(resources, self)
        self.row = row
        self.spec = spec
        self.identity = Identity(row.name, spec)
        self.deadline = deadline_in(spec.deadline_ms / 1000)
        self.attach = spec.attach
        self.counts = Counts()
        self.changes = Signal()
        self.lengths = Lengths(spec.max_tokens)
        self.ready = {}
        self.samples = [Sample(position) for position in range(spec.sample_count)]
        self.stated = 0
        self.taken = DeliveryToken(spec.sample_count)
        self.stopping = False
        self.closed = False
        self.touch()
        self.acknowledge(token)

    @property
    def dispatching(self):
        """Whether streams may be started now."""
        return self.heard and not (self.stopping or self.closed or self.over)

    @property
    def over(self):
        """Whether the step's deadline has passed."""
        return passed(self.deadline)

    @property
    def abandoned(self):
        """Whether its trainer has not been heard for too long."""
        return passed(self.attach_deadline)

    def prompt(self, position):
        """Return the prompt of a sample."""
        group, _ = self.identity.place(position)
        return self.spec.groups[group].prompt

    def affinity(self, position):
        """Return the name of a sample's prompt prefix; a group shares it."""
        group, _ = self.identity.place(position)
        if group not in self._affinities:
            self._affinities[group] = prefix_key(self.prompt(position))
        return self._affinities[group]

    def newest(self):
        """Return the newest version known, also from the trainer itself."""
        return max(self.stated, self._resources.newest_of(self.row.model))

    def oldest_allowed(self):
        """Return the oldest version that may be delivered now."""
        return self.newest() - self.row.staleness_bound

    def touch(self):
        """Note that the trainer was heard."""
        idle = self._resources.settings.steps.attach_idle
        self.attach_deadline = deadline_in(idle)
        self.heard = True
        self.dispatcher.fill()

    def start(self):
        """Begin to make what the trainer lacks."""
        self.event("step-started")
        self.spawn(self._begin())

    def event(self, kind, **fields):
        """Put an event of this step on the time line."""
        named = {"row": self.row.name, "step": self.spec.step, "attach": self.attach}
        EVENTS.add(kind, **named, **fields)

    def attached(self, attach, token):
        """Take over for a newer attachment of the trainer.

        A trainer that restarted may have lost samples that it had taken; its
        new token says so, and they are made again. Under an unchanged
        attachment a lesser token is only an old message that came late.
        """
        self.attach = attach
        self.event("step-attached")
        for position in self.taken.beyond(token):
            sample = self.samples[position]
            sample.generation += 1
            self.counts.regenerated += 1
            self.dispatcher.add(sample)
        self.taken = DeliveryToken(self.spec.sample_count)
        self.acknowledge(token)
        self.dispatcher.fill()
        self.changes.changed()

    def acknowledge(self, token):
        """Forget what the trainer has."""
        for position in token.beyond(self.taken):
            sample = self.samples[position]
            self._stop(sample)
            self._cancel_streams(sample)
            self.ready.pop(position, None)
            sample.attempt = sample.adopted = None
            sample.state = SampleState.TAKEN
            self.taken.add(position)

    def drop_too_old(self):
        """Make those ready samples again that may no longer be delivered."""
        allowed = self.oldest_allowed()
        for sample in list(self.ready.values()):
            if sample.attempt.oldest < allowed:
                self._drop(sample)
        self.dispatcher.fill()

    def worth_restarting(self, attempt, version):
        """Say whether a stream that now got tokens of ``version`` starts over.

        It must if it holds tokens too old to be delivered. It may, the sooner
        the more its row weighs staleness, if it has little and its engine is
        at newer weights by now.
        """
        if attempt.oldest < self.oldest_allowed():
            return True
        little = RESTART_SHARE[self.row.prefers] * self.lengths.expected()
        return attempt.oldest < version == self.newest() and attempt.offset < little

    def look_for_stragglers(self):
        """Start second attempts at the last few samples where they pay."""
        if self.dispatching:
            self._stragglers.look()

    def make(self, sample, attempt, permit, once=False):
        """Make a sample, from ``attempt`` if given; the task owns the permit."""
        task = self.spawn(self._make(sample, attempt, permit, once))
        sample.tasks.add(task)
        task.add_done_callback(sample.tasks.discard)

    def spawn(self, job):
        """Run a task of the step; closing the step cancels it."""
        task = asyncio.ensure_future(job)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def stop_dispatch(self):
        """Start no further stream: this instance is leaving."""
        self.stopping = True
        self.changes.changed()

    async def close(self, cancel):
        """Stop all work; ``cancel`` its streams, or leave them to a successor.

        Streams are left until the step's deadline. An owner that believes
        itself abandoned may only be cut off from a trainer that is attached
        elsewhere; cancelling at once would destroy that owner's work.
        """
        self.closed = True
        self.changes.changed()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        held = [stream for sample in self.samples for stream in sample.visited]
        if cancel:
            self._resources.cleaner.cancel(held)
        elif held:
            self._resources.cleaner.cancel_at(held, self.deadline)

    def status(self):
        """Return what an operator sees of the step."""
        states = [sample.state for sample in self.samples]
        return {
            "row": self.row.name,
            "step": self.spec.step,
            "attach": self.attach,
            **{state.name.lower(): states.count(state) for state in SampleState},
            "counts": self.counts.as_dict(),
        }

    async def _begin(self):
        if self.spec.attach > 1:
            await adopt(self._resources, self)
        for sample in self.samples:
            if sample.state is SampleState.PENDING:
                self.dispatcher.add(sample)
        self.dispatcher.fill()

    async def _make(self, sample, attempt, permit, once):
        try:
            whole = await self._reader.read(sample, attempt, once)
            # The engine's place is free from here on, whatever the score takes.
            permit.release()
            permit = None
            if whole is not None:
                score = await self._score(sample, whole)
                self._finished(sample, whole, score)
        except Exception as error:
            # A fault of ours must neither lose the sample nor spin: it would
            # show as a step that never completes, or as a busy process.
            logs.changed("steps:fault", error=repr(error), stream=sample.position)
            await asyncio.sleep(PAUSE_AFTER_FAULT)
            if sample.state is SampleState.RUNNING:
                self.dispatcher.add(sample)
        finally:
            if permit is not None:
                permit.release()
            self.dispatcher.fill()

    async def _score(self, sample, attempt):
        """Return the score of a whole sample, None where it gets none."""
        group, _ = self.identity.place(sample.position)
        reward = self.spec.groups[group].reward
        if reward is None:
            return None
        self.dispatcher.fill()
        call_id = f"{attempt.stream}.reward"
        score = await self._resources.scorer.score(reward, call_id, self.deadline)
        if isinstance(score, Outcome):
            logs.changed("steps:unscored", reason=score.reason, stream=attempt.stream)
            return None
        return score

    def _finished(self, sample, attempt, score):
        # Another attempt may have been scored first; its text bears its own score.
        if sample.state is not SampleState.RUNNING:
            return
        sample.score = score
        winner = attempt.held
        self._stop(sample, attempt.base)
        self._cancel_streams(sample, keep=winner)
        self.lengths.add(attempt.offset)
        self._stragglers.finished(attempt)
        sample.attempt = attempt
        sample.state = SampleState.READY
        self.ready[sample.position] = sample
        self.changes.changed()

    def _drop(self, sample):
        self.counts.stale_dropped += 1
        self.counts.regenerated += 1
        self.counts.tokens_wasted += sample.attempt.offset
        WASTED.add({"row": self.row.name}, sample.attempt.offset)
        EVENTS_TOTAL.inc({"kind": "stale-dropped", "row": self.row.name})
        del self.ready[sample.position]
        sample.attempt = None
        sample.generation += 1
        self._cancel_streams(sample)
        self.dispatcher.add(sample)

    def _stop(self, sample, kept=0):
        """End the other attempts at a sample; all but ``kept`` tokens are wasted."""
        current = asyncio.current_task()
        for task in sample.tasks - {current}:
            task.cancel()
        wasted = sum(
            max(0, attempt.offset - max(kept, attempt.base))
            for attempt in sample.running
        )
        self.counts.tokens_wasted += wasted
        WASTED.add({"row": self.row.name}, wasted)

    def _cancel_streams(self, sample, keep=None):
        self._resources.cleaner.cancel(sample.visited - {keep})
        sample.visited.intersection_update({keep})
