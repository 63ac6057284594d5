"""A randomized soak: seeded faults on real processes, and promises checked meanwhile."""
