"""The fold over proposals: races, duplicates and malformed bodies."""

import unittest

from hypothesis import given, settings, strategies as st

from sassafrasdoor.log.interface import Record
from sassafrasdoor.table.accepted import MAX_DECISIONS, Accepted, fold

HASH = "a" * 64
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=4),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["id", "base", "author", "table", "rows"]),
            inner,
            max_size=5,
        )
    ),
    max_leaves=8,
)


def table(weight=1.0):
    """Return a table document with one row."""
    row = {"name": "boards", "kind": "application", "service": "occupancy"}
    return {"rows": [{**row, "weight": weight, "key_hashes": [HASH]}]}


def proposal(name, base, weight=1.0, author="anna"):
    """Return the body of a proposal record."""
    document = table(weight)
    return {"id": name, "base": base, "author": author, "table": document}


def fold_records(*pairs):
    """Fold ``(offset, body)`` pairs into an empty state."""
    state = Accepted()
    for offset, body in pairs:
        state = fold(state, Record(offset, body))
    return state


class AcceptedTest(unittest.TestCase):
    def test_lowest_offset_wins_a_race_on_one_base(self):
        state = fold_records(
            (4, proposal("a", 0)),
            (7, proposal("b", 4, 2.0, "ben")),
            (8, proposal("c", 4, 3.0, "cleo")),
        )
        self.assertEqual((state.revision, state.author), (7, "ben"))
        self.assertEqual(state.table.rows[0].weight, 2.0)
        lost = state.decision("c")
        self.assertFalse(lost.accepted)
        self.assertEqual((lost.winner, lost.winner_author), (7, "ben"))
        self.assertIn("ben", str(lost.findings[0]))

    def test_duplicate_record_changes_nothing(self):
        """Guards against a duplicate record that rejects its own accepted proposal."""
        once = fold_records((4, proposal("a", 0)))
        twice = fold(once, Record(5, proposal("a", 0)))
        self.assertIs(twice, once)

    def test_bodies_that_are_rejected(self):
        bad_bodies = [
            ("no table", {"id": "x", "base": 0}),
            ("bad weight", proposal("x", 0, -1.0)),
            ("base as text", proposal("x", "0")),
            ("base beyond", proposal("x", 99)),
            ("table is a list", {**proposal("x", 0), "table": []}),
        ]
        for name, body in bad_bodies:
            with self.subTest(name):
                state = fold_records((3, body))
                self.assertIsNone(state.table)
                self.assertFalse(state.decision("x").accepted)
                self.assertTrue(state.decision("x").findings)

    def test_offset_zero_is_no_revision(self):
        state = fold_records((0, proposal("a", 0)), (1, proposal("b", 0)))
        self.assertEqual(state.revision, 1)
        self.assertFalse(state.decision("a").accepted)

    def test_decisions_are_bounded(self):
        pairs = [(n, proposal(f"p{n}", n - 1)) for n in range(1, MAX_DECISIONS + 9)]
        self.assertEqual(len(fold_records(*pairs).decisions), MAX_DECISIONS)

    def test_json_round_trip(self):
        state = fold_records((4, proposal("a", 0)), (5, proposal("b", 0)))
        document = state.as_document()
        self.assertEqual(Accepted.from_document(document).as_document(), document)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(JSON)
    def test_fold_accepts_any_body(self, body):
        state = fold(fold_records((4, proposal("a", 0))), Record(9, body))
        self.assertEqual(state.revision, 4)
