"""The table as a file: a JSON document or a CSV sheet.

A JSON sheet is ``{"revision": n, "rows": [...]}``. A CSV sheet may begin with a line
``# revision n`` and has a header of column names; an empty cell means the default.
``revision`` is the one that the sheet was made from, None if not given.
"""

import csv
import io
import json
import pathlib

from sassafrasdoor.outcomes import Finding, Rejected
from sassafrasdoor.table.rows import Row

COLUMNS = list(Row.model_fields)
LIST_COLUMN = "key_hashes"
REVISION_PREFIX = "# revision "
MAX_REVISION_DIGITS = 18


class Sheet:
    """A sheet: its ``document`` (not yet validated) and the ``revision`` it edits."""

    __slots__ = ("document", "revision")

    def __init__(self, document, revision=None):
        self.document = document
        self.revision = revision


def read(path):
    """Return the ``Sheet`` in a file, parsed by its suffix, or ``Rejected``."""
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Rejected("sheet unreadable", [Finding(str(path), str(error))])
    return _READERS.get(_suffix(path), from_json)(text)


def to_text(path, table, revision):
    """Return a table's sheet as text in the format of the path's suffix."""
    return _WRITERS.get(_suffix(path), to_json)(table, revision)


def from_json(text):
    """Return the ``Sheet`` in JSON text, or ``Rejected``."""
    try:
        document = json.loads(text)
    except ValueError as error:
        return Rejected("sheet is not JSON", [Finding("(root)", str(error))])
    except RecursionError:
        return Rejected("sheet is not JSON", [Finding("(root)", "too deep")])
    if not isinstance(document, dict):
        return Rejected("sheet invalid", [Finding("(root)", "not an object")])
    revision = document.pop("revision", None)
    if revision is not None and type(revision) is not int:
        return Rejected("sheet invalid", [Finding("revision", "not an integer")])
    return Sheet(document, revision)


def from_csv(text):
    """Return the ``Sheet`` in CSV text, or ``Rejected``."""
    revision = None
    if text.startswith(REVISION_PREFIX):
        first, _, text = text.partition("\n")
        digits = first.removeprefix(REVISION_PREFIX).strip(" ,\r")
        if not digits.isdecimal() or len(digits) > MAX_REVISION_DIGITS:
            return Rejected("sheet invalid", [Finding("revision", "not an integer")])
        revision = int(digits)
    try:
        lines = list(csv.DictReader(io.StringIO(text), strict=True))
    except csv.Error as error:
        return Rejected("sheet is not CSV", [Finding("(root)", str(error))])
    findings = [
        Finding(f"rows.{index}", "more cells than columns")
        for index, line in enumerate(lines)
        if None in line
    ]
    if findings:
        return Rejected("sheet invalid", findings)
    return Sheet({"rows": [_parse_row(line) for line in lines]}, revision)


def to_json(table, revision):
    """Return the sheet of a table as JSON text."""
    document = {"revision": revision, **table.model_dump(mode="json")}
    return json.dumps(document, indent=2) + "\n"


def to_csv(table, revision):
    """Return the sheet of a table as CSV text."""
    text = io.StringIO()
    text.write(f"{REVISION_PREFIX}{revision}\n")
    writer = csv.DictWriter(text, COLUMNS, lineterminator="\n")
    writer.writeheader()
    for row in table.model_dump(mode="json")["rows"]:
        writer.writerow({**row, LIST_COLUMN: " ".join(row[LIST_COLUMN])})
    return text.getvalue()


def _suffix(path):
    return pathlib.Path(path).suffix.lower()


def _parse_row(line):
    row = {name: cell for name, cell in line.items() if cell not in ("", None)}
    if LIST_COLUMN in row:
        row[LIST_COLUMN] = row[LIST_COLUMN].split()
    return row


_READERS = {".csv": from_csv, ".json": from_json}
_WRITERS = {".csv": to_csv, ".json": to_json}
