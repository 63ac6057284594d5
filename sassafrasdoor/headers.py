"""Hop-by-hop HTTP headers, which are not forwarded, and heads that were cut."""

import re

# Headers of a single connection (RFC 9110, section 7.6.1), and headers that are set
# again on each hop by the HTTP client or from the request's identity.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-request-id",
    }
)
STATUS_LINE = re.compile(r"HTTP/\d\.\d \d{3}", re.IGNORECASE)  # its first part


def holds_status_line(reason, headers):
    """Return whether a head has another answer's status line behind its own.

    An answer that is cut inside its head would lend its status to the next one, whose
    status line continues the cut line, and whose headers follow.
    """
    fields = [f"{name}: {value}" for name, value in headers.get_all()]
    return STATUS_LINE.search("\n".join([reason, *fields])) is not None
