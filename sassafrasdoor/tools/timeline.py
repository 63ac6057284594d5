"""``sassafrasdoor-timeline``: one time line of the events of all processes."""

import asyncio
import json
import pathlib
import sys

import capnp
import typer

from sassafrasdoor import settings as settings_module
from sassafrasdoor.control.instances import InstanceList
from sassafrasdoor.timeline import export
from sassafrasdoor.timeline.collector import Collector, Filter
from sassafrasdoor.timeline.lines import reasons, select
from sassafrasdoor.timeline.sources import ControlSource, EntrySource
from sassafrasdoor.tools.options import USAGE_ERROR, CaFileOption, VersionOption, read

INCOMPLETE_EXIT_CODE = 1
STANDARD_INPUT = "-"

app = typer.Typer(add_completion=True)


@app.command()
def run(
    entry: list[str] = typer.Option([], help="An entry process, host:port."),
    control: list[str] = typer.Option([], help="A control process, host:port."),
    settings: str = typer.Option("", help="Settings file: peer keys, platform."),
    discover: bool = typer.Option(
        False, help="Read all instances that the platform in the settings lists."
    ),
    request: str = typer.Option("", help="Only events of this request."),
    step: str = typer.Option("", help="Only events of this step."),
    instance: str = typer.Option("", help="Only events of this instance."),
    kind: str = typer.Option("", help="Only kinds with this prefix."),
    follow: bool = typer.Option(False, help="Continue until interrupted."),
    ca_file: str = CaFileOption,
    as_json: bool = typer.Option(False, "--json", help="One JSON object per line."),
    trace: str = typer.Option("", help="Write a trace-event file for a viewer."),
    lines: list[str] = typer.Option(
        [], help="Read log lines of these files instead; - for standard input."
    ),
    reasons_for: str = typer.Option(
        "", help="With --lines: a file of ids, one per line; print why each failed."
    ),
    version: bool = VersionOption,
):
    """Collect the events of all processes and print them in causal order.

    Exit codes: 0 complete, 1 a process could not be read or an id of
    --reasons-for has no line with a reason, 2 usage.
    """
    if lines and reasons_for:
        _show_reasons(lines, pathlib.Path(reasons_for).read_text("utf-8").split())
        return
    if lines:
        _show_lines(lines, request or step or instance, kind)
        return
    checked = read(settings, False) if settings else settings_module.from_document({})
    if ca_file:
        tls = checked.tls.model_copy(update={"ca_certificate": ca_file})
        checked = checked.model_copy(update={"tls": tls})
    if not (entry or control or discover):
        typer.echo("give --entry, --control or --discover", err=True)
        raise typer.Exit(USAGE_ERROR)
    keep = Filter(request, step, instance, kind).matches
    write = _print_json if as_json else _print_line
    job = _run(checked, entry, control, discover, keep, write, follow, trace)
    try:
        unavailable = asyncio.run(job)
    except KeyboardInterrupt:
        return
    for name, reason in unavailable.items():
        typer.echo(f"not read: {name}: {reason}", err=True)
    if unavailable:
        raise typer.Exit(INCOMPLETE_EXIT_CODE)


def _show_lines(paths, wanted_id, kind):
    """Print the log lines of all files that contain an id, in order of time."""
    for line in select(_read_lines(paths), wanted_id, kind):
        typer.echo(str(line))


def _show_reasons(paths, ids):
    """Print the line with the reason for each id, and how many ids have none."""
    reason_lines = reasons(_read_lines(paths), ids)
    for event_id, line in reason_lines.items():
        typer.echo(f"{event_id}: {line or 'no line with a reason'}")
    unexplained = sum(line is None for line in reason_lines.values())
    typer.echo(f"{unexplained} of {len(reason_lines)} without a reason")
    if unexplained:
        raise typer.Exit(INCOMPLETE_EXIT_CODE)


def _read_lines(paths):
    """Return the lines of all files."""
    log_lines = []
    for path in paths:
        if path == STANDARD_INPUT:
            log_lines.extend(sys.stdin)
        else:
            text = pathlib.Path(path).read_text("utf-8", errors="replace")
            log_lines.extend(text.splitlines())
    return log_lines


async def _run(settings, entries, controls, discover, keep, write, follow, trace):
    async with capnp.kj_loop():
        missing = {}
        if discover:
            entries, controls, missing = await _discovered(settings, entries, controls)
        collector = Collector(
            [
                EntrySource(address, ca_file=settings.tls.trusted_ca_file)
                for address in entries
            ]
            + [ControlSource(settings, address) for address in controls]
        )
        try:
            await _show(collector, keep, write, follow, trace)
        finally:
            collector.close()
        return {**missing, **collector.unavailable}


async def _discovered(settings, entries, controls):
    instances = InstanceList(settings)
    listing = await instances.fetch()
    instances.close()
    if not listing:
        return entries, controls, {"instance list": listing.reason}
    entries = [
        *entries,
        *(member.entry_address for member in listing.members if member.entry_address),
    ]
    control_addresses = (
        member.control_address for member in listing.members if member.control_address
    )
    return entries, [*controls, *control_addresses], {}


async def _show(collector, keep, write, follow, trace):
    if follow:
        async for events in collector.follow():
            for event in filter(keep, events):
                write(event)
    events = list(filter(keep, await collector.collect()))
    if trace:
        _write_trace(trace, events)
        return
    for event in events:
        write(event)


def _write_trace(path, events):
    with open(path, "w", encoding="utf-8") as file:
        json.dump(export.trace(events), file)


def _print_line(event):
    typer.echo(export.format_event(event))


def _print_json(event):
    typer.echo(json.dumps(event.as_dict()))


def main():
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
