"""Hop-by-hop HTTP headers, which are not forwarded."""

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
