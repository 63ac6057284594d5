"""Reads the heads of answers for all HTTP clients, and counts those that are refused."""

from sassafrasdoor.answer_heads import read_head
from sassafrasdoor.metrics import counter

REFUSED = counter(
    "answers_refused_total", "Answers refused for an invalid head, by reason."
)


def checked_head(data):
    """Return the ``Head`` in ``data``, or ``RefusedHead``, which is counted."""
    head = read_head(data)
    if not head:
        count_refused(head.flaw)
    return head


def count_refused(flaw):
    """Count an answer that was refused because of a ``Flaw`` of its head."""
    REFUSED.inc({"reason": flaw.value})
