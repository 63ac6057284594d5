"""Serves trainers' calls on durable steps at any instance: submit, read, body, end."""

import asyncio
import zlib

from sassafrasdoor.clock import deadline_in, now, passed, remaining
from sassafrasdoor.decisions import note
from sassafrasdoor.metrics import counter, histogram
from sassafrasdoor.outcomes import (
    Finding,
    NotRun,
    Outcome,
    Rejected,
    ReplyLost,
    Unknown,
)
from sassafrasdoor.steps.durable import records

TOPIC = "steps"
SHARD_COUNT = 6  # partitions of the topic; a model's steps share one, and so a runner
APPEND_TIMEOUT = 0.8  # seconds; a slow log takes up to 60 times the usual 4 ms
MIN_APPEND_TIMEOUT = 0.4  # seconds; a slow log answers within 0.25 s
ID_CHECK_TIMEOUT = 0.4  # seconds to read back an append; as MIN_APPEND_TIMEOUT
SUBMIT_TIMEOUT = 3.0  # seconds to try a submission; a caller has 12 s and one retry
# Seconds to try an end; its trainer retries at another instance, and announces no new
# weights before.
END_TIMEOUT = 1.3
RETRY_DELAY = 0.2  # seconds
RETRY_AFTER = 1.5  # seconds until a refused step is sent again; outages last seconds
STARTUP_RETRY_AFTER = 1.0  # seconds to wait for an instance that still reads the log
CONFIRM_TIMEOUT = 0.9  # seconds to find out whether an unknown step exists
# Seconds since the last read to a shard's end up to which an empty page is returned; all
# instances must show within a second what one has shown.
EMPTY_PAGE_MAX_AGE = 0.7
PAGE_MAX_AGE = 0.1  # seconds since that read up to which a page needs no refresh
# Seconds for a refresh; if the log does not answer, the page shows what is known.
REFRESH_TIMEOUT = 0.15
MAX_PAGE_BYTES = 900_000  # text in one page; readers are promised at most 1 MB

CALLS = counter("steps_calls_total", "Trainers' calls, by call and outcome.")
WITHOUT_ROOM = counter(
    "steps_without_room_total", "Submissions refused as steps take up their memory."
)
ACCEPT_SECONDS = histogram(
    "steps_accept_seconds",
    "Seconds from a submission to its acknowledged append.",
    buckets=[0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4],
)


class NotFound(Outcome):
    """The step or item certainly does not exist."""

    __slots__ = ()


class _AnyAccount:
    """Stands for a caller that may use the steps of all accounts."""


# Where the configuration has no client accounts, steps are open to all callers.
ANY_ACCOUNT = _AnyAccount()


class Page:
    """Samples of a step from position ``first`` on; the step has ``total`` items."""

    __slots__ = ("first", "samples", "total")

    def __init__(self, first, samples, total):
        self.first = first
        self.samples = samples
        self.total = total


def shard_of(name, shards=SHARD_COUNT):
    """Return the shard of a model's steps, the same on every instance."""
    return zlib.crc32(name.encode()) % shards


class StepService:
    """Answers trainers from the folded steps; writes only by appends to the log.

    ``has_room(size)`` returns whether all steps may take ``size`` bytes together.
    """

    __slots__ = ("_has_room", "_log", "_record_limit", "_steps", "_tails")

    def __init__(self, log, steps, tails, record_limit, has_room=lambda size: True):
        self._has_room = has_room
        self._log = log
        self._steps = steps
        self._tails = tails
        self._record_limit = record_limit

    async def submit(self, spec, deadline, forward=None):
        """Return True once the step is in the log, else an ``Outcome``.

        That is ``NotRun``, ``Unknown``, or ``Rejected`` if another account's step has the
        same id.

        ``forward()`` submits the step through another instance: True if accepted there,
        False if certainly not, None if unknown. Without it only one append is tried.
        """
        started_at = now()
        result = await self._submit(spec, deadline, forward)
        outcome = "accepted" if result is True else type(result).__name__
        CALLS.inc({"call": "submit", "outcome": outcome})
        ACCEPT_SECONDS.observe({}, now() - started_at)
        note(
            "step.submitted",
            step=spec.step_id,
            model=spec.model,
            number=spec.number,
            min_version=spec.min_version,
            items=len(spec.items),
            shard=self._shard(spec),
            seconds=round(now() - started_at, 3),
            outcome=outcome,
            reason="" if result is True else result.reason,
        )
        return result

    async def _submit(self, spec, deadline, forward):
        known = self._steps.by_id.get(spec.step_id)
        if known is not None:
            return _check_owner(known.spec, spec)
        if not self._has_room(self._steps.held_bytes + spec.held_bytes()):
            WITHOUT_ROOM.inc({})
            return NotRun("accepted steps take up their memory", RETRY_AFTER)
        packed = records.encode_step(spec, self._record_limit)
        submit_deadline = min(deadline, deadline_in(SUBMIT_TIMEOUT))
        is_unknown = False
        while True:
            append_deadline = min(submit_deadline, deadline_in(APPEND_TIMEOUT))
            result = await self._log.append(
                TOPIC, self._shard(spec), packed, append_deadline
            )
            if not isinstance(result, Outcome):
                return await self._check_id_after_append(spec, submit_deadline)
            # An append whose reply was lost may land seconds later. Appending the step
            # again is harmless, as its first record counts, but from here on it must
            # not be reported as not run.
            is_unknown = is_unknown or isinstance(result, ReplyLost)
            if forward is None:
                break
            # The log may be unreachable from this instance only. Waiting here would
            # delay the step by seconds, which its trainer cannot make up that day.
            accepted = await forward()
            if accepted:
                return True
            is_unknown = is_unknown or accepted is None
            # An append with hardly any time left would end without a reply, and turn
            # a certain refusal into an unknown outcome.
            if remaining(submit_deadline) < RETRY_DELAY + MIN_APPEND_TIMEOUT:
                break
            await asyncio.sleep(RETRY_DELAY)
            # The process may have been paused.
            if remaining(submit_deadline) < MIN_APPEND_TIMEOUT:
                break
        if is_unknown:
            return Unknown(f"append without reply: {result.reason}")
        return NotRun(f"log away: {result.reason}", RETRY_AFTER)

    async def _check_id_after_append(self, spec, deadline):
        """Return True unless another account's step of the same id came first.

        Both may have been submitted at the same time, at different instances. An
        instance that has not read the shard cannot tell.
        """
        tail = self._tails[self._shard(spec)]
        if spec.account and tail.has_caught_up:
            await tail.confirm(min(deadline, deadline_in(ID_CHECK_TIMEOUT)))
        first = self._steps.by_id.get(spec.step_id)
        return True if first is None else _check_owner(first.spec, spec)

    def _shard(self, spec):
        return shard_of(spec.model or spec.path, len(self._tails))

    async def read(self, step_id, first, wait_deadline, account=ANY_ACCOUNT):
        """Return a ``Page`` from position ``first``, ``NotFound`` or ``NotRun``."""
        step = await self._find(step_id, account)
        if isinstance(step, Outcome):
            return step
        tail = self._tails[step.shard]
        if tail.is_starting and len(step.listed) <= first and not step.is_done:
            return self._refuse_page(step, first)
        with tail.without_pauses():
            if not step.is_done:
                await tail.ensure_fresh(PAGE_MAX_AGE, deadline_in(REFRESH_TIMEOUT))
            while len(step.listed) <= first and not step.is_done:
                if passed(wait_deadline):
                    break
                await self._wait_for_sample(step, wait_deadline)
        # Another instance may have shown more already, while this one still reads the
        # log after a start or a disconnection.
        has_answer = len(step.listed) > first or step.is_done
        if not has_answer and not await tail.ensure_fresh(
            EMPTY_PAGE_MAX_AGE, deadline_in(CONFIRM_TIMEOUT)
        ):
            return self._refuse_page(step, first)
        return Page(first, self._fit_page(step.listed[first:]), len(step.items))

    def _refuse_page(self, step, first):
        """Refuse a page of which this instance may lack samples."""
        note(
            "step.read_unsure",
            step=step.spec.step_id,
            first=first,
            unread=[self._tails[step.shard].progress()],
        )
        return self._unread_refusal()

    def _unread_refusal(self):
        is_starting = any(tail.is_starting for tail in self._tails)
        retry_after = STARTUP_RETRY_AFTER if is_starting else RETRY_DELAY
        return NotRun("the log cannot be read to its end", retry_after)

    async def body(self, step_id, item_id, account=ANY_ACCOUNT):
        """Return the body of an item, ``NotFound`` or ``NotRun``."""
        step = await self._find(step_id, account)
        if isinstance(step, Outcome):
            return step
        item = step.items.get(item_id)
        return NotFound("no such item") if item is None else item.body

    async def end(self, step_id, deadline, forward=None, account=ANY_ACCOUNT):
        """End a step; return True once that is logged, or an ``Outcome``.

        ``forward()`` ends it through another instance: True if that logged the end.
        """
        step = await self._find(step_id, account)
        if isinstance(step, Outcome):
            return step
        deadline = min(deadline, deadline_in(END_TIMEOUT))
        record = records.encode(records.End(step_id))
        while not step.ended:
            append_deadline = min(deadline, deadline_in(APPEND_TIMEOUT))
            result = await self._log.append(
                TOPIC, step.shard, [record], append_deadline
            )
            if not isinstance(result, Outcome):
                break
            if forward is not None and await forward():
                break
            if forward is None or passed(deadline):
                note("step.not_ended", step=step_id, reason=result.reason)
                return Unknown(f"end not kept: {result.reason}")
            await asyncio.sleep(RETRY_DELAY)
        note("step.ended", step=step_id, listed=len(step.listed), of=len(step.items))
        CALLS.inc({"call": "end", "outcome": "kept"})
        return True

    async def _find(self, step_id, account):
        """Return the ``Step`` if it is of the account, ``NotFound`` or ``NotRun``."""
        step = await self._find_any(step_id)
        if isinstance(step, Outcome) or _may_use(account, step.spec.account):
            return step
        note("step.of_another_account", step=step_id, account=account)
        return NotFound("no such step")

    async def _find_any(self, step_id):
        step = self._steps.by_id.get(step_id)
        if step is not None:
            return step
        # A step may just have been accepted elsewhere. "No such step" is certain only
        # after a read to the end of every shard. While this instance starts, with
        # megabytes still to be read, another one can answer sooner.
        is_starting = any(tail.is_starting for tail in self._tails)
        deadline = now() if is_starting else deadline_in(CONFIRM_TIMEOUT)
        confirmed = await asyncio.gather(
            *(tail.confirm(deadline) for tail in self._tails)
        )
        step = self._steps.by_id.get(step_id)
        if step is not None:
            return step
        outcome = NotFound("no such step")
        if not all(confirmed):
            outcome = self._unread_refusal()
        CALLS.inc({"call": "find", "outcome": type(outcome).__name__})
        note(
            "step.not_found",
            step=step_id,
            sure=all(confirmed),
            reason=self._unknown_step_reason(step_id, all(confirmed)),
            unread=self._unconfirmed_progress(confirmed),
        )
        return outcome

    def _unknown_step_reason(self, step_id, is_confirmed):
        """Return why this instance does not know a step."""
        reasons = (
            (step_id in self._steps.discarded, "forgotten"),
            (
                any(tail.skipped for tail in self._tails),
                "records expired before they were read",
            ),
            (not self._tails[0].wanted.is_set(), "shards not read by this instance"),
            (not is_confirmed, "shards not read to their end"),
            (True, "not in the log"),
        )
        return next(reason for applies, reason in reasons if applies)

    def _unconfirmed_progress(self, confirmed):
        """Return the progress of the shards read here that were not confirmed."""
        return [
            tail.progress()
            for tail, is_confirmed in zip(self._tails, confirmed, strict=True)
            if not is_confirmed and tail.wanted.is_set()
        ]

    async def _wait_for_sample(self, step, deadline):
        waiter = asyncio.get_running_loop().create_future()
        step.waiters.add(waiter)
        try:
            async with asyncio.timeout_at(deadline):
                await waiter
        except TimeoutError:
            pass
        finally:
            step.waiters.discard(waiter)

    def _fit_page(self, samples):
        page, size = [], 0
        for sample in samples:
            size += len(sample.text) + len(sample.item_id) + len(sample.score) + 64
            if page and size > MAX_PAGE_BYTES:
                break
            page.append(sample)
        return page


def _check_owner(known, spec):
    """Return True for a repeated submission, ``Rejected`` for another account's id."""
    if _may_use(spec.account, known.account):
        return True
    finding = Finding("id", "already that of another step")
    return Rejected("the id of the step is taken", [finding])


def _may_use(account, owner):
    """Return whether callers of an account may use a step of ``owner``.

    Steps accepted before there were client accounts belong to none.
    """
    return account is ANY_ACCOUNT or not owner or account == owner
