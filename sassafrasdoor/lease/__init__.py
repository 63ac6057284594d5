"""Leases judged by log order, with fencing numbers."""
