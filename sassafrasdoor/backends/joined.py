"""Detects an answer that goes on with the answer behind it.

Load pattern: a server cuts an answer off and sends another one on the same connection.
The second one continues the line, the header or the body at which the first one ends, and
by its length the whole looks like one answer. Only its own head shows that it begins.
"""

import re

from tornado.httputil import HTTPHeaders, HTTPInputError

MAX_HEAD_BYTES = 65536
MAX_STATUS_LINES = 16  # looked at in one piece of data
_STATUS_LINE_BYTES = re.compile(rb"HTTP/\d\.\d (\d{3})[^\r\n]*\r?\n", re.IGNORECASE)
_HEAD_END = b"\r\n\r\n"


def data_holds_answer(data, identify, following=b""):
    """Return whether the head of an answer that names its request begins in data.

    It may end in the bytes that are ``following``. ``identify(status, headers)`` returns
    the request id of an answer first, or None.
    """
    joined = data + following
    if b"HTTP/" not in joined:
        return False
    matches = _STATUS_LINE_BYTES.finditer(joined)
    for match, _ in zip(matches, range(MAX_STATUS_LINES), strict=False):
        if match.start() >= len(data):
            return False
        fields = joined[match.end() : match.end() + MAX_HEAD_BYTES]
        fields, end, _ = fields.partition(_HEAD_END)
        if end and _names_request(int(match[1]), fields, identify):
            return True
    return False


def _names_request(status, fields, identify):
    try:
        headers = HTTPHeaders.parse(fields.decode("latin-1"))
    except HTTPInputError:
        return False
    return identify(status, headers)[0] is not None
