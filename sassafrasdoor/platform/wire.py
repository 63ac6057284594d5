"""Header names of the platform's wire, and what is never passed on."""

from sassafrasdoor.headers import HOP_BY_HOP_HEADERS

REQUEST_ID = "Sassafrasdoor-Request-Id"
DEADLINE = "Sassafrasdoor-Deadline-Ms"
EXPECT_INSTANCE = "Sassafrasdoor-Expect-Instance"
INSTANCE_ID = "Sassafrasdoor-Instance-Id"
STAMP = "Sassafrasdoor-Server-Stamp"
NOT_RUN = "Sassafrasdoor-Not-Run"
LOAD = "Sassafrasdoor-Server-Load"
VERSIONS = "Sassafrasdoor-Weight-Versions"
WAIT = "Sassafrasdoor-Wait-Ms"
LENGTH_HINT = "Sassafrasdoor-Length-Hint"
LAST_EVENT = "Last-Event-Id"
JSON_TYPE = "application/json"

MISDIRECTED = 421

_SET_ANEW = {name.lower() for name in (DEADLINE, EXPECT_INSTANCE)}
NOT_SENT_ON = (HOP_BY_HOP_HEADERS | _SET_ANEW) - {"host", "x-request-id"}
NOT_SENT_BACK = HOP_BY_HOP_HEADERS - {"x-request-id"}


def header_pairs(headers, left_out):
    """Return the ``(name, value)`` pairs of headers but for those left out.

    Headers that ``Connection`` names concern that connection only.
    """
    named = {name.strip().lower() for name in headers.get("Connection", "").split(",")}
    return [
        (name, value)
        for name, value in headers.get_all()
        if name.lower() not in left_out and name.lower() not in named
    ]
