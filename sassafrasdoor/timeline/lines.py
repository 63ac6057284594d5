"""Log lines of several processes as one time line: for one id, in order.

The lines are the JSON lines that ``decisions`` and ``logs`` write; whatever stands
before the first brace (a collector's own prefix) is left out. Clocks of instances
may differ by some milliseconds, so lines of different processes that close to each
other may stand in the wrong order. The time of day may jump on a machine: lines of one
process are ordered by its steady clock, which every line carries too.
"""

import json
import statistics


class Line:
    """One log line: when (seconds since the epoch), which process, what.

    ``steady`` is the process's steady clock in seconds, None where it is not told.
    """

    __slots__ = ("at", "fields", "kind", "process", "steady")

    def __init__(self, at, process, kind, fields, steady=None):
        self.at = at
        self.steady = steady
        self.process = process
        self.kind = kind
        self.fields = fields

    def mentions(self, wanted):
        """Say whether any of its fields is, or holds, this id."""
        return any(
            value == wanted or (isinstance(value, list) and wanted in value)
            for value in self.fields.values()
        )

    def __str__(self):
        fields = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.at:.6f} {self.process} {self.kind} {fields}"

    @property
    def has_explanation(self):
        """Whether it says why something was not done, or who ended it."""
        return bool(self.fields.get("reason")) or self.kind in SELF_EXPLANATORY_KINDS


SELF_EXPLANATORY_KINDS = {
    "request.caller_left",
    "request.cut_by_stop",
    "request.no_route",
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
    """Return the ``Line`` in one line of text, or None where there is none."""
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
    """Return the lines that name an id and whose kind begins so, in order of time."""
    lines = [line for line in map(parse, texts) if line is not None]
    _correct_times(lines)
    selected = [
        line
        for line in lines
        if line.kind.startswith(kind) and (not wanted or line.mentions(wanted))
    ]
    return sorted(selected, key=lambda line: line.at)


def _correct_times(lines):
    """Set the time of each line by its process's steady clock.

    A jump of the time of day would put a cause behind its effect. Most lines of a
    process are written outside a jump, so the usual distance of both clocks holds.
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
    """Return by id the last line that explains what became of it, or None."""
    explanations = dict.fromkeys(wanted)
    for line in select(texts):
        if line.has_explanation:
            for identifier in explanations:
                if line.mentions(identifier):
                    explanations[identifier] = line
    return explanations
