"""Rendezvous hashing: every process picks the same subset without talking.

When a name joins or leaves, only the places that it takes or gives change.
"""

from hashlib import blake2b

DIGEST_BYTES = 8


def ranked(items, key, name=lambda item: item.name):
    """Return ``items`` in the order in which ``key`` (a string) prefers them."""
    return sorted(items, key=lambda item: _score(key, name(item)), reverse=True)


def _score(key, name):
    return blake2b(f"{key}\0{name}".encode(), digest_size=DIGEST_BYTES).digest()
