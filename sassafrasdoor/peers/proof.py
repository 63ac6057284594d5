"""Mutual authentication of one connection by peer keys.

Each end sends a fresh nonce, so that a recorded proof is not valid on any other
connection. Without keys in the settings every proof is valid (an open system, for
closed networks only). The bytes after the proof are neither signed nor encrypted.
"""

import os

from sassafrasdoor import security

NONCE_BYTES = 16
MAC_BYTES = 16
SERVER_ROLE = b"server"
CLIENT_ROLE = b"client"


def new_nonce():
    """Return random bytes that no connection has used before."""
    return os.urandom(NONCE_BYTES)


def prove_server(keys, client_nonce, server_nonce):
    """Return the server's MACs."""
    return sign_with_all(keys, SERVER_ROLE + client_nonce + server_nonce)


def prove_client(keys, server_nonce, caller, stamp):
    """Return the client's MACs."""
    return sign_with_all(keys, _client_payload(server_nonce, caller, stamp))


def verify_server(keys, client_nonce, server_nonce, mac):
    """Say whether the server proved one of the valid keys."""
    return is_signed(keys, SERVER_ROLE + client_nonce + server_nonce, bytes(mac))


def verify_client(keys, server_nonce, caller, stamp, mac):
    """Say whether the client proved one of the valid keys."""
    return is_signed(keys, _client_payload(server_nonce, caller, stamp), bytes(mac))


def _client_payload(server_nonce, caller, stamp):
    return CLIENT_ROLE + server_nonce + stamp.to_bytes(8, "big") + caller.encode()


def sign_with_all(keys, payload):
    """Return the concatenated MACs of ``payload`` under all keys (at most two).

    During a key rotation some instances have only the old key and some have both:
    with a MAC of one key only they would refuse each other.
    """
    return b"".join(security.sign(key, payload) for key in keys)


def is_signed(keys, payload, macs):
    """Say whether one of ``macs`` is valid under one of ``keys``."""
    if not keys:
        return True
    parts = (macs[at : at + MAC_BYTES] for at in range(0, len(macs), MAC_BYTES))
    return len(macs) <= 2 * MAC_BYTES and any(
        security.signed_by_any(keys, payload, part) for part in parts
    )
