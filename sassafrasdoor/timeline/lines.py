"""Merges the log lines of several processes into one timeline, filtered by id.

The lines are the JSON lines that ``decisions`` and ``logs`` write; anything before the
first brace (a log collector's prefix) is ignored. Clocks of instances may differ by some
milliseconds, so lines of different processes that close to each other may be out of
order. The wall clock of a machine may jump, so lines of one process are ordered by its
monotonic clock, which every line contains too.
"""

import json
import statistics


class Line:
    """One log line; ``at`` is in seconds since the epoch.

    ``steady`` is the process's monotonic clock in seconds, None if the line has none.
    """

    __slots__ = ("at", "fields", "kind", "process", "steady")

    def __init__(self, at, process, kind, fields, steady=None):
        self.at = at
        self.steady = steady
        self.process = process
        self.kind = kind
        self.fields = fields

    def mentions(self, wanted):
        """Return whether any field is this id or a list that contains it."""
        return any(
            value == wanted or (isinstance(value, list) and wanted in value)
            for value in self.fields.values()
        )

    def __str__(self):
        fields = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.at:.6f} {self.process} {self.kind} {fields}"

    @property
    def has_explanation(self):
        """Whether it gives the reason of a failure or says who ended the request."""
        return bool(self.fields.get("reason")) or self.kind in SELF_EXPLANATORY_KINDS


SELF_EXPLANATORY_KINDS = {
    "request.caller_left",
    "request.cut_by_stop",
    "request.no_route",
    "request.refused_by_stop",
}
OMITTED_FIELDS = {
    "timestamp",
    "steady",
    "process",
    "message_type",
    "task_uuid",
    "task_level",
}


def parse(text):
    """Return the ``Line`` in one line of text, or None if there is none."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        document = json.loads(text[start:])
        fields = {key: document[key] for key in document if key not in OMITTED_FIELDS}
        return Line(
            float(document["timestamp"]),
            str(document["process"]),
            str(document["message_type"]),
            fields,
            None if document.get("steady") is None else float(document["steady"]),
        )
    except (ValueError, KeyError, TypeError):
        return None


def select(texts, wanted="", kind=""):
    """Return the lines of an id whose kind begins with ``kind``, in order of time."""
    lines = [line for line in map(parse, texts) if line is not None]
    _correct_times(lines)
    selected = [
        line
        for line in lines
        if line.kind.startswith(kind) and (not wanted or line.mentions(wanted))
    ]
    return sorted(selected, key=lambda line: line.at)


def _correct_times(lines):
    """Set the time of each line by its process's monotonic clock.

    A jump of the wall clock would put a cause after its effect. Most lines of a process
    are written outside a jump, so the median offset between its clocks is correct.
    """
    offsets = {}
    for line in lines:
        if line.steady is not None:
            offsets.setdefault(line.process, []).append(line.at - line.steady)
    median_offsets = {
        name: statistics.median(values) for name, values in offsets.items()
    }
    for line in lines:
        if line.steady is not None:
            line.at = line.steady + median_offsets[line.process]


def reasons(texts, wanted):
    """Return for each id the last line that explains its outcome, or None."""
    explanations = dict.fromkeys(wanted)
    for line in select(texts):
        if line.has_explanation:
            for identifier in explanations:
                if line.mentions(identifier):
                    explanations[identifier] = line
    return explanations
