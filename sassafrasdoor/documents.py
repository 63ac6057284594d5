"""Parses JSON documents that other programs may have written.

Every document is within bounds that later code can rely on: numbers fit into 64 bits and
are finite, text can be encoded, and nothing is nested deeply. A bound is checked where a
document is read, since a value beyond it would fail wherever it is used first.
"""

import json
import math
import re

MAX_DEPTH = 32  # levels of nested arrays and objects
MIN_INTEGER, MAX_INTEGER = -(2**63), 2**64 - 1
MAX_INTEGER_DIGITS = 20
MAX_NAME_LENGTH = 256  # characters of a name or an address

_REQUIRED = object()
_TOKENS = re.compile(r'"(?:[^"\\]++|\\.)*+"?|[\[\]{}]', re.DOTALL)
_DEPTH_CHANGES = {"[": 1, "{": 1, "]": -1, "}": -1}
_SURROGATE_ESCAPE = re.compile(r"\\u[dD][89a-fA-F]")


def parse_document(data, allows_surrogates=False):
    """Return the document in JSON bytes; raises ``ValueError`` if it is out of bounds.

    With ``allows_surrogates`` text may hold lone surrogates, which also stand for bytes
    that are no UTF-8: one such text in a list leaves the others readable.
    """
    text = data.decode(errors="surrogateescape" if allows_surrogates else "strict")
    _check_depth(text)
    document = json.loads(
        text, parse_int=_parse_int, parse_float=_parse_float, parse_constant=_refuse
    )
    if not allows_surrogates and _SURROGATE_ESCAPE.search(text):
        # A lone surrogate cannot be encoded; a pair is one character.
        json.dumps(document, ensure_ascii=False).encode()
    return document


def parse_object(data, allows_surrogates=False):
    """Return the object in JSON bytes; raises ``ValueError`` if there is none."""
    document = parse_document(data, allows_surrogates)
    if not isinstance(document, dict):
        raise ValueError("no JSON object")
    return document


def typed_field(document, name, kind, default=_REQUIRED):
    """Return a field whose type is exactly ``kind``.

    Raises ``KeyError`` if it is missing and has no default, or ``TypeError``.
    """
    value = document[name] if default is _REQUIRED else document.get(name, default)
    if type(value) is not kind:
        raise TypeError(f"{name} is {type(value).__name__}")
    return value


def integer_field(document, name, low, high, default=_REQUIRED):
    """Return an integer field within bounds; raises also ``ValueError``."""
    value = typed_field(document, name, int, default)
    if not low <= value <= high:
        raise ValueError(f"{name} {value} is not within {low} and {high}")
    return value


def name_field(document, name, default=_REQUIRED):
    """Return a text field that can be used as a name; raises also ``ValueError``."""
    value = typed_field(document, name, str, default)
    if len(value) > MAX_NAME_LENGTH or not value.isprintable():
        raise ValueError(f"{name} is no name of at most {MAX_NAME_LENGTH} characters")
    return value


def _check_depth(text):
    depth = 0
    for token in _TOKENS.finditer(text):
        depth += _DEPTH_CHANGES.get(token.group(), 0)
        if depth > MAX_DEPTH:
            raise ValueError(f"nested deeper than {MAX_DEPTH} levels")


def _parse_int(text):
    # Longer text may be more than the interpreter converts.
    value = int(text) if len(text) <= MAX_INTEGER_DIGITS else MAX_INTEGER + 1
    if not MIN_INTEGER <= value <= MAX_INTEGER:
        raise ValueError(f"number of {len(text)} digits")
    return value


def _parse_float(text):
    value = float(text)
    if not math.isfinite(value):
        raise ValueError("number too large")
    return value


def _refuse(name):
    raise ValueError(f"{name} is no number")
