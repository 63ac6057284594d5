"""Following and appending to the platform's log; checkpoints."""
