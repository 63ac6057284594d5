"""Keys issued with discovery answers, which name the only process that may run them.

The issuer is one incarnation of an instance. Other instances forward such a key to it
or answer ``unknown``, so two processes never run the same key. This needs neither the
log nor synchronised clocks.
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
    """The parts of a key; ``second`` is its issue time, counted from issuer start."""

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
    """Issues key prefixes and recognises its own keys."""

    __slots__ = ("_instance", "_lifetime", "_started", "incarnation")

    def __init__(self, settings):
        self._instance = settings.instance.name
        self._lifetime = settings.requests.key_lifetime
        self._started = now()
        # Not the membership's incarnation, which may increase while a process runs.
        self.incarnation = secrets.token_hex(8)

    def prefix(self):
        """Return a prefix, to which the caller appends any suffix to form a key."""
        return (
            f"{PREFIX}~{self._instance}~{self.incarnation}~{self._elapsed_seconds()}~"
        )

    def owns(self, issued):
        """Return whether this process issued the key."""
        return issued.incarnation == self.incarnation

    def has_lapsed(self, issued):
        """Return whether the key is too old to run.

        Outcomes are kept for one key lifetime after the run. A key accepted for longer
        than that after its issue could run again once its outcome has expired.
        """
        return not 0 <= self._elapsed_seconds() - issued.second <= self._lifetime

    def _elapsed_seconds(self):
        return int(now() - self._started)
