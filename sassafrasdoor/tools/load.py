"""``sassafrasdoor-load``: open-loop load on a running system, with a report."""

import asyncio
import json

import typer
from rich.console import Console

from sassafrasdoor import deployments
from sassafrasdoor.load import profile as profiles, report, run as runs
from sassafrasdoor.tools.options import USAGE_ERROR, CaFileOption, VersionOption

app = typer.Typer(add_completion=True)


@app.command()
def run(
    profile: str = typer.Option("", help="The JSON profile of the load."),
    address: list[str] = typer.Option([], help="An entry instance, host:port."),
    deployment: str = typer.Option(
        "", help="A deployment's folder: start its stand-ins and run its load."
    ),
    ca_file: str = CaFileOption,
    out: str = typer.Option("", help="A folder for report.json and the plots."),
    as_json: bool = typer.Option(False, "--json", help="Print the summary as JSON."),
    check: bool = typer.Option(False, "--check", help="Check the profile and exit."),
    version: bool = VersionOption,
):
    """Run a load. Exit codes: 0 done, 2 usage or an invalid profile."""
    console = Console(stderr=as_json)
    if deployment:
        checked = _valid_or_exit(deployment, deployments.read(deployment), check)
        callers, document = asyncio.run(deployments.run(checked, console.print))
    else:
        checked = _valid_or_exit(profile, profiles.load(profile), check)
        if not address:
            raise typer.BadParameter("give --address or --deployment")
        callers, document = asyncio.run(runs.run(checked, address, ca_file))
    if out:
        report.write(document, callers, out)
    if as_json:
        typer.echo(json.dumps(document))
        return
    console.print(report.caller_table(document))
    console.print(report.trainer_table(document))


def _valid_or_exit(path, loaded, check):
    if not loaded:
        for finding in loaded.findings:
            typer.echo(f"{path}: {finding}", err=True)
        raise typer.Exit(USAGE_ERROR)
    if check:
        typer.echo(f"{path}: valid")
        raise typer.Exit
    return loaded


def main():
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
