"""Stand-ins for the platform and backend servers, for tests and the demo."""

import typer

from sassafrasdoor.standin import platform, proxy
from sassafrasdoor.tools import standin_backends

main = typer.Typer(no_args_is_help=True, add_completion=False, help=__doc__)


@main.callback()
def _group():
    """Keep the subcommand's name necessary, however few there are."""


main.command("platform")(platform.command)
main.command("engine")(standin_backends.engine)
main.command("service")(standin_backends.service)
main.command("proxy")(proxy.run)

if __name__ == "__main__":
    main()
