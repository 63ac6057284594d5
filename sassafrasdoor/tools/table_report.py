"""Output of the operators' tool: tables or JSON."""

import json
import sys
from functools import singledispatchmethod

from rich import box
from rich.console import Console, Group
from rich.table import Table as Grid
from rich.text import Text

from sassafrasdoor.outcomes import Outcome, Rejected, ReplyLost
from sassafrasdoor.table.publisher import LostRace
from sassafrasdoor.tools.status_view import status_grids, status_line

EXIT_DONE, EXIT_REJECTED, EXIT_UNAVAILABLE, EXIT_NOT_IN_FORCE = 0, 1, 3, 4
PIPE_WIDTH = 200
HASH_PREFIX_LENGTH = 8
ROW_COLUMNS = (
    "name",
    "kind",
    "service",
    "model",
    "weight",
    "priority",
    "limit",
    "staleness_bound",
    "prefers",
    "repeatable",
)


class Report:
    """Prints results on standard output and outcomes on standard error.

    Methods that print an outcome return the exit code.
    """

    __slots__ = ("_as_json", "_console", "_errors")

    def __init__(self, as_json):
        self._as_json = as_json
        # Without a terminal rich would assume 80 columns and truncate cells.
        width = None if sys.stdout.isatty() else PIPE_WIDTH
        self._console = Console(width=width, highlight=False)
        self._errors = Console(
            stderr=True, highlight=False, soft_wrap=True, markup=False
        )

    def checked(self, table):
        """Report that a table is valid."""
        self._print_text(
            {"outcome": "valid", "rows": len(table.rows)},
            f"valid: {len(table.rows)} rows",
        )

    def table(self, state):
        """Show the table in force."""
        rows = state.table.model_dump(mode="json")["rows"] if state.table else []
        document = {
            "revision": state.revision,
            "author": state.accepted.author,
            "rows": rows,
            "weights": state.weights,
        }
        title = f"revision {state.revision} by {state.accepted.author or 'nobody'}"
        grid = _grid(
            title, ROW_COLUMNS, [[row[name] for name in ROW_COLUMNS] for row in rows]
        )
        self._print_grid(document, grid)

    def changes(self, revision, changes):
        """Show the changes, with the shares before and after."""
        document = {
            "revision": revision,
            "changes": [change.as_document() for change in changes],
        }
        rows = [
            [change.name, _describe_fields(change.fields), *_format_shares(change)]
            for change in changes
        ]
        columns = ("row", "cells", "share before", "share after")
        self._print_grid(document, _grid(f"against revision {revision}", columns, rows))

    def history(self, decisions):
        """Show the decisions on proposals, newest last."""
        document = {"decisions": [decision.as_document() for decision in decisions]}
        rows = [
            [
                decision.offset,
                decision.author,
                decision.base,
                "accepted" if decision.accepted else "rejected",
                "; ".join(map(str, decision.findings)),
            ]
            for decision in decisions
        ]
        columns = ("offset", "author", "base", "decision", "findings")
        self._print_grid(document, _grid("proposals", columns, rows))

    def status(self, status_page):
        """Show an instance's status page."""
        self._print_grid(
            status_page,
            Group(
                status_line(status_page),
                *[_grid(*grid) for grid in status_grids(status_page)],
            ),
        )

    def announced(self, model, version):
        """Report the newest announced version."""
        document = {"outcome": "announced", "model": model, "version": version}
        self._print_text(document, f"announced: version {version} of {model}")

    def published(self, decision, coverage):
        """Report an accepted table and where it is in force; return the exit code."""
        document = {"outcome": "accepted", "revision": decision.offset}
        text = f"accepted: revision {decision.offset}"
        if not coverage:
            document["reason"] = coverage.reason
            self._print_text(document, f"{text}; {coverage.reason}")
            return EXIT_NOT_IN_FORCE
        document |= {
            "in_force": coverage.count,
            "instances": len(coverage.revisions),
            "missing": coverage.missing,
        }
        text += f"; in force on {coverage.count} of {len(coverage.revisions)} instances"
        if coverage.missing:
            text += f"; not yet on {', '.join(coverage.missing)}"
        self._print_text(document, text)
        return EXIT_DONE if coverage.is_everywhere else EXIT_NOT_IN_FORCE

    @singledispatchmethod
    def outcome(self, outcome: Outcome):
        """Print an outcome and return the exit code."""
        self._print_error({"outcome": "unavailable", "reason": outcome.reason})
        return EXIT_UNAVAILABLE

    @outcome.register
    def _(self, outcome: ReplyLost):
        # It may still take effect: the operator must check before publishing again.
        self._print_error({"outcome": "unknown", "reason": outcome.reason})
        return EXIT_UNAVAILABLE

    @outcome.register
    def _(self, outcome: Rejected):
        self._print_error(_rejection(outcome))
        return EXIT_REJECTED

    @outcome.register
    def _(self, outcome: LostRace):
        winner = {"winner": outcome.winner, "winner_author": outcome.winner_author}
        self._print_error(_rejection(outcome) | winner)
        return EXIT_REJECTED

    def _print_grid(self, document, grid):
        if self._as_json:
            print(json.dumps(document))
        else:
            self._console.print(grid)

    def _print_text(self, document, text):
        print(json.dumps(document) if self._as_json else text)

    def _print_error(self, document):
        if self._as_json:
            print(json.dumps(document))
            return
        self._errors.print(f"{document['outcome']}: {document['reason']}")
        for finding in document.get("findings", ()):
            self._errors.print(f"  {finding['place']}: {finding['reason']}")


def _rejection(outcome):
    findings = [finding.as_dict() for finding in outcome.findings]
    return {"outcome": "rejected", "reason": outcome.reason, "findings": findings}


def _grid(title, columns, rows):
    grid = Grid(*columns, title=Text(title), box=box.SIMPLE, title_justify="left")
    for row in rows:
        # Cells are operators' text: square brackets in them are not markup.
        grid.add_row(*[Text(str(cell)) for cell in row])
    return grid


def _describe_fields(fields):
    """Describe the changed cells; for a row added or removed, its values."""
    added = all(old is None for old, _ in fields.values())
    removed = all(new is None for _, new in fields.values())
    if fields and (added or removed):
        cells = (f"{name} {_cell_text(pair[added])}" for name, pair in fields.items())
        return f"{'new' if added else 'removed'} row: {', '.join(cells)}"
    return "; ".join(
        f"{name}: {_cell_text(old)} -> {_cell_text(new)}"
        for name, (old, new) in fields.items()
    )


def _cell_text(value):
    """Return a cell's text, with key hashes abbreviated."""
    if isinstance(value, list):
        return " ".join(f"{item[:HASH_PREFIX_LENGTH]}.." for item in value)
    return str(value) or "-"


def _format_shares(change):
    return f"{change.old_share:.1%}", f"{change.new_share:.1%}"
