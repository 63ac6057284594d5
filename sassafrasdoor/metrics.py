"""Counters, gauges and histograms of this process, by ``aioprometheus``.

Label values are rows, instances and reasons from a fixed set, never strings that a
caller chose. Names include the unit.
"""

from aioprometheus import Counter, Gauge, Histogram, Registry, render

REGISTRY = Registry()


def counter(name, doc):
    """Return the counter of that name, created on first use."""
    return _metric(Counter, name, doc)


def gauge(name, doc):
    """Return the gauge of that name, created on first use."""
    return _metric(Gauge, name, doc)


def histogram(name, doc, buckets):
    """Return the histogram of that name, created on first use."""
    return _metric(Histogram, name, doc, buckets=buckets)


def exposition(accepts=()):
    """Return ``(body, headers)`` for the ``/metrics`` page."""
    return render(REGISTRY, list(accepts))


def _metric(kind, name, doc, **options):
    if name in REGISTRY.collectors:
        return REGISTRY.collectors[name]
    return kind(name, doc, registry=REGISTRY, **options)
