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
from sassafrasdoor.backends.joined import data_holds_answer
from sassafrasdoor.backends.stream import StreamReader
from sassafrasdoor.backends.transfer import Client, Request
from sassafrasdoor.clock import deadline_in
from sassafrasdoor.headers import HOP_BY_HOP_HEADERS
from sassafrasdoor.metrics import counter
from sassafrasdoor.outcomes import Outcome, ReplyLost, Unavailable

SHORT_CALL_TIMEOUT = 2.0  # seconds
JSON_HEADERS = {"Content-Type": "application/json"}
REQUEST_ID = "X-Request-Id"
OK, STALE_FENCE = 200, 409

UNNAMED_ANSWERS = counter(
    "service_answers_unnamed_total",
    "Answers on kept connections that did not bear the id of their call.",
)


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
    """Calls engines by the protocol of ``docs/INTERNALS.md``.

    Answers bear no id, and a kept connection may carry a late one to an earlier call.
    Calls that change or move a stream are therefore made on fresh connections.
    """

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
        return decode_document(_decode_streams, document)

    async def cancel(self, backend, stream):
        """Cancel and remove a stream; return None, or ``Unavailable``."""
        path = "/streams/" + urllib.parse.quote(stream, safe="")
        document = await self._call(backend, "DELETE", path, fresh=True)
        return None if isinstance(document, dict) else document

    async def load(self, backend):
        """Return the engine's ``Load``, or ``Unavailable``."""
        return await fetch_load(self._client, backend)

    async def order(self, backend, order):
        """Return the engine's versions, ``Stale``, ``Unavailable`` or ``ReplyLost``."""
        body = {
            "fence": order.fence,
            "model": order.model,
            "version": order.version,
            "role": order.role,
        }
        # On a fresh connection: libcurl would retry on a reused one without checking the
        # lease.
        request = Request(
            "POST",
            f"http://{backend.address}/orders",
            json.dumps(body),
            JSON_HEADERS,
            order.deadline,
        )
        response = await self._client.fetch(backend, request)
        if isinstance(response, Broken):
            outcome = ReplyLost if response.began else Unavailable
            return outcome(response.reason)
        decode = ORDER_REPLY_DECODERS.get(response.code)
        if decode is None:
            return Unavailable(f"order failed with status {response.code}")
        return decode_document(decode, json_object(response))

    async def cache_events(self, backend, first):
        """Return ``(events, next number)``, or ``Unavailable``."""
        document = await self._call(backend, "GET", f"/cache-events?from={first}")
        return decode_document(_decode_cache_events, document)

    async def export_kv(self, backend, stream):
        """Return the KV cache of a stream (a string), or ``Unavailable``."""
        body = {"stream": stream}
        document = await self._call(backend, "POST", "/kv/export", body, fresh=True)
        return decode_document(lambda reply: reply["kv"], document)

    async def import_kv(self, backend, stream, kv):
        """Load the KV cache of a stream into an engine; return None or ``Unavailable``."""
        body = {"stream": stream, "kv": kv}
        document = await self._call(backend, "POST", "/kv/import", body, fresh=True)
        return None if isinstance(document, dict) else document

    async def _call(self, backend, method, path, body=None, fresh=False):
        return await call_json(self._client, backend, method, path, body, fresh)


class HttpService(_Adapter, interface.Service):
    """Calls plain services; forwards any method and path.

    A kept connection may carry a late answer to an earlier call. There only an answer
    that bears the request's id is believed, and services whose answers bear none are
    called on new connections.
    """

    __slots__ = ("_without_ids",)

    def __init__(self, settings, client=None):
        super().__init__(settings, client)
        self._without_ids = set()

    async def call(self, backend, call):
        """Return the complete ``Answer``, or ``Broken``."""
        fresh = not call.repeatable or backend.address in self._without_ids
        response = await self._client.fetch(
            backend, _service_request(backend, call, fresh)
        )
        if not fresh and not isinstance(response, Broken):
            response = await self._checked(backend, call, response)
        if isinstance(response, Broken):
            return response
        if data_holds_answer(response.body, _bear_request_id):
            return Broken("two answers in one body", began=True)
        return Answer(
            response.code, end_to_end_headers(response.headers), response.body
        )

    async def _checked(self, backend, call, response):
        """Return the response if it names its call, else that to a second send."""
        if _names(response, call):
            return response
        UNNAMED_ANSWERS.inc({})
        self._client.bypass_pool(backend)
        response = await self._client.fetch(
            backend, _service_request(backend, call, fresh=True)
        )
        if not isinstance(response, Broken) and not _names(response, call):
            self._without_ids.add(backend.address)
        return response

    async def load(self, backend):
        """Return the service's ``Load``, or ``Unavailable``."""
        return await fetch_load(self._client, backend)


def _service_request(backend, call, fresh):
    headers = {
        name: value
        for name, value in call.headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
    }
    headers[REQUEST_ID] = call.request_id
    request = Request(
        call.method,
        f"http://{backend.address}{call.path}",
        call.body or None,
        headers,
        call.deadline,
        fresh=fresh,
    )
    if call.method in ("POST", "PUT", "PATCH"):
        request.body = call.body
    return request


def _bear_request_id(headers):
    return REQUEST_ID in headers


def _names(response, call):
    """Return whether an answer bears the id of a call."""
    return response.headers.get(REQUEST_ID) == call.request_id


def end_to_end_headers(headers):
    """Return a reply's headers without the hop-by-hop ones."""
    forwarded = headers.copy()
    for name in headers:
        if name.lower() in HOP_BY_HOP_HEADERS:
            del forwarded[name]
    return forwarded


async def fetch_load(client, backend):
    """Return a backend server's ``Load``, or ``Unavailable``."""
    document = await call_json(client, backend, "GET", "/load")
    return decode_document(_decode_load, document)


def decode_document(decode, document):
    """Return ``read(document)``, or ``Unavailable`` for a malformed document.

    An ``Outcome`` is returned as it is. An exception here would end the task that polls
    the backend server.
    """
    if isinstance(document, Outcome):
        return document
    try:
        return decode(document)
    except (KeyError, TypeError, ValueError, AttributeError):
        return Unavailable("reply not understood")


def _decode_load(document):
    return Load(
        document["running"],
        document["queued"],
        document["capacity"],
        document["age_ms"] / 1000,
        _decode_versions(document),
        document["role"],
        document["leaving"],
    )


def _decode_versions(document):
    return {name: int(version) for name, version in document["versions"].items()}


def _decode_stale(document):
    return Stale("stale fencing number", document["fence"])


def _decode_streams(document):
    return [
        StreamState(stream["stream"], stream["offset"], stream["done"])
        for stream in document["streams"]
    ]


def _decode_cache_events(document):
    events = [
        CacheEvent(event["number"], event["prefix"], event["stored"])
        for event in document["events"]
    ]
    return events, document["next"]


ORDER_REPLY_DECODERS = {OK: _decode_versions, STALE_FENCE: _decode_stale}


async def call_json(client, backend, method, path, body=None, fresh=False):
    """Make a short idempotent call; return its JSON object or ``Unavailable``."""
    request = Request(
        method,
        f"http://{backend.address}{path}",
        None if body is None else json.dumps(body),
        JSON_HEADERS,
        deadline_in(SHORT_CALL_TIMEOUT),
        fresh=fresh,
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
