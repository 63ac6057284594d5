"""Authenticated pycapnp connections between our processes."""
