"""The timeline of events of all processes."""
