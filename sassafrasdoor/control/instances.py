"""Client of the platform's instance list over HTTP."""

import json

from tornado.httpclient import HTTPError

from sassafrasdoor import metrics
from sassafrasdoor.answer_heads import read_number
from sassafrasdoor.curl import CurlClient
from sassafrasdoor.outcomes import Unavailable
from sassafrasdoor.view import Backend, Member, State

UNREADABLE = metrics.counter(
    "instances_unreadable_total", "Entries of the instance list that made no sense."
)
ENTRY = "entry"
MAX_TEXT_BYTES = 256
MAX_MODELS = 64
MAX_CAPACITY = 1_000_000
STATES = {"alive": State.ALIVE, "leaving": State.LEAVING}


class Listing:
    """The contents of the list: entry instances (``Member``) and ``Backend`` servers."""

    __slots__ = ("backends", "members")

    def __init__(self, members=(), backends=()):
        self.members = tuple(members)
        self.backends = tuple(backends)


class InstanceList:
    """Client of the instance list, which lags and may be unavailable.

    A list of 400 entries and 600 backend servers has some 200 KB. Reads send the
    last entity tag, so that an unchanged list costs 200 bytes. ``changed_bytes`` is
    the size of the body that the last read returned, 0 if the list was unchanged.
    """

    __slots__ = ("_client", "_listing", "_settings", "_etag", "changed_bytes")

    def __init__(self, settings):
        self._settings = settings
        self._client = CurlClient(force_instance=True)
        self._etag = None
        self._listing = None
        self.changed_bytes = 0

    def _url(self, path):
        return self._settings.platform.instances_url.rstrip("/") + path

    async def fetch(self):
        """Return the current ``Listing`` (the same object if unchanged)."""
        headers = {"If-None-Match": self._etag} if self._etag else {}
        response = await self._call("GET", "/instances", headers=headers)
        if not response:
            return response
        self.changed_bytes = 0
        if response.code == 304:
            return self._listing
        length = read_number(response.headers.get("Content-Length", ""))
        self.changed_bytes = len(response.body) if length is None else length
        try:
            document = json.loads(response.body)
            listing = listing_from(document["instances"])
        except (ValueError, KeyError, TypeError) as error:
            return Unavailable(f"instance list unreadable: {type(error).__name__}")
        self._etag = response.headers.get("Etag")
        self._listing = listing
        return listing

    async def register(self, document):
        """Add or replace this instance's entry; idempotent."""
        name = self._settings.instance.name
        return await self._call("PUT", f"/instances/{name}", body=json.dumps(document))

    async def deregister(self):
        """Remove this instance from the list; idempotent."""
        return await self._call("DELETE", f"/instances/{self._settings.instance.name}")

    async def _call(self, method, path, headers=None, body=None):
        timeout = self._settings.platform.call_timeout
        try:
            return await self._client.fetch(
                self._url(path),
                method=method,
                headers=headers,
                body=body,
                connect_timeout=timeout,
                request_timeout=timeout,
                decompress_response=True,
            )
        except HTTPError as error:
            if error.code == 304:
                return error.response
            return Unavailable(f"instance list: {error.code}")
        except OSError as error:
            return Unavailable(f"instance list: {error}")

    def close(self):
        """Close the HTTP client."""
        self._client.close()


def listing_from(documents):
    """Parse JSON documents into a ``Listing``; malformed ones are counted."""
    members, backends = [], []
    for document in documents:
        try:
            if document["kind"] == ENTRY:
                members.append(_member(document))
            else:
                backends.append(_backend(document))
        except (KeyError, TypeError, ValueError, OverflowError):
            UNREADABLE.inc({})
    return Listing(members, backends)


def _text_field(document, name, default=None):
    """Return a text field; raises ValueError if it can't be sent to the entry.

    One text that can't be encoded would keep the entry from getting any view.
    """
    value = document.get(name, default)
    if not isinstance(value, str) or len(value.encode()) > MAX_TEXT_BYTES:
        raise ValueError(name)
    return value


def _member(document):
    return Member(
        _text_field(document, "name"),
        availability_zone=_text_field(document, "availability_zone", ""),
        region=_text_field(document, "region", ""),
        state=STATES[document.get("state", "alive")],
        gossip_address=_text_field(document, "gossip_address", ""),
        control_address=_text_field(document, "control_address", ""),
        entry_address=_text_field(document, "address", ""),
        peer_address=_text_field(document, "peer_address", ""),
    )


def _backend(document):
    models = [
        _text_field({"model": model}, "model")
        for model in document.get("models", ())[:MAX_MODELS]
    ]
    return Backend(
        _text_field(document, "name"),
        _text_field(document, "address"),
        document["kind"],
        _text_field(document, "service"),
        availability_zone=_text_field(document, "availability_zone", ""),
        region=_text_field(document, "region", ""),
        capacity=min(MAX_CAPACITY, max(1, int(document.get("capacity", 1)))),
        checks_fencing=bool(document.get("checks_fencing", False)),
        models=models,
        state=STATES[document.get("state", "alive")],
    )
