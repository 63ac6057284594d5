"""Durable steps, accepted, run and listed through records in the platform's log."""
