"""HTTP client for the platform's store, implementing the partitioned log."""

import base64
import struct
import urllib.parse

from sassafrasdoor.backends.connections import Connections, OutgoingRequest
from sassafrasdoor.backends.interface import Broken
from sassafrasdoor.clock import deadline_in
from sassafrasdoor.decisions import note
from sassafrasdoor.documents import (
    MAX_INTEGER,
    integer_field,
    parse_object,
    typed_field,
)
from sassafrasdoor.log.demand import CallCounter
from sassafrasdoor.log.partitioned import (
    Appended,
    NewestKeys,
    PartitionedLog,
    RawBatch,
)
from sassafrasdoor.metrics import counter
from sassafrasdoor.outcomes import Expired, ReplyLost, Unavailable
from sassafrasdoor.platform.configuration import UNREADABLE_RECORDS

# Seconds for a call that the store answers at once; covers calls that take 60 times the
# usual 4 ms.
CALL_TIMEOUT = 2.0
RECORD_LENGTH = struct.Struct(">I")
READ_OFFSETS = struct.Struct(">QQ")
OK, GONE, UNAVAILABLE, TOO_MANY, FULL = 200, 410, 503, 429, 507
NO_EFFECT = {UNAVAILABLE, TOO_MANY, FULL}
JSON_HEADERS = {"Content-Type": "application/json"}
MAX_LOGGED_KEY_LENGTH = 40  # characters
# Raised for answers whose fields are missing or of other types.
PARSE_ERRORS = (KeyError, TypeError, ValueError)

CALLS = counter("store_calls_total", "Calls to the platform's store, by result.")


class Store(PartitionedLog):
    """Client of the store at one address.

    ``demand`` counts the calls by purpose. ``newest_query`` has additional query
    parameters for loads of the newest values. With ``awaits_continue`` records are sent
    once the server has asked for them: see ``OutgoingRequest``.
    """

    __slots__ = (
        "_address",
        "_awaits_continue",
        "_call_counter",
        "_connections",
        "_newest_query",
    )

    def __init__(self, address, demand=None, newest_query=(), awaits_continue=False):
        self._address = address
        self._awaits_continue = awaits_continue
        self._newest_query = dict(newest_query)
        self._call_counter = demand or CallCounter()
        self._connections = Connections()

    def close(self):
        """Close all connections."""
        self._connections.close()

    async def append(self, topic, part, records, deadline):
        """Append all records or none.

        Returns ``Appended``, ``Unavailable`` if nothing was appended, or ``ReplyLost``
        if that is unknown.
        """
        body = pack_records(records)
        query = {"Topic": topic, "part": part}
        reply = await self._call("append", "POST", "log-append", query, body, deadline)
        if isinstance(reply, Broken):
            outcome_type = ReplyLost if reply.began else Unavailable
            return outcome_type(reply.reason)
        if reply.status == OK:
            fields = _offsets(reply, "Offset", "End")
            return Appended(*fields) if fields else ReplyLost("append without offsets")
        if reply.status in NO_EFFECT or 400 <= reply.status < 500:
            return Unavailable(f"store answered {reply.status}")
        return ReplyLost(f"store answered {reply.status}")

    async def read(self, topic, part, offset, wait, slack=CALL_TIMEOUT, max_bytes=None):
        """Return a ``RawBatch``, ``Expired`` or ``Unavailable``."""
        query = {"Topic": topic, "part": part, "From": offset}
        if wait:
            query["WaitMs"] = int(wait * 1000)
        if max_bytes is not None:
            query["MaxKb"] = max(1, int(max_bytes) // 1024)
        deadline = deadline_in(wait + slack)
        reply = await self._call("read", "GET", "log-read", query, b"", deadline)
        if isinstance(reply, Broken):
            return Unavailable(reply.reason)
        if reply.status == GONE:
            fields = _offsets(reply, "First")
            if fields is None:
                return Unavailable("expiry without its first offset")
            return Expired("offset no longer kept", *fields)
        if reply.status != OK:
            return Unavailable(f"store answered {reply.status}")
        return _parse_batch(reply.body, offset)

    async def newest(self, topic):
        """Return the ``NewestKeys`` of a keyed topic, or ``Unavailable``."""
        values, end, after = {}, None, ""
        while True:
            query = {"Topic": topic, "part": 0, **self._newest_query}
            if after:
                query["After"] = after
            deadline = deadline_in(CALL_TIMEOUT)
            reply = await self._call(
                "newest", "GET", "log-newest", query, b"", deadline
            )
            if isinstance(reply, Broken):
                return Unavailable(reply.reason)
            if reply.status != OK:
                return Unavailable(f"store answered {reply.status}")
            page = _parse_page(reply)
            if page is None:
                return Unavailable("newest values without their fields")
            _report_odd_keys(topic, page)
            if page.has_more and page.odd_keys and not page.values:
                return Unavailable("newest values without a key to continue after")
            # The pages are no snapshot. Reading continues at the end offset of the
            # first page, so that changes made during later pages are seen again.
            end = page.end if end is None else end
            if page.values and values.keys() >= page.values.keys():
                return Unavailable("newest values repeat")
            values |= page.values
            if not (page.has_more and page.values):
                return NewestKeys(values, end)
            after = page.last_key

    async def _call(self, name, method, call, query, body, deadline):
        path = f"/-/{call}"
        if query:
            path += "?" + urllib.parse.urlencode(query)
        headers = {"Host": self._address, **(JSON_HEADERS if body else {})}
        request = OutgoingRequest(
            method,
            path,
            headers,
            body,
            deadline,
            awaits_continue=self._awaits_continue,
        )
        purpose = self._call_counter.begin(name)
        reply, size = None, 0
        try:
            reply = await self._connections.send(self._address, request)
            if isinstance(reply, Broken):
                self._connections.close_idle(self._address)
            else:
                size = len(reply.body)
        finally:
            is_answered = reply is not None and not isinstance(reply, Broken)
            self._call_counter.end(purpose, is_answered and reply.status == OK, size)
        result = "broken" if isinstance(reply, Broken) else str(reply.status)
        CALLS.inc({"call": name, "result": result})
        return reply


def pack_records(records):
    """Return the records (bytes) concatenated, each preceded by its length."""
    return b"".join(RECORD_LENGTH.pack(len(record)) + record for record in records)


def unpack_records(data):
    """Return the records in packed bytes, or None if the last one is truncated."""
    records, position = [], 0
    while position + RECORD_LENGTH.size <= len(data):
        (length,) = RECORD_LENGTH.unpack_from(data, position)
        position += RECORD_LENGTH.size
        if position + length > len(data):
            return None
        records.append(data[position : position + length])
        position += length
    return records


def batch_document(batch, first_kept=0):
    """Encode a ``RawBatch`` as the answer that ``Store.read`` decodes."""
    return READ_OFFSETS.pack(batch.end, first_kept) + pack_records(batch.records)


def newest_document(newest):
    """Encode ``NewestKeys`` as the answer that ``Store.newest`` decodes."""
    items = [
        {"Key": key, "Value": base64.b64encode(value).decode(), "Offset": 0}
        for key, value in newest.values.items()
    ]
    return {"Items": items, "HasMore": False, "End": newest.end}


class _Page:
    """One page of the newest values of a keyed topic.

    Rows with ``odd_keys``, which cannot be encoded, are skipped. The next page follows
    ``last_key``, so that it may begin with some of them again.
    """

    __slots__ = ("end", "has_more", "last_key", "odd_keys", "values")

    def __init__(self, document):
        self.end = integer_field(document, "End", 0, MAX_INTEGER)
        self.has_more = bool(document.get("HasMore"))
        self.values = {}
        self.odd_keys = []
        self.last_key = ""
        for item in typed_field(document, "Items", list):
            key, value = typed_field(item, "Key", str), item["Value"] or ""
            if _is_encodable(key):
                self.last_key = key
                self.values[key] = base64.b64decode(value)
            else:
                self.odd_keys.append(key)


def _parse_page(reply):
    """Return the ``_Page`` of an answer, or None if it is malformed."""
    try:
        return _Page(parse_object(reply.body, allows_surrogates=True))
    except PARSE_ERRORS:
        return None


def _is_encodable(text):
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _report_odd_keys(topic, page):
    if not page.odd_keys:
        return
    UNREADABLE_RECORDS.add({"topic": topic}, len(page.odd_keys))
    first = ascii(page.odd_keys[0][:MAX_LOGGED_KEY_LENGTH])
    reason = f"{len(page.odd_keys)} keys cannot be encoded, the first is {first}"
    note("log.record_unreadable", topic=topic, offset=page.end, reason=reason)


def _offsets(reply, *names):
    """Return the named offsets of an answer, or None if it is malformed."""
    try:
        document = parse_object(reply.body)
        return [integer_field(document, name, 0, MAX_INTEGER) for name in names]
    except PARSE_ERRORS:
        return None


def _parse_batch(data, offset):
    if len(data) < READ_OFFSETS.size:
        return Unavailable("read answered without its offsets")
    end, _ = READ_OFFSETS.unpack_from(data)
    records = unpack_records(data[READ_OFFSETS.size :])
    if records is None:
        return Unavailable("read answered with half a record")
    return RawBatch(records, offset, end)
