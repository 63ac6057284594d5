"""A sample of a step and the attempts to produce it."""

from enum import Enum, auto

from sassafrasdoor.backends.interface import Broken, Finished, Span
from sassafrasdoor.clock import now
from sassafrasdoor.outcomes import Outcome
from sassafrasdoor.steps import labels
from sassafrasdoor.steps.resources import StreamLocation

MIN_ELAPSED = 0.02  # seconds; bounds the rate of an attempt that just began


class SampleState(Enum):
    """State of a sample at its owner."""

    PENDING = auto()  # no attempt reads a stream
    RUNNING = auto()  # at least one attempt reads a stream
    READY = auto()  # complete; kept until acknowledged
    TAKEN = auto()  # acknowledged by the trainer's token; data released


class Sample:
    """One sample; ``attempt`` is its finished attempt once READY.

    ``adopted`` is an attempt found on an engine, to start from; ``running`` are the
    attempts in progress, each read by one of ``tasks``; ``open_streams`` are the
    ``StreamLocation``s that engines may still hold. ``score`` is the answer to its
    reward call, or None.
    """

    __slots__ = (
        "adopted",
        "attempt",
        "generation",
        "open_streams",
        "position",
        "running",
        "score",
        "state",
        "tasks",
    )

    def __init__(self, position):
        self.score = None
        self.position = position
        self.state = SampleState.PENDING
        self.generation = 0
        self.adopted = None
        self.attempt = None
        self.running = set()
        self.tasks = set()
        self.open_streams = set()

    @property
    def tokens(self):
        """Number of tokens of its longest running attempt."""
        return max((attempt.offset for attempt in self.running), default=0)


class Spoiled(Outcome):
    """The received tokens come from different runs of the stream."""

    __slots__ = ()


class Attempt:
    """The text and version labels received of one stream from one engine.

    ``imported_tokens`` counts the tokens taken over from another engine with its KV
    cache, ``adopted_tokens`` those that this engine had made before the attempt began.
    """

    __slots__ = (
        "_spans",
        "_texts",
        "adopted_tokens",
        "backend",
        "breaks",
        "generation",
        "imported_tokens",
        "offset",
        "oldest",
        "started_at",
        "stream",
    )

    def __init__(self, backend, stream, generation, adopted_tokens=0):
        self.backend = backend
        self.stream = stream
        self.generation = generation
        self.started_at = now()
        self.breaks = 0
        self.adopted_tokens = adopted_tokens
        self.reset()

    @property
    def location(self):
        """The stream and its engine."""
        return StreamLocation(self.backend, self.stream)

    @property
    def text(self):
        """The text received."""
        return "".join(self._texts)

    @property
    def spans(self):
        """The version labels of the received tokens."""
        return labels.union(self._spans)

    @property
    def progress(self):
        """Number of tokens made during this attempt, without replayed ones."""
        return max(0, self.offset - max(self.imported_tokens, self.adopted_tokens))

    @property
    def rate(self):
        """Tokens per second since the attempt began."""
        return self.progress / max(now() - self.started_at, MIN_ELAPSED)

    def reset(self):
        """Discard all received tokens, as the engine restarts the stream."""
        self.imported_tokens = self.offset = 0
        self.oldest = None
        self._spans = []
        self._texts = []

    def copy_to(self, backend):
        """Return an attempt that continues at ``backend`` with the KV cache."""
        other = Attempt(backend, self.stream, self.generation)
        other.imported_tokens = other.offset = self.offset
        other.oldest = self.oldest
        other._spans, other._texts = list(self._spans), list(self._texts)
        return other

    def add_chunk(self, chunk):
        """Add a chunk; return False if it does not start at the current offset.

        A restarted engine may begin the stream again under its old id, which shows as a
        chunk at offset 0. Its tokens differ from those received, so these are
        discarded: joined, they would be a sample that no weights produced.
        """
        if chunk.offset == 0 and self.offset:
            self.reset()
        if chunk.offset != self.offset:
            return False
        self._texts.append(chunk.text)
        self.offset += chunk.tokens
        self.add_spans([Span(chunk.version, chunk.offset, self.offset)])
        return True

    def add_spans(self, spans):
        """Add version labels."""
        self._spans = labels.union([*self._spans, *spans])
        self.oldest = labels.oldest(self._spans)

    def verify(self, finished):
        """Return ``finished`` if every token arrived and is labelled, or the fault.

        The engine's report must cover every token made there. An engine that lost the
        stream and is asked to resume it starts a new one at that offset, and its report
        begins there; joined, the two would be a sample that no weights produced.
        """
        if finished.length != self.offset:
            return Broken(f"{self.offset} of {finished.length} tokens arrived")
        if not labels.covers(finished.spans, self.imported_tokens, finished.length):
            return Spoiled("the engine's report does not cover every token")
        self.add_spans(finished.spans)
        return Finished(finished.length, self.spans)
