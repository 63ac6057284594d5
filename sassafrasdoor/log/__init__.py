"""Access to the platform's log: adapters, followers and checkpoints."""
