"""Fake backends and data for the tests of requests, routing and admission."""

import asyncio
from collections import Counter

from sassafrasdoor.backends.interface import (
    Answer,
    Broken,
    Chunk,
    Engine,
    Finished,
    Load,
    Service,
    Span,
    StreamState,
)
from sassafrasdoor.outcomes import NotRun, Unavailable
from sassafrasdoor.settings import from_document
from sassafrasdoor.table.rows import table_from
from sassafrasdoor.view import Backend, Member, View

KEY_HASH = "0" * 64


def settings(**sections):
    """Return settings with some sections changed."""
    result = from_document(sections)
    assert result, result.findings
    return result


def row_document(name, **fields):
    """Return an application's row as in a table document."""
    base = {"name": name, "kind": "application", "service": "desk", "model": "m"}
    return {**base, "key_hashes": [KEY_HASH], **fields}


def table(*rows):
    """Return a table of row documents."""
    result = table_from({"rows": list(rows)})
    assert result, result.findings
    return result


def backends(count, kind="service", **fields):
    """Return backend servers ``b0``, ``b1`` and so on."""
    fields = {"capacity": 8, "models": ["m"], **fields}
    return [
        Backend(f"b{number}", f"127.0.0.1:{9000 + number}", kind, "desk", **fields)
        for number in range(count)
    ]


def view(*rows, count=2, members=1, **fields):
    """Return a view over rows, with backend servers and members."""
    entries = [
        Member(f"entry-{number}", entry_address=f"127.0.0.1:{8000 + number}")
        for number in range(1, members + 1)
    ]
    fields = {"backends": backends(count), "members": entries, **fields}
    return View(table=table(*(rows or [row_document("app")])), **fields)


class FakeService(Service):
    """Returns the outcomes of ``script`` by backend name and counts runs."""

    def __init__(self, **script):
        self.script = script
        self.calls = []
        self.ran = Counter()
        self.gate = None

    async def call(self, backend, call):
        """Run one call."""
        self.calls.append((backend.name, call))
        outcome = self.script.get(backend.name)
        if isinstance(outcome, Broken) and not outcome.began:
            return outcome
        self.ran[call.request_id] += 1
        if self.gate is not None:
            await self.gate.wait()
        if outcome is None:
            return Answer(200, {}, call.request_id.encode())
        return outcome

    async def load(self, backend):
        """Report nothing in progress."""
        return Load(0, capacity=8)


class FakeEngine(Engine):
    """Generates ``w0 w1 ...``; ``faults[backend]`` has one fault per connection.

    A fault is ``(offset to stop at, last item)``. The engines in ``forgets`` lose their
    streams with the connection.
    """

    def __init__(self, faults=None, forgets=()):
        self.faults = {name: list(items) for name, items in (faults or {}).items()}
        self.forgets = set(forgets)
        self.starts = Counter()
        self.known = {}
        self.cancelled = []
        self.offsets = []
        self.closed = 0
        self.gate = None
        self.before_first = None

    async def stream(self, backend, order):
        """Start or resume a stream."""
        self.offsets.append(order.offset)
        faults = self.faults.get(backend.name)
        count, fault = faults.pop(0) if faults else (order.max_tokens, None)
        if isinstance(fault, NotRun) or getattr(fault, "began", True) is False:
            yield fault
            return
        streams = self.known.setdefault(backend.name, set())
        if order.stream not in streams:
            streams.add(order.stream)
            self.starts[order.stream] += 1
        try:
            if self.before_first is not None:
                await self.before_first.wait()
            for offset in range(order.offset, min(order.max_tokens, count)):
                if self.gate is not None and offset:
                    await self.gate.wait()
                yield Chunk(offset, f"w{offset} ", 1, 1)
        finally:
            self.closed += 1
        if backend.name in self.forgets:
            streams.discard(order.stream)
        if fault is None:
            spans = [Span(1, 0, order.max_tokens)]
            fault = Finished(order.max_tokens, spans)
        yield fault

    async def streams(self, backend, prefix):
        """List the streams that the engine has."""
        if self.known.get(backend.name) is None:
            return Unavailable("no such engine")
        return [StreamState(name, 0, False) for name in self.known[backend.name]]

    async def cancel(self, backend, stream):
        """Forget a stream."""
        self.cancelled.append((backend.name, stream))

    async def load(self, backend):
        """Report nothing in progress."""
        await asyncio.sleep(0)
        return Load(0, capacity=8)

    async def order(self, backend, order):
        """Not supported."""
        raise NotImplementedError

    cache_events = export_kv = import_kv = order
