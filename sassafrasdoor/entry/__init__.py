"""The entry process: the callers' HTTP server."""
