"""Detects an answer that goes on with the answer behind it.

Load pattern: a server cuts an answer off and sends another one on the same connection.
The second one continues the line, the header or the body at which the first one ends, and
by its length the whole looks like one answer. Only its own head shows that it begins.
"""

import re

from tornado.httputil import HTTPHeaders, HTTPInputError

from sassafrasdoor.answer_heads import MAX_HEAD_BYTES

MAX_STATUS_LINE_BYTES = 256
# Of heads that are looked at in one piece of data.
MAX_HEADS = 1024
MAX_PARSED_BYTES = 4 * MAX_HEAD_BYTES
_MARK = b"HTTP/"
_MARGIN = len(_MARK) - 1
# Ends where another status line may begin.
_REASON = rb"[^\r\n/]*+(?:/(?!\d)[^\r\n/]*+)*+"
_NAME = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]++"
_VALUE = rb":[\t\x20-\x7e\x80-\xff]*+"
_FIELDS = rb"(?:" + _NAME + _VALUE + rb"\r?\n)++"
_CUT_FIELD = _NAME + rb"(?:" + _VALUE + rb")?\r?\Z"
# All that is well formed is matched, so that the search takes linear time.
_HEAD = re.compile(
    rb"HTTP/\d\.\d \d{3}%b(\r?)\n(?:(%b)(\r?\Z|%b)?|(%b))"
    % (_REASON, _FIELDS, _CUT_FIELD, _CUT_FIELD)
)


def data_holds_answer(data, names_request, following=b""):
    """Return whether the head of an answer begins in data.

    It may end in the bytes that are ``following``, or be cut by the end of all of them. A
    head that is not cut counts if ``names_request(headers)`` says that a server wrote it.
    """
    if not following:
        return _MARK in data and _holds_head(data, names_request, len(data), True)
    if _MARK not in data and _MARK not in data[-_MARGIN:] + following[:_MARGIN]:
        return False
    tail = data[-MAX_HEAD_BYTES:]
    return _holds_head(data, names_request, len(data)) or _holds_head(
        tail + following[:MAX_HEAD_BYTES], names_request, len(tail), True
    )


def _holds_head(data, names_request, end, may_be_cut=False):
    """Return whether a head begins before ``end``."""
    unparsed = MAX_PARSED_BYTES
    for match, _ in zip(_HEAD.finditer(data), range(MAX_HEADS), strict=False):
        if match.start() >= end or unparsed <= 0:
            return False
        # Texts that quote the beginning of a head have other ends of lines.
        is_cut = match[3] is not None or match[4] is not None
        if is_cut and may_be_cut and match[1]:
            return True
        start, stop = match.span(2)
        fields = data[start : min(stop, start + MAX_HEAD_BYTES)]
        unparsed -= len(fields)
        if _fields_name_request(fields, names_request):
            return True
    return False


def _fields_name_request(fields, names_request):
    try:
        return names_request(HTTPHeaders.parse(fields.decode("latin-1")))
    except HTTPInputError:
        return False
