"""Requests of callers: outcomes, keys, at-most-once runs and crash quarantine."""
