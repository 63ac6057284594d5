"""Rendezvous hashing: every process picks the same ones, with nobody asked.

All that see the same names pick alike; when a name joins or leaves, only the places
that it takes or gives change. Who sees other names differs in as few as can be, so a
disagreement must be harmless to the caller.
"""

from hashlib import blake2b

DIGEST_BYTES = 8


def ranked(items, key, name=str):
    """Return ``items`` in the order in which ``key`` (a string) prefers them."""
    return sorted(items, key=lambda item: _score(key, name(item)), reverse=True)


def chosen(names, key, count=1):
    """Return the ``count`` names that ``key`` prefers."""
    return ranked(names, key)[:count]


def _score(key, name):
    return blake2b(f"{key}\0{name}".encode(), digest_size=DIGEST_BYTES).digest()
