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
    """Serve the entry and its peers until SIGTERM.

    Exit codes: 0 ended well, 1 ended at once, 2 usage, 3 a task of its own failed.
    """
    asyncio.run(process.run(read(settings, check, has_listener=True)))


def main():
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
