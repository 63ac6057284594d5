"""A simulated model engine: continuous batching, prefix cache, weight swaps.

Text is a pure function of (seed, stream id, token number), so that a stream
resumed or started twice yields the same words wherever it runs.
"""

import asyncio
import heapq
import itertools
import json
import random
import zlib
from collections import OrderedDict

from sassafrasdoor.backends.interface import prefix_key
from sassafrasdoor.clock import deadline_in, now, passed

WORDS = (
    ("level", "gate", "bay", "unit", "rent", "key", "box", "hall", "truck", "sign")
    + ("full", "open", "free", "paid", "due", "late", "soon", "lost", "found", "now")
    + ("turn", "left", "right", "wait", "move", "in", "out", "one", "two", "three")
)
FULL_BATCH_SLOWDOWN = 0.5
"""Share of its rate a stream loses when every place of the batch is taken."""
MEAN_LENGTH_SHARE = 0.25
"""Mean length of a response as a share of ``max_tokens``."""


def word_at(seed, stream, offset):
    """Return the token that stands at ``offset`` of a stream."""
    return WORDS[zlib.crc32(f"{seed}/{stream}/{offset}".encode()) % len(WORDS)] + " "


def draw_length(seed, stream, max_tokens, tail):
    """Draw a stream's length: lognormal with shape ``tail``, 1..max_tokens."""
    draw = random.Random(f"{seed}/{stream}/length").lognormvariate(0.0, tail)
    return max(1, min(max_tokens, round(MEAN_LENGTH_SHARE * max_tokens * draw)))


class Stream:
    """A stream of the engine; it lives on without a connection."""

    __slots__ = (
        "cancelled",
        "chunks",
        "connections",
        "token_credit",
        "ends",
        "expires_at",
        "length",
        "model",
        "offset",
        "open_connections",
        "prefill_deadline",
        "prefix",
        "priority",
        "prompt_tokens",
        "seed",
        "spans",
        "start",
        "stream",
        "update_event",
    )

    def __init__(self, document, tail):
        self.stream = document["stream"]
        self.model = document["model"]
        self.priority = document.get("priority", 0)
        self.seed = document.get("seed", 0)
        self.start = self.offset = document.get("offset", 0)
        prompt = document["prompt"]
        self.prompt_tokens = len(prompt.split())
        self.prefix = prefix_key(prompt, document.get("prefix_tokens", 0))
        self.length = draw_length(self.seed, self.stream, document["max_tokens"], tail)
        self.length = max(self.length, self.start)
        self.chunks = []
        self.spans = []
        self.cancelled = False
        self.token_credit = 0.0
        self.prefill_deadline = None
        self.expires_at = None
        self.connections = 0
        self.open_connections = 0
        self.update_event = asyncio.Event()

    @property
    def done(self):
        """Whether its last token is out."""
        return self.offset >= self.length

    def produce(self, tokens, version):
        """Add the next tokens, made by one version."""
        tokens = min(tokens, self.length - self.offset)
        text = "".join(
            word_at(self.seed, self.stream, self.offset + i) for i in range(tokens)
        )
        self.chunks.append((self.offset, text, tokens, version))
        if self.spans and self.spans[-1][0] == version:
            self.spans[-1][2] += tokens
        else:
            self.spans.append([version, self.offset, self.offset + tokens])
        self.offset += tokens
        self.notify()

    def record(self):
        """Return what truly happened to the stream."""
        return {
            "spans": self.spans,
            "connections": self.connections,
            "open": self.open_connections,
            "offset": self.offset,
            "length": self.length,
            "done": self.done,
            "cancelled": self.cancelled,
        }

    def notify(self):
        """Wake every connection that waits for a chunk."""
        self.update_event.set()
        self.update_event = asyncio.Event()


class PrefixCache:
    """Prompt prefixes in limited memory; its events come late and with gaps."""

    __slots__ = (
        "_event_delay",
        "_events",
        "_prefixes",
        "_max_prefixes",
        "_loss_rate",
        "_event_numbers",
        "_random",
    )

    def __init__(self, limit, delay, loss, seed):
        self._max_prefixes = limit
        self._event_delay = delay
        self._loss_rate = loss
        self._random = random.Random(f"cache/{seed}")
        self._prefixes = OrderedDict()
        self._events = []
        self._event_numbers = itertools.count(1)

    def access(self, prefix):
        """Return whether the prefix was held; it is afterwards."""
        is_cached = prefix in self._prefixes
        self._prefixes[prefix] = True
        self._prefixes.move_to_end(prefix)
        if not is_cached:
            self._publish(prefix, True)
        if len(self._prefixes) > self._max_prefixes:
            evicted, _ = self._prefixes.popitem(last=False)
            self._publish(evicted, False)
        return is_cached

    def events(self, first):
        """Return the published events from number ``first`` on."""
        return [
            {"number": number, "prefix": prefix, "stored": stored}
            for visible_at, number, prefix, stored in self._events
            if number >= first and passed(visible_at)
        ]

    def _publish(self, prefix, stored):
        number = next(self._event_numbers)
        if self._random.random() >= self._loss_rate:
            self._events.append(
                (deadline_in(self._event_delay), number, prefix, stored)
            )


class Batch:
    """The streams of one engine: admitted by priority, advanced tick by tick."""

    __slots__ = (
        "_options",
        "_sequence",
        "_queue",
        "cache",
        "frozen",
        "history",
        "imported",
        "running",
        "slowdown",
        "streams",
        "swapping",
        "versions",
    )

    def __init__(self, options, seed=""):
        self._options = options
        self._queue = []
        self._sequence = itertools.count()
        self.cache = PrefixCache(
            options.cache_prefixes, options.cache_delay, options.cache_loss, seed
        )
        self.streams = {}
        self.running = []
        self.history = {}
        self.imported = set()
        self.versions = dict.fromkeys(options.models, options.initial_version)
        self.frozen = False
        self.swapping = False
        self.slowdown = 1.0

    @property
    def queued(self):
        """How many streams wait for a place."""
        return len(self._queue)

    @property
    def full(self):
        """Whether neither a place nor room in the queue is left."""
        return self.queued >= self._options.queue_size

    def start(self, document):
        """Queue a new stream and return it."""
        stream = Stream(document, self._options.tail)
        self.streams[stream.stream] = stream
        self.history.setdefault(stream.stream, []).append(stream)
        heapq.heappush(self._queue, (-stream.priority, next(self._sequence), stream))
        self._admit()
        return stream

    def cancel(self, name):
        """Forget a stream and end its connections."""
        stream = self.streams.pop(name, None)
        if stream is None:
            return
        stream.cancelled = not stream.done
        self.running = [other for other in self.running if other is not stream]
        self._queue = [entry for entry in self._queue if entry[2] is not stream]
        heapq.heapify(self._queue)
        stream.notify()

    def export_kv(self, name):
        """Return the KV cache of a stream as a string, or None."""
        stream = self.streams.get(name)
        return stream and json.dumps({"stream": name, "offset": stream.offset})

    async def run(self):
        """Advance all running streams for ever."""
        last_advanced_at = now()
        while True:
            await asyncio.sleep(self._options.tick)
            elapsed, last_advanced_at = now() - last_advanced_at, now()
            if not self.frozen:
                self._expire()
                self._advance(elapsed)

    def _admit(self):
        while self._queue and len(self.running) < self._options.capacity:
            stream = heapq.heappop(self._queue)[2]
            stream.prefill_deadline = deadline_in(self._prefill_time(stream))
            self.running.append(stream)

    def _prefill_time(self, stream):
        cached = self.cache.access(stream.prefix)
        if stream.stream in self.imported:
            return 0.0
        tokens = stream.start + (0 if cached else stream.prompt_tokens)
        return tokens * self._options.prefill_per_token

    def _advance(self, elapsed):
        self._admit()
        if self.swapping:
            return
        utilization = len(self.running) / self._options.capacity
        rate = (
            self._options.token_rate
            * (1 - FULL_BATCH_SLOWDOWN * utilization)
            / self.slowdown
        )
        for stream in self.running:
            if passed(stream.prefill_deadline):
                stream.token_credit += rate * elapsed
                if stream.token_credit >= 1:
                    tokens = int(stream.token_credit)
                    stream.token_credit -= tokens
                    stream.produce(tokens, self.versions.get(stream.model, 0))
        for stream in self.running:
            if stream.done:
                stream.expires_at = deadline_in(self._options.keep_done)
                stream.notify()
        self.running = [stream for stream in self.running if not stream.done]

    def _expire(self):
        for name, stream in list(self.streams.items()):
            if stream.expires_at is not None and passed(stream.expires_at):
                del self.streams[name]
