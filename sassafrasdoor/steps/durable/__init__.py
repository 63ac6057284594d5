"""Durable steps: accepted, run and listed through records of the platform's log."""
