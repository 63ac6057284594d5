"""The report of a load: a JSON summary, tables for the terminal, plots."""

import json
import pathlib

from rich.table import Table

PERCENTILES = (50, 90, 99, 99.9)
MICROSECONDS_PER_MS = 1000
PLOT_PERCENTILES = (50, 75, 90, 95, 99, 99.5, 99.9, 99.99)


def summary(callers, trainers, duration):
    """Return the complete result as a JSON-serializable mapping."""
    return {
        "duration_seconds": duration,
        "callers": [_caller_summary(result, duration) for result in callers],
        "trainers": trainers,
    }


def _caller_summary(result, duration):
    answered = result.outcomes["answered"]
    return {
        "row": result.row,
        "outcomes": dict(sorted(result.outcomes.items())),
        "late": result.late,
        "goodput_per_second": round((answered - result.late) / duration, 2),
        "latency_ms": {
            f"p{percentile:g}": _percentile_milliseconds(result.histogram, percentile)
            for percentile in PERCENTILES
        },
    }


def _percentile_milliseconds(histogram, percentile):
    return histogram.get_value_at_percentile(percentile) / MICROSECONDS_PER_MS


def caller_table(document):
    """Return the callers of a summary as a terminal table."""
    table = Table(title="Applications")
    for heading in ("row", "outcomes", "late", "goodput/s", "p50 ms", "p99 ms"):
        table.add_column(heading)
    for row in document["callers"]:
        outcomes = ", ".join(
            f"{name} {count}" for name, count in row["outcomes"].items()
        )
        latency = row["latency_ms"]
        values = (
            row["late"],
            row["goodput_per_second"],
            latency["p50"],
            latency["p99"],
        )
        table.add_row(row["row"], outcomes, *[str(value) for value in values])
    return table


def trainer_table(document):
    """Return the trainers of a summary as a terminal table."""
    table = Table(title="Trainers")
    columns = ("row", "steps", "samples", "duplicates", "missing")
    columns += ("idle_seconds", "largest_staleness", "regenerated")
    for name in columns:
        table.add_column(name.replace("_", " "))
    for row in document["trainers"]:
        table.add_row(*[str(row.get(name, "")) for name in columns])
    return table


def write(document, callers, folder):
    """Write ``report.json`` and the plots into ``folder``; return the paths."""
    folder = pathlib.Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    report = folder / "report.json"
    report.write_text(json.dumps(document, indent=2) + "\n", "utf-8")
    return [report, *_plots(callers, folder)]


def _plots(callers, folder):
    if not callers:
        return []
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (latency, goodput) = pyplot.subplots(1, 2, figsize=(11, 4))
    for result in callers:
        points = [
            _percentile_milliseconds(result.histogram, percentile)
            for percentile in PLOT_PERCENTILES
        ]
        labels = [f"{percentile:g}" for percentile in PLOT_PERCENTILES]
        latency.plot(labels, points, marker=".", label=result.row)
        if result.answered_at:
            first = min(result.answered_at)
            seconds = [int(at - first) for at in result.answered_at]
            counts = [seconds.count(second) for second in range(max(seconds) + 1)]
            goodput.plot(counts, label=result.row)
    latency.set(xlabel="percentile", ylabel="ms from arrival", title="latency")
    goodput.set(xlabel="second", ylabel="answers", title="answered per second")
    latency.legend()
    figure.tight_layout()
    path = folder / "callers.png"
    figure.savefig(path)
    pyplot.close(figure)
    return [path]
