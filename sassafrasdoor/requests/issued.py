"""Keys issued with discovery answers: they name who alone may run them.

The issuer is one life of one process (its incarnation). Whoever else receives
such a key forwards to it or answers ``unknown``; so no two processes can ever
run one key, without the log and without comparing clocks.
"""

import re
import secrets

from sassafrasdoor.clock import now

PREFIX = "sd"
PATTERN = re.compile(
    r"^sd~(?P<instance>[A-Za-z0-9_.-]{1,64})~(?P<incarnation>[0-9a-f]{16})"
    r"~(?P<second>\d{1,10})~(?P<rest>[\x21-\x7e]{1,128})$"
)


class IssuedKey:
    """A key's parts; ``second`` counts on the issuer's clock from its start."""

    __slots__ = ("incarnation", "instance", "second")

    def __init__(self, instance, incarnation, second):
        self.instance = instance
        self.incarnation = incarnation
        self.second = second


def parse(key):
    """Return the ``IssuedKey`` in ``key``, or None if no instance issued it."""
    match = PATTERN.match(key)
    if match is None:
        return None
    return IssuedKey(match["instance"], match["incarnation"], int(match["second"]))


class Issuer:
    """Issues prefixes of keys and knows its own again."""

    __slots__ = ("_instance", "_lifetime", "_started", "incarnation")

    def __init__(self, settings):
        self._instance = settings.instance.name
        self._lifetime = settings.requests.key_lifetime
        self._started = now()
        # Not the membership's number: that one grows within one life.
        self.incarnation = secrets.token_hex(8)

    def prefix(self):
        """Return a prefix; with any ending of the caller's it makes a key."""
        return (
            f"{PREFIX}~{self._instance}~{self.incarnation}~{self._elapsed_seconds()}~"
        )

    def owns(self, issued):
        """Say whether this very process issued the key."""
        return issued.incarnation == self.incarnation

    def has_lapsed(self, issued):
        """Say whether the key is too old to be run.

        What ran is remembered for a lifetime after its run. A key that could
        be used for longer than that after its issue might run a second time
        once the first is forgotten.
        """
        return not 0 <= self._elapsed_seconds() - issued.second <= self._lifetime

    def _elapsed_seconds(self):
        return int(now() - self._started)
