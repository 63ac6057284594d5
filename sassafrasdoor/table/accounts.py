"""Client accounts of a configuration, found by the hash of a key."""

from sassafrasdoor.security import key_hash


class Account:
    """A client account; a lower ``priority`` is more urgent, None leaves the route's."""

    __slots__ = ("key_hashes", "name", "priority")

    def __init__(self, name, key_hashes, priority=None):
        self.name = name
        self.key_hashes = frozenset(key_hashes)
        self.priority = priority


class Accounts:
    """All accounts of one configuration; keeps no key in plain."""

    __slots__ = ("_by_hash", "by_name")

    def __init__(self, accounts):
        self.by_name = {account.name: account for account in accounts}
        self._by_hash = {
            hashed: account for account in accounts for hashed in account.key_hashes
        }

    def find(self, key):
        """Return the ``Account`` that holds a key, or None."""
        return self.find_hash(key_hash(key))

    def find_hash(self, hashed):
        """Return the ``Account`` that holds the key with a SHA-256 in hex, or None."""
        return self._by_hash.get(hashed)
