"""Arbitrary datagrams are counted and dropped and do not stop the member."""

import struct
import unittest

from hypothesis import example, given, settings as run_settings, strategies as st

from sassafrasdoor import settings
from sassafrasdoor.membership import messages as gossip
from sassafrasdoor.membership.node import Membership
from sassafrasdoor.view import Member

fuzzed = run_settings(derandomize=True, deadline=None, max_examples=150)


def pack_words(raw):
    """Pack whole words like Cap'n Proto; each must have zero and nonzero bytes."""
    words = [raw[at : at + 8] for at in range(0, len(raw), 8)]
    tags = [sum(1 << at for at in range(8) if word[at]) for word in words]
    return b"".join(
        bytes([tag]) + word.replace(b"\0", b"")
        for tag, word in zip(tags, words, strict=True)
    )


# Two segments, of which the second (1,000 words) is missing.
MISSING_SEGMENT = pack_words(struct.pack("<IIIIQ", 1, 1, 1000, 0, 1))

UINT8, UINT32, UINT64 = (st.integers(0, 2**bits - 1) for bits in (8, 32, 64))
SHORT_TEXT = st.text(max_size=12)
UPDATES = st.binary(max_size=40) | st.builds(
    lambda **fields: gossip.SCHEMA.Update.new_message(**fields).to_bytes(),
    name=SHORT_TEXT | st.just("own"),
    incarnation=UINT64 | st.just(2**64 - 1),
    state=UINT8 | st.integers(0, 3),
    zone=SHORT_TEXT,
    region=SHORT_TEXT,
    gossip=st.sampled_from(["", "127.0.0.1:0", "127.0.0.1:99999", "x", "[::1]:1"]),
)
MESSAGES = st.fixed_dictionaries(
    {
        "kind": st.sampled_from(
            ["ping", "ack", "probe", "gossip", "compare", "differ"]
        ),
        "sender": SHORT_TEXT | st.just("own"),
        "sequence": UINT32,
        "stamp": UINT64,
        "digest": UINT64,
        "asOf": UINT64,
        "confirmedAgeMs": UINT32,
        "target": SHORT_TEXT | st.just("own"),
        "region": SHORT_TEXT,
        "updates": st.lists(UPDATES, max_size=3),
        "contacts": st.lists(
            st.fixed_dictionaries({"region": SHORT_TEXT, "ageMs": UINT32}), max_size=3
        ),
        "buckets": st.lists(UINT64, max_size=2) | st.just([1] * 32),
        "confirmedHops": UINT8,
        "changedAsOf": UINT64,
    }
)


class DatagramFuzzTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        options = settings.from_document({})
        self.node = Membership(options, Member("own", region="r"))
        await self.node._transport.open("127.0.0.1", 0)
        self.addAsyncCleanup(self.node.stop)

    async def test_arbitrary_datagrams(self):
        """Guards against an exception that closes the socket for good."""

        @fuzzed
        @example(b"\0" + MISSING_SEGMENT)
        @example(gossip.encode([], kind="gossip", sender="x", stamp=2**64 - 1))
        @given(
            st.binary(max_size=200)
            | st.binary(max_size=200).map(lambda body: b"\0" + body)
            | MESSAGES.map(lambda fields: gossip.encode([], **fields))
        )
        def receive(datagram):
            self.node._transport.datagram_received(datagram, ("127.0.0.1", 9))
            self.node._send("127.0.0.1:9", "gossip", [self.node.own])

        receive()

    def test_message_of_several_segments(self):
        """Guards against a datagram whose decoding aborts the process."""
        with self.assertRaises(gossip.Malformed):
            gossip.decode([], b"\0" + MISSING_SEGMENT)

    def test_datagrams_without_a_valid_mac(self):
        @fuzzed
        @given(st.binary(max_size=300))
        def decode_any(datagram):
            with self.assertRaises((gossip.Malformed, gossip.Forged)):
                gossip.decode(["key"], datagram)

        decode_any()
