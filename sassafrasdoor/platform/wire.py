"""Header names of the platform's protocol, and the headers that are not forwarded."""

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

_REPLACED_PER_HOP = {name.lower() for name in (DEADLINE, EXPECT_INSTANCE)}
DROPPED_FROM_REQUEST = (HOP_BY_HOP_HEADERS | _REPLACED_PER_HOP) - {
    "host",
    "x-request-id",
}
DROPPED_FROM_ANSWER = HOP_BY_HOP_HEADERS - {"x-request-id"}


def header_pairs(headers, excluded):
    """Return the ``(name, value)`` pairs of headers without the ``excluded`` names.

    Headers listed in ``Connection`` apply to a single connection and are left out too.
    """
    connection_headers = {
        name.strip().lower() for name in headers.get("Connection", "").split(",")
    }
    return [
        (name, value)
        for name, value in headers.get_all()
        if name.lower() not in excluded and name.lower() not in connection_headers
    ]
