"""Folding a shard's records into steps: the same on every instance.

Offsets decide everything. The first record of a step counts, so does the first
record of a sample: two runners of one shard, an append that lands late or a step
submitted twice change nothing that a trainer has read.
"""

from sassafrasdoor.clock import now
from sassafrasdoor.decisions import note
from sassafrasdoor.steps.durable import records

MAX_STARTED_PARTS = 64


class Step:
    """One accepted step and what the log lists of it.

    ``listed`` are the samples by position; ``failures`` counts replicas'
    own failures by item; ``seen_at`` is when this process learned of the step.
    """

    __slots__ = (
        "ended",
        "failures",
        "items",
        "listed",
        "listed_ids",
        "seen_at",
        "shard",
        "spec",
        "waiters",
    )

    def __init__(self, spec, shard):
        self.spec = spec
        self.shard = shard
        self.items = {item.item_id: item for item in spec.items}
        self.listed = []
        self.listed_ids = set()
        self.failures = {}
        self.ended = False
        self.seen_at = now()
        self.waiters = set()

    @property
    def is_done(self):
        """Whether nothing of it is to be run any more."""
        return self.ended or len(self.listed_ids) == len(self.items)

    def is_open(self, item_id):
        """Whether an item still needs a sample."""
        return (
            not self.ended and item_id in self.items and item_id not in self.listed_ids
        )

    def wake(self):
        """Wake those who wait for a further sample."""
        waiters, self.waiters = self.waiters, set()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)


class Steps:
    """All steps by id, over all shards; ``on_change(step)`` is told of each change."""

    __slots__ = ("_callbacks", "_parts", "by_id")

    def __init__(self):
        self.by_id = {}
        self._parts = {}
        self._callbacks = []

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
        take(self, shard, record)

    def forget(self, before):
        """Drop steps that this process learned of before a point in time."""
        for step_id, step in list(self.by_id.items()):
            if step.seen_at < before and step.is_done:
                del self.by_id[step_id]

    def _take_part(self, shard, part):
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
        self._changed(step)

    def _take_sample(self, shard, sample):
        step = self.by_id.get(sample.step_id)
        if step is None or not step.is_open(sample.item_id):
            return
        step.listed_ids.add(sample.item_id)
        step.listed.append(sample)
        step.wake()
        self._changed(step)

    def _take_failure(self, shard, failure):
        step = self.by_id.get(failure.step_id)
        if step is not None:
            count = step.failures.get(failure.item_id, 0)
            step.failures[failure.item_id] = count + 1

    def _take_end(self, shard, end):
        step = self.by_id.get(end.step_id)
        if step is None or step.ended:
            return
        step.ended = True
        step.wake()
        self._changed(step)

    def _changed(self, step):
        for callback in self._callbacks:
            callback(step)


_FOLDS = {
    records.StepPart: Steps._take_part,
    records.Sample: Steps._take_sample,
    records.Failure: Steps._take_failure,
    records.End: Steps._take_end,
}
