"""The platform's store: its log over HTTP, as the product's log interfaces."""

import base64
import json
import struct
import urllib.parse

from sassafrasdoor.backends.connections import Connections, Outgoing
from sassafrasdoor.backends.interface import Broken
from sassafrasdoor.clock import deadline_in
from sassafrasdoor.log.interface import Batch, PlatformLog, Record
from sassafrasdoor.log.partitioned import (
    Appended,
    GroupShare,
    NewestKeys,
    PartitionedLog,
    RawBatch,
)
from sassafrasdoor.metrics import counter
from sassafrasdoor.outcomes import Expired, Outcome, ReplyLost, Unavailable

CALL_TIMEOUT = 2.0
"""Seconds for a call that the store need not hold open: 60 times slower than usual
(4 ms) is still within it."""
LENGTH = struct.Struct(">I")
ENDS = struct.Struct(">QQ")
OK, GONE, UNAVAILABLE, TOO_MANY, FULL = 200, 410, 503, 429, 507
NO_EFFECT = {UNAVAILABLE, TOO_MANY, FULL}
JSON_HEADERS = {"Content-Type": "application/json"}

CALLS = counter("store_calls_total", "Calls to the platform's store, by result.")


class Store(PartitionedLog):
    """Calls to the store at one address."""

    __slots__ = ("_address", "_connections")

    def __init__(self, address):
        self._address = address
        self._connections = Connections()

    def close(self):
        """Close all connections."""
        self._connections.close()

    async def append(self, topic, part, records, deadline):
        """Append all records or none: ``Appended``, ``Unavailable``, ``ReplyLost``."""
        body = b"".join(LENGTH.pack(len(one)) + one for one in records)
        query = {"Topic": topic, "part": part}
        reply = await self._call("append", "POST", "log-append", query, body, deadline)
        if isinstance(reply, Broken):
            lost = ReplyLost if reply.began else Unavailable
            return lost(reply.reason)
        document = _document(reply)
        if reply.status == OK and document:
            return Appended(document["Offset"], document["End"])
        if reply.status in NO_EFFECT or 400 <= reply.status < 500:
            return Unavailable(f"store answered {reply.status}")
        return ReplyLost(f"store answered {reply.status}")

    async def read(self, topic, part, offset, wait, slack=CALL_TIMEOUT):
        """Return a ``RawBatch``, ``Expired`` or ``Unavailable``."""
        query = {"Topic": topic, "part": part, "From": offset}
        if wait:
            query["WaitMs"] = int(wait * 1000)
        deadline = deadline_in(wait + slack)
        reply = await self._call("read", "GET", "log-read", query, b"", deadline)
        if isinstance(reply, Broken):
            return Unavailable(reply.reason)
        if reply.status == GONE:
            document = _document(reply)
            if document is None:
                return Unavailable("expiry without its first offset")
            return Expired("offset no longer kept", document["First"])
        if reply.status != OK:
            return Unavailable(f"store answered {reply.status}")
        return _raw_batch(reply.body, offset)

    async def newest(self, topic):
        """Return the ``NewestKeys`` of a keyed topic, or ``Unavailable``."""
        values, end, after = {}, None, ""
        while True:
            query = {"Topic": topic, "part": 0}
            if after:
                query["After"] = after
            deadline = deadline_in(CALL_TIMEOUT)
            reply = await self._call(
                "newest", "GET", "log-newest", query, b"", deadline
            )
            if isinstance(reply, Broken):
                return Unavailable(reply.reason)
            document = _document(reply)
            if reply.status != OK or document is None:
                return Unavailable(f"store answered {reply.status}")
            # Pages are no snapshot: reading on from the first page's end meets
            # again whatever changed while the later pages were read.
            end = document["End"] if end is None else end
            for item in document["Items"]:
                after = item["Key"]
                values[after] = base64.b64decode(item["Value"] or "")
            if not document.get("HasMore") or not document["Items"]:
                return NewestKeys(values, end)

    async def join(self, group, member, topic, ttl, generation):
        """Join a group or stay in it; return a ``GroupShare`` or ``Unavailable``."""
        document = {
            "Group": group,
            "Member": member,
            "Topics": [topic],
            "TtlMs": int(ttl * 1000),
            "Generation": generation,
        }
        found = await self._post("join", "log-join", document)
        if isinstance(found, Outcome):
            return found
        rows = found["parts"]
        return GroupShare(found["Generation"], [part for name, part, *_ in rows])

    async def leave(self, group, member):
        """Leave a group."""
        return await self._post(
            "leave", "log-leave", {"Group": group, "Member": member}
        )

    async def _post(self, name, call, document):
        body = json.dumps(document).encode()
        deadline = deadline_in(CALL_TIMEOUT)
        reply = await self._call(name, "POST", call, {}, body, deadline)
        if isinstance(reply, Broken):
            return Unavailable(reply.reason)
        found = _document(reply)
        if reply.status != OK or found is None:
            return Unavailable(f"store answered {reply.status}")
        return found

    async def _call(self, name, method, call, query, body, deadline):
        path = f"/-/{call}"
        if query:
            path += "?" + urllib.parse.urlencode(query)
        headers = {"Host": self._address, **(JSON_HEADERS if body else {})}
        request = Outgoing(method, path, headers, body, deadline)
        reply = await self._connections.send(self._address, request)
        if isinstance(reply, Broken):
            self._connections.forget(self._address)
        result = "broken" if isinstance(reply, Broken) else str(reply.status)
        CALLS.inc({"call": name, "result": result})
        return reply


class AgreedLog(PlatformLog):
    """The product's own log of JSON records, on one partition of the store.

    The product counts offsets from 1, the store from 0.
    """

    __slots__ = ("_store", "_topics")

    def __init__(self, store):
        self._store = store

    async def append(self, stream, body):
        """Append once; return the offset, ``Unavailable`` or ``ReplyLost``."""
        data = json.dumps(body).encode()
        deadline = deadline_in(CALL_TIMEOUT)
        result = await self._store.append(stream, 0, [data], deadline)
        return result if isinstance(result, Outcome) else result.first + 1

    async def read(self, stream, offset, limit, wait):
        """Return a ``Batch``, ``Expired`` or ``Unavailable``."""
        result = await self._store.read(stream, 0, max(0, offset - 1), wait)
        if isinstance(result, Expired):
            return Expired(result.reason, result.first + 1)
        if isinstance(result, Outcome):
            return result
        numbered = enumerate(result.records[:limit], result.first + 1)
        records = [Record(at, _json_or_none(data)) for at, data in numbered]
        return Batch(records, result.first + 1 + len(records), 1)

    async def end(self, stream):
        """Return the next offset to be given, or ``Unavailable``."""
        result = await self._store.read(stream, 0, 0, 0)
        if isinstance(result, Expired):
            return result.first + 1
        return result if isinstance(result, Outcome) else result.end + 1

    def close(self):
        """The store's connections are closed with the store."""


def _json_or_none(data):
    try:
        return json.loads(data)
    except ValueError:
        return None


def _document(reply):
    try:
        document = json.loads(reply.body)
    except ValueError:
        return None
    return document if isinstance(document, dict) else None


def _raw_batch(data, offset):
    if len(data) < ENDS.size:
        return Unavailable("read answered without its offsets")
    end, _ = ENDS.unpack_from(data)
    records, at = [], ENDS.size
    while at + LENGTH.size <= len(data):
        (length,) = LENGTH.unpack_from(data, at)
        at += LENGTH.size
        if at + length > len(data):
            return Unavailable("read answered with half a record")
        records.append(data[at : at + length])
        at += length
    return RawBatch(records, offset, end)
