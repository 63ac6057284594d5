"""Finding the streams of a step that an earlier owner left on engines."""

import asyncio
from collections import defaultdict

from sassafrasdoor import logs
from sassafrasdoor.outcomes import Outcome
from sassafrasdoor.steps.resources import EVENTS_TOTAL, StreamAt
from sassafrasdoor.steps.sample import Attempt, SampleState
from sassafrasdoor.view import State

ASKED_AT_ONCE = 32
ASK_TIMEOUT = 2.0


async def adopt(resources, owner):
    """Give the owner's samples the streams of an earlier owner, to finish them."""
    found = await streams_held(resources, owner.row.service, owner.identity)
    for position, streams in found.items():
        sample, best = owner.samples[position], streams[0]
        resources.cleaner.cancel(held.at for held in streams[1:])
        if sample.state is SampleState.TAKEN:
            resources.cleaner.cancel([best.at])
            continue
        sample.generation = best.generation
        sample.visited.add(best.at)
        sample.adopted = best.attempt()
        owner.counts.resumed += 1
        EVENTS_TOTAL.inc({"kind": "adopted", "row": owner.row.name})
    logs.changed("steps:adopted", row=owner.row.name, streams=len(found))
    owner.event("step-adopted", streams=len(found))


class Held:
    """A stream that an engine holds."""

    __slots__ = ("backend", "done", "generation", "offset", "stream")

    def __init__(self, backend, state, generation):
        self.backend = backend
        self.stream = state.stream
        self.offset = state.offset
        self.done = state.done
        self.generation = generation

    @property
    def at(self):
        """The stream with its engine."""
        return StreamAt(self.backend, self.stream)

    def attempt(self):
        """Return an attempt that reads it from its start."""
        return Attempt(self.backend, self.stream, self.generation, self.offset)

    @property
    def merit(self):
        """What makes a stream better than another of the same sample."""
        return (self.generation, self.done, self.offset)


async def streams_held(resources, service, identity):
    """Return ``{position: [Held, best first]}`` of a step.

    Engines that leave or are suspect are asked too, for streams may run
    there; one that does not answer in time is passed over, and what it holds
    is made again elsewhere.
    """
    permits = asyncio.Semaphore(ASKED_AT_ONCE)
    backends = [
        backend
        for backend in resources.view().backends
        if backend.service == service and backend.state is not State.DEAD
    ]
    answers = await asyncio.gather(
        *(_ask(resources.engine, backend, identity, permits) for backend in backends)
    )
    found = defaultdict(list)
    for position, held in (pair for answer in answers for pair in answer):
        found[position].append(held)
    for streams in found.values():
        streams.sort(key=lambda held: held.merit, reverse=True)
    return dict(found)


async def _ask(engine, backend, identity, permits):
    async with permits:
        try:
            async with asyncio.timeout(ASK_TIMEOUT):
                states = await engine.streams(backend, identity.prefix)
        except TimeoutError:
            return []
    if isinstance(states, Outcome):
        return []
    return [
        (parsed[0], Held(backend, state, parsed[1]))
        for state in states
        if (parsed := identity.parse(state.stream)) is not None
    ]
