"""Weight versions and their rollout to backend servers."""
