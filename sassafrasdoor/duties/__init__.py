"""Duties of one instance at a time: calls to the platform under the lease."""
