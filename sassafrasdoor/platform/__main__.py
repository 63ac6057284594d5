"""The program that runs on each instance of the users' platform.

Everything runs in one process; a second one would need as much memory again.
"""

# The other programs use typer, which imports pydantic to run a command. That takes a
# quarter of the start-up time, for which callers find no instance after all have died.
import argparse
import os
import sys

from sassafrasdoor import decisions
from sassafrasdoor.platform import settings
from sassafrasdoor.platform.process import Process
from sassafrasdoor.stopping import run_and_exit

INVALID_SETTINGS = 2


def main(arguments=None):
    """Serve callers, trainers and the directory until SIGTERM; return the exit code."""
    options = _parser().parse_args(arguments)
    path = os.environ.get(settings.PATH_VARIABLE, "")
    loaded = settings.load(path)
    if not loaded:
        for finding in loaded.findings:
            print(finding, file=sys.stderr)
        return INVALID_SETTINGS
    loaded.disabled_parts = frozenset(options.disable)
    loaded.has_load_control |= options.load_control
    if not options.check:
        decisions.start(loaded.name)
        run_and_exit(Process(loaded, path, options.metrics_port).run())
    return 0


def _parser():
    parser = argparse.ArgumentParser(
        prog="python3 -m sassafrasdoor.platform", description=main.__doc__
    )
    parser.add_argument("--check", action="store_true", help="check the settings only")
    parser.add_argument(
        "--metrics-port", type=int, default=0, help="port of the metrics page; 0: none"
    )
    parser.add_argument(
        "--load-control",
        action="store_true",
        help="handle heavy load for all services, whatever their replicas report",
    )
    parser.add_argument(
        "--disable",
        action="append",
        default=[],
        choices=settings.PARTS,
        help="switch off a part of the handling of hard load; may be repeated",
    )
    return parser


if __name__ == "__main__":
    sys.exit(main())
