import unittest

from hypothesis import given, settings, strategies as st

from sassafrasdoor.backends.interface import Span
from sassafrasdoor.steps import labels

SPANS = st.lists(
    st.builds(
        lambda version, first, size: Span(version, first, first + size),
        st.integers(1, 4),
        st.integers(0, 20),
        st.integers(1, 9),
    ),
    max_size=8,
)


def labelled_tokens(spans):
    return {
        (span.version, token)
        for span in spans
        for token in range(span.first, span.last)
    }


class LabelsTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(SPANS)
    def test_union_labels_the_same_tokens_in_no_more_spans(self, spans):
        merged = labels.union(spans)
        self.assertEqual(labelled_tokens(merged), labelled_tokens(spans))
        self.assertEqual(labels.union(merged), merged)
        self.assertLessEqual(len(merged), len(spans))
        self.assertEqual(
            labels.oldest(merged), min((span.version for span in spans), default=None)
        )

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(SPANS, st.integers(0, 10), st.integers(0, 30))
    def test_covers_detects_gaps(self, spans, first, last):
        labelled = {token for _, token in labelled_tokens(spans)}
        expected = set(range(first, last)) <= labelled
        self.assertEqual(labels.covers(spans, first, last), expected)
