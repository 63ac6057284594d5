"""Version labels: which weight version produced which tokens of a sample."""

from itertools import groupby

from sassafrasdoor.backends.interface import Span


def union(spans):
    """Return the shortest equivalent list of spans, in order of tokens.

    Where two reports disagree about a token, the label keeps both versions: one too
    many is safe, but one too few would hide old weights.
    """
    merged = []
    by_version = sorted(spans, key=lambda span: (span.version, span.first))
    for _, group in groupby(by_version, key=lambda span: span.version):
        merged += _merge_overlapping(list(group))
    return sorted(merged, key=lambda span: (span.first, span.version))


def covers(spans, first, last):
    """Return whether every token from ``first`` up to ``last`` is labelled."""
    for span in sorted(spans, key=lambda span: span.first):
        if span.first <= first:
            first = max(first, span.last)
    return first >= last


def oldest(spans):
    """Return the oldest version, or None without spans."""
    return min((span.version for span in spans), default=None)


def _merge_overlapping(spans):
    joined = []
    for span in spans:
        if joined and span.first <= joined[-1].last:
            last = joined.pop()
            span = Span(last.version, last.first, max(last.last, span.last))
        joined.append(span)
    return joined
