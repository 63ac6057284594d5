"""Options shared by the programs, and the reading of settings files."""

import typer

from sassafrasdoor import __version__, settings

USAGE_ERROR = 2


def _print_version(is_requested):
    if is_requested:
        typer.echo(__version__)
        raise typer.Exit


SettingsOption = typer.Option(..., "--settings", help="The JSON settings file.")
CheckOption = typer.Option(False, "--check", help="Check the settings and exit.")
CaFileOption = typer.Option(
    "", "--ca-file", help="PEM file of the instances' CA; enables TLS."
)
VersionOption = typer.Option(
    False,
    "--version",
    is_eager=True,
    callback=_print_version,
    help="Print the version.",
)


def read(path, check, has_listener=False):
    """Return the settings at ``path``; exit with all findings if there are any.

    With ``has_listener`` the files that a listener needs are checked too.
    """
    loaded = settings.load(path, has_listener)
    if not loaded:
        typer.echo(f"{path}: {loaded.reason}", err=True)
        for finding in loaded.findings:
            typer.echo(f"  {finding}", err=True)
        raise typer.Exit(USAGE_ERROR)
    if check:
        typer.echo(f"{path}: settings are valid")
        raise typer.Exit
    return loaded
