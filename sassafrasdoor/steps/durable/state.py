"""Folds a shard's records into steps, identically on every instance.

Offsets decide: the first record of a step counts, and so does the first record of a
sample. Two runners of one shard, an append that lands late or a step submitted twice
change nothing that a trainer has read.
"""

from collections import Counter

from sassafrasdoor.clock import now
from sassafrasdoor.decisions import note
from sassafrasdoor.metrics import gauge
from sassafrasdoor.steps.durable import records

HELD_BYTES = gauge("steps_held_bytes", "About what all known steps take in memory.")
MAX_PARTIAL_STEPS = 64
MAX_DISCARDED_IDS = 4096  # so that a log line can say why a step is unknown


class Step:
    """One accepted step and what the log lists of it.

    ``listed`` are the samples by position. By item, ``failed_attempts`` and
    ``failed_reward_calls`` are the ids of attempts and reward calls that failed at a
    replica, ``progress`` the partial samples by run, ``texts`` the complete texts that
    still need their score.
    ``seen_at`` and ``ended_at`` are when this process learned of the step and of its end.
    ``held_bytes`` is about what it takes in memory.
    """

    __slots__ = (
        "_group_sizes",
        "_listed_by_group",
        "ended",
        "ended_at",
        "failed_attempts",
        "held_bytes",
        "items",
        "listed",
        "listed_ids",
        "progress",
        "failed_reward_calls",
        "seen_at",
        "shard",
        "spec",
        "texts",
        "waiters",
    )

    def __init__(self, spec, shard):
        self.held_bytes = spec.held_bytes()
        self.spec = spec
        self.shard = shard
        self.items = {item.item_id: item for item in spec.items}
        self._group_sizes = Counter(item.group for item in spec.items)
        self._listed_by_group = {}
        self.listed = []
        self.listed_ids = set()
        self.failed_attempts = {}
        self.failed_reward_calls = {}
        self.progress = {}
        self.texts = {}
        self.ended = False
        self.ended_at = None
        self.seen_at = now()
        self.waiters = set()

    @property
    def is_done(self):
        """Whether none of its items is to be run any more."""
        return self.ended or len(self.listed_ids) == len(self.items)

    @property
    def is_new(self):
        """Whether nothing is known of it except its acceptance."""
        return not (self.ended or self.listed_ids or self.progress or self.texts)

    def is_open(self, item_id):
        """Whether an item still needs a sample."""
        return (
            not self.ended and item_id in self.items and item_id not in self.listed_ids
        )

    def missing_samples(self, group):
        """Return how many samples of a group are missing."""
        return self._group_sizes[group] - self._listed_by_group.get(group, 0)

    def add_sample(self, sample):
        """List a sample at the next position."""
        self.listed_ids.add(sample.item_id)
        self.progress.pop(sample.item_id, None)
        self.texts.pop(sample.item_id, None)
        self.listed.append(sample)
        self.held_bytes += len(sample.text)
        group = self.items[sample.item_id].group
        self._listed_by_group[group] = self._listed_by_group.get(group, 0) + 1

    def longest_partial_sample(self, item_id):
        """Return the longest ``PartialSample`` of an item, or None."""
        runs = self.progress.get(item_id, {}).values()
        return max(runs, key=lambda run: len(run.numbers), default=None)

    def wake(self):
        """Wake the readers that wait for a further sample."""
        waiters, self.waiters = self.waiters, set()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)


class ObservedClaim:
    """The last valid claim of a shard, and when this process saw it.

    ``epoch`` is the offset of its holder's first claim: it grows with each new holder.
    """

    __slots__ = ("epoch", "offset", "released", "runner", "seen_at")

    def __init__(self, offset, claim, previous):
        is_same_runner = previous is not None and previous.runner == claim.runner
        self.epoch = (
            previous.epoch if is_same_runner and not previous.released else offset
        )
        self.offset = offset
        self.runner = claim.runner
        self.released = claim.released
        self.seen_at = now()


class PartialSample:
    """The logged events of one run of an unfinished sample."""

    __slots__ = ("numbers", "run", "texts", "versions")

    def __init__(self, run):
        self.run = run
        self.numbers = []
        self.texts = []
        self.versions = []

    def extend(self, progress):
        """Append the events of a record that continues this run."""
        self.numbers += progress.numbers
        self.texts += progress.texts
        self.versions += progress.versions


class Steps:
    """All steps by id, over all shards.

    ``claims`` are the valid claims by shard; ``used_shards`` maps each shard that ever
    had a step to when this process learned of that; ``discarded`` maps the ids of the
    last discarded steps to when that was. ``held_bytes`` is about what all steps take.
    """

    __slots__ = (
        "_callbacks",
        "_claim_callbacks",
        "_partial_steps",
        "by_id",
        "claims",
        "discarded",
        "held_bytes",
        "used_shards",
    )

    def __init__(self):
        self.by_id = {}
        self.held_bytes = 0
        self.claims = {}
        self.used_shards = {}
        self.discarded = {}
        self._partial_steps = {}
        self._callbacks = []
        self._claim_callbacks = []

    def on_claim(self, callback):
        """Call ``callback(shard, claim)`` for each valid claim."""
        self._claim_callbacks.append(callback)

    def on_change(self, callback):
        """Call ``callback(step)`` after each record that changed a step."""
        self._callbacks.append(callback)

    def fold(self, shard, offset, data):
        """Fold one record; any bytes are accepted."""
        record = records.decode(data)
        fold = _FOLDS.get(type(record))
        if fold is None:
            note(
                "step.record_unreadable",
                shard=shard,
                offset=offset,
                reason=record.reason,
            )
            return
        fold(self, shard, offset, record)

    def mark_used(self, shard):
        """Count a shard as used from now on, even without steps."""
        self.used_shards.setdefault(shard, now())

    def recent(self, model, count):
        """Return the last ``count`` steps of a model, by their number."""
        steps = [step for step in self.by_id.values() if step.spec.model == model]
        steps.sort(key=lambda step: (step.spec.number, step.seen_at))
        return steps[-count:]

    def discard_done(self, before):
        """Discard done steps that this process learned of before a point in time."""
        for step_id, step in list(self.by_id.items()):
            if step.seen_at < before and step.is_done:
                del self.by_id[step_id]
                self._add_held(-step.held_bytes)
                self.discarded[step_id] = now()
        while len(self.discarded) > MAX_DISCARDED_IDS:
            self.discarded.pop(next(iter(self.discarded)))

    def _fold_part(self, shard, offset, part):
        if part.step_id in self.by_id:
            return
        if part.part == 0:
            self._partial_steps[part.step_id] = []
        pieces = self._partial_steps.get(part.step_id)
        if pieces is None or len(pieces) != part.part:
            return
        pieces.append(part.piece)
        if len(pieces) == part.parts:
            self._accept(shard, self._partial_steps.pop(part.step_id))
        while len(self._partial_steps) > MAX_PARTIAL_STEPS:
            self._partial_steps.pop(next(iter(self._partial_steps)))

    def _accept(self, shard, pieces):
        spec = records.unpack_step(pieces)
        if not spec:
            note("step.record_unreadable", shard=shard, reason=spec.reason)
            return
        step = self.by_id[spec.step_id] = Step(spec, shard)
        self._add_held(step.held_bytes)
        self.mark_used(shard)
        self._notify_changed(step)

    def _fold_sample(self, shard, offset, sample):
        step = self.by_id.get(sample.step_id)
        if step is None or not step.is_open(sample.item_id):
            return
        step.add_sample(sample)
        self._add_held(len(sample.text))
        step.wake()
        self._notify_changed(step)

    def _fold_text(self, shard, offset, text):
        step = self.by_id.get(text.step_id)
        if step is None or not step.is_open(text.item_id):
            return
        if text.item_id in step.texts:
            return
        step.texts[text.item_id] = text
        step.progress.pop(text.item_id, None)
        self._notify_changed(step)

    def _fold_score(self, shard, offset, score):
        step = self.by_id.get(score.step_id)
        text = step.texts.get(score.item_id) if step is not None else None
        if text is None:
            return
        sample = records.Sample(
            text.step_id,
            text.item_id,
            records.COMPLETED,
            text.text,
            text.versions,
            score.score,
        )
        self._fold_sample(shard, offset, sample)

    def _fold_failure(self, shard, offset, failure):
        step = self.by_id.get(failure.step_id)
        if step is not None:
            step.failed_attempts.setdefault(failure.item_id, set()).add(failure.attempt)

    def _fold_reward_failure(self, shard, offset, failure):
        step = self.by_id.get(failure.step_id)
        if step is not None:
            step.failed_reward_calls.setdefault(failure.item_id, set()).add(
                failure.attempt
            )

    def _fold_end(self, shard, offset, end):
        step = self.by_id.get(end.step_id)
        if step is None or step.ended:
            return
        step.ended = True
        step.ended_at = now()
        step.wake()
        self._notify_changed(step)

    def _fold_claim(self, shard, offset, claim):
        previous = self.claims.get(shard)
        if claim.replaces != (-1 if previous is None else previous.offset):
            return
        self.claims[shard] = observed = ObservedClaim(offset, claim, previous)
        for callback in self._claim_callbacks:
            callback(shard, observed)

    def _fold_progress(self, shard, offset, progress):
        step = self.by_id.get(progress.step_id)
        if step is None or not step.is_open(progress.item_id):
            return
        if progress.item_id in step.texts:
            return
        if not len(progress.numbers) == len(progress.texts) == len(progress.versions):
            return
        runs = step.progress.setdefault(progress.item_id, {})
        partial = runs.setdefault(progress.run, PartialSample(progress.run))
        if progress.first == len(partial.numbers):
            partial.extend(progress)

    def _add_held(self, size):
        self.held_bytes += size
        HELD_BYTES.set({}, self.held_bytes)

    def _notify_changed(self, step):
        for callback in self._callbacks:
            callback(step)


_FOLDS = {
    records.StepPart: Steps._fold_part,
    records.Sample: Steps._fold_sample,
    records.Text: Steps._fold_text,
    records.Score: Steps._fold_score,
    records.Failure: Steps._fold_failure,
    records.RewardFailure: Steps._fold_reward_failure,
    records.End: Steps._fold_end,
    records.Claim: Steps._fold_claim,
    records.Progress: Steps._fold_progress,
}
