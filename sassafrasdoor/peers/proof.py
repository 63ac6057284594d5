"""Proof of a peer key on one connection, in both directions.

Each end sends a nonce that it never used before, so that a recorded proof is
worth nothing on another connection. With no keys in the settings every proof
holds (an open system, for a closed network only). The bytes after the proof are
neither signed nor encrypted.
"""

import os

from sassafrasdoor import security

NONCE_BYTES = 16
MAC_BYTES = 16
SERVER_ROLE = b"server"
CLIENT_ROLE = b"client"


def new_nonce():
    """Return bytes that no connection used before."""
    return os.urandom(NONCE_BYTES)


def prove_server(keys, client_nonce, server_nonce):
    """Return the server's MACs."""
    return sign_with_all(keys, SERVER_ROLE + client_nonce + server_nonce)


def prove_client(keys, server_nonce, caller, stamp):
    """Return the client's MACs."""
    return sign_with_all(keys, _client_payload(server_nonce, caller, stamp))


def verify_server(keys, client_nonce, server_nonce, mac):
    """Say whether the server showed one of the keys now valid."""
    return is_signed(keys, SERVER_ROLE + client_nonce + server_nonce, bytes(mac))


def verify_client(keys, server_nonce, caller, stamp, mac):
    """Say whether the client showed one of the keys now valid."""
    return is_signed(keys, _client_payload(server_nonce, caller, stamp), bytes(mac))


def _client_payload(server_nonce, caller, stamp):
    return CLIENT_ROLE + server_nonce + stamp.to_bytes(8, "big") + caller.encode()


def sign_with_all(keys, payload):
    """Return the MACs of ``payload`` under all keys (at most two), joined.

    While a key is being replaced, some instances hold the old key only and some
    both: signed with one key alone, these would refuse each other.
    """
    return b"".join(security.sign(key, payload) for key in keys)


def is_signed(keys, payload, macs):
    """Say whether one of ``macs`` is right under one of ``keys``."""
    if not keys:
        return True
    parts = (macs[at : at + MAC_BYTES] for at in range(0, len(macs), MAC_BYTES))
    return len(macs) <= 2 * MAC_BYTES and any(
        security.signed_by_any(keys, payload, part) for part in parts
    )
