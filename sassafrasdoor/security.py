"""Hashes of callers' keys, signatures by peers' keys, and TLS contexts."""

import hashlib
import hmac
import ssl

from sassafrasdoor.outcomes import Finding


def key_hash(key):
    """Return the SHA-256 of a caller's key in hex, as stored in the table."""
    return hashlib.sha256(key.encode()).hexdigest()


def key_matches(key, hashes):
    """Return whether the hash of ``key`` is one of ``hashes``."""
    presented = key_hash(key)
    return any(hmac.compare_digest(presented, known) for known in hashes)


def sign(key, payload):
    """Return the 16-byte MAC of ``payload`` (bytes) under a peer key (str)."""
    return hmac.digest(key.encode(), payload, "sha256")[:16]


def signed_by_any(keys, payload, mac):
    """Return whether ``mac`` is valid under one of the current peer keys.

    Two keys are valid while operators rotate them.
    """
    return any(hmac.compare_digest(sign(key, payload), mac) for key in keys)


def server_context(tls):
    """Return the TLS context of a listener, or None if TLS is not configured."""
    if not tls.certificate:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate, tls.private_key)
    return context


def tls_findings(tls):
    """Return the findings for the files named in the ``tls`` settings."""
    paths = {
        "tls.certificate": tls.certificate,
        "tls.private_key": tls.private_key,
        "tls.ca_certificate": tls.ca_certificate,
    }
    findings = [
        Finding(place, _read_error(path)) for place, path in paths.items() if path
    ]
    findings = [finding for finding in findings if finding.reason]
    if bool(tls.certificate) != bool(tls.private_key):
        missing = "private_key" if tls.certificate else "certificate"
        findings.append(Finding(f"tls.{missing}", "missing: the other TLS file is set"))
    if findings:
        return findings
    try:
        server_context(tls)
    except (ssl.SSLError, ValueError) as error:
        reason = getattr(error, "reason", None) or "invalid file"
        findings.append(
            Finding("tls.private_key", f"unusable with the certificate: {reason}")
        )
    return findings


def _read_error(path):
    try:
        with open(path, "rb"):
            return ""
    except (OSError, ValueError) as error:
        return getattr(error, "strerror", None) or "invalid path"
