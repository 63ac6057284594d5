"""Applications' requests: outcomes, keys and at-most-once runs."""
