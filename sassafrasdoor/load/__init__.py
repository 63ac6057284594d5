"""Open-loop load on a running system, and its report."""
