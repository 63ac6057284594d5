"""``sassafrasdoor-control``: the control process of an entry instance."""

import asyncio

import typer

from sassafrasdoor.control import process
from sassafrasdoor.tools.options import CheckOption, SettingsOption, VersionOption, read

app = typer.Typer(add_completion=True)


@app.command()
def run(
    settings: str = SettingsOption,
    check: bool = CheckOption,
    version: bool = VersionOption,
):
    """Serve the entry process and peers until SIGTERM.

    Exit codes: 0 planned stop, 1 stop forced by a second signal, 2 usage, 3 a
    critical task failed.
    """
    asyncio.run(process.run(read(settings, check, has_listener=True)))


def main():
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
