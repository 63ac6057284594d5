"""The interface to backend servers, independent of their protocol.

Offsets and lengths of streams count tokens. Deadlines are monotonic; the two timeouts
of a stream are seconds, since they restart with each chunk.
"""

import hashlib
from abc import ABC, abstractmethod

from sassafrasdoor.outcomes import Outcome

PREFIX_KEY_LENGTH = 16


def prefix_key(prompt, prefix_tokens=0):
    """Return the key of a prompt's prefix: its first ``prefix_tokens`` words (0: all)."""
    words = prompt.split()
    prefix = " ".join(words[:prefix_tokens] if prefix_tokens else words)
    return hashlib.sha256(prefix.encode()).hexdigest()[:PREFIX_KEY_LENGTH]


class Broken(Outcome):
    """A call that ended without a complete reply.

    ``began`` is False only if no byte of the request can have reached the backend
    server.
    """

    __slots__ = ("began",)

    def __init__(self, reason, began=True):
        super().__init__(reason)
        self.began = began

    def __repr__(self):
        return f"Broken({self.reason!r}, began={self.began})"


class Refused(Broken):
    """The connection was refused: no process listens at the address any more."""

    __slots__ = ()

    def __init__(self, reason):
        super().__init__(reason, began=False)


class Stale(Outcome):
    """An engine refused a stale order; ``fence`` is the highest number it has seen."""

    __slots__ = ("fence",)

    def __init__(self, reason, fence):
        super().__init__(reason)
        self.fence = fence


class StreamOrder:
    """An order to start a stream, or to resume it at ``offset`` if the engine has it.

    ``first_byte_timeout`` and ``gap_timeout`` limit the seconds before the first chunk
    and between two chunks; ``deadline`` ends the stream, None for never.
    ``flush_interval`` is the longest time between two chunks in seconds, 0 for one
    chunk per token.
    """

    __slots__ = (
        "deadline",
        "first_byte_timeout",
        "flush_interval",
        "gap_timeout",
        "max_tokens",
        "model",
        "offset",
        "prefix_tokens",
        "priority",
        "prompt",
        "seed",
        "stream",
    )

    def __init__(
        self,
        stream,
        model,
        prompt,
        max_tokens,
        priority=0,
        offset=0,
        seed=0,
        first_byte_timeout=10.0,
        gap_timeout=5.0,
        deadline=None,
        prefix_tokens=0,
        flush_interval=0.0,
    ):
        self.stream = stream
        self.model = model
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.priority = priority
        self.offset = offset
        self.seed = seed
        self.first_byte_timeout = first_byte_timeout
        self.gap_timeout = gap_timeout
        self.deadline = deadline
        self.prefix_tokens = prefix_tokens
        self.flush_interval = flush_interval


class Chunk:
    """A chunk of a stream: ``tokens`` tokens from ``offset`` on, of one weight version."""

    __slots__ = ("offset", "text", "tokens", "version")

    def __init__(self, offset, text, tokens, version):
        self.offset = offset
        self.text = text
        self.tokens = tokens
        self.version = version


class Span:
    """The tokens from ``first`` to ``last`` (exclusive), of one weight version."""

    __slots__ = ("first", "last", "version")

    def __init__(self, version, first, last):
        self.version = version
        self.first = first
        self.last = last

    def __eq__(self, other):
        return isinstance(other, Span) and self.as_list() == other.as_list()

    def __hash__(self):
        return hash(tuple(self.as_list()))

    def __repr__(self):
        return f"Span({self.version}, {self.first}, {self.last})"

    def as_list(self):
        """Return the span in its JSON form."""
        return [self.version, self.first, self.last]


class Finished:
    """The end of a complete stream: its length in tokens and its ``Span``s."""

    __slots__ = ("length", "spans")

    def __init__(self, length, spans):
        self.length = length
        self.spans = spans


class StreamState:
    """A stream at an engine: its offset in tokens and whether it is done."""

    __slots__ = ("done", "offset", "stream")

    def __init__(self, stream, offset, done):
        self.stream = stream
        self.offset = offset
        self.done = done


class Load:
    """A backend server's load report, ``age`` seconds old.

    ``running``, ``queued`` and ``capacity`` count calls; ``versions`` maps a model to
    the weight version in use.
    """

    __slots__ = (
        "age",
        "capacity",
        "leaving",
        "queued",
        "role",
        "running",
        "versions",
    )

    def __init__(
        self,
        running,
        queued=0,
        capacity=1,
        age=0.0,
        versions=None,
        role="",
        leaving=False,
    ):
        self.running = running
        self.queued = queued
        self.capacity = capacity
        self.age = age
        self.versions = dict(versions or {})
        self.role = role
        self.leaving = leaving


class Order:
    """An idempotent order to serve ``version`` of ``model``, in ``role``.

    ``fence`` is the fencing number of the sender's lease; an empty ``role`` keeps the
    current one.
    """

    __slots__ = ("deadline", "fence", "model", "role", "version")

    def __init__(self, fence, model, version, role="", deadline=None):
        self.fence = fence
        self.model = model
        self.version = version
        self.role = role
        self.deadline = deadline


class CacheEvent:
    """An engine cached or evicted a prefix; event numbers may have gaps."""

    __slots__ = ("number", "prefix", "stored")

    def __init__(self, number, prefix, stored):
        self.number = number
        self.prefix = prefix
        self.stored = stored


class Call:
    """A call to a plain service; a non-``repeatable`` one is sent at most once."""

    __slots__ = (
        "body",
        "deadline",
        "headers",
        "method",
        "path",
        "repeatable",
        "request_id",
    )

    def __init__(
        self,
        method,
        path,
        headers=None,
        body=b"",
        request_id="",
        repeatable=True,
        deadline=None,
    ):
        self.method = method
        self.path = path
        self.headers = dict(headers or {})
        self.body = body
        self.request_id = request_id
        self.repeatable = repeatable
        self.deadline = deadline


class Answer:
    """A service's complete answer; ``headers`` maps names to values.

    ``signature`` is the server's signature of its answer, empty for none.
    """

    __slots__ = ("body", "headers", "signature", "status")

    def __init__(self, status, headers, body, signature=""):
        self.status = status
        self.headers = headers
        self.body = body
        self.signature = signature


class Engine(ABC):
    """A model engine. Closing the iterator of ``stream`` does not cancel the stream."""

    @abstractmethod
    def stream(self, backend, order):
        """Yield ``Chunk``s, then one ``Finished``, ``Broken`` or ``NotRun``."""

    @abstractmethod
    async def streams(self, backend, prefix):
        """Return the ``StreamState``s under a prefix, or ``Unavailable``."""

    @abstractmethod
    async def cancel(self, backend, stream):
        """Cancel and remove a stream; return None, or ``Unavailable``."""

    @abstractmethod
    async def load(self, backend):
        """Return the engine's ``Load``, or ``Unavailable``."""

    @abstractmethod
    async def order(self, backend, order):
        """Return the engine's versions, ``Stale``, ``Unavailable`` or ``ReplyLost``."""

    @abstractmethod
    async def cache_events(self, backend, first):
        """Return ``(events, next number)``, or ``Unavailable``."""

    @abstractmethod
    async def export_kv(self, backend, stream):
        """Return the KV cache of a stream (a string), or ``Unavailable``."""

    @abstractmethod
    async def import_kv(self, backend, stream, kv):
        """Load the KV cache of a stream into an engine; return None or ``Unavailable``."""


class Service(ABC):
    """A plain service."""

    @abstractmethod
    async def call(self, backend, call):
        """Return the complete ``Answer``, or ``Broken``."""

    @abstractmethod
    async def load(self, backend):
        """Return the service's ``Load``, or ``Unavailable``."""
