"""Rendezvous hashing: all processes make the same choice without communication.

Processes that see the same names choose alike; when a name is added or removed, only
the keys that it gains or loses change. Processes that see different names disagree on
as few keys as possible; such a disagreement must be harmless to the caller.
"""

from hashlib import blake2b

DIGEST_BYTES = 8


def ranked(items, key, name=str):
    """Return ``items`` ranked by preference for ``key`` (a string)."""
    return sorted(items, key=lambda item: _score(key, name(item)), reverse=True)


def chosen(names, key, count=1):
    """Return the ``count`` names ranked highest for ``key``."""
    return ranked(names, key)[:count]


def _score(key, name):
    return blake2b(f"{key}\0{name}".encode(), digest_size=DIGEST_BYTES).digest()
