"""``sassafrasdoor-entry``: serve callers on an entry instance."""

import asyncio

import typer

from sassafrasdoor.entry import process
from sassafrasdoor.tools.options import CheckOption, SettingsOption, VersionOption, read

app = typer.Typer(add_completion=True)


@app.command()
def run(
    settings: str = SettingsOption,
    control: str = typer.Option(
        "", help="The control process of this instance, host:port."
    ),
    check: bool = CheckOption,
    version: bool = VersionOption,
):
    """Serve callers until SIGTERM.

    Exit codes: 0 planned stop, 1 stop forced by a second signal, 2 usage, 3 a
    critical task failed.
    """
    checked = read(settings, check, has_listener=True)
    default_control = f"{checked.instance.host}:{checked.instance.control_port}"
    asyncio.run(process.run(checked, control or default_control))


def main():
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
