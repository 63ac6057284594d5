"""Adopts the streams of a step that an earlier owner left on engines."""

import asyncio
from collections import defaultdict

from sassafrasdoor import logs
from sassafrasdoor.outcomes import Outcome
from sassafrasdoor.steps.resources import SAMPLE_EVENTS, StreamLocation
from sassafrasdoor.steps.sample import Attempt, SampleState
from sassafrasdoor.view import State

MAX_CONCURRENT_LISTINGS = 32
LISTING_TIMEOUT = 2.0  # seconds


async def adopt(resources, owner):
    """Assign the best existing stream to each sample and cancel the others."""
    streams_by_position = await find_streams(
        resources, owner.row.service, owner.identity
    )
    for position, streams in streams_by_position.items():
        sample, best = owner.samples[position], streams[0]
        resources.cleaner.cancel(stream.location for stream in streams[1:])
        if sample.state is SampleState.TAKEN:
            resources.cleaner.cancel([best.location])
            continue
        sample.generation = best.generation
        sample.open_streams.add(best.location)
        sample.adopted = best.attempt()
        owner.counts.resumed += 1
        SAMPLE_EVENTS.inc({"kind": "adopted", "row": owner.row.name})
    logs.changed("steps:adopted", row=owner.row.name, streams=len(streams_by_position))
    owner.event("step-adopted", streams=len(streams_by_position))


class FoundStream:
    """A stream of the step on an engine."""

    __slots__ = ("backend", "done", "generation", "offset", "stream")

    def __init__(self, backend, state, generation):
        self.backend = backend
        self.stream = state.stream
        self.offset = state.offset
        self.done = state.done
        self.generation = generation

    @property
    def location(self):
        """The stream and its engine."""
        return StreamLocation(self.backend, self.stream)

    def attempt(self):
        """Return an attempt that reads the stream from its start."""
        return Attempt(self.backend, self.stream, self.generation, self.offset)

    @property
    def rank(self):
        """Sort key among the streams of one sample; the best is the highest."""
        return (self.generation, self.done, self.offset)


async def find_streams(resources, service, identity):
    """Return ``{position: [FoundStream, best first]}`` of a step.

    Draining and suspect engines are asked too, as streams may run there. The streams of
    an engine that does not answer in time are regenerated elsewhere.
    """
    permits = asyncio.Semaphore(MAX_CONCURRENT_LISTINGS)
    backends = [
        backend
        for backend in resources.view().backends
        if backend.service == service and backend.state is not State.DEAD
    ]
    answers = await asyncio.gather(
        *(
            _list_streams(resources.engine, backend, identity, permits)
            for backend in backends
        )
    )
    streams_by_position = defaultdict(list)
    for position, stream in (pair for answer in answers for pair in answer):
        streams_by_position[position].append(stream)
    for streams in streams_by_position.values():
        streams.sort(key=lambda stream: stream.rank, reverse=True)
    return dict(streams_by_position)


async def _list_streams(engine, backend, identity, permits):
    async with permits:
        try:
            async with asyncio.timeout(LISTING_TIMEOUT):
                states = await engine.streams(backend, identity.prefix)
        except TimeoutError:
            return []
    if isinstance(states, Outcome):
        return []
    return [
        (parsed[0], FoundStream(backend, state, parsed[1]))
        for state in states
        if (parsed := identity.parse(state.stream)) is not None
    ]
