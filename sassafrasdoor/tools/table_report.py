"""What the operators' tool prints: tables to read, or JSON."""

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

DONE, REJECTED, NO_ANSWER, NOT_EVERYWHERE = 0, 1, 3, 4
PIPE_WIDTH = 200
HASH_SHOWN = 8
SHOWN = (
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

    Methods that meet an outcome return the exit code.
    """

    __slots__ = ("_as_json", "_console", "_errors")

    def __init__(self, as_json):
        self._as_json = as_json
        # Without a terminal there is no width; rich would cut cells at 80.
        width = None if sys.stdout.isatty() else PIPE_WIDTH
        self._console = Console(width=width, highlight=False)
        self._errors = Console(
            stderr=True, highlight=False, soft_wrap=True, markup=False
        )

    def checked(self, table):
        """Say that a table is valid."""
        self._say(
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
        grid = _grid(title, SHOWN, [[row[name] for name in SHOWN] for row in rows])
        self._show(document, grid)

    def changes(self, revision, changes):
        """Show what would change, with the shares before and after."""
        document = {
            "revision": revision,
            "changes": [change.as_document() for change in changes],
        }
        rows = [
            [change.name, _cells(change.fields), *_shares(change)] for change in changes
        ]
        heads = ("row", "cells", "share before", "share after")
        self._show(document, _grid(f"against revision {revision}", heads, rows))

    def history(self, decisions):
        """Show decisions, newest last."""
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
        heads = ("offset", "author", "base", "decision", "findings")
        self._show(document, _grid("proposals", heads, rows))

    def status(self, seen):
        """Show an instance's status page."""
        self._show(
            seen, Group(status_line(seen), *[_grid(*one) for one in status_grids(seen)])
        )

    def announced(self, model, version):
        """Say which version is the newest announced one."""
        document = {"outcome": "announced", "model": model, "version": version}
        self._say(document, f"announced: version {version} of {model}")

    def published(self, decision, found):
        """Say that a table was accepted and where it is in force; the exit code."""
        document = {"outcome": "accepted", "revision": decision.offset}
        text = f"accepted: revision {decision.offset}"
        if not found:
            document["reason"] = found.reason
            self._say(document, f"{text}; {found.reason}")
            return NOT_EVERYWHERE
        document |= {
            "in_force": found.count,
            "instances": len(found.revisions),
            "missing": found.missing,
        }
        text += f"; in force on {found.count} of {len(found.revisions)} instances"
        if found.missing:
            text += f"; not yet on {', '.join(found.missing)}"
        self._say(document, text)
        return DONE if found.everywhere else NOT_EVERYWHERE

    @singledispatchmethod
    def outcome(self, outcome: Outcome):
        """Print an outcome and return the exit code."""
        self._fail({"outcome": "unavailable", "reason": outcome.reason})
        return NO_ANSWER

    @outcome.register
    def _(self, outcome: ReplyLost):
        # It may still take effect: the operator looks before publishing again.
        self._fail({"outcome": "unknown", "reason": outcome.reason})
        return NO_ANSWER

    @outcome.register
    def _(self, outcome: Rejected):
        self._fail(_rejection(outcome))
        return REJECTED

    @outcome.register
    def _(self, outcome: LostRace):
        winner = {"winner": outcome.winner, "winner_author": outcome.winner_author}
        self._fail(_rejection(outcome) | winner)
        return REJECTED

    def _show(self, document, grid):
        if self._as_json:
            print(json.dumps(document))
        else:
            self._console.print(grid)

    def _say(self, document, text):
        print(json.dumps(document) if self._as_json else text)

    def _fail(self, document):
        if self._as_json:
            print(json.dumps(document))
            return
        self._errors.print(f"{document['outcome']}: {document['reason']}")
        for finding in document.get("findings", ()):
            self._errors.print(f"  {finding['place']}: {finding['reason']}")


def _rejection(outcome):
    findings = [finding.as_dict() for finding in outcome.findings]
    return {"outcome": "rejected", "reason": outcome.reason, "findings": findings}


def _grid(title, heads, rows):
    grid = Grid(*heads, title=Text(title), box=box.SIMPLE, title_justify="left")
    for row in rows:
        # Cells are operators' text: square brackets in them are no markup.
        grid.add_row(*[Text(str(cell)) for cell in row])
    return grid


def _cells(fields):
    """Say what changes; of a row added or removed only what it holds."""
    added = all(old is None for old, _ in fields.values())
    removed = all(new is None for _, new in fields.values())
    if fields and (added or removed):
        cells = (f"{name} {_short(pair[added])}" for name, pair in fields.items())
        return f"{'new' if added else 'removed'} row: {', '.join(cells)}"
    return "; ".join(
        f"{name}: {_short(old)} -> {_short(new)}" for name, (old, new) in fields.items()
    )


def _short(value):
    """Return a cell's text; a key's hash by its first characters."""
    if isinstance(value, list):
        return " ".join(f"{one[:HASH_SHOWN]}.." for one in value)
    return str(value) or "-"


def _shares(change):
    return f"{change.old_share:.1%}", f"{change.new_share:.1%}"
