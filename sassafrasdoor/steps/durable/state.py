"""Folding a shard's records into steps: the same on every instance.

Offsets decide everything. The first record of a step counts, so does the first
record of a sample: two runners of one shard, an append that lands late or a step
submitted twice change nothing that a trainer has read.
"""

from collections import Counter

from sassafrasdoor.clock import now
from sassafrasdoor.decisions import note
from sassafrasdoor.steps.durable import records

MAX_STARTED_PARTS = 64
MAX_FORGOTTEN = 4096
"""Names of dropped steps that are kept, so that a line can say why one is unknown."""


class Step:
    """One accepted step and what the log lists of it.

    ``listed`` are the samples by position; ``failed`` and ``reward_failed`` name
    the tries that replicas failed by item, ``progress`` the beginnings kept of
    unfinished samples by item and run, ``texts`` the whole texts that still need their
    score; ``seen_at`` is when this process learned of the step.
    """

    __slots__ = (
        "_sizes",
        "_whole",
        "ended",
        "failed",
        "items",
        "listed",
        "listed_ids",
        "progress",
        "reward_failed",
        "seen_at",
        "shard",
        "spec",
        "texts",
        "waiters",
    )

    def __init__(self, spec, shard):
        self.spec = spec
        self.shard = shard
        self.items = {item.item_id: item for item in spec.items}
        self._sizes = Counter(item.group for item in spec.items)
        self._whole = {}
        self.listed = []
        self.listed_ids = set()
        self.failed = {}
        self.reward_failed = {}
        self.progress = {}
        self.texts = {}
        self.ended = False
        self.seen_at = now()
        self.waiters = set()

    @property
    def is_done(self):
        """Whether nothing of it is to be run any more."""
        return self.ended or len(self.listed_ids) == len(self.items)

    @property
    def is_new(self):
        """Whether nothing is known of it but that it was accepted."""
        return not (self.ended or self.listed_ids or self.progress or self.texts)

    def is_open(self, item_id):
        """Whether an item still needs a sample."""
        return (
            not self.ended and item_id in self.items and item_id not in self.listed_ids
        )

    def missing_of(self, group):
        """Return how many samples a group still lacks."""
        return self._sizes[group] - self._whole.get(group, 0)

    def take(self, sample):
        """List a sample at the next position."""
        self.listed_ids.add(sample.item_id)
        self.progress.pop(sample.item_id, None)
        self.texts.pop(sample.item_id, None)
        self.listed.append(sample)
        group = self.items[sample.item_id].group
        self._whole[group] = self._whole.get(group, 0) + 1

    def beginning(self, item_id):
        """Return the longest ``Beginning`` kept of an item, or None."""
        runs = self.progress.get(item_id, {}).values()
        return max(runs, key=lambda one: len(one.numbers), default=None)

    def wake(self):
        """Wake those who wait for a further sample."""
        waiters, self.waiters = self.waiters, set()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)


class ClaimSeen:
    """The last claim of a shard that counted, and when this process saw it.

    ``epoch`` is the offset of its holder's first claim: it grows with each change.
    """

    __slots__ = ("epoch", "offset", "released", "runner", "seen_at")

    def __init__(self, offset, claim, last):
        renewed = last is not None and last.runner == claim.runner
        self.epoch = last.epoch if renewed and not last.released else offset
        self.offset = offset
        self.runner = claim.runner
        self.released = claim.released
        self.seen_at = now()


class Beginning:
    """The events kept of one run of an unfinished sample."""

    __slots__ = ("numbers", "run", "texts", "versions")

    def __init__(self, run):
        self.run = run
        self.numbers = []
        self.texts = []
        self.versions = []

    def extend(self, progress):
        """Take the events of a record that continues this run."""
        self.numbers += progress.numbers
        self.texts += progress.texts
        self.versions += progress.versions


class Steps:
    """All steps by id, over all shards; ``on_change(step)`` is told of each change.

    ``claims`` are the claims that count, by shard; ``used_shards`` maps each shard
    that ever had a step to when this process learned of that; ``forgotten`` holds the
    last steps that were dropped, by id.
    """

    __slots__ = (
        "_callbacks",
        "_claim_callbacks",
        "_parts",
        "by_id",
        "claims",
        "forgotten",
        "used_shards",
    )

    def __init__(self):
        self.by_id = {}
        self.claims = {}
        self.used_shards = {}
        self.forgotten = {}
        self._parts = {}
        self._callbacks = []
        self._claim_callbacks = []

    def on_claim(self, callback):
        """Call ``callback(shard, claim)`` for each claim that counts."""
        self._claim_callbacks.append(callback)

    def on_change(self, callback):
        """Call ``callback(step)`` after each record that changed a step."""
        self._callbacks.append(callback)

    def fold(self, shard, offset, data):
        """Fold one record in; total for all bytes."""
        record = records.decode(data)
        take = _FOLDS.get(type(record))
        if take is None:
            note(
                "step.record_unreadable",
                shard=shard,
                offset=offset,
                reason=record.reason,
            )
            return
        take(self, shard, offset, record)

    def use(self, shard):
        """Count a shard as used from now on, also without steps."""
        self.used_shards.setdefault(shard, now())

    def forget(self, before):
        """Drop steps that this process learned of before a point in time."""
        for step_id, step in list(self.by_id.items()):
            if step.seen_at < before and step.is_done:
                del self.by_id[step_id]
                self.forgotten[step_id] = now()
        while len(self.forgotten) > MAX_FORGOTTEN:
            self.forgotten.pop(next(iter(self.forgotten)))

    def _take_part(self, shard, offset, part):
        if part.step_id in self.by_id:
            return
        if part.part == 0:
            self._parts[part.step_id] = []
        pieces = self._parts.get(part.step_id)
        if pieces is None or len(pieces) != part.part:
            return
        pieces.append(part.piece)
        if len(pieces) == part.parts:
            self._accept(shard, self._parts.pop(part.step_id))
        while len(self._parts) > MAX_STARTED_PARTS:
            self._parts.pop(next(iter(self._parts)))

    def _accept(self, shard, pieces):
        spec = records.unpack_step(pieces)
        if not spec:
            note("step.record_unreadable", shard=shard, reason=spec.reason)
            return
        step = self.by_id[spec.step_id] = Step(spec, shard)
        self.use(shard)
        self._changed(step)

    def _take_sample(self, shard, offset, sample):
        step = self.by_id.get(sample.step_id)
        if step is None or not step.is_open(sample.item_id):
            return
        step.take(sample)
        step.wake()
        self._changed(step)

    def _take_text(self, shard, offset, text):
        step = self.by_id.get(text.step_id)
        if step is None or not step.is_open(text.item_id):
            return
        if text.item_id in step.texts:
            return
        step.texts[text.item_id] = text
        step.progress.pop(text.item_id, None)
        self._changed(step)

    def _take_score(self, shard, offset, score):
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
        self._take_sample(shard, offset, sample)

    def _take_failure(self, shard, offset, failure):
        step = self.by_id.get(failure.step_id)
        if step is not None:
            step.failed.setdefault(failure.item_id, set()).add(failure.attempt)

    def _take_reward_failure(self, shard, offset, failure):
        step = self.by_id.get(failure.step_id)
        if step is not None:
            step.reward_failed.setdefault(failure.item_id, set()).add(failure.attempt)

    def _take_end(self, shard, offset, end):
        step = self.by_id.get(end.step_id)
        if step is None or step.ended:
            return
        step.ended = True
        step.wake()
        self._changed(step)

    def _take_claim(self, shard, offset, claim):
        last = self.claims.get(shard)
        if claim.replaces != (-1 if last is None else last.offset):
            return
        self.claims[shard] = seen = ClaimSeen(offset, claim, last)
        for callback in self._claim_callbacks:
            callback(shard, seen)

    def _take_progress(self, shard, offset, progress):
        step = self.by_id.get(progress.step_id)
        if step is None or not step.is_open(progress.item_id):
            return
        if progress.item_id in step.texts:
            return
        if not len(progress.numbers) == len(progress.texts) == len(progress.versions):
            return
        runs = step.progress.setdefault(progress.item_id, {})
        beginning = runs.setdefault(progress.run, Beginning(progress.run))
        if progress.first == len(beginning.numbers):
            beginning.extend(progress)

    def _changed(self, step):
        for callback in self._callbacks:
            callback(step)


_FOLDS = {
    records.StepPart: Steps._take_part,
    records.Sample: Steps._take_sample,
    records.Text: Steps._take_text,
    records.Score: Steps._take_score,
    records.Failure: Steps._take_failure,
    records.RewardFailure: Steps._take_reward_failure,
    records.End: Steps._take_end,
    records.Claim: Steps._take_claim,
    records.Progress: Steps._take_progress,
}
