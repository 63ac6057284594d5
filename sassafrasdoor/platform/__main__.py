"""The program on each instance of the users' platform.

Everything runs in one process: a second one would cost its memory again.
"""

import asyncio
import os
import sys

import typer

from sassafrasdoor import decisions
from sassafrasdoor.platform import settings
from sassafrasdoor.platform.process import Process

INVALID_SETTINGS = 2


def main(
    check: bool = typer.Option(False, help="Validate the settings only."),
    metrics_port: int = typer.Option(0, help="Port of the metrics page; 0: none."),
):
    """Serve callers, trainers and the directory until SIGTERM."""
    path = os.environ.get(settings.PATH_VARIABLE, "")
    found = settings.load(path)
    if not found:
        for finding in found.findings:
            print(finding, file=sys.stderr)
        raise typer.Exit(INVALID_SETTINGS)
    if check:
        return
    decisions.start(found.name)
    asyncio.run(Process(found, path, metrics_port).run())


if __name__ == "__main__":
    typer.run(main)
