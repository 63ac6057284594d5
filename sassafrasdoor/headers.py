"""HTTP headers that no hop passes on."""

# Those of one connection (RFC 9110, section 7.6.1), and those that our own HTTP
# client and the request's identity set anew.
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
