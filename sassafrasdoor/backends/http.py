"""Adapters to engines and plain services that speak HTTP (``docs/INTERNALS.md``)."""

import json
import urllib.parse

from sassafrasdoor.backends import interface
from sassafrasdoor.backends.interface import (
    Answer,
    Broken,
    CacheEvent,
    Load,
    Stale,
    StreamState,
)
from sassafrasdoor.backends.stream import StreamReader
from sassafrasdoor.backends.transfer import Client, Request
from sassafrasdoor.clock import deadline_in
from sassafrasdoor.headers import HOP_BY_HOP_HEADERS
from sassafrasdoor.outcomes import Outcome, ReplyLost, Unavailable

SHORT_CALL_TIMEOUT = 2.0
JSON_HEADERS = {"Content-Type": "application/json"}
OK, REFUSED_FENCE = 200, 409

NOT_FORWARDED = HOP_BY_HOP_HEADERS | {"x-http-reason"}  # the latter is Tornado's own


class _Adapter:
    """Base of both adapters: the settings and an HTTP client."""

    __slots__ = ("_client", "_settings")

    def __init__(self, settings, client=None):
        self._settings = settings
        self._client = client or Client()

    def close(self):
        """Close all connections."""
        self._client.close()


class HttpEngine(_Adapter, interface.Engine):
    """Engines that speak the protocol of ``docs/INTERNALS.md``."""

    __slots__ = ()

    def stream(self, backend, order):
        """Yield the chunks of a stream and then its end.

        Use it under ``contextlib.aclosing``, so that leaving the loop early ends the
        transfer at once.
        """
        return StreamReader(self._client, backend, order).read()

    async def streams(self, backend, prefix):
        """Return the ``StreamState``s under a prefix, or ``Unavailable``."""
        query = urllib.parse.urlencode({"prefix": prefix})
        document = await self._call(backend, "GET", f"/streams?{query}")
        return decoded(_streams_from, document)

    async def cancel(self, backend, stream):
        """Cancel and forget a stream; return None, or ``Unavailable``."""
        path = "/streams/" + urllib.parse.quote(stream, safe="")
        document = await self._call(backend, "DELETE", path)
        return None if isinstance(document, dict) else document

    async def load(self, backend):
        """Return the engine's ``Load``, or ``Unavailable``."""
        return await read_load(self._client, backend)

    async def order(self, backend, order):
        """Return the engine's versions, ``Stale``, ``Unavailable`` or ``ReplyLost``."""
        body = {
            "fence": order.fence,
            "model": order.model,
            "version": order.version,
            "role": order.role,
        }
        # On a fresh connection: libcurl's own retry would not check the lease.
        request = Request(
            "POST",
            f"http://{backend.address}/orders",
            json.dumps(body),
            JSON_HEADERS,
            order.deadline,
        )
        response = await self._client.fetch(backend, request)
        if isinstance(response, Broken):
            kind = ReplyLost if response.began else Unavailable
            return kind(response.reason)
        read = ORDER_REPLIES.get(response.code)
        if read is None:
            return Unavailable(f"order failed with status {response.code}")
        return decoded(read, json_object(response))

    async def cache_events(self, backend, first):
        """Return ``(events, next number)``, or ``Unavailable``."""
        document = await self._call(backend, "GET", f"/cache-events?from={first}")
        return decoded(_cache_events_from, document)

    async def export_kv(self, backend, stream):
        """Return the KV cache of a stream (a string), or ``Unavailable``."""
        document = await self._call(backend, "POST", "/kv/export", {"stream": stream})
        return decoded(lambda found: found["kv"], document)

    async def import_kv(self, backend, stream, kv):
        """Give an engine the KV cache of a stream; return None or ``Unavailable``."""
        body = {"stream": stream, "kv": kv}
        document = await self._call(backend, "POST", "/kv/import", body)
        return None if isinstance(document, dict) else document

    async def _call(self, backend, method, path, body=None):
        return await call_json(self._client, backend, method, path, body)


class HttpService(_Adapter, interface.Service):
    """Plain services: any method and path, passed through."""

    __slots__ = ()

    async def call(self, backend, call):
        """Return the complete ``Answer``, or ``Broken``."""
        headers = {
            name: value
            for name, value in call.headers.items()
            if name.lower() not in NOT_FORWARDED
        }
        headers["X-Request-Id"] = call.request_id
        request = Request(
            call.method,
            f"http://{backend.address}{call.path}",
            call.body or None,
            headers,
            call.deadline,
            fresh=not call.repeatable,
        )
        if call.method in ("POST", "PUT", "PATCH"):
            request.body = call.body
        response = await self._client.fetch(backend, request)
        if isinstance(response, Broken):
            return response
        return Answer(response.code, forwarded(response.headers), response.body)

    async def load(self, backend):
        """Return the service's ``Load``, or ``Unavailable``."""
        return await read_load(self._client, backend)


def forwarded(headers):
    """Return a reply's headers without the hop-by-hop ones."""
    kept = headers.copy()
    for name in headers:
        if name.lower() in NOT_FORWARDED:
            del kept[name]
    return kept


async def read_load(client, backend):
    """Return a backend server's ``Load``, or ``Unavailable``."""
    document = await call_json(client, backend, "GET", "/load")
    return decoded(_load_from, document)


def decoded(read, document):
    """Return ``read(document)``, or ``Unavailable`` for a malformed document.

    An ``Outcome`` is returned as it is. An exception here would end the task that polls
    the backend server.
    """
    if isinstance(document, Outcome):
        return document
    try:
        return read(document)
    except (KeyError, TypeError, ValueError, AttributeError):
        return Unavailable("reply not understood")


def _load_from(document):
    return Load(
        document["running"],
        document["queued"],
        document["capacity"],
        document["age_ms"] / 1000,
        _versions_from(document),
        document["role"],
        document["leaving"],
    )


def _versions_from(document):
    return {name: int(version) for name, version in document["versions"].items()}


def _stale_from(document):
    return Stale("stale fencing number", document["fence"])


def _streams_from(document):
    return [
        StreamState(one["stream"], one["offset"], one["done"])
        for one in document["streams"]
    ]


def _cache_events_from(document):
    events = [
        CacheEvent(one["number"], one["prefix"], one["stored"])
        for one in document["events"]
    ]
    return events, document["next"]


ORDER_REPLIES = {OK: _versions_from, REFUSED_FENCE: _stale_from}


async def call_json(client, backend, method, path, body=None):
    """Make a short idempotent call; return its JSON object or ``Unavailable``."""
    request = Request(
        method,
        f"http://{backend.address}{path}",
        None if body is None else json.dumps(body),
        JSON_HEADERS,
        deadline_in(SHORT_CALL_TIMEOUT),
        fresh=False,
    )
    response = await client.fetch(backend, request)
    if isinstance(response, Broken):
        return Unavailable(response.reason)
    document = json_object(response)
    if response.code != OK or document is None:
        return Unavailable(f"status {response.code}")
    return document


def json_object(response):
    """Return the JSON object in a response, or None."""
    try:
        document = json.loads(response.body)
    except ValueError:
        return None
    return document if isinstance(document, dict) else None
