"""Timelines as text and in the trace-event format of browsers' trace viewers."""

from sassafrasdoor.clock import HybridClock

COUNTER = (1 << HybridClock.COUNTER_BITS) - 1
SPAN_FIELDS = ("request", "step")


def microseconds(stamp):
    """Return a stamp as microseconds of the wall clock, in the same order."""
    return (stamp >> HybridClock.COUNTER_BITS) * 1000 + min(stamp & COUNTER, 999)


def format_event(event):
    """Return one event as a line of text."""
    fields = " ".join(f"{key}={value}" for key, value in event.fields.items())
    seconds = microseconds(event.stamp) / 1e6
    return f"{seconds:.6f} {event.process:<24} {event.kind:<20} {fields}".rstrip()


def trace(events):
    """Return the trace-event document of events that are sorted by stamp."""
    pids = {}
    for event in events:
        pids.setdefault(event.process, len(pids) + 1)
    return {
        "displayTimeUnit": "ms",
        "traceEvents": [
            *_process_names(pids),
            *(_instant_event(event, pids) for event in events),
            *_span_events(events, pids),
        ],
    }


def _process_names(pids):
    for process, pid in pids.items():
        yield {
            "name": "process_name",
            "ph": "M",
            "pid": pid,
            "tid": 1,
            "args": {"name": process},
        }


def _instant_event(event, pids):
    return {
        "name": event.kind,
        "cat": event.kind.partition("-")[0],
        "ph": "i",
        "s": "t",
        "ts": microseconds(event.stamp),
        "pid": pids[event.process],
        "tid": 1,
        "args": {**event.fields, "stamp": str(event.stamp)},
    }


def _span_events(events, pids):
    """Yield one span for each request and step with more than one event."""
    spans = {}
    for event in events:
        for field in SPAN_FIELDS:
            if field in event.fields:
                spans.setdefault((field, str(event.fields[field])), []).append(event)
    for (field, name), span in spans.items():
        if len(span) > 1:
            for phase, event in (("b", span[0]), ("e", span[-1])):
                yield {
                    "name": f"{field} {name}",
                    "cat": field,
                    "ph": phase,
                    "id": name,
                    "ts": microseconds(event.stamp),
                    "pid": pids[span[0].process],
                    "tid": 1,
                }
