"""Formats an instance's status page as a line and tables."""

ABSENT = "-"
MEMBER_COLUMNS = ("name", "state", "availability_zone", "incarnation")
BACKEND_COLUMNS = (
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
QUOTA_COLUMNS = (
    "granted",
    "lapses_in_seconds",
    "fallback",
    "allowed",
    "in_use",
    "waiting",
    "wanted",
)


def status_line(status_page):
    """Return a summary of a status page in one line."""
    leaving = ", leaving" if status_page["leaving"] else ""
    age = status_page["unconfirmed_seconds"]
    confirmed = "never confirmed" if age is None else f"confirmed {age} s ago"
    return (
        f"{status_page['instance']}{leaving}: table revision {status_page['revision']}, "
        f"{confirmed}; {len(status_page['steps'])} steps, "
        f"{status_page['requests']['in_progress']} requests in progress"
    )


def status_grids(status_page):
    """Return ``(title, columns, rows)`` of each table of a status page."""
    return [
        (
            "newest weights",
            ("model", "newest version"),
            list(status_page["weights"].items()),
        ),
        ("members", MEMBER_COLUMNS, _rows(status_page["members"], MEMBER_COLUMNS)),
        (
            "backend servers",
            BACKEND_COLUMNS,
            _rows(status_page["backends"], BACKEND_COLUMNS),
        ),
        (
            "quota and queues",
            ("row", *QUOTA_COLUMNS),
            _quota_rows(status_page["quota"]),
        ),
    ]


def _quota_rows(rows):
    cells = _rows(rows.values(), QUOTA_COLUMNS)
    return [[name, *values] for name, values in zip(rows, cells, strict=True)]


def _rows(items, columns):
    return [[_cell_text(item.get(column)) for column in columns] for item in items]


def _cell_text(value):
    if isinstance(value, dict):
        value = ", ".join(f"{name}: {number}" for name, number in value.items())
    return ABSENT if value in (None, "") else value
