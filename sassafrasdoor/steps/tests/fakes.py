"""Fakes of the interfaces that steps use: engines, admission and chooser.

The engines record which version made each token of each stream, and a sample's text
contains its stream id and token numbers.
"""

import asyncio
import itertools

from sassafrasdoor import settings
from sassafrasdoor.backends.interface import (
    Broken,
    Chunk,
    Engine,
    Finished,
    Span,
    StreamState,
)
from sassafrasdoor.outcomes import NotRun, Unavailable
from sassafrasdoor.security import key_hash
from sassafrasdoor.steps import labels
from sassafrasdoor.steps.registry import StepsService
from sassafrasdoor.steps.spec import FetchSpec, StepSpec
from sassafrasdoor.support import until
from sassafrasdoor.table.rows import table_from
from sassafrasdoor.view import Backend, View

MODEL = "signs"
SERVICE = "engines"
KEY = "secret"


class FakeStream:
    """A stream of a fake engine; ``run`` differs each time a stream id is started."""

    def __init__(self, order, length, run):
        self.order = order
        self.length = length
        self.run = run
        self.first = order.offset
        self.versions = []
        self.cancelled = False

    @property
    def offset(self):
        return self.first + len(self.versions)

    @property
    def done(self):
        return self.offset >= self.length

    def spans(self):
        return labels.union(
            Span(version, self.first + index, self.first + index + 1)
            for index, version in enumerate(self.versions)
        )


class FakeEngineServer:
    """One engine; it generates tokens only in ``tick``, and none while frozen."""

    def __init__(self, name, version=1):
        self.name = name
        self.version = version
        self.streams = {}
        self.frozen = False
        self.dead = False
        self.refuses = False
        self.cut_next = 0
        self.speed = 1
        self.starts = 0
        self.cancels = []


class FakeEngines(Engine):
    """The engines of a test; ``length_of(stream id)`` is a length in tokens."""

    def __init__(self, names, length_of=lambda stream: 4):
        self.servers = {name: FakeEngineServer(name) for name in names}
        self.length_of = length_of
        self.backends = [
            Backend(name, f"{name}:1", "engine", SERVICE, capacity=64, models=[MODEL])
            for name in names
        ]
        self.versions_by_text = {}
        self._runs = itertools.count()

    def __getitem__(self, name):
        return self.servers[name]

    def set_version(self, version):
        for server in self.servers.values():
            server.version = version

    def tick(self, tokens=1):
        """Generate ``tokens`` tokens in each stream."""
        for server in self.servers.values():
            for stream in server.streams.values():
                if server.frozen or server.dead:
                    continue
                made = min(tokens * server.speed, stream.length - stream.offset)
                for _ in range(made):
                    stream.versions.append(server.version)

    async def stream(self, backend, order):
        server = self.servers[backend.name]
        if server.dead:
            yield Broken("connection refused", began=False)
            return
        if server.refuses:
            yield NotRun("queue full", 0.01)
            return
        if order.stream not in server.streams:
            run = next(self._runs)
            length = self.length_of(order.stream)
            server.streams[order.stream] = FakeStream(order, length, run)
            server.starts += 1
        async for item in self._items(server, order):
            yield item

    async def _items(self, server, order):
        stream, sent = server.streams[order.stream], order.offset
        while True:
            if server.dead or server.streams.get(order.stream) is not stream:
                yield Broken("cut")
                return
            if not server.frozen and sent < stream.offset:
                if server.cut_next:
                    server.cut_next -= 1
                    yield Broken("cut")
                    return
                version = stream.versions[sent - stream.first]
                text = self.token_text(order.stream, stream.run, sent)
                self.versions_by_text[text] = version
                sent += 1
                yield Chunk(sent - 1, text, 1, version)
            elif not server.frozen and stream.done:
                yield Finished(stream.length, stream.spans())
                return
            else:
                await asyncio.sleep(0.001)

    @staticmethod
    def token_text(stream, run, number):
        return f"{stream}/{run}/{number} "

    async def streams(self, backend, prefix):
        server = self.servers[backend.name]
        if server.dead or server.frozen:
            return Unavailable("no answer")
        return [
            StreamState(name, stream.offset, stream.done)
            for name, stream in server.streams.items()
            if name.startswith(prefix)
        ]

    async def cancel(self, backend, stream):
        server = self.servers[backend.name]
        if server.dead or server.frozen:
            return Unavailable("no answer")
        server.streams.pop(stream, None)
        server.cancels.append(stream)
        return None

    async def export_kv(self, backend, stream):
        server = self.servers[backend.name]
        held = None if server.frozen else server.streams.get(stream)
        return f"kv:{held.offset}" if held else Unavailable("no such stream")

    async def import_kv(self, backend, stream, kv):
        return None

    async def load(self, backend):
        raise NotImplementedError

    async def order(self, backend, order):
        raise NotImplementedError

    async def cache_events(self, backend, first):
        raise NotImplementedError

    def lose_streams(self, name):
        """Simulate an engine restart, which loses its streams."""
        self.servers[name].streams.clear()


class FakePermit:
    def __init__(self, admission):
        self._admission = admission

    def release(self):
        self._admission.used -= 1


class FakeAdmission:
    """Admits up to ``slots`` concurrent permits."""

    def __init__(self, slots=1000):
        self.slots = slots
        self.used = 0

    async def admit(self, view, row, deadline):
        await until(lambda: self.used < self.slots, what="a free slot")
        self.used += 1
        return FakePermit(self)


class FakeChooser:
    """Chooses the engine with the fewest calls in flight, the first on a tie."""

    def __init__(self):
        self.in_flight_by = {}
        self.outcomes = []

    def choose(self, view, service, model="", affinity="", exclude=()):
        usable = [
            backend for backend in view.serving(service) if backend.name not in exclude
        ]
        if not usable:
            return NotRun("none", 0.01)
        return min(usable, key=self.in_flight)

    def in_flight(self, backend):
        return self.in_flight_by.get(backend.name, 0)

    def load_of(self, backend):
        return self.in_flight(backend) / backend.capacity

    def started(self, backend):
        self.in_flight_by[backend.name] = self.in_flight(backend) + 1

    def finished(self, backend, outcome):
        self.in_flight_by[backend.name] -= 1
        self.outcomes.append(outcome)


def table(**changes):
    row = {
        "name": "trainer",
        "kind": "trainer",
        "service": SERVICE,
        "model": MODEL,
        "staleness_bound": 1,
        "key_hashes": [key_hash(KEY)],
        **changes,
    }
    return table_from({"rows": [row]})


class Bench:
    """The steps services of several instances with the same fake engines."""

    def __init__(self, engines=("e1", "e2"), length_of=lambda stream: 4, **row):
        self.engines = FakeEngines(engines, length_of)
        self.table = table(**row)
        self.settings = settings.from_document({"steps": {"attach_idle": 60}})
        self.announced = 1
        self.confirmed_at = None
        self.services = []

    @property
    def row(self):
        return self.table.rows[0]

    def view(self):
        return View(
            table=self.table,
            weights={MODEL: self.announced},
            backends=self.engines.backends,
            confirmed_at=self.confirmed_at,
        )

    def instance(self, **steps):
        """Return the steps service of another instance."""
        if steps:
            steps = {"attach_idle": 60, **steps}
            self.settings = settings.from_document({"steps": steps})
        service = StepsService(
            self.settings, self.view, FakeAdmission(), FakeChooser(), self.engines
        )
        self.services.append(service)
        return service

    async def close(self):
        for service in self.services:
            await service.close()

    def spec(self, **changes):
        document = {
            "step": "s1",
            "attach": 1,
            "groups": [{"prompt": "one"}, {"prompt": "two"}],
            "samples_per_group": 2,
            "max_tokens": 16,
            "deadline_ms": 60_000,
            **changes,
        }
        return StepSpec.model_validate(document)

    async def fetch(
        self, service, token="", attach=1, wait_ms=0, step="s1", row=None, **fields
    ):
        fetch = FetchSpec(token=token, attach=attach, wait_ms=wait_ms, **fields)
        return await service.fetch(row or self.row, step, fetch)

    def owner(self, service):
        return service._steps["trainer", "s1"].owner

    async def running(self, service, count):
        """Wait until ``count`` attempts of the step are running; return its owner."""
        owner = self.owner(service)
        await until(
            lambda: sum(len(sample.running) for sample in owner.samples) >= count
        )
        return owner

    async def ready(self, service, count):
        """Generate tokens until ``count`` samples are ready; return the owner."""
        owner = self.owner(service)

        def has_enough():
            self.engines.tick()
            return len(owner.ready) >= count

        await until(has_enough, what=f"{count} ready samples")
        return owner

    def engine_streams(self):
        """Return the ids of all streams on the engines."""
        servers = self.engines.servers.values()
        return [stream for server in servers for stream in server.streams]

    async def collect(self, service, attach=1, token="", **fields):
        """Fetch until the step is complete; return ``{(group, index): sample}``."""
        samples = {}
        while True:
            self.engines.tick()
            reply = await self.fetch(service, token, attach, wait_ms=5, **fields)
            for sample in reply["samples"]:
                key = (sample["group"], sample["index"])
                assert key not in samples, f"sample {key} was delivered twice"
                samples[key] = sample
            token = reply["token"]
            if not reply["remaining"]:
                return samples
