import unittest
from types import SimpleNamespace

from sassafrasdoor import rendezvous, settings
from sassafrasdoor.clock import now
from sassafrasdoor.cluster import TABLE
from sassafrasdoor.control.state_sync import CONFIRMATION_TIMEOUT, MAX_HOPS, StateSync
from sassafrasdoor.log.agreed import Agreed
from sassafrasdoor.log.follower import Follower
from sassafrasdoor.membership.delegate import LogPosition
from sassafrasdoor.table.accepted import Accepted
from sassafrasdoor.table.rows import table_from
from sassafrasdoor.view import Member, State


class StateSyncTests(unittest.TestCase):
    def make_state_sync(self, name="m00", members=(), as_of=0, confirmed_at=None):
        options = settings.from_document(
            {"instance": {"name": name, "availability_zone": "z0"}}
        )
        follower = Follower(options, None, None, Agreed())
        if as_of:
            state = Agreed(Accepted(table_from(TABLE), 2, "operator"), {"m": 1})
            follower.adopt(state, as_of, confirmed_at)
        return StateSync(options, follower, lambda: members)

    def members(self, count):
        return [
            Member(f"m{index:02}", availability_zone=f"z{index % 3}")
            for index in range(count)
        ]

    def test_number_of_pollers(self):
        cases = [(3, 3), (9, 9), (30, 9), (60, 9)]
        for count, expected in cases:
            with self.subTest(members=count):
                members = self.members(count)
                pollers = 0
                for member in members:
                    state_sync = self.make_state_sync(member.name, members)
                    own = state_sync._settings.instance
                    state_sync._settings = state_sync._settings.model_copy(
                        update={
                            "instance": own.model_copy(
                                update={"availability_zone": member.availability_zone}
                            )
                        }
                    )
                    pollers += state_sync.is_poller
                self.assertEqual(pollers, expected)

    def test_poller_that_dies_or_leaves_is_replaced(self):
        members = self.members(30)
        zone = [m.name for m in members if m.availability_zone == "z0"]
        first, *_, next_one = rendezvous.chosen(zone, "poller", 4)
        self.assertFalse(self.make_state_sync(next_one, members).is_poller)
        for state in (State.SUSPECT, State.LEAVING):
            with self.subTest(state=state):
                for member in members:
                    member.state = state if member.name == first else State.ALIVE
                self.assertTrue(self.make_state_sync(next_one, members).is_poller)

    def test_unconfirmed_instances_poll_rarely(self):
        """Guards against all instances polling a recovering log at once."""
        members = self.members(60)
        other = next(
            m.name
            for m in members
            if not self.make_state_sync(m.name, members).is_poller
        )
        old = now() - CONFIRMATION_TIMEOUT - 1
        state_sync = self.make_state_sync(other, members, as_of=5, confirmed_at=old)
        state_sync._random.seed(1)
        tries = sum(state_sync.may_poll() for _ in range(1000))
        self.assertTrue(10 < tries < 150, tries)
        state_sync._follower.adopt(Agreed(), 5, now())
        self.assertFalse(any(state_sync.may_poll() for _ in range(1000)))

    def test_confirmation_is_relayed_at_most_max_hops_times(self):
        """Guards against a relayed confirmation that never ages."""
        at = now() - 10
        for hops, is_relayed in ((0, True), (MAX_HOPS - 1, True), (MAX_HOPS, False)):
            with self.subTest(hops=hops):
                state_sync = self.make_state_sync(as_of=5, confirmed_at=at - 5)
                state_sync.position_received("other", LogPosition(5, 5, at, hops))
                self.assertEqual(state_sync._follower.confirmed_at, at)
                log_position = state_sync.log_position()
                self.assertEqual(log_position.confirmed_at is not None, is_relayed)
                self.assertEqual(log_position.hops, hops + 1 if is_relayed else 0)
        self.assertEqual(
            self.make_state_sync(as_of=5, confirmed_at=at).log_position().hops, 0
        )

    def test_news_confirms_or_triggers_a_fetch(self):
        cases = [
            ("the same", (5, 5), True, False),
            ("the sender has read less", (4, 4), False, False),
            ("a change beyond us", (6, 6), False, True),
            ("only renewals beyond us", (7, 5), True, False),
        ]
        for name, (as_of, changed), confirms, fetches in cases:
            with self.subTest(name):
                at = now() - 10
                state_sync = self.make_state_sync(as_of=5, confirmed_at=at)
                state_sync._next_lazy_fetch = now() + 60
                state_sync.position_received(
                    "other", LogPosition(as_of, changed, now())
                )
                self.assertEqual(state_sync._follower.confirmed_at > at, confirms)
                self.assertEqual(state_sync._wake_event.is_set(), fetches)

    def test_confirmation_in_a_late_reply_counts_from_the_call(self):
        """Guards against a state that seems confirmed because its reply was delayed."""
        sender = self.make_state_sync(as_of=9, confirmed_at=now())
        receiver = self.make_state_sync(as_of=5, confirmed_at=now() - 60)
        as_of, state = sender.state_for_peer(5, 0)
        answer = SimpleNamespace(
            asOf=as_of,
            state=state,
            confirmed=True,
            confirmedAgeMs=2000,
            confirmedHops=0,
            stamp=0,
        )
        sent_at = now() - 3.0
        self.assertTrue(receiver._apply_answer(answer, sent_at))
        self.assertAlmostEqual(receiver._follower.confirmed_at, sent_at - 2.0, places=6)

    def test_state_sent_to_a_peer(self):
        unconfirmed = self.make_state_sync(as_of=0)
        self.assertEqual(unconfirmed.state_for_peer(0, 0), (0, ""))
        state_sync = self.make_state_sync(as_of=5, confirmed_at=now())
        same = state_sync._digest.of(state_sync._follower.state.accepted)
        self.assertEqual(state_sync.state_for_peer(5, 0), (5, ""))
        self.assertIn('"rows"', state_sync.state_for_peer(4, same + 1)[1])
        self.assertNotIn('"rows"', state_sync.state_for_peer(4, same)[1])
