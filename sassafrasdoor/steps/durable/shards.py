"""Decides which process runs a shard: a lease kept in the shard's own records.

Consumer groups of the log reassign all partitions whenever a member joins or leaves, so
a rolling restart would cut streams again and again. A lease in the shard moves only
when its holder leaves or dies. Claims are judged by offset alone: each names the claim
that it replaces, so only the first of several counts, and a process that has folded its
own claim has folded every sample listed before it.
"""

import asyncio

from sassafrasdoor.clock import LONG_AGO, boot_now, deadline_in, now, passed
from sassafrasdoor.decisions import note
from sassafrasdoor.metrics import counter, gauge
from sassafrasdoor.outcomes import Outcome
from sassafrasdoor.steps.durable.records import Claim, encode

CHECK_INTERVAL = 0.1  # seconds
RENEW_INTERVAL = 0.5  # seconds
# Seconds without renewal until others claim: three renewals may be lost, and an item
# must be back at a replica well within five seconds of its runner's death.
LEASE_TIMEOUT = 1.7
FENCE_MARGIN = 0.3  # seconds by which a holder stops before its claim lapses elsewhere
RANK_DELAY = 0.3  # seconds per rank, so that processes do not claim simultaneously
SEPARATOR = "/"
MAX_RANK = 5
CLAIM_TIMEOUT = 1.5  # seconds
CONFIRM_TIMEOUT = 0.5  # seconds to check for a renewal; a slow log takes up to 0.25 s

CLAIMS = counter("steps_shard_claims_total", "Claims of shards, by result.")
ENDED_RUNNERS = counter(
    "steps_runners_ended_total",
    "Shards claimed since their runner is known to be gone.",
)
HELD = gauge("steps_shards_held", "Shards that this process runs.")


class Shards:
    """Claims, renews and releases shards for the process named ``runner``.

    The name is the instance's address, a slash and an identifier of the process.

    ``ranking(shard)`` is this instance's rank among those that could run a shard, 0
    for the first; ``on_gain(shard)`` and ``on_loss(shard)`` are called on changes.
    ``processes.has_ended(instance, name, since)`` says whether a process has ended, and
    ``processes.is_listed`` whether this one is listed; before that it claims nothing.
    """

    __slots__ = (
        "_held",
        "_instance",
        "_leaving",
        "_log",
        "_next_claim",
        "_confirming",
        "_on_gain",
        "_on_loss",
        "_processes",
        "_ranking",
        "_renewed_at",
        "_sent_at",
        "_runner",
        "_steps",
        "_tails",
        "_tasks",
        "_topic",
    )

    def __init__(
        self, log, topic, steps, tails, runner, ranking, on_gain, on_loss, processes
    ):
        self._log = log
        self._topic = topic
        self._steps = steps
        self._tails = tails
        self._runner = runner
        self._instance = runner.partition(SEPARATOR)[0]
        self._ranking = ranking
        self._on_gain = on_gain
        self._on_loss = on_loss
        self._processes = processes
        self._held = set()
        self._sent_at = {}
        self._renewed_at = {}
        self._next_claim = {}
        self._confirming = set()
        self._leaving = False
        self._tasks = set()
        steps.on_claim(self._handle_claim)

    @property
    def holds_any(self):
        """Whether this process runs any shard."""
        return bool(self._held)

    async def run(self):
        """Claim and renew shards until cancelled."""
        while True:
            # A process reads all shards or none, and claims only shards that it reads.
            await self._tails[0].wanted.wait()
            for shard in list(self._steps.used_shards):
                if self._is_due(shard):
                    self._send_claim(shard)
            await asyncio.sleep(CHECK_INTERVAL)

    def runs_here(self, shard):
        """Whether this process runs a shard, as far as it knows."""
        return shard in self._held

    def runs_elsewhere(self, shard):
        """Whether another living process runs a shard, as far as the log shows."""
        claim = self._steps.claims.get(shard)
        if claim is None or claim.released or shard in self._held:
            return False
        return not (passed(claim.seen_at + LEASE_TIMEOUT) or self._has_ended(claim))

    def fence(self, shard):
        """Return the fencing number if this process holds a shard now, else 0.

        Measured from before the last renewal was sent, so that the lease ends here
        before any other process considers the claim lapsed.
        """
        claim = self._steps.claims.get(shard)
        if self._leaving or shard not in self._held:
            return 0
        lapses_at = self._renewed_at.get(shard, LONG_AGO) + LEASE_TIMEOUT - FENCE_MARGIN
        if boot_now() >= lapses_at:
            return 0
        return claim.epoch + 1

    def leave(self):
        """Stop claiming; return the records that release the held shards."""
        self._leaving = True
        releases = {}
        for shard in sorted(self._held):
            claim = self._steps.claims[shard]
            releases[shard] = encode(Claim(self._runner, claim.offset, True))
        return releases

    def _is_due(self, shard):
        if self._leaving or not self._processes.is_listed:
            return False
        if not passed(self._next_claim.get(shard, LONG_AGO)):
            return False
        if self._tails[shard].confirmed_at is None:
            # Until the shard is read to its end, an old claim may look like the last.
            return False
        claim = self._steps.claims.get(shard)
        if shard in self._held:
            return passed(claim.seen_at + RENEW_INTERVAL)
        if not passed(self._claimable_at(shard, claim)):
            return False
        if claim is None or claim.released or self._has_ended(claim):
            return True
        return self._has_lapsed(shard, claim)

    def _has_lapsed(self, shard, claim):
        """Say whether the shard's records show that a claim was not renewed.

        An unreachable log shows nothing: if it is down for all, the holder cannot renew
        either. Claims sent meanwhile would be appended on its return, one of them would
        count, and steps and loads would stall until all processes agree on it. So the
        shard must have been read to its end after the lapse; a second outage may have
        begun, unnoticed so far, before the holder could renew after the first.
        """
        tail = self._tails[shard]
        if tail.confirmed_at >= self._lapses_at(shard, claim):
            return True
        if shard not in self._confirming:
            self._confirming.add(shard)
            task = asyncio.ensure_future(tail.confirm(deadline_in(CONFIRM_TIMEOUT)))
            self._tasks.add(task)
            task.add_done_callback(lambda task: self._handle_confirmation(shard, task))
        return False

    def _handle_confirmation(self, shard, task):
        self._confirming.discard(shard)
        self._tasks.discard(task)

    def _claimable_at(self, shard, claim):
        """Return when this process may claim a shard that it does not hold."""
        rank_delay = min(MAX_RANK, self._ranking(shard)) * RANK_DELAY
        if claim is None:
            return self._steps.used_shards[shard] + rank_delay
        if self._is_of_this_instance(claim):
            return claim.seen_at
        if claim.released or self._has_ended(claim):
            return claim.seen_at + rank_delay
        return self._lapses_at(shard, claim) + rank_delay

    def _lapses_at(self, shard, claim):
        """Return when a claim lapses that is not renewed until then."""
        # While the log was down, renewals could be neither sent nor seen.
        restored_at = self._tails[shard].restored_at or LONG_AGO
        return max(claim.seen_at, restored_at) + LEASE_TIMEOUT

    def _has_ended(self, claim):
        """Say whether the process of a claim is known to have ended."""
        if self._is_of_this_instance(claim):
            return True
        instance = claim.runner.partition(SEPARATOR)[0]
        return self._processes.has_ended(instance, claim.runner, claim.seen_at)

    def _is_of_this_instance(self, claim):
        """Say whether a claim is of this instance, thus of a process that has ended.

        After a restart of all processes, each reclaims its shards without waiting.
        """
        return claim.runner.partition(SEPARATOR)[0] == self._instance

    def _send_claim(self, shard):
        self._next_claim[shard] = deadline_in(RENEW_INTERVAL)
        self._sent_at.setdefault(shard, boot_now())
        claim = self._steps.claims.get(shard)
        if shard not in self._held:
            self._note_runner_ended(shard, claim)
        replaces = -1 if claim is None else claim.offset
        record = encode(Claim(self._runner, replaces, False))
        task = asyncio.ensure_future(self._append_claim(shard, record))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _note_runner_ended(self, shard, claim):
        """Log that a shard is claimed because its runner has ended."""
        if claim is None or claim.released or not self._has_ended(claim):
            return
        ENDED_RUNNERS.inc({})
        note("shard.runner_ended", shard=shard, runner=claim.runner)

    async def _append_claim(self, shard, record):
        deadline = deadline_in(CLAIM_TIMEOUT)
        result = await self._log.append(self._topic, shard, [record], deadline)
        CLAIMS.inc({"result": type(result).__name__})
        if isinstance(result, Outcome):
            note("shard.not_claimed", shard=shard, reason=result.reason)

    def _handle_claim(self, shard, claim):
        is_own = claim.runner == self._runner and not claim.released
        if is_own:
            # The claim folded now may be the oldest one sent but not yet seen.
            self._renewed_at[shard] = self._sent_at.pop(shard, LONG_AGO)
        if is_own and shard not in self._held and not self._leaving:
            self._held.add(shard)
            note("shard.gained", shard=shard, claim=claim.offset)
            self._on_gain(shard)
        elif not is_own and shard in self._held:
            self._held.discard(shard)
            age = round(now() - claim.seen_at, 3)
            note("shard.lost", shard=shard, to=claim.runner, age_seconds=age)
            self._on_loss(shard)
        HELD.set({}, len(self._held))


class ShardLease:
    """The lease of a shard without steps, for a task of one process at a time.

    ``fence`` is the fencing number while this process holds the lease, else 0;
    ``identity`` names the instance to those that check the lease.
    """

    __slots__ = ("_shard", "_shards", "identity")

    def __init__(self, shards, shard, identity):
        self._shards = shards
        self._shard = shard
        self.identity = identity

    @property
    def fence(self):
        """The fencing number; read it right before each use."""
        return self._shards.fence(self._shard)
