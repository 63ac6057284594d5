"""Reads what callers' headers say of prompts and of the tokens to generate."""

from sassafrasdoor.platform import wire
from sassafrasdoor.routing.prompt_cache import Prompt

# Parts of one prompt; trainers name a few. Each prefix names all parts before it, so the
# memory of a prompt grows with the square of their number.
MAX_PARTS = 64


def prompt_of(item):
    """Return the ``Prompt`` of an item, None if its headers state none that is valid.

    The headers are part of the item's record, so nothing else about the prompt needs to
    be in the log, and earlier versions of this program can read all records.
    """
    headers = {name.lower(): value for name, value in item.headers.items()}
    try:
        tokens, max_output = _parse_counts(headers.get(wire.TOKEN_COUNT.lower()))
        parts = _parse_parts(headers.get(wire.PROMPT_PREFIX.lower()))
    except (AttributeError, ValueError):
        return None
    if not parts and not tokens:
        return None
    max_output = max_output or item.tokens
    output = item.expected if item.expected > 0 else max_output
    return Prompt(parts, tokens, min(output, max_output) if max_output else output)


def output_limit(headers):
    """Return the most tokens that a request may generate, 0 if it states none."""
    try:
        return _parse_counts(headers.get(wire.TOKEN_COUNT))[1]
    except ValueError:
        return 0


def _parse_counts(text):
    if text is None:
        return 0, 0
    tokens, max_output = map(_parse_count, text.split(","))
    return tokens, max_output


def _parse_parts(text):
    """Return the ``(name, tokens)`` pairs of a prompt's parts."""
    if not text:
        return []
    if text.count(",") >= MAX_PARTS:
        raise ValueError(f"more than {MAX_PARTS} parts")
    pairs = (part.strip().rpartition(":") for part in text.split(","))
    return [(name, _parse_count(tokens)) for name, _, tokens in pairs]


def _parse_count(text):
    if not text.strip().isdecimal():
        raise ValueError(f"not a count: {text[:20]!r}")
    return int(text)
