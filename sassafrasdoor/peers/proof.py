"""Proof of a peer key on one connection, in both directions.

Each end sends a nonce that it never used before, so that a recorded proof is
worth nothing on another connection. With no keys in the settings every proof
holds (an open system, for a closed network only). The bytes after the proof are
neither signed nor encrypted.
"""

import os

from sassafrasdoor import security

NONCE_SIZE = 16
MAC_SIZE = 16
SERVER = b"server"
CLIENT = b"client"


def nonce():
    """Return bytes that no connection used before."""
    return os.urandom(NONCE_SIZE)


def prove_server(keys, client_nonce, server_nonce):
    """Return the server's MACs."""
    return seal(keys, SERVER + client_nonce + server_nonce)


def prove_client(keys, server_nonce, caller, stamp):
    """Return the client's MACs."""
    return seal(keys, _claim(server_nonce, caller, stamp))


def server_proved(keys, client_nonce, server_nonce, mac):
    """Say whether the server showed one of the keys now valid."""
    return sealed(keys, SERVER + client_nonce + server_nonce, bytes(mac))


def client_proved(keys, server_nonce, caller, stamp, mac):
    """Say whether the client showed one of the keys now valid."""
    return sealed(keys, _claim(server_nonce, caller, stamp), bytes(mac))


def _claim(server_nonce, caller, stamp):
    return CLIENT + server_nonce + stamp.to_bytes(8, "big") + caller.encode()


def seal(keys, payload):
    """Return the MACs of ``payload`` under all keys (at most two), joined.

    While a key is being replaced, some instances hold the old key only and some
    both: signed with one key alone, these would refuse each other.
    """
    return b"".join(security.sign(key, payload) for key in keys)


def sealed(keys, payload, macs):
    """Say whether one of ``macs`` is right under one of ``keys``."""
    if not keys:
        return True
    parts = (macs[at : at + MAC_SIZE] for at in range(0, len(macs), MAC_SIZE))
    return len(macs) <= 2 * MAC_SIZE and any(
        security.signed_by_any(keys, payload, part) for part in parts
    )
