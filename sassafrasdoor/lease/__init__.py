"""Leases decided by log order, with fencing numbers."""
