"""Training steps: samples, delivery token, staleness, stragglers."""
