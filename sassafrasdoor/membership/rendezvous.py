"""Rendezvous hashing: who of the members is meant, with nobody asked.

All that see the same members name the same ones; who sees others differs in as
few as can be. A disagreement must therefore be harmless to the caller.
"""

import hashlib


def ranked(names, key):
    """Return ``names`` in the order in which ``key`` prefers them."""
    return sorted(names, key=lambda name: _weight(name, key), reverse=True)


def chosen(names, key, count=1):
    """Return the ``count`` names that ``key`` prefers."""
    return ranked(names, key)[:count]


def _weight(name, key):
    return hashlib.blake2b(f"{key}/{name}".encode(), digest_size=8).digest()
