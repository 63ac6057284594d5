"""A randomized soak test: injects seeded faults and checks the service's guarantees."""
