"""Refusals of requests that have not run and never will."""

RETRY_AFTER = 0.5  # seconds, in which most bodies and answers in progress end
# Of a connection for which there is no room; sent before its request is known.
NO_ROOM = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: %g\r\nContent-Length: 0\r\n"
    b"Connection: close\r\n\r\n" % RETRY_AFTER
)


class Refusal:
    """A request's final answer: ``status`` and ``reason``.

    ``counted_as`` names it in metrics. If ``ends_connection``, the rest of the request is
    not waited for.
    """

    __slots__ = ("counted_as", "ends_connection", "reason", "status")

    def __init__(self, status, counted_as, reason, ends_connection=False):
        self.status = status
        self.counted_as = counted_as
        self.reason = reason
        self.ends_connection = ends_connection

    @property
    def may_be_repeated(self):
        """Whether the same request may be accepted later."""
        return self.status == 503


BODY_REFUSED = Refusal(
    503, "body", "the body does not fit into the memory for requests"
)
BODY_TOO_LONG = Refusal(413, "too_long", "the body is longer than the limit", True)
YIELDED = Refusal(
    503, "stalled", "the request made no progress while memory ran out", True
)


def text_refusal(refusal):
    """Return the further headers and the body of a refusal in plain text."""
    return {}, f"{refusal.reason}\n".encode()
