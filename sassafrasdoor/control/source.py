"""The parts of the view that a control process sends to its entry.

Each part has the number at which it last changed, so that an entry at number n is
sent only later parts: a table of 300 rows is sent once for each revision and not at
each member change. Each member and backend server has a number of its own; 1,000 of
them take some 200 KB.
"""

import asyncio
import os

from sassafrasdoor.control import messages

MAX_REMOVED_NAMES = 1000


class _VersionedValue:
    __slots__ = ("number", "value")

    def __init__(self, value):
        self.value = value
        self.number = 0


class _VersionedItems:
    """Items by name, each with the number at which it changed or was removed.

    An entry at a number below ``whole_below`` is sent all items, as earlier removals
    are no longer recorded.
    """

    __slots__ = ("_removed", "_items", "_to_message", "whole_below")

    def __init__(self, message):
        self._to_message = message
        self._items = {}
        self._removed = {}
        self.whole_below = 1

    def replace(self, items, number):
        """Replace all items; return whether any changed."""
        old, self._items = self._items, {}
        for item in items:
            document = self._to_message(item)
            before = old.pop(item.name, None)
            same = before is not None and before[1] == document
            self._items[item.name] = before if same else (number, document)
            self._removed.pop(item.name, None)
        for name in old:
            self._removed[name] = number
        while len(self._removed) > MAX_REMOVED_NAMES:
            self.whole_below = self._removed.pop(next(iter(self._removed))) + 1
        return bool(old) or any(entry[0] == number for entry in self._items.values())

    def since(self, number):
        """Return the items changed after ``number`` and the names removed since."""
        if number < self.whole_below:
            return [document for _, document in self._items.values()], []
        changed = [doc for at, doc in self._items.values() if at > number]
        return changed, [name for name, at in self._removed.items() if at > number]


class ViewSource:
    """Numbered parts of the view; ``wait`` returns when any of them changes.

    ``session`` identifies one run of this process: numbers restart with it, and an
    entry must not mistake the new 3 for the old 3.
    """

    __slots__ = (
        "_backends",
        "_changed",
        "_grants",
        "_members",
        "_table",
        "_weights",
        "backends",
        "confirmed_at",
        "list_known",
        "number",
        "revision",
        "session",
    )

    def __init__(self):
        self.session = int.from_bytes(os.urandom(7), "big") + 1
        self.number = 1
        self.revision = 0
        self.confirmed_at = None
        self._table = _VersionedValue("")
        self._weights = _VersionedValue({})
        self._members = _VersionedItems(messages.member_message)
        self._backends = _VersionedItems(messages.backend_message)
        self.backends = ()
        self.list_known = False
        self._grants = _VersionedValue({})
        self._changed = asyncio.Event()

    def set_table(self, document, revision):
        """Set the table (JSON text, empty for none) and its revision."""
        if revision != self.revision or document != self._table.value:
            self.revision = revision
            self._set(self._table, document)

    def set_weights(self, weights):
        """Set the newest versions by model."""
        if weights != self._weights.value:
            self._set(self._weights, dict(weights))

    def set_members(self, members):
        """Set the members."""
        if self._members.replace(members, self.number + 1):
            self._notify()

    def set_backends(self, backends):
        """Set the backend servers."""
        self.backends = tuple(backends)
        self.list_known = True
        if self._backends.replace(self.backends, self.number + 1):
            self._notify()

    def set_grants(self, grants):
        """Set leased grants by row; return the number at which they are sent."""
        self._set(self._grants, dict(grants))
        return self.number

    def _set(self, part, value):
        part.value = value
        part.number = self.number + 1
        self._notify()

    def _notify(self):
        self.number += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def known_number(self, known):
        """Return the number in ``known``, or 0 if it is of another session."""
        return known.number if known.session == self.session else 0

    async def wait(self, number, timeout):
        """Return once there is a newer number, or after ``timeout`` seconds."""
        if number == self.number and timeout > 0:
            try:
                async with asyncio.timeout(timeout):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def update(self, number):
        """Return the ``Update`` mapping for an entry at ``number``."""
        update = {
            "session": self.session,
            "number": self.number,
            "revision": self.revision,
            **messages.age_fields(self.confirmed_at),
            "confirmedAt": self.confirmed_at or 0.0,
        }
        if self._table.number > number or not number:
            update |= {"hasTable": True, "table": self._table.value}
        if self._weights.number > number or not number:
            weights = messages.weights_messages(self._weights.value)
            update |= {"hasWeights": True, "weights": weights}
        members, gone_members = self._members.since(number)
        backends, gone_backends = self._backends.since(number)
        update |= {
            "allMembers": number < self._members.whole_below,
            "members": members,
            "goneMembers": gone_members,
            # Not "all" until a list has been read: an entry keeps the backend servers
            # it has from the previous control process.
            "allBackends": self.list_known and number < self._backends.whole_below,
            "backends": backends,
            "goneBackends": gone_backends,
        }
        if self._grants.number > number or not number:
            grants = messages.grant_messages(self._grants.value)
            update |= {"hasGrants": True, "grants": grants}
        return update
