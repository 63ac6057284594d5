"""Claims in the log on keys chosen by callers: the claim with the lowest offset wins.

A process appends its claim and reads the stream up to it, which shows whether another
claim precedes it. All readers see the same order and therefore agree on the one process
that may run the key. Concurrent claims of a process are batched into one append,
because all instances share the log's few hundred appends per second.

The log must retain records for at least ``key_lifetime``. If a claim were removed
earlier, its key could run a second time.
"""

import asyncio
import uuid
from collections import OrderedDict
from hashlib import blake2b

from sassafrasdoor import logs, metrics
from sassafrasdoor.clock import deadline_in, passed, remaining
from sassafrasdoor.outcomes import Expired, NotRun, ReplyLost

STREAM = "claims-{}"
KIND = "claims"
PAGE = 500
MAX_BATCH = 200
READ_WAIT = 0.5
READ_RETRY = 0.05
FIND_TIMEOUT = 3.0  # seconds for an appended claim to become readable
NAME_BYTES = 16
RETRY_AFTER = 2.0

APPENDS = metrics.counter("sassafrasdoor_claim_appends_total", "Appends of claims.")
CLAIMED = metrics.counter("sassafrasdoor_claims_total", "Keys claimed.")
LOST_REPLIES = metrics.counter(
    "sassafrasdoor_claim_replies_lost_total", "Replies lost."
)


class Owner:
    """The process that may run a key: an instance and its incarnation."""

    __slots__ = ("incarnation", "instance")

    def __init__(self, instance, incarnation):
        self.instance = instance
        self.incarnation = incarnation


class Claims:
    """Claims on keys by one entry process, spread over several streams of the log."""

    __slots__ = ("_owner", "_streams")

    def __init__(self, settings, log, incarnation):
        self._owner = Owner(settings.instance.name, incarnation)
        self._streams = [
            ClaimStream(settings, log, STREAM.format(number), self._owner)
            for number in range(settings.requests.claim_streams)
        ]

    async def claim(self, row_name, key, deadline):
        """Return the ``Owner`` of a key, or ``NotRun`` if it cannot be determined."""
        name = claim_name(row_name, key)
        return await self._stream(name).claim(name, deadline)

    def owns(self, owner):
        """Return whether this process is that owner."""
        return owner.incarnation == self._owner.incarnation

    def owns_key(self, row_name, key):
        """Return whether this process is known to own the key."""
        name = claim_name(row_name, key)
        owner = self._stream(name).owner(name)
        return owner is not None and self.owns(owner)

    def _stream(self, name):
        return self._streams[int(name[:4], 16) % len(self._streams)]


class ClaimStream:
    """One stream of claims: the owners read from it, and batched appends."""

    __slots__ = (
        "_committer",
        "_lifetime",
        "_local_owner",
        "_log",
        "_owners",
        "_pending",
        "_position",
        "_seen_ids",
        "_stream",
    )

    def __init__(self, settings, log, stream, owner):
        self._lifetime = settings.requests.key_lifetime
        self._log = log
        self._stream = stream
        self._local_owner = owner
        self._position = 0
        self._owners = OrderedDict()
        self._pending = {}
        self._committer = None
        self._seen_ids = set()

    def owner(self, name):
        """Return the known owner of a key, or None."""
        self._forget_expired()
        entry = self._owners.get(name)
        return entry[0] if entry else None

    async def claim(self, name, deadline):
        """Return the key's owner, claiming the key if it has none."""
        known = self.owner(name)
        if known is not None:
            return known
        future = self._pending.get(name)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            self._pending[name] = future
        if self._committer is None:
            self._committer = asyncio.ensure_future(self._commit_all())
        try:
            async with asyncio.timeout(remaining(deadline)):
                return await asyncio.shield(future)
        except TimeoutError:
            return NotRun("the claim was not confirmed in time", RETRY_AFTER)

    async def _commit_all(self):
        try:
            while self._pending:
                names = list(self._pending)[:MAX_BATCH]
                batch = {name: self._pending[name] for name in names}
                refusal = await self._commit(names)
                for name, future in batch.items():
                    del self._pending[name]
                    future.set_result(refusal or self._owner_or_not_run(name))
        finally:
            self._committer = None
            for future in self._pending.values():
                future.set_result(NotRun("claiming failed", RETRY_AFTER))
            self._pending.clear()

    def _owner_or_not_run(self, name):
        owner = self.owner(name)
        return owner or NotRun("the claim was not found", RETRY_AFTER)

    async def _commit(self, names):
        """Append a claim on all names and read up to it; return None or ``NotRun``."""
        claim_id = uuid.uuid4().hex
        body = {
            "kind": KIND,
            "id": claim_id,
            "instance": self._local_owner.instance,
            "incarnation": self._local_owner.incarnation,
            "names": names,
        }
        APPENDS.inc({})
        CLAIMED.add({}, len(names))
        outcome = await self._log.append(self._stream, body)
        if isinstance(outcome, ReplyLost):
            LOST_REPLIES.inc({})
            logs.changed("claims:reply-lost", stream=self._stream)
        elif not isinstance(outcome, int):
            return NotRun(f"the log takes no claims: {outcome.reason}", RETRY_AFTER)
        return await self._read_until_found(claim_id)

    async def _read_until_found(self, claim_id):
        """Read until the claim appears; return None, or ``NotRun`` on timeout.

        Only the claim's place in the log counts, also if the reply of its append was
        lost. A claim that appears after the timeout belongs to this process, for keys
        that have not run. They run when the caller tries again, here or by forwarding.
        """
        find_deadline = deadline_in(FIND_TIMEOUT)
        while claim_id not in self._seen_ids:
            if passed(find_deadline):
                return NotRun("the claim did not show in the log", RETRY_AFTER)
            if not await self._read_page(min(READ_WAIT, remaining(find_deadline))):
                await asyncio.sleep(READ_RETRY)
        self._seen_ids.clear()
        return None

    async def _read_page(self, wait):
        """Read the next page; return False if the log could not be read."""
        batch = await self._log.read(self._stream, self._position, PAGE, wait)
        if isinstance(batch, Expired):
            self._position = batch.first
            return True
        if not batch:
            return False
        for record in batch.records:
            self._fold(record.body)
        self._position = max(self._position, batch.next_offset)
        return True

    def _fold(self, body):
        if not _well_formed(body):
            return
        if body["incarnation"] == self._local_owner.incarnation:
            self._seen_ids.add(body["id"])
        owner = Owner(body["instance"], body["incarnation"])
        # Counted from the read, which is later than the append. Keeping a claim too
        # long is safe; dropping it early could run its key twice.
        expires_at = deadline_in(self._lifetime)
        self._forget_expired()
        for name in body["names"]:
            self._owners.setdefault(name, (owner, expires_at))

    def _forget_expired(self):
        while self._owners:
            name, (_, expires_at) = next(iter(self._owners.items()))
            if not passed(expires_at):
                return
            del self._owners[name]


def claim_name(row_name, key):
    """Return the digest under which a key of a row is claimed."""
    text = f"{len(row_name)}:{row_name}{key}"
    return blake2b(text.encode(), digest_size=NAME_BYTES).hexdigest()


def _well_formed(body):
    """Return whether a record is a valid claim."""
    return (
        isinstance(body, dict)
        and body.get("kind") == KIND
        and all(isinstance(body.get(name), str) for name in TEXT_FIELDS)
        and isinstance(body.get("names"), list)
        and all(isinstance(name, str) for name in body["names"])
    )


TEXT_FIELDS = ("id", "instance", "incarnation")
