"""Adapter for the users' platform: translates its protocol into the product's types.

Nothing outside this folder imports it or contains names of that protocol.
"""
