"""Tells what a JSON document takes once it is decoded, without decoding it.

Load pattern: bodies of legal size are made of very many short fields. Decoded, these take
up to thirty times as much, which a process would hold before it knew.
"""

import re

# Never goes back within a text, for which it would remember each character. One without an
# end is one to the end, as the search would begin again at each of its marks.
TEXT = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"?', re.DOTALL)
# Bytes of the objects that ``json`` makes in CPython 3.11, rounded up.
DOCUMENT_BYTES = 128
OBJECT_BYTES = 150  # a dictionary with up to five entries
LIST_BYTES = 72
TEXT_BYTES = 48
ELEMENT_BYTES = 32  # a number, or an entry of a dictionary beyond that
MAX_CHARACTER_BYTES = 4  # if a text has one beyond the basic multilingual plane


def element_count(body, enough):
    """Return about how many objects, lists and elements a JSON document has.

    Beyond ``enough`` it may return any larger number.
    """
    count = _count_elements(body)
    if count <= enough:
        return count
    # Texts may hold the same marks. An element has two texts at most.
    texts = (body.count(b'"') - body.count(b'\\"')) // 2
    least = texts // 2
    return least if least > enough else _count_elements(TEXT.sub(b"", body))


def decoded_bytes(body):
    """Return about how many bytes a JSON document takes, at most."""
    text = len(body) * (1 if body.isascii() else MAX_CHARACTER_BYTES)
    return (
        DOCUMENT_BYTES
        + text
        + OBJECT_BYTES * body.count(b"{")
        + LIST_BYTES * body.count(b"[")
        + TEXT_BYTES * (body.count(b'"') // 2)
        + ELEMENT_BYTES * body.count(b",")
    )


def _count_elements(body):
    return sum(map(body.count, (b"{", b"[", b",")))
