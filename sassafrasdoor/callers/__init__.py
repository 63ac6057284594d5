"""Connections of callers: what is held for them, accepted, refused and closed."""
