"""Stand-ins for the platform and backend servers, for tests and the demo.

Exit codes: 0 planned stop, 1 stop forced by a second signal, 2 usage.
"""

import typer

from sassafrasdoor.standin import platform, proxy
from sassafrasdoor.tools import standin_backends
from sassafrasdoor.tools.options import VersionOption

main = typer.Typer(no_args_is_help=True, add_completion=False, help=__doc__)


@main.callback()
def _group(version: bool = VersionOption):
    """Make typer require a subcommand, whatever their number."""


main.command("platform")(platform.command)
main.command("engine")(standin_backends.engine)
main.command("service")(standin_backends.service)
main.command("proxy")(proxy.run)

if __name__ == "__main__":
    main()
