"""Checkpoints: the state as of an offset, which outlives the records it came from."""

from sassafrasdoor.outcomes import Expired

KIND = "checkpoint"
BATCH_SIZE = 500  # records of one read


class Checkpoint:
    """A ``state`` as of an offset: all records below ``as_of`` are folded in.

    ``offset`` is that of the checkpoint's own record.
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
    """Return whether a record is marked as a checkpoint; it may still be invalid."""
    return isinstance(record.body, dict) and record.body.get("kind") == KIND


def decode(record, state_class):
    """Return the ``Checkpoint`` in a record, or None if it is invalid."""
    try:
        as_of = record.body["as_of"]
        # No writer can have folded records that follow its checkpoint.
        if type(as_of) is not int or not 0 <= as_of <= record.offset:
            return None
        state = state_class.from_document(record.body["state"])
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
    return Checkpoint(record.offset, as_of, state)


async def newest_usable(log, stream, state_class, window):
    """Return the usable ``Checkpoint`` with the highest ``as_of``.

    It is usable if all records from ``as_of`` on are still kept. Returns None if there
    is none, ``Unavailable`` if the log did not answer. The last checkpoint in the log
    may not be the newest: if its writer was paused before the append, its state is
    older than its offset suggests, and would revert every reader that starts from it.

    Scans the last ``window`` offsets and doubles the window until the best ``as_of``
    lies inside it: ``as_of`` never exceeds the offset, so no earlier one is better.
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
    """The best usable checkpoint in a scanned part of the log."""

    __slots__ = ("best", "first_offset")

    def __init__(self):
        self.best = None
        self.first_offset = 0

    def consider(self, checkpoint):
        if checkpoint and (not self.best or checkpoint.as_of > self.best.as_of):
            self.best = checkpoint

    def finish(self, first_offset):
        self.first_offset = first_offset
        # Records may have expired during the scan, also those that follow ``as_of``.
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
