"""Adapters to backend servers: model engines and plain services."""
