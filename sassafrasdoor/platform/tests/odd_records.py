"""Records that another writer may leave in the lists that every instance reads."""

import json

DEPTHS = (10, 1_000, 100_000, 1_000_000)  # levels of nested arrays
LONG_TEXT = "x" * 1_000_000
LARGE_NUMBERS = ("9" * 30, "9" * 400, "9" * 5000, "-1", "1e400", "NaN", "-Infinity")
ODD_NUMBERS = (*LARGE_NUMBERS, "true", "1.5", '"1"', "null", "[]")
ODD_TEXTS = (
    "a\r\nX-Injected: 1",
    "a\0b",
    "\ud800",
    LONG_TEXT,
)
ODD_PORTS = (
    "",
    "0",
    "65536",
    "70000",
    "9999999999",
    "-1",
    "+80",
    "1_0",
    "080",
    " 80",
    "80 ",
    "\N{ARABIC-INDIC DIGIT THREE}",
    "\N{SUPERSCRIPT TWO}",
    "9" * 5000,
)
ODD_HOSTS = (
    "",
    "h.example",
    "[::1]",
    "::1",
    "127.1",
    "127.0.0.1 ",
    "127.0.0.1\n",
    "127.0.0.1\r\nHost: x",
    "127.0.0.1\0",
    "0127.0.0.1",
    "127.0.0.256",
    "\ud800",
    LONG_TEXT,
)
MARK = '"MARK"'


def odd_documents(document):
    """Yield ``(name, bytes)`` of records that are no document of the right form."""
    yield from (
        ("empty object", b"{}"),
        ("null", b"null"),
        ("truncated", json.dumps(document).encode()[:-1]),
        ("invalid UTF-8", b'{"a": "\xff\xfe"}'),
        ("UTF-16", json.dumps(document).encode("utf-16")[:-1]),
        ("no JSON", b"\x00\x01\x02"),
    )
    for depth in DEPTHS:
        yield f"nested {depth} arrays", b"[" * depth + b"]" * depth
        yield f"{depth} open objects", b'{"a":' * depth


def with_field(document, name, text):
    """Return the bytes of a document in which a field has a value, as JSON text."""
    return json.dumps({**document, name: "MARK"}).replace(MARK, text, 1).encode()


def odd_fields(document, numbers=(), texts=()):
    """Yield ``(name, bytes)`` of documents with one field that can't be used."""
    for name in numbers:
        for number in ODD_NUMBERS:
            yield f"{name} {number[:20]}", with_field(document, name, number)
    for name in texts:
        for text in ODD_TEXTS:
            value = json.dumps(text)
            yield f"{name} {value[:20]}", with_field(document, name, value)
    for name in document:
        for depth in DEPTHS:
            nested = "[" * depth + "]" * depth
            yield f"{name} nested {depth}", with_field(document, name, nested)


def odd_addresses(document, name):
    """Yield ``(name, bytes)`` of documents with an address that can't be used."""
    addresses = [f"127.0.0.1:{port}" for port in ODD_PORTS]
    addresses += [f"{host}:80" for host in ODD_HOSTS]
    for address in addresses:
        value = json.dumps(address)
        yield f"{name} {value[:40]}", with_field(document, name, value)


def odd_entries(entry):
    """Yield ``(name, bytes)`` of unusable entries of a replica."""
    yield from odd_documents(entry)
    yield from odd_fields(entry, ("Slots", "born"), ("Service", "Zone", "State"))
    yield from odd_addresses(entry, "Address")
    for number in ODD_NUMBERS:
        models = f'[{{"Name": "m", "Version": {number}}}]'
        yield f"Version {number[:20]}", with_field(entry, "Models", models)
    for text in ODD_TEXTS:
        models = json.dumps([{"Name": text, "Version": 1}])
        yield f"Name {models[:40]}", with_field(entry, "Models", models)
    models = json.dumps([{"Name": f"m{at}", "Version": 1} for at in range(10_000)])
    yield "10,000 models", with_field(entry, "Models", models)


def unread_fields(entry):
    """Yield ``(name, bytes)`` of entries whose odd fields nobody reads."""
    for name in ("Sequence", "ColdRemainingMs", "Unknown"):
        for value in (*ODD_NUMBERS, json.dumps(LONG_TEXT), "[[[[[[[]]]]]]]"):
            yield f"{name} {value[:20]}", with_field(entry, name, value)


ODD_IDENTITIES = (
    "",
    "a b",
    "a\nb",
    "a\r\nHost: x",
    "a\0b",
    "\N{ARABIC-INDIC DIGIT THREE}" * 100,
    "i" * 201,
    "i" * 255,
)
