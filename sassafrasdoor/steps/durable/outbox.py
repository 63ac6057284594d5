"""Appends a shard's records in batches until the log acknowledges them."""

import asyncio

from sassafrasdoor.clock import deadline_in
from sassafrasdoor.decisions import note
from sassafrasdoor.metrics import counter
from sassafrasdoor.outcomes import Outcome

# Seconds to gather records for one append: short against the half second between a
# trainer's reads, long against the 4 ms of an append.
BATCH_DELAY = 0.05
RETRY_DELAY = 0.25  # seconds
APPEND_TIMEOUT = 1.0  # seconds; a slow log answers within 60 times 4 ms
MAX_BATCH_BYTES = 1_000_000

APPENDED = counter("steps_records_appended_total", "Step records, by append's result.")


class Outbox:
    """Queues the records of one shard for the log.

    A record may be appended twice after a lost reply: the fold takes the first.
    """

    __slots__ = ("_log", "_shard", "_topic", "_pending", "_wake", "_acknowledged")

    def __init__(self, log, topic, shard):
        self._log = log
        self._topic = topic
        self._shard = shard
        self._pending = []
        self._wake = asyncio.Event()
        self._acknowledged = asyncio.Event()
        self._acknowledged.set()

    def put(self, data):
        """Queue one record (bytes)."""
        self._pending.append(data)
        self._acknowledged.clear()
        self._wake.set()

    @property
    def is_empty(self):
        """Whether all records were acknowledged."""
        return not self._pending

    async def flush(self):
        """Wait until all records are acknowledged."""
        await self._acknowledged.wait()

    async def run(self):
        """Append records until cancelled."""
        while True:
            await self._wake.wait()
            await asyncio.sleep(BATCH_DELAY)
            batch = self._batch()
            result = await self._log.append(
                self._topic, self._shard, batch, deadline_in(APPEND_TIMEOUT)
            )
            APPENDED.add({"result": type(result).__name__}, len(batch))
            if isinstance(result, Outcome):
                note(
                    "steps.append_failed",
                    shard=self._shard,
                    records=len(batch),
                    reason=result.reason,
                )
                await asyncio.sleep(RETRY_DELAY)
                continue
            del self._pending[: len(batch)]
            if not self._pending:
                self._wake.clear()
                self._acknowledged.set()

    def _batch(self):
        batch, size = [], 0
        for data in self._pending:
            size += len(data) + 4
            if batch and size > MAX_BATCH_BYTES:
                break
            batch.append(data)
        return batch
