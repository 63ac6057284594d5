"""Detects an answer that goes on with the answer behind it.

Load pattern: a server cuts an answer off and sends another one on the same connection.
The second one continues the line, the header or the body at which the first one ends, and
by its length the whole looks like one answer. Only its own head shows that it begins.
"""

import re

from tornado.httputil import HTTPHeaders, HTTPInputError

MAX_HEAD_BYTES = 65536
# Of heads that are looked at in one piece of data.
MAX_HEADS = 1024
MAX_PARSED_BYTES = 4 * MAX_HEAD_BYTES
_MARK = b"HTTP/"
_FIELD = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]++:[\t\x20-\x7e\x80-\xff]*+\r?\n"
_REASON = (
    rb"[^\r\n/]*+(?:/(?!\d)[^\r\n/]*+)*+"  # ends where another status line may begin
)
# All that is well formed is matched, so that the search takes linear time.
_HEAD = re.compile(
    rb"HTTP/\d\.\d (\d{3})" + _REASON + rb"\r?\n((?:" + _FIELD + rb")++)"
)


def data_holds_answer(data, identify, following=b""):
    """Return whether the head of an answer that names its request begins in data.

    It may end in the bytes that are ``following``. ``identify(status, headers)`` returns
    the request id of an answer first, or None.
    """
    margin = len(_MARK) - 1
    if _MARK not in data and _MARK not in data[-margin:] + following[:margin]:
        return False
    if _holds_head(data, identify, len(data)):
        return True
    if not following:
        return False
    tail = data[-MAX_HEAD_BYTES:]
    return _holds_head(tail + following[:MAX_HEAD_BYTES], identify, len(tail))


def _holds_head(data, identify, end):
    """Return whether a head that names its request begins before ``end``."""
    unparsed = MAX_PARSED_BYTES
    for match, _ in zip(_HEAD.finditer(data), range(MAX_HEADS), strict=False):
        if match.start() >= end or unparsed <= 0:
            return False
        start, stop = match.span(2)
        fields = data[start : min(stop, start + MAX_HEAD_BYTES)]
        unparsed -= len(fields)
        if _names_request(int(match[1]), fields, identify):
            return True
    return False


def _names_request(status, fields, identify):
    try:
        headers = HTTPHeaders.parse(fields.decode("latin-1"))
    except HTTPInputError:
        return False
    return identify(status, headers)[0] is not None
