import unittest

from sassafrasdoor import rendezvous, settings
from sassafrasdoor.clock import now
from sassafrasdoor.cluster import TABLE
from sassafrasdoor.control.spread import FALLBACK_AFTER, MAX_HOPS, Spread
from sassafrasdoor.log.agreed import Agreed
from sassafrasdoor.log.follower import Follower
from sassafrasdoor.membership.delegate import News
from sassafrasdoor.table.accepted import Accepted
from sassafrasdoor.table.rows import table_from
from sassafrasdoor.view import Member, State


class SpreadTests(unittest.TestCase):
    def spread(self, name="m00", members=(), as_of=0, confirmed_at=None):
        options = settings.from_document(
            {"instance": {"name": name, "availability_zone": "z0"}}
        )
        follower = Follower(options, None, None, Agreed())
        if as_of:
            state = Agreed(Accepted(table_from(TABLE), 2, "operator"), {"m": 1})
            follower.adopt(state, as_of, confirmed_at)
        return Spread(options, follower, lambda: members)

    def members(self, count):
        return [
            Member(f"m{index:02}", availability_zone=f"z{index % 3}")
            for index in range(count)
        ]

    def test_few_of_many_poll_and_all_of_few(self):
        cases = [(3, 3), (9, 9), (30, 9), (60, 9)]
        for count, expected in cases:
            with self.subTest(members=count):
                members = self.members(count)
                pollers = 0
                for member in members:
                    spread = self.spread(member.name, members)
                    own = spread._settings.instance
                    spread._settings = spread._settings.model_copy(
                        update={
                            "instance": own.model_copy(
                                update={"availability_zone": member.availability_zone}
                            )
                        }
                    )
                    pollers += spread.is_poller
                self.assertEqual(pollers, expected)

    def test_poller_that_dies_or_leaves_is_replaced(self):
        members = self.members(30)
        zone = [m.name for m in members if m.availability_zone == "z0"]
        first, *_, next_one = rendezvous.chosen(zone, "poller", 4)
        self.assertFalse(self.spread(next_one, members).is_poller)
        for state in (State.SUSPECT, State.LEAVING):
            with self.subTest(state=state):
                for member in members:
                    member.state = state if member.name == first else State.ALIVE
                self.assertTrue(self.spread(next_one, members).is_poller)

    def test_all_try_the_log_rarely_when_nothing_is_confirmed(self):
        """Guards against all instances polling a log that comes back."""
        members = self.members(60)
        other = next(
            m.name for m in members if not self.spread(m.name, members).is_poller
        )
        old = now() - FALLBACK_AFTER - 1
        spread = self.spread(other, members, as_of=5, confirmed_at=old)
        spread._chance.seed(1)
        tries = sum(spread.may_poll() for _ in range(1000))
        self.assertTrue(10 < tries < 150, tries)
        spread._follower.adopt(Agreed(), 5, now())
        self.assertFalse(any(spread.may_poll() for _ in range(1000)))

    def test_confirmation_passes_on_a_bounded_number_of_times(self):
        """Guards against a confirmation that stays young by being relayed."""
        at = now() - 10
        for hops, told in ((0, True), (MAX_HOPS - 1, True), (MAX_HOPS, False)):
            with self.subTest(hops=hops):
                spread = self.spread(as_of=5, confirmed_at=at - 5)
                spread.heard("other", News(5, 5, at, hops))
                self.assertEqual(spread._follower.confirmed_at, at)
                news = spread.news()
                self.assertEqual(news.confirmed_at is not None, told)
                self.assertEqual(news.hops, hops + 1 if told else 0)
        self.assertEqual(self.spread(as_of=5, confirmed_at=at).news().hops, 0)

    def test_what_news_confirm_and_what_they_make_us_fetch(self):
        cases = [
            ("the same", (5, 5), True, False),
            ("the teller has read less", (4, 4), False, False),
            ("a change beyond us", (6, 6), False, True),
            ("only renewals beyond us", (7, 5), True, False),
        ]
        for name, (as_of, changed), confirms, fetches in cases:
            with self.subTest(name):
                at = now() - 10
                spread = self.spread(as_of=5, confirmed_at=at)
                spread._lazy_after = now() + 60
                spread.heard("other", News(as_of, changed, now()))
                self.assertEqual(spread._follower.confirmed_at > at, confirms)
                self.assertEqual(spread._woken.is_set(), fetches)

    def test_what_a_peer_gets(self):
        unconfirmed = self.spread(as_of=0)
        self.assertEqual(unconfirmed.beyond(0, 0), (0, ""))
        spread = self.spread(as_of=5, confirmed_at=now())
        same = spread._digest.of(spread._follower.state.accepted)
        self.assertEqual(spread.beyond(5, 0), (5, ""))
        self.assertIn('"rows"', spread.beyond(4, same + 1)[1])
        self.assertNotIn('"rows"', spread.beyond(4, same)[1])
