"""Authenticated Cap'n Proto connections between processes of the service."""
