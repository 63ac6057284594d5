"""Decides whether received bytes are a valid head of an answer (RFC 9110, RFC 9112).

Load pattern: faulty servers send bytes that are no answer, close in the middle of a head, or
send one answer behind the cut head of another, among sound answers and on kept connections.
A lenient parser combines the status of one answer with the fields or the body of another, or
ends a body at the wrong byte. So a head is refused as a whole unless all of it is valid:

- The status line has the name and first major version of the protocol, and a status of
  100 to 599 (RFC 9110, section 15: others are invalid, and a client treats them as a
  failure of the server). Status 101 would answer an ``Upgrade``, which is never sent.
- Each field line has a token for a name, a colon right behind it, and a value without
  control characters. Lines end by CRLF; folded lines are obsolete.
- The fields state one length at most, in digits, or one coding, ``chunked``, and neither
  where the status has no body (RFC 9112, section 6).
- No other status line stands in it, and an empty line ends it.
"""

import re
from enum import Enum

from sassafrasdoor.outcomes import Outcome

MAX_HEAD_BYTES = 65536
MAX_LENGTH_DIGITS = 18
INTERIM_STATUSES = range(100, 200)
NO_CONTENT = 204
SWITCHING_PROTOCOLS = 101
CHUNKED = "chunked"
_FIRST_VERSION = b"HTTP/1.0"
_LINE_END = b"\r\n"
_TEXT = rb"[\t\x20-\x7e\x80-\xff]"
_NAME = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]++"
_STATUS_LINE = re.compile(rb"(HTTP/1\.\d) (\d{3}) %b*+" % _TEXT)
_FIELD = re.compile(rb"(%b):(%b*+)" % (_NAME, _TEXT))
_HEAD = re.compile(
    rb"(HTTP/1\.\d) (\d{3}) %b*+\r\n((?:%b:%b*+\r\n)*+)\r\n" % (_TEXT, _NAME, _TEXT)
)
_SECOND_STATUS = re.compile(rb"HTTP/\d\.\d \d{3}", re.IGNORECASE)
_FRAMING = re.compile(
    rb"^(Content-Length|Transfer-Encoding):(%b*+)\r$" % _TEXT,
    re.IGNORECASE | re.MULTILINE,
)


class Flaw(Enum):
    """Why bytes are not a valid head of an answer."""

    CUT = "cut"
    FIELD = "field line"
    FOLDED = "folded line"
    FRAMING = "length or coding"
    LINE_END = "line end"
    NAME = "field name"
    STATUS = "status"
    STATUS_LINE = "status line"
    TOO_LONG = "too long"
    TWO_ANSWERS = "two answers in one head"
    UNREADABLE = "unreadable"
    VALUE = "field value"


class RefusedHead(Outcome):
    """The bytes are not a valid head of an answer, because of a ``Flaw``."""

    __slots__ = ("flaw",)

    def __init__(self, flaw):
        super().__init__(f"invalid answer: {flaw.value}")
        self.flaw = flaw


class Head:
    """The head of an answer: its ``status`` and the bytes of its field lines."""

    __slots__ = ("_lines", "status")

    def __init__(self, status, lines):
        self.status = status
        self._lines = lines

    @property
    def is_interim(self):
        """Whether another answer follows, which is the final one."""
        return self.status in INTERIM_STATUSES

    @property
    def fields(self):
        """The field lines in order, as pairs of name and value."""
        lines = self._lines.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines if line)
        return [(name, value.strip(" \t")) for name, _, value in pairs]


def read_head(data):
    """Return the ``Head`` in ``data``, the bytes up to an empty line, or ``RefusedHead``.

    Empty lines in front of it, which some servers send behind a body, are passed over.
    """
    data = data.lstrip(_LINE_END)
    if len(data) > MAX_HEAD_BYTES:
        return RefusedHead(Flaw.TOO_LONG)
    match = _HEAD.fullmatch(data)
    if match is None:
        return RefusedHead(_flaw_in(data))
    status = int(match[2])
    flaw = next((flaw for is_flawed, flaw in _FLAWS if is_flawed(status, match)), None)
    return Head(status, match[3]) if flaw is None else RefusedHead(flaw)


def _has_invalid_status(status, match):
    return status not in range(100, 600) or status == SWITCHING_PROTOCOLS


def _has_second_status(status, match):
    return _SECOND_STATUS.search(match.string, match.end(2)) is not None


def _has_invalid_framing(status, match):
    lengths, codings = [], []
    for name, value in _FRAMING.findall(match[3]):
        values = lengths if name.lower() == b"content-length" else codings
        values += value.decode("latin-1").split(",")
    if not (lengths or codings):
        return False
    if codings:
        is_chunked = [coding.strip(" \t").lower() for coding in codings] == [CHUNKED]
        is_first_version = match[1] == _FIRST_VERSION
        has_no_body = status in INTERIM_STATUSES or status == NO_CONTENT
        return bool(lengths) or not is_chunked or is_first_version or has_no_body
    numbers = {read_number(length) for length in lengths}
    if len(numbers) > 1 or None in numbers or status in INTERIM_STATUSES:
        return True
    return status == NO_CONTENT and numbers != {0}


_FLAWS = (
    (_has_invalid_status, Flaw.STATUS),
    (_has_second_status, Flaw.TWO_ANSWERS),
    (_has_invalid_framing, Flaw.FRAMING),
)


def _flaw_in(data):
    """Return the first ``Flaw`` of bytes that do not follow the grammar."""
    first, *lines = data.split(_LINE_END)
    if _STATUS_LINE.fullmatch(first) is None:
        return _flaw_in_status_line(first, bool(lines))
    for line in lines:
        if line and _FIELD.fullmatch(line) is None:
            return _flaw_in_field(line, line is lines[-1])
    return Flaw.CUT


def _flaw_in_status_line(line, is_ended):
    if b"\n" in line or b"\r" in line:
        return Flaw.LINE_END
    return Flaw.STATUS_LINE if is_ended else Flaw.CUT


def _flaw_in_field(line, is_last):
    if is_last:
        return Flaw.CUT
    if line[:1] in (b" ", b"\t"):
        return Flaw.FOLDED
    name, colon, value = line.partition(b":")
    if re.fullmatch(_NAME, name) is None:
        return Flaw.NAME if colon else Flaw.FIELD
    return Flaw.LINE_END if b"\n" in value or b"\r" in value else Flaw.VALUE


def read_number(text, most=10**MAX_LENGTH_DIGITS - 1):
    """Return the whole number that a field's value states, in decimal digits.

    Returns None for other text, and for numbers over ``most``; never raises.
    """
    digits = text.strip(" \t").lstrip("0") or text.strip(" \t")[-1:]
    if not (digits.isascii() and digits.isdecimal()):
        return None
    if len(digits) > MAX_LENGTH_DIGITS:
        return None
    number = int(digits)
    return number if number <= most else None
