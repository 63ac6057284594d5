"""Development tasks, run by ``invoke`` (``make`` calls them)."""

import sys

from invoke import task

SUITE = "-s sassafrasdoor -t . -p 'test_*.py'"
WORKERS = 6


@task
def test(context, only=""):
    """Run the whole suite, module by module in parallel, or one test by name."""
    if only:
        context.run(f"{sys.executable} -m unittest -v {only}")
        return
    context.run(
        f"{sys.executable} -m unittest_parallel {SUITE} --level module -j {WORKERS}"
    )


@task
def lint(context):
    """Check style and format without changing a file."""
    context.run(f"{sys.executable} -m ruff check .")
    context.run(f"{sys.executable} -m ruff format --check .")


@task(name="format")
def reformat(context):
    """Bring every file into the project's format."""
    context.run(f"{sys.executable} -m ruff check --fix .")
    context.run(f"{sys.executable} -m ruff format .")
