"""``sassafrasdoor-demo``: run the demo cluster and print its report."""

import asyncio
import json

import typer
from rich.console import Console
from rich.table import Table

from sassafrasdoor import demo
from sassafrasdoor.tools.options import VersionOption

app = typer.Typer(add_completion=True)


@app.command()
def run(
    as_json: bool = typer.Option(False, "--json", help="Print the report as JSON."),
    version: bool = VersionOption,
):
    """Run the demo. Exit codes: 0 all guarantees held, 1 one was violated."""
    console = Console(stderr=as_json)
    report = asyncio.run(demo.Demo(console.print).run())
    if as_json:
        typer.echo(json.dumps(report))
    else:
        _print(console, report)
    violations = demo.violated_guarantees(report)
    for violation in violations:
        console.print(f"[bold red]VIOLATED[/]: {violation}")
    if not violations:
        console.print("[bold green]every guarantee held[/]")
    raise typer.Exit(1 if violations else 0)


def _print(console, report):
    table = Table("figure", "value", title="sassafrasdoor demo")
    for name, value in report.items():
        text = value if isinstance(value, str) else json.dumps(value)
        table.add_row(name.replace("_", " "), text)
    console.print(table)


def main():
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
