"""Options that every program has: ``--settings``, ``--check``, ``--version``."""

import typer

from sassafrasdoor import __version__, settings

USAGE_ERROR = 2


def _print_version(is_requested):
    if is_requested:
        typer.echo(__version__)
        raise typer.Exit


SettingsOption = typer.Option(..., "--settings", help="The JSON settings file.")
CheckOption = typer.Option(False, "--check", help="Check the settings and end.")
CaFileOption = typer.Option(
    "", "--ca-file", help="PEM file of the instances' CA: call them over TLS."
)
VersionOption = typer.Option(
    False, "--version", is_eager=True, callback=_print_version, help="Say the version."
)


def read(path, check, has_listener=False):
    """Return the settings at ``path``; end with all findings if it has any.

    A daemon ``listens``: the files that its listener needs must be there.
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
