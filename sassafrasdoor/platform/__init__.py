"""The users' platform: its wire, translated into the product's own types.

Nothing outside this folder imports it, and no name of that wire stands outside.
"""
