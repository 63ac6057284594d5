"""The records of a shard: steps, samples, their texts and scores, ends, claims.

Each record is one kind byte and a payload. Decoding is total: all other bytes are
reported as ``Unreadable`` and change nothing.
"""

import base64
import json
import uuid
import zlib

from sassafrasdoor.outcomes import Outcome

STEP, SAMPLE, FAILURE, END, CLAIM, PROGRESS = b"S", b"R", b"A", b"E", b"C", b"P"
TEXT, SCORE, REWARD_FAILURE = b"T", b"G", b"F"
PACKED = b"Z"
MIN_PACKED_BYTES = 1024  # shorter records gain less than the compression costs
COMPRESSION_LEVEL = 1
COMPLETED, ERRORED = "completed", "errored"
# Exceptions raised by decoding bytes that another writer may have written.
DECODE_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
    zlib.error,
)
MAX_REASON_LENGTH = 200  # characters of a reason that quotes such bytes


class Unreadable(Outcome):
    """A record that cannot be decoded."""

    __slots__ = ()


class RewardCall:
    """The request that scores a complete text, sent unchanged under its own id.

    ``host`` and ``path`` select its route; ``body`` are bytes.
    """

    __slots__ = ("body", "call_id", "host", "path")

    def __init__(self, call_id, host, path, body):
        self.call_id = call_id
        self.host = host
        self.path = path
        self.body = body


class Item:
    """One sample that a step requests.

    ``tokens`` is its maximum length, ``expected`` the caller's estimate of its length
    in tokens (0: none): right at the median, often far off. ``reward`` is the
    ``RewardCall`` that its text needs before it is listed, None for none.
    """

    __slots__ = (
        "body",
        "expected",
        "group",
        "headers",
        "item_id",
        "model",
        "path",
        "reward",
        "tokens",
    )

    def __init__(
        self,
        item_id,
        path,
        headers,
        body,
        tokens,
        expected,
        group,
        model,
        reward=None,
    ):
        self.item_id = item_id
        self.path = path
        self.headers = headers
        self.body = body
        self.tokens = tokens
        self.expected = expected
        self.group = group
        self.model = model
        self.reward = reward


# Bytes of decoded records in CPython 3.11, rounded up.
ITEM_BYTES = 1000  # of an item without its body and headers, and of its sample
HEADER_BYTES = 120  # of a header with a short name and value
REWARD_CALL_BYTES = 500


class StepSpec:
    """A step as submitted; ``min_version`` is the oldest weight version allowed.

    ``account`` names the client account that it belongs to, empty for none; the account
    may lose the key with which it was submitted.
    """

    __slots__ = (
        "account",
        "host",
        "items",
        "min_version",
        "model",
        "number",
        "path",
        "step_id",
        "wanted",
    )

    def __init__(
        self,
        step_id,
        host,
        path,
        number,
        model,
        min_version,
        wanted,
        items,
        account="",
    ):
        self.account = account
        self.step_id = step_id
        self.host = host
        self.path = path
        self.number = number
        self.model = model
        self.min_version = min_version
        self.wanted = wanted
        self.items = items

    def held_bytes(self):
        """Return about how many bytes the step takes, without its samples."""
        return sum(map(_held_by_item, self.items))


def _held_by_item(item):
    size = ITEM_BYTES + len(item.body) + HEADER_BYTES * len(item.headers)
    if item.reward is not None:
        size += REWARD_CALL_BYTES + len(item.reward.body)
    return size


class StepPart:
    """One piece of an encoded step: ``piece`` is number ``part`` of ``parts``."""

    __slots__ = ("part", "parts", "piece", "step_id")

    def __init__(self, step_id, part, parts, piece):
        self.step_id = step_id
        self.part = part
        self.parts = parts
        self.piece = piece


class Sample:
    """A listed sample: its final state, its text and the weight versions used.

    ``score`` is the answer to its reward call, empty if it has none.
    """

    __slots__ = ("item_id", "score", "state", "step_id", "text", "versions")

    def __init__(self, step_id, item_id, state, text, versions, score=""):
        self.step_id = step_id
        self.item_id = item_id
        self.state = state
        self.text = text
        self.versions = versions
        self.score = score


class Text:
    """A complete text that still needs its score; only the first of an item counts.

    It is in the log before its reward call is sent. Otherwise, after a crash of its
    runner, the text would be generated again and the score belong to another one.
    """

    __slots__ = ("item_id", "step_id", "text", "versions")

    def __init__(self, step_id, item_id, text, versions):
        self.step_id = step_id
        self.item_id = item_id
        self.text = text
        self.versions = versions


class Score:
    """The answer to an item's reward call: it lists the text that is in the log."""

    __slots__ = ("item_id", "score", "step_id")

    def __init__(self, step_id, item_id, score):
        self.step_id = step_id
        self.item_id = item_id
        self.score = score


class Failure:
    """A replica's own failure of an item, counted across runners.

    ``attempt`` is the id of the failed attempt. An append whose reply was lost is
    repeated; counted twice, one failure would end an item before its attempts are used.
    """

    __slots__ = ("attempt", "item_id", "step_id")

    def __init__(self, step_id, item_id, attempt=""):
        self.step_id = step_id
        self.item_id = item_id
        self.attempt = attempt or uuid.uuid4().hex[:12]


class RewardFailure(Failure):
    """A replica's own failure of an item's reward call, counted likewise."""

    __slots__ = ()


class End:
    """The end of a step."""

    __slots__ = ("step_id",)

    def __init__(self, step_id):
        self.step_id = step_id


class Claim:
    """A process's claim of the shard whose records contain it.

    It is valid only if the last valid claim is at offset ``replaces`` (-1: there is
    none); ``released`` releases the shard.
    """

    __slots__ = ("released", "replaces", "runner")

    def __init__(self, runner, replaces, released):
        self.runner = runner
        self.replaces = replaces
        self.released = released


class Progress:
    """Events of an unfinished sample, from index ``first`` of one run on.

    Events of different ``run`` names are never joined: two runners may have received
    them. ``numbers``, ``texts`` and ``versions`` are equally long.
    """

    __slots__ = ("first", "item_id", "numbers", "run", "step_id", "texts", "versions")

    def __init__(self, step_id, item_id, run, first, numbers, texts, versions):
        self.step_id = step_id
        self.item_id = item_id
        self.run = run
        self.first = first
        self.numbers = numbers
        self.texts = texts
        self.versions = versions


def validation_error(spec):
    """Return why a step's record would be unreadable, empty if it is valid."""
    document = _step_document(spec)
    try:
        for row in document.pop("items"):
            _decode_item(row, spec.model)
        _check_types(document)
    except DECODE_ERRORS as error:
        return str(error)[:MAX_REASON_LENGTH]
    return ""


def encode_step(spec, record_limit):
    """Return the records of a step, each at most ``record_limit`` bytes."""
    packed = zlib.compress(json.dumps(_step_document(spec)).encode(), COMPRESSION_LEVEL)
    piece_size = record_limit - 256
    pieces = [
        packed[start : start + piece_size]
        for start in range(0, len(packed), piece_size)
    ]
    return [
        STEP + _part_header(spec.step_id, part, len(pieces)) + piece
        for part, piece in enumerate(pieces)
    ]


def encode(record):
    """Return the bytes of any record except a step.

    Long ones are compressed: after a power failure all instances read all records at
    once, and share the log's bandwidth.
    """
    kind = _KINDS[type(record)]
    fields = {name: getattr(record, name) for name in _fields(type(record))}
    payload = json.dumps(fields).encode()
    if len(payload) < MIN_PACKED_BYTES:
        return kind + payload
    return PACKED + kind + zlib.compress(payload, COMPRESSION_LEVEL)


def decode(data):
    """Return the decoded record (for a step a ``StepPart``), or ``Unreadable``."""
    is_packed = data[:1] == PACKED
    data = data[is_packed:]
    decoder = _DECODERS.get(data[:1])
    if decoder is None:
        return Unreadable("unknown record kind")
    try:
        return decoder(zlib.decompress(data[1:]) if is_packed else data[1:])
    except DECODE_ERRORS as error:
        return Unreadable(f"malformed record: {error}"[:MAX_REASON_LENGTH])


def unpack_step(pieces):
    """Return the ``StepSpec`` in the joined pieces, or ``Unreadable``."""
    try:
        document = json.loads(zlib.decompress(b"".join(pieces)))
        items = [_decode_item(row, document["model"]) for row in document.pop("items")]
        _check_types(document)
        return StepSpec(items=items, **document)
    except DECODE_ERRORS as error:
        return Unreadable(f"malformed step: {error}"[:MAX_REASON_LENGTH])


def _fields(record_type):
    return record_type.__slots__ or record_type.__base__.__slots__


def _part_header(step_id, part, parts):
    return json.dumps([step_id, part, parts]).encode() + b"\n"


def _step_document(spec):
    document = {name: getattr(spec, name) for name in spec.__slots__}
    if not spec.account:
        # Earlier versions of this program cannot read a record with it.
        del document["account"]
    document["items"] = [
        [
            item.item_id,
            item.path,
            item.headers,
            base64.b64encode(item.body).decode(),
            item.tokens,
            item.expected,
            item.group,
            _encode_reward(item.reward),
        ]
        for item in spec.items
    ]
    return document


def _encode_reward(reward):
    if reward is None:
        return None
    body = base64.b64encode(reward.body).decode()
    return [reward.call_id, reward.host, reward.path, body]


def _decode_item(row, model):
    # Rows of earlier versions of this program have no reward call.
    item_id, path, headers, body, tokens, expected, group, *rest = row
    reward = _decode_reward(rest[0]) if rest and rest[0] is not None else None
    _check_types(
        {"item_id": item_id, "path": path, "headers": headers, "tokens": tokens}
    )
    _check_types({"expected": expected, "group": group, "model": model})
    body = base64.b64decode(body)
    return Item(item_id, path, headers, body, tokens, expected, group, model, reward)


def _decode_reward(row):
    call_id, host, path, body = row
    _check_types({"call_id": call_id, "host": host, "path": path})
    return RewardCall(call_id, host, path, base64.b64decode(body))


def _decode_part(data):
    header, _, piece = data.partition(b"\n")
    step_id, part, parts = json.loads(header)
    _check_types({"step_id": step_id, "part": part, "parts": parts})
    return StepPart(step_id, part, parts, piece)


_KINDS = {
    Sample: SAMPLE,
    Text: TEXT,
    Score: SCORE,
    Failure: FAILURE,
    RewardFailure: REWARD_FAILURE,
    End: END,
    Claim: CLAIM,
    Progress: PROGRESS,
}
# The type of each field. A record with another one would stop its readers for good:
# every instance would read it again after each start and fail on it again.
_TYPES = {
    "account": str,
    "attempt": str,
    "call_id": str,
    "expected": int,
    "first": int,
    "group": str,
    "headers": dict,
    "host": str,
    "item_id": str,
    "min_version": int,
    "model": str,
    "number": int,
    "numbers": list,
    "part": int,
    "parts": int,
    "path": str,
    "released": bool,
    "replaces": int,
    "run": str,
    "runner": str,
    "score": str,
    "state": str,
    "step_id": str,
    "text": str,
    "texts": list,
    "tokens": int,
    "versions": list,
    "wanted": int,
}
# The type of the elements of each list, except ``numbers``: an event may have none.
_ELEMENTS = {"texts": str, "versions": int}


def _check_types(fields):
    for name, value in fields.items():
        if name in _TYPES and type(value) is not _TYPES[name]:
            raise TypeError(f"{name} is {type(value).__name__}")
        if name in _ELEMENTS and any(
            type(element) is not _ELEMENTS[name] for element in value
        ):
            raise TypeError(f"{name} holds other elements")


def _decoder(record_type):
    def decode_record(data):
        fields = json.loads(data)
        _check_types(fields)
        return record_type(**fields)

    return decode_record


_DECODERS = {
    STEP: _decode_part,
    SAMPLE: _decoder(Sample),
    TEXT: _decoder(Text),
    SCORE: _decoder(Score),
    FAILURE: _decoder(Failure),
    REWARD_FAILURE: _decoder(RewardFailure),
    END: _decoder(End),
    CLAIM: _decoder(Claim),
    PROGRESS: _decoder(Progress),
}
