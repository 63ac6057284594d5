"""The parts of the view that a control process offers its entry.

Each part carries the number at which it last changed, so that an entry that
knows number n is sent only the parts above n: a table of 300 rows crosses once
for each revision and not at each change of a member.
"""

import asyncio
import os

from sassafrasdoor.control import messages


class _Part:
    __slots__ = ("number", "value")

    def __init__(self, value):
        self.value = value
        self.number = 0


class ViewSource:
    """Numbered parts of the view; ``wait`` wakes when any of them changes.

    ``session`` tells one life of this process from the next: numbers start anew
    after a restart, and an entry must not take the new 3 for the old 3.
    """

    __slots__ = (
        "_backends",
        "_changed",
        "_grants",
        "_members",
        "_table",
        "_weights",
        "confirmed_at",
        "number",
        "revision",
        "session",
    )

    def __init__(self):
        self.session = int.from_bytes(os.urandom(7), "big") + 1
        self.number = 1
        self.revision = 0
        self.confirmed_at = None
        self._table = _Part("")
        self._weights = _Part({})
        self._members = _Part(())
        self._backends = _Part(())
        self._grants = _Part({})
        self._changed = asyncio.Event()

    @property
    def members(self):
        """The members last set."""
        return self._members.value

    @property
    def backends(self):
        """The backend servers last set."""
        return self._backends.value

    def set_table(self, document, revision):
        """Offer a table (JSON text, empty for none) and its revision."""
        if revision != self.revision or document != self._table.value:
            self.revision = revision
            self._set(self._table, document)

    def set_weights(self, weights):
        """Offer newest versions by model."""
        if weights != self._weights.value:
            self._set(self._weights, dict(weights))

    def set_members(self, members):
        """Offer the members; the caller calls it only when one changed."""
        self._set(self._members, tuple(members))

    def set_backends(self, backends):
        """Offer the backend servers; the caller calls it on change only."""
        self._set(self._backends, tuple(backends))

    def set_grants(self, grants):
        """Offer leased grants by row; return the number they are offered under."""
        self._set(self._grants, dict(grants))
        return self.number

    def _set(self, part, value):
        self.number += 1
        part.value = value
        part.number = self.number
        self._changed.set()
        self._changed = asyncio.Event()

    def known_to(self, known):
        """Return the number that ``known`` stands for in this session."""
        return known.number if known.session == self.session else 0

    async def wait(self, number, timeout):
        """Return once ``number`` is no longer the newest, or after ``timeout`` s."""
        if number == self.number and timeout > 0:
            try:
                async with asyncio.timeout(timeout):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def update(self, number):
        """Return the mapping of what an entry at ``number`` lacks."""
        update = {
            "session": self.session,
            "number": self.number,
            "revision": self.revision,
            **messages.age_fields(self.confirmed_at),
        }
        if self._table.number > number or not number:
            update |= {"hasTable": True, "table": self._table.value}
        if self._weights.number > number or not number:
            weights = messages.weights_messages(self._weights.value)
            update |= {"hasWeights": True, "weights": weights}
        if self._members.number > number or not number:
            members = [messages.member_message(member) for member in self.members]
            update |= {"hasMembers": True, "members": members}
        if self._backends.number > number or not number:
            backends = [messages.backend_message(item) for item in self.backends]
            update |= {"hasBackends": True, "backends": backends}
        if self._grants.number > number or not number:
            grants = messages.grant_messages(self._grants.value)
            update |= {"hasGrants": True, "grants": grants}
        return update
