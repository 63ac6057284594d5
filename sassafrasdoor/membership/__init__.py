"""Gossip membership: which instances are alive, suspect or leaving (advisory only)."""
