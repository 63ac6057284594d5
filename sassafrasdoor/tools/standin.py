"""Stand-ins for the platform and backend servers, for tests and the demo."""

import typer

from sassafrasdoor.standin import platform

main = typer.Typer(no_args_is_help=True, add_completion=False, help=__doc__)


@main.callback()
def _group():
    """Keep the subcommand's name necessary, however few there are."""


main.command("platform")(platform.command)

if __name__ == "__main__":
    main()
