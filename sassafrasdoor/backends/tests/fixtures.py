"""Stand-ins and adapters in the event loop of the test."""

import contextlib
import unittest

from sassafrasdoor import settings
from sassafrasdoor.backends.http import HttpEngine, HttpService
from sassafrasdoor.backends.interface import Chunk, Finished, StreamOrder
from sassafrasdoor.standin.engine import EngineOptions, EngineStandIn
from sassafrasdoor.standin.service import ServiceOptions, ServiceStandIn
from sassafrasdoor.view import Backend

MODEL = "model"


class BackendsTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts stand-ins on demand and closes all after the test."""

    async def asyncSetUp(self):
        self.settings = settings.from_document({})
        self.engine = HttpEngine(self.settings)
        self.service = HttpService(self.settings)
        self.addCleanup(self.engine.close)
        self.addCleanup(self.service.close)

    def start_engine(self, name="engine-1", **options):
        """Start an engine stand-in; return it and its ``Backend``."""
        options = EngineOptions(**{"keep_done": 600.0, "load_lag": 0.02, **options})
        return self._start(EngineStandIn(options, name), "engine", options)

    def start_service(self, name="service-1", **options):
        """Start a service stand-in; return it and its ``Backend``."""
        options = ServiceOptions(**options)
        return self._start(ServiceStandIn(options, name), "service", options)

    def _start(self, stand_in, kind, options):
        stand_in.start()
        self.addAsyncCleanup(stand_in.close)
        backend = Backend(
            stand_in.name,
            stand_in.address,
            kind,
            options.service,
            capacity=options.capacity,
            checks_fencing=getattr(options, "checks_fencing", False),
        )
        return stand_in, backend

    async def read(self, backend, order):
        """Read a stream to its end; return ``(chunks, end)``."""
        chunks, end = [], None
        async with contextlib.aclosing(self.engine.stream(backend, order)) as items:
            async for item in items:
                if isinstance(item, Chunk):
                    chunks.append(item)
                else:
                    end = item
        return chunks, end


def stream_order(stream="trainer/1", max_tokens=40, **options):
    """Return an order for a short stream."""
    return StreamOrder(stream, MODEL, "how full is level two", max_tokens, **options)


def joined_text(chunks):
    """Return the text of chunks."""
    return "".join(chunk.text for chunk in chunks)


def span_lists(finished):
    """Return the spans of a finished stream as lists."""
    assert isinstance(finished, Finished), finished
    return [span.as_list() for span in finished.spans]
