"""An instance's status page as tables to read."""

ABSENT = "-"
MEMBER = ("name", "state", "availability_zone", "incarnation")
BACKEND = (
    "name",
    "service",
    "state",
    "availability_zone",
    "versions",
    "load",
    "in_flight",
    "failures",
    "suspect",
    "report_age_seconds",
)
QUOTA = (
    "granted",
    "lapses_in_seconds",
    "fallback",
    "allowed",
    "in_use",
    "waiting",
    "wanted",
)


def status_line(seen):
    """Return the status page ``seen`` in one line."""
    leaving = ", leaving" if seen["leaving"] else ""
    age = seen["unconfirmed_seconds"]
    confirmed = "never confirmed" if age is None else f"confirmed {age} s ago"
    return (
        f"{seen['instance']}{leaving}: table revision {seen['revision']}, "
        f"{confirmed}; {len(seen['steps'])} steps, "
        f"{seen['requests']['in_progress']} requests in progress"
    )


def status_grids(seen):
    """Return ``(title, heads, rows)`` of each table of the status page ``seen``."""
    return [
        ("newest weights", ("model", "newest version"), list(seen["weights"].items())),
        ("members", MEMBER, _cells(seen["members"], MEMBER)),
        ("backend servers", BACKEND, _cells(seen["backends"], BACKEND)),
        ("quota and queues", ("row", *QUOTA), _quota(seen["quota"])),
    ]


def _quota(rows):
    cells = _cells(rows.values(), QUOTA)
    return [[name, *one] for name, one in zip(rows, cells, strict=True)]


def _cells(items, heads):
    return [[_cell(item.get(head)) for head in heads] for item in items]


def _cell(value):
    if isinstance(value, dict):
        value = ", ".join(f"{name}: {number}" for name, number in value.items())
    return ABSENT if value in (None, "") else value
