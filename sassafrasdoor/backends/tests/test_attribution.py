"""The ledger of a connection: which answers are those of the current send."""

import unittest

from hypothesis import given, settings, strategies as st

from sassafrasdoor.backends.attribution import (
    MAX_EXCHANGES,
    AnswerHead,
    Ledger,
    SequentialLedger,
    Verdict,
)

OWN = {Verdict.OWN, Verdict.FINAL}
IDS = st.sampled_from(["a", "b", None])
DAMAGE = st.sampled_from(["none", "no id", "refusal without id", "unframed"])
STEPS = st.lists(st.tuples(IDS, st.lists(st.tuples(st.integers(0, 9), DAMAGE))))


def head(request_id, is_refusal=False, is_framed=True):
    return AnswerHead(request_id, is_refusal, is_framed)


def used_ledger(*request_ids):
    """Return a ledger on which requests were answered."""
    ledger = Ledger()
    for request_id in request_ids:
        ledger.begin(request_id)
        ledger.end()
    return ledger


def copy_of(request_id, damage):
    """Return the head of a late copy of an answer."""
    return head(
        None
        if damage.endswith("no id") or damage.startswith("refusal")
        else request_id,
        is_refusal=damage.startswith("refusal"),
        is_framed=damage != "unframed",
    )


class LedgerTest(unittest.TestCase):
    def test_verdicts(self):
        first, later, idle, unnamed = (
            Ledger(),
            used_ledger("a"),
            used_ledger("a"),
            Ledger(),
        )
        first.begin("b")
        later.begin("b")
        unnamed.begin(None)
        cases = [
            (first, head("b"), Verdict.OWN),
            (first, head("b", is_framed=False), Verdict.OWN),
            (first, head("a"), Verdict.REJECT),
            (first, head(None), Verdict.REJECT),
            (first, head(None, is_refusal=True), Verdict.FINAL),
            (later, head("b"), Verdict.OWN),
            (later, head("a"), Verdict.DROP),
            (later, head("a", is_framed=False), Verdict.CLOSE),
            (later, head(None), Verdict.DROP),
            (later, head(None, is_refusal=True), Verdict.DROP),
            (idle, head("a"), Verdict.DROP),
            (idle, head(None, is_refusal=True), Verdict.DROP),
            (idle, head("a", is_framed=False), Verdict.CLOSE),
            (unnamed, head(None), Verdict.OWN),
            (unnamed, head("a"), Verdict.OWN),
        ]
        for ledger, answer, verdict in cases:
            with self.subTest(verdict=verdict, request_id=answer.request_id):
                self.assertIs(ledger.judge(answer), verdict)

    def test_id_is_sent_once_on_a_connection(self):
        """Guards against an answer to the first send of an id taken for the second's."""
        ledger = used_ledger("a")
        self.assertFalse(ledger.may_carry("a"))
        self.assertTrue(ledger.may_carry("b"))
        self.assertFalse(ledger.may_carry(None))
        with self.assertRaises(ValueError):
            ledger.begin("a")

    def test_connection_is_retired_before_its_ledger_is_cut(self):
        ledger = used_ledger(*map(str, range(MAX_EXCHANGES)))
        self.assertTrue(ledger.is_retired)
        self.assertFalse(ledger.may_carry("new"))

    def test_without_ids_each_answer_is_the_current_one(self):
        ledger = SequentialLedger()
        self.assertIs(ledger.judge(head(None)), Verdict.CLOSE)
        ledger.begin(None)
        self.assertIs(ledger.judge(head(None)), Verdict.OWN)
        ledger.end()
        self.assertIs(ledger.judge(head(None)), Verdict.CLOSE)

    @settings(derandomize=True, max_examples=300)
    @given(STEPS)
    def test_requests_sent_again_to_a_server_that_repeats_its_answers(self, steps):
        """Guards against a late answer to one send taken for that to another."""
        connections = []
        for request_id, copies in steps:
            ledger, sent = next(
                (row for row in connections if row[0].may_carry(request_id)),
                (Ledger(), []),
            )
            if not sent:
                connections.append((ledger, sent))
            late = [
                copy_of(sent[at % len(sent)], damage) for at, damage in copies if sent
            ]
            sent.append(request_id)
            ledger.begin(request_id)
            for answer in late:
                self.assertNotIn(ledger.judge(answer), OWN)
            self.assertIn(ledger.judge(head(request_id)), OWN)
            ledger.end()
            for answer in late:
                self.assertNotIn(ledger.judge(answer), OWN)
