"""Differences between two tables, row by row, with the change in shares."""

from sassafrasdoor.admission.shares import fractional_shares

IGNORED_COLUMNS = {"name"}


class Change:
    """A row that differs.

    ``fields`` maps a column to its ``(old, new)`` values; for a row added or
    removed one side is None throughout. ``old_share`` and ``new_share`` are fractions
    (0..1) of the service's capacity when every row demands its limit.
    """

    __slots__ = ("fields", "name", "new_share", "old_share")

    def __init__(self, name, fields, old_share, new_share):
        self.name = name
        self.fields = fields
        self.old_share = old_share
        self.new_share = new_share

    def as_document(self):
        """Return the change as a JSON-ready mapping."""
        return {name: getattr(self, name) for name in self.__slots__}


def changes(old, new):
    """Return the ``Change``s from the table ``old`` (or None) to ``new``.

    Includes rows whose cells are equal but whose share changes because of other rows.
    """
    before, after = _rows_by_name(old), _rows_by_name(new)
    old_shares, new_shares = (
        shares_under_full_demand(old),
        shares_under_full_demand(new),
    )
    differences = []
    for name in dict.fromkeys([*before, *after]):
        fields = _changed_fields(before.get(name), after.get(name))
        shares = (old_shares.get(name, 0.0), new_shares.get(name, 0.0))
        if fields or abs(shares[0] - shares[1]) > 1e-9:
            differences.append(Change(name, fields, *shares))
    return differences


def shares_under_full_demand(table):
    """Return ``{row name: share}`` per service when all rows demand their limit."""
    shares = {}
    rows = table.rows if table else []
    for service in {row.service for row in rows}:
        service_rows = [row for row in rows if row.service == service]
        limits = {row.name: row.limit for row in service_rows}
        shares.update(fractional_shares(service_rows, limits, 1.0))
    return shares


def _rows_by_name(table):
    return {row.name: row for row in table.rows} if table else {}


def _changed_fields(old, new):
    before = old.model_dump(mode="json") if old else {}
    after = new.model_dump(mode="json") if new else {}
    return {
        name: (before.get(name), after.get(name))
        for name in dict.fromkeys([*before, *after])
        if name not in IGNORED_COLUMNS and before.get(name) != after.get(name)
    }
