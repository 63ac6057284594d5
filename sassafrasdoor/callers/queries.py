"""Reads single arguments of a query, whose others are not decoded."""

from urllib.parse import unquote_plus

from tornado.web import HTTPError


def query_value(query, name, default=""):
    """Return the first value of the argument ``name`` in a query string.

    Raises ``HTTPError`` with status 400 if it is not UTF-8.
    """
    for argument in query.split("&"):
        found, separator, value = argument.partition("=")
        if not separator or unquote_plus(found) != name:
            continue
        try:
            return unquote_plus(value, errors="strict")
        except UnicodeDecodeError:
            raise HTTPError(400, "argument %s is not UTF-8", name) from None
    return default
