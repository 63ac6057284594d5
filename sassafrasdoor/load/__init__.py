"""Open-loop load generation on a running system, with a report."""
