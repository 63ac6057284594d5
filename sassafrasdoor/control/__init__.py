"""The control process: agreed state, membership, quota and weights rollout."""
