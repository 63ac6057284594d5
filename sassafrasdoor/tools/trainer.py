"""``sassafrasdoor-trainer``: submit a training step and print its report."""

import asyncio
import json
import pathlib
from typing import Annotated

import typer
from rich.console import Console
from rich.table import Table

from sassafrasdoor.steps.client import Trainer
from sassafrasdoor.steps.spec import StepSpec, parse_input
from sassafrasdoor.tools.options import USAGE_ERROR, CaFileOption, VersionOption

MAX_PROMPTS_CHARS = 64_000_000
MAX_DEADLINE = 24 * 3600  # seconds

app = typer.Typer(add_completion=False)


@app.command()
def run(
    prompts: Annotated[
        str, typer.Argument(help="JSON file: a list of prompts, or of groups.")
    ],
    address: Annotated[list[str], typer.Option(help="Any instance, host:port.")],
    row: Annotated[str, typer.Option(help="The trainer's row.")],
    key: Annotated[
        str, typer.Option(envvar="SASSAFRASDOOR_KEY", help="The row's key.")
    ],
    step: Annotated[str, typer.Option(help="Name of the step.")] = "step-1",
    samples: Annotated[int, typer.Option(help="Samples per group.")] = 8,
    max_tokens: Annotated[int, typer.Option(help="Most tokens of a sample.")] = 256,
    deadline: Annotated[float, typer.Option(help="Seconds for the step.")] = 600.0,
    newest_version: Annotated[int, typer.Option(help="Newest weights version.")] = 0,
    zone: Annotated[str, typer.Option(help="Availability zone.")] = "",
    seed: Annotated[int, typer.Option()] = 0,
    output: Annotated[str, typer.Option(help="Write samples, one per line.")] = "",
    as_json: Annotated[bool, typer.Option("--json", help="Report as JSON.")] = False,
    ca_file: str = CaFileOption,
    version: bool = VersionOption,
):
    """Submit the prompts as one step, iterate its samples, print the report.

    Exit codes: 0 all samples delivered, 1 the step ended early, 2 usage.
    """
    if not 0 < deadline <= MAX_DEADLINE:
        raise typer.BadParameter(f"--deadline: not within 0..{MAX_DEADLINE} seconds")
    document = {
        "step": step,
        "groups": [_group(entry) for entry in _read(prompts)],
        "samples_per_group": samples,
        "max_tokens": max_tokens,
        "deadline_ms": int(deadline * 1000),
        "seed": seed,
    }
    _check(document)
    trainer = {"row": row, "key": key, "zone": zone, "ca_file": ca_file}
    trainer["newest_version"] = newest_version
    finished_step, lines = asyncio.run(_collect(address, trainer, document))
    if output:
        pathlib.Path(output).write_text("".join(lines), "utf-8")
    _print(finished_step, as_json)
    raise typer.Exit(0 if finished_step.complete else 1)


def _read(path):
    try:
        with open(path, encoding="utf-8") as file:
            entries = json.loads(file.read(MAX_PROMPTS_CHARS))
    except (OSError, ValueError, RecursionError) as error:
        raise typer.BadParameter(f"{path}: {error}") from error
    if not isinstance(entries, list) or not all(map(_is_group, entries)):
        raise typer.BadParameter(f"{path}: not a list of strings or objects")
    return entries


def _is_group(entry):
    return isinstance(entry, (str, dict))


def _group(entry):
    """Return the group of an entry: its prompt alone, or with its reward call."""
    return {"prompt": entry} if isinstance(entry, str) else entry


def _check(document):
    spec = parse_input(StepSpec, json.dumps({**document, "attach": 1}).encode())
    if not spec:
        for finding in spec.findings:
            typer.echo(str(finding), err=True)
        raise typer.Exit(USAGE_ERROR)


async def _collect(addresses, options, document):
    trainer = Trainer(addresses, **options)
    lines = []
    try:
        step = trainer.run(document)
        async for sample in step.samples():
            lines.append(json.dumps(sample) + "\n")
    finally:
        trainer.close()
    return step, lines


def _print(step, as_json):
    report = {"complete": step.complete, **step.report.as_dict()}
    if step.failure is not None:
        report["failure"] = step.failure.reason
        report["findings"] = [
            str(finding) for finding in getattr(step.failure, "findings", ())
        ]
    if as_json:
        print(json.dumps(report))
        return
    table = Table("figure", "value")
    for name, value in report.items():
        table.add_row(name, json.dumps(value))
    Console().print(table)


def main():
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
