"""Checkpoints: a state and the offset it stands at, so that it survives its records."""

from sassafrasdoor.outcomes import Expired

KIND = "checkpoint"
BATCH_SIZE = 500


class Checkpoint:
    """A ``state`` as of an offset: all records below ``as_of`` are folded in.

    ``offset`` is where the checkpoint itself stands in the log.
    """

    __slots__ = ("as_of", "offset", "state")

    def __init__(self, offset, as_of, state):
        self.offset = offset
        self.as_of = as_of
        self.state = state


def body(state, as_of):
    """Return the record body of a checkpoint."""
    return {"kind": KIND, "as_of": as_of, "state": state.as_document()}


def is_checkpoint(record):
    """Say whether a record looks like a checkpoint."""
    return isinstance(record.body, dict) and record.body.get("kind") == KIND


def decode(record, state_class):
    """Return the ``Checkpoint`` in a record, or None if it is not usable."""
    try:
        as_of = record.body["as_of"]
        # One that claims to know records after itself was not written by us.
        if type(as_of) is not int or not 0 <= as_of <= record.offset:
            return None
        state = state_class.from_document(record.body["state"])
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
    return Checkpoint(record.offset, as_of, state)


async def newest_usable(log, stream, state_class, window):
    """Return the ``Checkpoint`` with the highest as-of that can be continued.

    That is one whose following records are all still kept; None if there is none,
    ``Unavailable`` if the log did not answer. Never simply the last in the log: one
    written before its writer was paused, and appended after it woke, is older than
    its place says, and starting there would revert every new reader.

    Looks at the last ``window`` offsets first and doubles that. A checkpoint that
    lies before the part looked at is older than its offset, so once the best one's
    as-of lies inside that part no other can beat it.
    """
    end = await log.end(stream)
    if not end:
        return end
    while True:
        start = max(0, end - window)
        scan = await _scan(log, stream, start, state_class)
        if isinstance(scan, Expired):
            start = scan.first
            scan = await _scan(log, stream, start, state_class)
        if isinstance(scan, Expired):
            continue
        if not isinstance(scan, _ScanResult):
            return scan
        best = scan.best
        complete = start <= scan.first_offset or start == 0
        if complete or (best and best.as_of >= start):
            return best
        window *= 2


class _ScanResult:
    """The records of a part of the log: best usable checkpoint in it."""

    __slots__ = ("best", "first_offset")

    def __init__(self):
        self.best = None
        self.first_offset = 0

    def consider(self, checkpoint):
        if checkpoint and (not self.best or checkpoint.as_of > self.best.as_of):
            self.best = checkpoint

    def finish(self, first_offset):
        self.first_offset = first_offset
        # Records may have expired while we read; what follows it must be kept.
        if self.best and self.best.as_of < first_offset:
            self.best = None


async def _scan(log, stream, offset, state_class):
    scan = _ScanResult()
    while True:
        batch = await log.read(stream, offset, BATCH_SIZE, 0)
        if not batch:
            return batch
        for record in batch.records:
            if is_checkpoint(record):
                scan.consider(decode(record, state_class))
        if len(batch.records) < BATCH_SIZE:
            scan.finish(batch.first_offset)
            return scan
        offset = batch.next_offset
