"""A sample of a step, and the attempts to make it."""

from enum import Enum, auto

from sassafrasdoor.backends.interface import Broken, Finished, Span
from sassafrasdoor.clock import now
from sassafrasdoor.outcomes import Outcome
from sassafrasdoor.steps import labels
from sassafrasdoor.steps.resources import StreamLocation

MIN_ELAPSED = 0.02


class SampleState(Enum):
    """Life of a sample at its owner."""

    PENDING = auto()  # nobody reads a stream of it
    RUNNING = auto()  # at least one attempt reads its stream
    READY = auto()  # whole, kept until the trainer has it
    TAKEN = auto()  # named by the trainer's token; nothing kept


class Sample:
    """One sample; ``attempt`` is its whole attempt once READY.

    ``adopted`` is an attempt to start from, found on an engine; ``running``
    are the attempts in progress, each read by one of ``tasks``; ``open_streams``
    are the streams that engines may still hold, as ``StreamLocation``. ``score`` is what
    its reward call was answered with, None without one.
    """

    __slots__ = (
        "adopted",
        "attempt",
        "generation",
        "position",
        "running",
        "score",
        "state",
        "tasks",
        "open_streams",
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
        """The tokens of its furthest attempt."""
        return max((attempt.offset for attempt in self.running), default=0)


class Spoiled(Outcome):
    """What was received is no version's work and must not be joined."""

    __slots__ = ()


class Attempt:
    """What was received of one stream from one engine, and its labels.

    ``imported_tokens`` counts the tokens that came from another engine, with its KV cache;
    ``adopted_tokens`` those that the engine had made before this attempt began.
    """

    __slots__ = (
        "_spans",
        "_texts",
        "backend",
        "imported_tokens",
        "breaks",
        "adopted_tokens",
        "generation",
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
        """The stream with its engine."""
        return StreamLocation(self.backend, self.stream)

    @property
    def text(self):
        """The text received."""
        return "".join(self._texts)

    @property
    def spans(self):
        """The label of what was received."""
        return labels.union(self._spans)

    @property
    def progress(self):
        """Tokens made while this attempt lasts; what is replayed is none."""
        return max(0, self.offset - max(self.imported_tokens, self.adopted_tokens))

    @property
    def rate(self):
        """Tokens a second over its whole life."""
        return self.progress / max(now() - self.started_at, MIN_ELAPSED)

    def reset(self):
        """Forget what was received: the engine makes the stream anew."""
        self.imported_tokens = self.offset = 0
        self.oldest = None
        self._spans = []
        self._texts = []

    def copy_to(self, backend):
        """Return an attempt that goes on at another engine with our KV cache."""
        other = Attempt(backend, self.stream, self.generation)
        other.imported_tokens = other.offset = self.offset
        other.oldest = self.oldest
        other._spans, other._texts = list(self._spans), list(self._texts)
        return other

    def add_chunk(self, chunk):
        """Add a chunk; return False if it does not continue what we have.

        A restarted engine may begin the stream again under its old id. Its
        tokens differ from those received; joining both would make a sample
        that no weights ever produced. One would notice a chunk at offset 0.
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
        """Add spans to the label."""
        self._spans = labels.union([*self._spans, *spans])
        self.oldest = labels.oldest(self._spans)

    def verify(self, finished):
        """Return ``finished`` if every token arrived and is labelled, or why not.

        The engine itself must vouch for every token made there. An engine that
        lost the stream and got the order to resume it makes up a new one from
        our offset on; joined to what came before, the sample would be no
        version's work. One would notice a report that begins at our offset.
        """
        if finished.length != self.offset:
            return Broken(f"{self.offset} of {finished.length} tokens arrived")
        if not labels.covers(finished.spans, self.imported_tokens, finished.length):
            return Spoiled("the engine does not vouch for every token")
        self.add_spans(finished.spans)
        return Finished(finished.length, self.spans)
