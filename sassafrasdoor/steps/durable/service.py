"""What trainers ask of durable steps, at any instance: submit, read, body, end."""

import asyncio
import zlib

from sassafrasdoor.clock import deadline_in, now, passed, remaining
from sassafrasdoor.decisions import note
from sassafrasdoor.metrics import counter, histogram
from sassafrasdoor.outcomes import NotRun, Outcome, ReplyLost, Unknown
from sassafrasdoor.steps.durable import records

TOPIC = "steps"
SHARDS = 6
"""Partitions of the steps' topic: each model's steps share one, and one runner."""
APPEND_TIMEOUT = 0.8
"""Seconds that one append may take; a slow log answers within 60 times 4 ms."""
APPEND_LEAST = 0.4
"""Seconds that an append is given at least; a slow log answers within 0.25 s."""
APPEND_PATIENCE = 3.0
"""Seconds that a submission is tried for: a caller has 12 s and one more try."""
END_PATIENCE = 1.3
"""Seconds that an end is tried for: its trainer asks again, at another instance, and
names no version before."""
RETRY_PAUSE = 0.2
RETRY_AFTER = 1.5
"""Seconds a trainer should wait with a step that was refused: outages take seconds."""
START_RETRY_AFTER = 1.0
"""Seconds a caller should wait for an instance that still reads what the log keeps."""
CONFIRM_TIMEOUT = 0.9
"""Seconds to find out whether an unknown step exists."""
FRESH_WITHIN = 0.7
"""Seconds since the last read to a shard's end within which "nothing further" is
believed; all instances must show within a second what one has shown."""
READ_WITHIN = 0.1
"""Seconds since the last read to a shard's end within which a reader gets what is known
of its step without another look."""
LOOK_TIMEOUT = 0.15
"""Seconds for that look; a reader gets what is known if the log does not answer."""
PAGE_BYTES = 900_000
"""Text in one page of samples; readers are promised at most 1 MB."""

CALLS = counter("steps_calls_total", "Trainers' calls, by call and outcome.")
ACCEPTED_IN = histogram(
    "steps_accept_seconds",
    "Seconds from a submission to its acknowledged append.",
    buckets=[0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4],
)


class NotFound(Outcome):
    """No such step or item exists; certain."""

    __slots__ = ()


class Page:
    """Samples of a step from ``first`` on; ``total`` items belong to the step."""

    __slots__ = ("first", "samples", "total")

    def __init__(self, first, samples, total):
        self.first = first
        self.samples = samples
        self.total = total


def shard_of(name, shards=SHARDS):
    """Return the shard of a model's steps, the same on every instance."""
    return zlib.crc32(name.encode()) % shards


class StepService:
    """Answers trainers from the fold; writes only by appends to the log."""

    __slots__ = ("_log", "_record_limit", "_steps", "_tails")

    def __init__(self, log, steps, tails, record_limit):
        self._log = log
        self._steps = steps
        self._tails = tails
        self._record_limit = record_limit

    async def submit(self, spec, deadline, elsewhere=None):
        """Return True once the step is kept, ``NotRun``, or ``Unknown``.

        ``elsewhere()`` hands the step to another instance: True if that has kept it,
        False if that has surely not, None if nobody knows. Without it one append is
        tried only.
        """
        started = now()
        result = await self._submit(spec, deadline, elsewhere)
        outcome = "accepted" if result is True else type(result).__name__
        CALLS.inc({"call": "submit", "outcome": outcome})
        ACCEPTED_IN.observe({}, now() - started)
        note(
            "step.submitted",
            step=spec.step_id,
            model=spec.model,
            number=spec.number,
            min_version=spec.min_version,
            items=len(spec.items),
            shard=self._shard(spec),
            seconds=round(now() - started, 3),
            outcome=outcome,
            reason="" if result is True else result.reason,
        )
        return result

    async def _submit(self, spec, deadline, elsewhere):
        if spec.step_id in self._steps.by_id:
            return True
        packed = records.encode_step(spec, self._record_limit)
        limit = min(deadline, deadline_in(APPEND_PATIENCE))
        lost = False
        while True:
            until = min(limit, deadline_in(APPEND_TIMEOUT))
            result = await self._log.append(TOPIC, self._shard(spec), packed, until)
            if not isinstance(result, Outcome):
                return True
            # An append whose reply was lost may land seconds later. Appending the
            # step again is harmless, its first record counts; but from here on
            # nobody may say that it will not run.
            lost = lost or isinstance(result, ReplyLost)
            if elsewhere is None:
                break
            # The log may be away for this instance only. Then a step that waited
            # here would be late by seconds, and its trainer behind for the day.
            kept = await elsewhere()
            if kept:
                return True
            lost = lost or kept is None
            # One that has hardly any time left would end without a reply, and turn
            # a true refusal into an unknown fate.
            if remaining(limit) < RETRY_PAUSE + APPEND_LEAST:
                break
            await asyncio.sleep(RETRY_PAUSE)
        if lost:
            return Unknown(f"append without reply: {result.reason}")
        return NotRun(f"log away: {result.reason}", RETRY_AFTER)

    def _shard(self, spec):
        return shard_of(spec.model or spec.path, len(self._tails))

    async def read(self, step_id, first, wait_deadline):
        """Return a ``Page`` from position ``first``, ``NotFound`` or ``NotRun``."""
        step = await self._find(step_id)
        if isinstance(step, Outcome):
            return step
        tail = self._tails[step.shard]
        if tail.is_starting and len(step.listed) <= first and not step.is_done:
            return self._unsure(step, first)
        with tail.without_pauses():
            if not step.is_done:
                await tail.ensure_fresh(READ_WITHIN, deadline_in(LOOK_TIMEOUT))
            while len(step.listed) <= first and not step.is_done:
                if passed(wait_deadline):
                    break
                await self._wait(step, wait_deadline)
        # Another instance may have shown more already: one that has just started, or
        # was cut off, is still reading what the log lists.
        knows_all = len(step.listed) > first or step.is_done
        if not knows_all and not await tail.ensure_fresh(
            FRESH_WITHIN, deadline_in(CONFIRM_TIMEOUT)
        ):
            return self._unsure(step, first)
        return Page(first, self._fitting(step.listed[first:]), len(step.items))

    def _unsure(self, step, first):
        """Return the refusal of a page of which this instance may lack samples."""
        note(
            "step.read_unsure",
            step=step.spec.step_id,
            first=first,
            unread=[self._tails[step.shard].progress()],
        )
        return self._unread_refusal()

    def _unread_refusal(self):
        is_starting = any(tail.is_starting for tail in self._tails)
        retry_after = START_RETRY_AFTER if is_starting else RETRY_PAUSE
        return NotRun("the log cannot be read to its end", retry_after)

    async def body(self, step_id, item_id):
        """Return the body of an item, ``NotFound`` or ``NotRun``."""
        step = await self._find(step_id)
        if isinstance(step, Outcome):
            return step
        item = step.items.get(item_id)
        return NotFound("no such item") if item is None else item.body

    async def end(self, step_id, deadline, elsewhere=None):
        """End a step; return True once that is kept, ``NotFound``, or ``Unknown``.

        ``elsewhere()`` asks another instance to; True if that has kept the end.
        """
        step = await self._find(step_id)
        if isinstance(step, Outcome):
            return step
        deadline = min(deadline, deadline_in(END_PATIENCE))
        record = records.encode(records.End(step_id))
        while not step.ended:
            until = min(deadline, deadline_in(APPEND_TIMEOUT))
            result = await self._log.append(TOPIC, step.shard, [record], until)
            if not isinstance(result, Outcome):
                break
            if elsewhere is not None and await elsewhere():
                break
            if elsewhere is None or passed(deadline):
                note("step.not_ended", step=step_id, reason=result.reason)
                return Unknown(f"end not kept: {result.reason}")
            await asyncio.sleep(RETRY_PAUSE)
        note("step.ended", step=step_id, listed=len(step.listed), of=len(step.items))
        CALLS.inc({"call": "end", "outcome": "kept"})
        return True

    async def _find(self, step_id):
        step = self._steps.by_id.get(step_id)
        if step is not None:
            return step
        # A step may have been accepted elsewhere a moment ago. Only a read that
        # finds the end of every shard makes "no such step" true. While megabytes are
        # still to be read, another instance can tell sooner.
        is_starting = any(tail.is_starting for tail in self._tails)
        limit = now() if is_starting else deadline_in(CONFIRM_TIMEOUT)
        sure = await asyncio.gather(*(tail.confirm(limit) for tail in self._tails))
        step = self._steps.by_id.get(step_id)
        if step is not None:
            return step
        outcome = NotFound("no such step")
        if not all(sure):
            outcome = self._unread_refusal()
        CALLS.inc({"call": "find", "outcome": type(outcome).__name__})
        note(
            "step.not_found",
            step=step_id,
            sure=all(sure),
            reason=self._why_unknown(step_id, all(sure)),
            unread=self._unread(sure),
        )
        return outcome

    def _why_unknown(self, step_id, sure):
        """Return why this instance does not know a step."""
        reasons = (
            (step_id in self._steps.forgotten, "forgotten"),
            (any(one.skipped for one in self._tails), "records expired unread"),
            (not self._tails[0].wanted.is_set(), "steps are not followed here"),
            (not sure, "not read to the end"),
            (True, "not kept"),
        )
        return next(reason for holds, reason in reasons if holds)

    def _unread(self, sure):
        """Return the progress of the followed shards whose end is not known."""
        return [
            tail.progress()
            for tail, known in zip(self._tails, sure, strict=True)
            if not known and tail.wanted.is_set()
        ]

    async def _wait(self, step, deadline):
        waiter = asyncio.get_running_loop().create_future()
        step.waiters.add(waiter)
        try:
            async with asyncio.timeout_at(deadline):
                await waiter
        except TimeoutError:
            pass
        finally:
            step.waiters.discard(waiter)

    def _fitting(self, samples):
        fitting, size = [], 0
        for sample in samples:
            size += len(sample.text) + len(sample.item_id) + len(sample.score) + 64
            if fitting and size > PAGE_BYTES:
                break
            fitting.append(sample)
        return fitting
