"""The operators' table: rows, validation and the accepted revision."""
