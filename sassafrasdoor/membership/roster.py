"""The known members, with digests for a cheap comparison of two rosters."""

import functools
import hashlib
import operator

from sassafrasdoor.clock import deadline_in, passed
from sassafrasdoor.membership import order
from sassafrasdoor.view import State

BUCKET_COUNT = 32
# Seconds. If a dead member were removed too early, a delayed "alive" update would
# bring it back, and the member would flap.
DEAD_MEMBER_RETENTION = 120.0


class Roster:
    """Members by name; the digests cover all that are not dead.

    The digests leave out suspicion: it is short-lived, and rosters that differ in
    nothing else need no repair.
    """

    __slots__ = ("_buckets", "_drop_deadlines", "_member_hashes", "_members")

    def __init__(self):
        self._members = {}
        self._member_hashes = {}
        self._buckets = [0] * BUCKET_COUNT
        self._drop_deadlines = {}

    @property
    def digest(self):
        """The digest of the whole roster."""
        return functools.reduce(operator.xor, self._buckets)

    @property
    def buckets(self):
        """The digests by bucket."""
        return list(self._buckets)

    def __len__(self):
        return len(self._members) - len(self._drop_deadlines)

    def get(self, name):
        """Return the member of that name, or None."""
        return self._members.get(name)

    def all(self):
        """Return all members, with the dead ones that are still kept."""
        return list(self._members.values())

    def living(self):
        """Return the members that are not dead."""
        return [m for m in self._members.values() if m.state is not State.DEAD]

    def dead(self):
        """Return the dead members that are still kept."""
        return [self._members[name] for name in self._drop_deadlines]

    def apply(self, update):
        """Apply an update; return False if it is not newer than the known state."""
        if not order.is_newer(update, self._members.get(update.name)):
            return False
        self._members[update.name] = update
        self._drop_deadlines.pop(update.name, None)
        if update.state is State.DEAD:
            self._drop_deadlines[update.name] = deadline_in(DEAD_MEMBER_RETENTION)
        self._update_bucket(update)
        return True

    def _update_bucket(self, member):
        bucket = bucket_of(member.name)
        self._buckets[bucket] ^= self._member_hashes.pop(member.name, 0)
        if member.state is not State.DEAD:
            leaving = member.state is State.LEAVING
            member_hash = _hash(f"{member.name}:{member.incarnation}:{leaving}")
            self._member_hashes[member.name] = member_hash
            self._buckets[bucket] ^= member_hash

    def drop_expired(self):
        """Remove members that have been dead for ``DEAD_MEMBER_RETENTION``."""
        for name in [name for name, at in self._drop_deadlines.items() if passed(at)]:
            del self._drop_deadlines[name]
            del self._members[name]

    def differing(self, buckets):
        """Return the members of all buckets whose digests differ from ``buckets``."""
        if len(buckets) != BUCKET_COUNT:
            return self.all()
        differ = {
            index
            for index, digest in enumerate(self._buckets)
            if digest != buckets[index]
        }
        return [m for m in self._members.values() if bucket_of(m.name) in differ]


def bucket_of(name):
    """Return the bucket that a member of this name belongs to."""
    return _hash(name) % BUCKET_COUNT


def _hash(text):
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")
