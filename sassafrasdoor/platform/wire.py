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
TOKEN_COUNT = "Sassafrasdoor-Token-Count"
PROMPT_PREFIX = "Sassafrasdoor-Prompt-Prefix"
PRIORITY = "Sassafrasdoor-Request-Priority"
ACCOUNT = "Sassafrasdoor-Tenant"
AUTHORIZATION = "Authorization"
HOLDER = "Sassafrasdoor-Duty-Holder"
FENCE = "Sassafrasdoor-Fence-Token"
LAST_EVENT = "Last-Event-Id"
JSON_TYPE = "application/json"

MISDIRECTED = 421

_REPLACED_PER_HOP = {name.lower() for name in (DEADLINE, EXPECT_INSTANCE, ACCOUNT)}
DROPPED_FROM_REQUEST = (HOP_BY_HOP_HEADERS | _REPLACED_PER_HOP) - {
    "host",
    "x-request-id",
}
# Where requests carry keys of client accounts, no replica may see one.
DROPPED_WITH_KEYS = DROPPED_FROM_REQUEST | {AUTHORIZATION.lower()}
DROPPED_FROM_ITEM = {ACCOUNT.lower(), AUTHORIZATION.lower()}
_BEARER = "bearer"
DROPPED_FROM_ANSWER = HOP_BY_HOP_HEADERS - {"x-request-id"}


def bearer_key(headers):
    """Return the key of a client account in a request's headers, or None."""
    scheme, _, key = headers.get(AUTHORIZATION, "").strip().partition(" ")
    return key.strip() or None if scheme.lower() == _BEARER else None


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
