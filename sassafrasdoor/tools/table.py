"""The operators' tool: check, compare, publish and show the table.

Exit codes: 0 done; 1 rejected, findings are printed; 2 wrong usage; 3 the platform
did not answer (the reason says whether the change may still take effect);
4 accepted, but not in force on every instance before the timeout.
"""

import asyncio
import getpass
import pathlib
import sys

import typer

from sassafrasdoor import security, settings as settings_module
from sassafrasdoor.clock import deadline_in
from sassafrasdoor.log import agreed
from sassafrasdoor.log.announce import announce as announce_version
from sassafrasdoor.log.follower import Follower
from sassafrasdoor.log.http import HttpLog
from sassafrasdoor.outcomes import Finding, Rejected
from sassafrasdoor.table import sheets
from sassafrasdoor.table.accepted import NO_REVISION
from sassafrasdoor.table.publisher import propose
from sassafrasdoor.table.rows import table_from
from sassafrasdoor.tools.in_force import StatusClient
from sassafrasdoor.tools.options import VersionOption, read
from sassafrasdoor.tools.table_changes import changes
from sassafrasdoor.tools.table_report import Report

app = typer.Typer(no_args_is_help=True, help=__doc__)
SheetArgument = typer.Argument(..., help="A .json or .csv sheet.")
TimeoutOption = typer.Option(30.0, help="Total seconds to wait.")


class Context:
    """State of a command: settings, report, and the log while ``run`` runs."""

    __slots__ = ("log", "report", "settings")

    def __init__(self, settings, report):
        self.settings = settings
        self.report = report
        self.log = None

    def run(self, job):
        """Run ``job()`` in a new event loop with the log open."""
        return asyncio.run(self._run(job))

    async def _run(self, job):
        self.log = HttpLog(self.settings)
        try:
            return await job()
        finally:
            self.log.close()

    async def agreed_state(self, seconds):
        """Return the agreed state, or ``Unavailable``."""
        follower = Follower(self.settings, self.log, agreed.fold, agreed.Agreed())
        return await follower.catch_up(deadline_in(seconds))

    def value_or_exit(self, value):
        """Return ``value``; if it is a failed outcome, report it and exit."""
        if not value:
            raise typer.Exit(self.report.outcome(value))
        return value


@app.callback()
def _options(
    context: typer.Context,
    settings: str = typer.Option("", help="A JSON settings file."),
    platform: str = typer.Option(
        "", help="URL of the platform; overrides the settings."
    ),
    as_json: bool = typer.Option(False, "--json", help="Print JSON."),
    version: bool = VersionOption,
):
    checked = read(settings, False) if settings else settings_module.from_document({})
    if platform:
        urls = {"log_url": platform, "instances_url": platform}
        checked = checked.model_copy(
            update={"platform": checked.platform.model_copy(update=urls)}
        )
    context.obj = Context(checked, Report(as_json))


@app.command()
def check(context: typer.Context, sheet: str = SheetArgument):
    """Check a sheet; needs no platform."""
    tool = context.obj
    table = tool.value_or_exit(
        table_from(tool.value_or_exit(sheets.read(sheet)).document)
    )
    tool.report.checked(table)


@app.command()
def diff(
    context: typer.Context, sheet: str = SheetArgument, timeout: float = TimeoutOption
):
    """Show what a sheet would change, and each row's share before and after.

    Shares are of the service's capacity when every row demands its limit.
    """
    tool = context.obj
    table = tool.value_or_exit(
        table_from(tool.value_or_exit(sheets.read(sheet)).document)
    )
    state = tool.value_or_exit(tool.run(lambda: tool.agreed_state(timeout)))
    tool.report.changes(state.revision, changes(state.table, table))


@app.command()
def apply(
    context: typer.Context,
    sheet: str = SheetArgument,
    base: int = typer.Option(None, help="The revision edited; overrides the sheet's."),
    author: str = typer.Option("", help="Author; default: the login name."),
    timeout: float = TimeoutOption,
):
    """Publish a sheet, and wait until it is in force on every instance.

    The sheet states the revision that it was made from (``show --output`` writes
    it). If another revision is in force, nothing changes and its author is shown.
    """
    tool = context.obj
    edited = tool.value_or_exit(sheets.read(sheet))
    if base is None:
        base = edited.revision
    raise typer.Exit(tool.run(lambda: _apply(tool, edited, base, author, timeout)))


async def _apply(tool, edited, base, author, timeout):
    deadline = deadline_in(timeout)
    if base is None:
        base = await _initial_base(tool, timeout)
    if not isinstance(base, int):
        return tool.report.outcome(base)
    decision = await propose(
        tool.settings,
        tool.log,
        edited.document,
        base,
        author or getpass.getuser(),
        deadline,
    )
    if not decision:
        return tool.report.outcome(decision)
    client = StatusClient(tool.settings)
    try:
        coverage = await client.wait(decision.offset, deadline)
    finally:
        client.close()
    return tool.report.published(decision, coverage)


async def _initial_base(tool, timeout):
    state = await tool.agreed_state(timeout)
    if not state:
        return state
    if state.table is None:
        return NO_REVISION
    # With the revision in force as the base, the sheet would overwrite changes that
    # another operator has published since it was made.
    reason = "the sheet does not state the revision that it edits; give --base"
    return Rejected("base unknown", [Finding("revision", reason)])


@app.command()
def show(
    context: typer.Context,
    output: str = typer.Option("", help="Write a .json or .csv sheet to edit."),
    timeout: float = TimeoutOption,
):
    """Show the table in force, or write it as a sheet."""
    tool = context.obj
    state = tool.value_or_exit(tool.run(lambda: tool.agreed_state(timeout)))
    if not output:
        return tool.report.table(state)
    if state.table is None:
        no_table = Rejected("no table is in force", [])
        raise typer.Exit(tool.report.outcome(no_table))
    pathlib.Path(output).write_text(
        sheets.to_text(output, state.table, state.revision), encoding="utf-8"
    )
    return None


@app.command()
def history(context: typer.Context, timeout: float = TimeoutOption):
    """List the latest proposals with their authors, decisions and findings."""
    tool = context.obj
    state = tool.value_or_exit(tool.run(lambda: tool.agreed_state(timeout)))
    tool.report.history(state.accepted.decisions)


@app.command()
def status(
    context: typer.Context,
    address: str = typer.Option(..., help="An entry instance, host:port."),
):
    """Show one instance's view of the system: members, weights, quota, queues."""
    tool = context.obj
    tool.report.status(tool.value_or_exit(asyncio.run(_status(tool.settings, address))))


async def _status(settings, address):
    client = StatusClient(settings)
    try:
        return await client.status(address)
    finally:
        client.close()


@app.command()
def announce(
    context: typer.Context,
    model: str,
    version: int,
    timeout: float = TimeoutOption,
):
    """Announce a new weight version of a model."""
    tool = context.obj

    def job():
        deadline = deadline_in(timeout)
        return announce_version(tool.settings, tool.log, model, version, deadline)

    tool.report.announced(model, tool.value_or_exit(tool.run(job)))


@app.command("key-hash")
def key_hash():
    """Read a caller's key from standard input and print its hash for the table."""
    typer.echo(security.key_hash(sys.stdin.readline().rstrip("\n")))


def main():
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
