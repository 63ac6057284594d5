import unittest

from hypothesis import given, settings as hypothesis_settings, strategies

from sassafrasdoor.membership import messages, order
from sassafrasdoor.membership.broadcasts import Broadcasts
from sassafrasdoor.membership.messages import MAX_DATAGRAM_BYTES, Forged, Malformed
from sassafrasdoor.membership.roster import Roster
from sassafrasdoor.view import Member, State

A, S, L, D = State.ALIVE, State.SUSPECT, State.LEAVING, State.DEAD

UPDATES = strategies.builds(
    Member,
    strategies.sampled_from(["a", "b", "c"]),
    incarnation=strategies.integers(0, 3),
    state=strategies.sampled_from(list(State)),
    gossip_address=strategies.sampled_from(["127.0.0.1:1", "127.0.0.1:2"]),
)


def contents_of(roster):
    return {
        member.name: (member.incarnation, member.state, member.gossip_address)
        for member in roster.all()
    }


class OrderTests(unittest.TestCase):
    def test_which_update_wins(self):
        cases = [
            ("suspicion beats alive", (1, A), (1, S), True),
            ("a refutation beats suspicion", (1, S), (2, A), True),
            ("old suspicion after refutation", (2, A), (1, S), False),
            ("leaving beats suspicion", (1, S), (1, L), True),
            ("suspicion does not undo leaving", (1, L), (1, S), False),
            ("dead beats leaving", (1, L), (1, D), True),
            ("late alive after dead", (1, D), (1, A), False),
            ("a new incarnation beats dead", (1, D), (2, A), True),
            ("the same again", (1, A), (1, A), False),
        ]
        for name, known, update, wins in cases:
            with self.subTest(name):
                known = Member("a", incarnation=known[0], state=known[1])
                update = Member("a", incarnation=update[0], state=update[1])
                self.assertEqual(order.is_newer(update, known), wins)
        self.assertTrue(order.is_newer(update, None))

    @hypothesis_settings(derandomize=True, max_examples=200, deadline=None)
    @given(strategies.lists(UPDATES, max_size=8), strategies.randoms())
    def test_any_order_converges(self, updates, rng):
        """Guards against rosters that depend on the order of updates."""
        left, right = Roster(), Roster()
        for update in updates:
            left.apply(update)
        repeated = updates + updates[:3]
        rng.shuffle(repeated)
        for update in repeated:
            right.apply(update)
        self.assertEqual(contents_of(left), contents_of(right))
        self.assertEqual(left.digest, right.digest)
        self.assertEqual(left.differing(right.buckets), [])


class RosterTests(unittest.TestCase):
    def test_digests_differ_where_repair_is_needed(self):
        cases = [
            ("suspicion needs no repair", (1, A), (1, S), False),
            ("leaving", (1, A), (1, L), True),
            ("dead", (1, A), (1, D), True),
            ("a new incarnation", (1, A), (2, A), True),
        ]
        for name, left, right, differ in cases:
            with self.subTest(name):
                rosters = []
                for incarnation, state in (left, right):
                    roster = Roster()
                    roster.apply(Member("b", incarnation=7))
                    roster.apply(Member("a", incarnation=incarnation, state=state))
                    rosters.append(roster)
                first, second = rosters
                self.assertEqual(first.digest != second.digest, differ)
                names = [m.name for m in first.differing(second.buckets)]
                self.assertEqual("a" in names, differ)


class MessageTests(unittest.TestCase):
    def test_bad_datagrams(self):
        good = messages.encode(["k"], kind="ping", sender="a")
        cases = [
            ("empty", b"", Malformed),
            ("only a count", b"\x10", Malformed),
            ("another key", messages.encode(["x"], kind="ping"), Forged),
            ("no key", messages.encode([], kind="ping"), Forged),
            ("body changed", good[:-1] + bytes([good[-1] ^ 1]), Forged),
            ("truncated", good[:-3], Forged),
        ]
        for name, datagram, error in cases:
            with self.subTest(name), self.assertRaises(error):
                messages.decode(["k"], datagram)
        self.assertEqual(messages.decode(["k"], good).sender, "a")
        self.assertEqual(messages.decode(["old", "k"], good).sender, "a")
        both = messages.encode(["new", "k"], kind="ping", sender="a")
        self.assertEqual(messages.decode(["k"], both).sender, "a")

    @hypothesis_settings(derandomize=True, max_examples=200, deadline=None)
    @given(strategies.binary(max_size=200))
    def test_any_bytes_without_keys(self, datagram):
        try:
            message = messages.decode([], datagram)
            [messages.decode_update(bytes(update)) for update in message.updates]
        except (Malformed, messages.capnp.KjException, ValueError, KeyError):
            pass

    def test_full_datagram_fits_a_frame(self):
        members = [
            Member(
                f"instance-with-a-long-name-{index}",
                incarnation=1 << 41,
                availability_zone="availability-zone-1",
                region="region-of-some-length",
                gossip_address="192.168.100.100:12345",
                control_address="192.168.100.100:12346",
                entry_address="192.168.100.100:12347",
                peer_address="192.168.100.100:12348",
            )
            for index in range(40)
        ]
        for chunk in messages.chunks(members):
            datagram = messages.encode(
                ["one", "two"],
                kind="differ",
                sender="instance-with-a-long-name",
                stamp=1 << 60,
                digest=(1 << 64) - 1,
                buckets=[(1 << 64) - 1] * 32,
                updates=[messages.encode_update(member) for member in chunk],
            )
            self.assertLessEqual(len(datagram), MAX_DATAGRAM_BYTES)


class BroadcastsTests(unittest.TestCase):
    def test_each_update_is_sent_a_bounded_number_of_times(self):
        for members, expected in ((2, 4), (30, 8), (400, 12)):
            with self.subTest(members=members):
                queue = Broadcasts()
                queue.add(Member("a"))
                sent = sum(bool(queue.take(members)) for _ in range(100))
                self.assertEqual(sent, expected)

    def test_newer_update_replaces_and_least_sent_goes_first(self):
        queue = Broadcasts()
        queue.add(Member("a", incarnation=1))
        queue.take(400)
        queue.add(Member("b"))
        queue.add(Member("a", incarnation=2))
        queue.take(400)
        queue.add(Member("c"))
        taken = queue.take(400, max_bytes=messages.encoded_size(Member("c")) * 2)
        self.assertEqual([taken[0].name, len(taken)], ["c", 2])
        self.assertEqual(len(queue), 3)
