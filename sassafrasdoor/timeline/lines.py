"""Log lines of several processes as one time line: for one id, in order.

The lines are the JSON lines that ``decisions`` and ``logs`` write; whatever stands
before the first brace (a collector's own prefix) is left out. Clocks of instances
may differ by some milliseconds, so lines of different processes that close to each
other may stand in the wrong order.
"""

import json


class Line:
    """One log line: when (seconds since the epoch), which process, what."""

    __slots__ = ("at", "fields", "kind", "process")

    def __init__(self, at, process, kind, fields):
        self.at = at
        self.process = process
        self.kind = kind
        self.fields = fields

    def names(self, wanted):
        """Say whether any of its fields is, or holds, this id."""
        return any(
            value == wanted or (isinstance(value, list) and wanted in value)
            for value in self.fields.values()
        )

    def __str__(self):
        shown = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.at:.6f} {self.process} {self.kind} {shown}"

    @property
    def explains(self):
        """Whether it says why something was not done, or who ended it."""
        return bool(self.fields.get("reason")) or self.kind in SAYS_WHO_ENDED_IT


SAYS_WHO_ENDED_IT = {"request.caller_left", "request.cut_by_stop", "request.no_route"}
NOT_SHOWN = {"timestamp", "process", "message_type", "task_uuid", "task_level"}


def parse(text):
    """Return the ``Line`` in one line of text, or None where there is none."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        document = json.loads(text[start:])
        fields = {key: document[key] for key in document if key not in NOT_SHOWN}
        return Line(
            float(document["timestamp"]),
            str(document["process"]),
            str(document["message_type"]),
            fields,
        )
    except (ValueError, KeyError, TypeError):
        return None


def select(texts, wanted="", kind=""):
    """Return the lines that name an id and whose kind begins so, in order of time."""
    found = (parse(text) for text in texts)
    kept = [
        line
        for line in found
        if line is not None
        and line.kind.startswith(kind)
        and (not wanted or line.names(wanted))
    ]
    return sorted(kept, key=lambda line: line.at)


def reasons(texts, wanted):
    """Return by id the last line that explains what became of it, or None."""
    found = dict.fromkeys(wanted)
    for line in select(texts):
        if line.explains:
            for one in found:
                if line.names(one):
                    found[one] = line
    return found
