"""A stand-in for a model engine: the protocol of ``docs/INTERNALS.md``, with faults.

``POST /standin/faults`` sets how often each of these faults is injected next:
``fail_before`` and ``fail_after`` (the first byte of a stream), ``truncate``,
``fail_swaps``, ``late_swaps``, ``false_swaps`` (success reported, nothing done) and
``lost_order_replies``. It sets values for ``freeze``, ``slow`` (a factor), ``leaving``,
``silence`` (connections open now send nothing more) and ``crash``.
"""

import asyncio
import os

from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient
from tornado.web import Application

from sassafrasdoor.clock import now
from sassafrasdoor.standin import serving
from sassafrasdoor.standin.batch import Batch
from sassafrasdoor.standin.engine_handlers import (
    HANG_UP_AFTER,
    HANG_UP_BEFORE,
    TRUNCATE,
    handlers,
)

WEIGHTS_TIMEOUT = 600.0  # seconds


OPTIONS = {
    "cache_delay": 0.2,
    "cache_loss": 0.1,
    "cache_prefixes": 32,
    "capacity": 16,
    "checks_fencing": True,
    "initial_version": 0,
    "install_seconds": 0.0,
    "keep_done": 60.0,
    "late": 2.0,
    "load_lag": 0.2,
    "models": ("model",),
    "platform": "",
    "prefill_per_token": 0.0005,
    "queue_size": 64,
    "region": "region-1",
    "service": "engines",
    "swap_seconds": 0.5,
    "tail": 0.8,
    "tick": 0.02,
    "token_rate": 200.0,
    "weights_url": "",
    "zone": "zone-a",
}


class EngineOptions:
    """All options of an engine stand-in with their defaults; times in seconds."""

    __slots__ = tuple(OPTIONS)

    def __init__(self, **options):
        for name, value in {**OPTIONS, **options}.items():
            setattr(self, name, value)


class EngineStandIn(serving.StandIn):
    """One engine: its batch, the orders that it received and its injected faults."""

    KIND = "engine"
    COUNTED_FAULTS = (
        HANG_UP_BEFORE,
        HANG_UP_AFTER,
        TRUNCATE,
        "fail_swaps",
        "late_swaps",
        "false_swaps",
        "lost_order_replies",
    )

    def __init__(self, options, name):
        super().__init__(options, name)
        self._swap_lock = asyncio.Lock()
        self.batch = Batch(options, name)
        self.fence = 0
        self.role = ""
        self.orders = []
        self.silenced_at = 0.0
        self.server, self.address = serving.listen(self._application())
        self._load_report = (now(), self.current_load())

    def start(self):
        """Start generation, load reports and registration."""
        super().start(self.batch.run())

    def models(self):
        """Return the names of the loaded models."""
        return list(self.batch.versions)

    def current_load(self):
        """Return the current load as a JSON-serializable mapping."""
        return {
            "running": len(self.batch.running),
            "queued": self.batch.queued,
            "capacity": self._options.capacity,
            "versions": dict(self.batch.versions),
            "role": self.role,
            "leaving": self.leaving,
        }

    def admit(self, document):
        """Return the existing or a new stream, or the reason for a refusal (``str``)."""
        stream = self.batch.streams.get(document["stream"])
        if stream is not None:
            return stream
        refusals = {
            "leaving": self.leaving,
            "model not loaded": document["model"] not in self.batch.versions,
            "queue full": self.batch.full,
        }
        for reason, refused in refusals.items():
            if refused:
                return reason
        return self.batch.start(document)

    def truth(self):
        """Return the executions of each stream, the versions, the orders and the fence."""
        streams = {
            name: {
                **executions[-1].record(),
                "starts": len(executions),
                "executions": [execution.record() for execution in executions],
            }
            for name, executions in self.batch.history.items()
        }
        return {
            "streams": streams,
            "versions": self.batch.versions,
            "orders": self.orders,
            "fence": self.fence,
        }

    async def execute_order(self, fence, model, version, role):
        """Execute an order; return whether its fencing number was accepted."""
        record = {"fence": fence, "model": model, "version": version, "applied": False}
        self.orders.append(record)
        if self._options.checks_fencing and fence < self.fence:
            return False
        self.fence = max(self.fence, fence)
        self.role = role or self.role
        async with self._swap_lock:
            if self._options.checks_fencing and fence < self.fence:
                return False
            if model and self.batch.versions.get(model) != version:
                await self._swap_weights(model, version, record)
        return True

    async def _swap_weights(self, model, version, record):
        if self.consume_fault("false_swaps"):
            return
        self.batch.swapping = True
        record["began"] = now()
        try:
            await self._fetch_weights(model, version)
            if self.consume_fault("fail_swaps"):
                raise RuntimeError("swap failed")
            self.batch.versions[model] = version
            record["applied"] = True
        finally:
            self.batch.swapping = False
            record["ended"] = now()

    async def _fetch_weights(self, model, version):
        if not self._options.weights_url:
            await asyncio.sleep(self._options.swap_seconds)
            return
        url = f"{self._options.weights_url}/weights/{model}/{version}"
        request = HTTPRequest(url, connect_timeout=5.0, request_timeout=WEIGHTS_TIMEOUT)
        # The shared client would limit all engines of this process together to ten
        # concurrent fetches.
        client = SimpleAsyncHTTPClient(force_instance=True)
        try:
            await client.fetch(request)
        finally:
            client.close()
        await asyncio.sleep(self._options.install_seconds)

    def _application(self):
        return Application(handlers(self), log_function=lambda handler: None)

    def _fault_crash(self, value):
        os._exit(1)

    def _fault_freeze(self, value):
        self.batch.frozen = bool(value)

    def _fault_slow(self, value):
        self.batch.slowdown = float(value)

    def _fault_silence(self, value):
        """Stop sending on the connections open now, for good; new ones work."""
        self.silenced_at = now()

    @property
    def order_reply_delay(self):
        """Delay of an order reply by ``late_swaps``, in seconds."""
        return self._options.late


async def serve(options, name, count):
    """Serve ``count`` engines in this process until a stop signal."""
    names = [name] if count == 1 else [f"{name}-{number}" for number in range(count)]
    engines = [EngineStandIn(options, engine_name) for engine_name in names]
    for engine in engines:
        engine.start()
    addresses = {engine.name: engine.address for engine in engines}
    serving.print_ready(name, engines[0].address, addresses=addresses)
    await serving.wait_for_stop_signal()
    await asyncio.gather(*[engine.leave() for engine in engines])
    await asyncio.gather(*[engine.close() for engine in engines])
