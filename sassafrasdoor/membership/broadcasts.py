"""Queue of member updates to piggyback on messages, each a bounded number of times."""

import math

from sassafrasdoor.membership.messages import MAX_UPDATES_BYTES, encoded_size

# An update is sent this many times log10 of the member count. Few members miss it,
# and the comparison of digests repairs those.
RETRANSMIT_FACTOR = 4


class Broadcasts:
    """At most one update for each member, least sent first."""

    __slots__ = ("_pending",)

    def __init__(self):
        self._pending = {}

    def __len__(self):
        return len(self._pending)

    def add(self, member):
        """Queue an update; it replaces a queued one about the same member."""
        self._pending[member.name] = [0, member]

    def take(self, members, max_bytes=MAX_UPDATES_BYTES):
        """Return updates of at most ``max_bytes``, for a cluster of ``members``."""
        max_sends = RETRANSMIT_FACTOR * math.ceil(math.log10(members + 2))
        taken = []
        for entry in sorted(self._pending.values(), key=lambda entry: entry[0]):
            size = encoded_size(entry[1])
            if size > max_bytes:
                break
            max_bytes -= size
            entry[0] += 1
            taken.append(entry[1])
            if entry[0] >= max_sends:
                del self._pending[entry[1].name]
        return taken
