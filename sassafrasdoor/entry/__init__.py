"""The entry process: the callers' HTTP server over all slices."""
