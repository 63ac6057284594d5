"""The control process: agreed state, membership and orders."""
