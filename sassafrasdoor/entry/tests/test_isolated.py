"""An isolated instance with an unconfirmed table stops accepting work."""

import unittest

from sassafrasdoor.clock import now
from sassafrasdoor.entry.components import Components
from sassafrasdoor.requests.tests.fakes import settings, view
from sassafrasdoor.view import State


class FixedViewLink:
    """A link to control that has delivered one view."""

    def __init__(self, view):
        self.view = view


class IsolatedTest(unittest.IsolatedAsyncioTestCase):
    async def test_isolated_instance_with_an_unconfirmed_table_is_not_ready(self):
        """Guards against an isolated instance that applies an old table for ever."""
        configured = settings(
            instance={"name": "entry-1"}, table={"unconfirmed_grace": 60.0}
        )
        cases = [
            ("confirmed recently, alone", 10, 1, True),
            ("unconfirmed for long, with a living peer", 600, 2, True),
            ("unconfirmed for long, alone", 600, 1, False),
            ("unconfirmed for long, the peer is suspected", 600, -2, False),
        ]
        for name, age, members, is_ready in cases:
            with self.subTest(name):
                current_view = view(members=abs(members), confirmed_at=now() - age)
                for member in current_view.members[1:] if members < 0 else ():
                    member.state = State.SUSPECT
                components = Components(configured, FixedViewLink(current_view))
                self.assertEqual(components.not_ready_reason() == "", is_ready)
                await components.close()
