"""Choosing a backend server, and discovery answers for callers."""
