"""Shares, leased quota, bounded queues and refusal."""
