"""A stand-in for a model engine: the wire of ``docs/INTERNALS.md``, with faults."""

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

WEIGHTS_TIMEOUT = 600.0


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


class EngineStandIn:
    """One engine: its batch, the orders it was given and the faults it plays."""

    __slots__ = (
        "_options",
        "_report",
        "_swap",
        "_tasks",
        "address",
        "batch",
        "counts",
        "fence",
        "leaving",
        "name",
        "orders",
        "role",
        "server",
        "silent_before",
    )

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
        self._options = options
        self._swap = asyncio.Lock()
        self._tasks = []
        self.name = name
        self.batch = Batch(options, name)
        self.counts = dict.fromkeys(self.COUNTED_FAULTS, 0)
        self.fence = 0
        self.role = ""
        self.leaving = False
        self.orders = []
        self.silent_before = 0.0
        self.server, self.address = serving.listen(self._application())
        self._report = (now(), self._current_load())

    def start(self):
        """Start generating, reporting and registering."""
        work = [self.batch.run(), self._report_load()]
        if self._options.platform:
            work.append(serving.stay_registered(self._options.platform, self.describe))
        self._tasks = [asyncio.ensure_future(coroutine) for coroutine in work]

    async def close(self):
        """Stop at once."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.server.stop()
        await self.server.close_all_connections()

    async def leave(self):
        """Take no new stream, finish those that run, leave the instance list."""
        self.leaving = True
        if self._options.platform:
            await serving.put_instance(self._options.platform, self.describe())
        while self.batch.running or self.batch.queued:  # noqa: ASYNC110
            await asyncio.sleep(self._options.tick)
        if self._options.platform:
            self._tasks[-1].cancel()
            await serving.delete_instance(self._options.platform, self.name)

    def describe(self):
        """Return this engine as the instance list holds it."""
        return {
            "name": self.name,
            "kind": "engine",
            "service": self._options.service,
            "address": self.address,
            "availability_zone": self._options.zone,
            "region": self._options.region,
            "capacity": self._options.capacity,
            "checks_fencing": self._options.checks_fencing,
            "models": list(self.batch.versions),
            "state": "leaving" if self.leaving else "alive",
        }

    def load(self):
        """Return the lagging load report with its age."""
        made, report = self._report
        return {**report, "age_ms": round((now() - made) * 1000)}

    def admit(self, document):
        """Return the stream of that id, a new one, or the reason for a refusal."""
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

    def take(self, fault):
        """Use up one of a counted fault; say whether there was one."""
        if not self.counts[fault]:
            return False
        self.counts[fault] -= 1
        return True

    def set_faults(self, faults):
        """Set the faults named; counted ones are numbers of times to come."""
        for name, value in faults.items():
            if name in self.counts:
                self.counts[name] = value
            else:
                getattr(self, f"_fault_{name}")(value)
        return {"faults": faults}

    def truth(self):
        """Return which versions made which tokens, and how often streams started."""
        streams = {
            name: {
                **executions[-1].record(),
                "starts": len(executions),
                "executions": [one.record() for one in executions],
            }
            for name, executions in self.batch.history.items()
        }
        return {
            "streams": streams,
            "versions": self.batch.versions,
            "orders": self.orders,
            "fence": self.fence,
        }

    async def order(self, fence, model, version, role):
        """Carry out an order; return whether its fencing number was accepted."""
        record = {"fence": fence, "model": model, "version": version, "applied": False}
        self.orders.append(record)
        if self._options.checks_fencing and fence < self.fence:
            return False
        self.fence = max(self.fence, fence)
        self.role = role or self.role
        async with self._swap:
            if self._options.checks_fencing and fence < self.fence:
                return False
            if model and self.batch.versions.get(model) != version:
                await self._change(model, version, record)
        return True

    async def _change(self, model, version, record):
        if self.take("false_swaps"):
            return
        self.batch.swapping = True
        record["began"] = now()
        try:
            await self._fetch_weights(model, version)
            if self.take("fail_swaps"):
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
        # An instance of its own: the shared one fetches ten at once at most, for
        # all the engines of this process together.
        client = SimpleAsyncHTTPClient(force_instance=True)
        try:
            await client.fetch(request)
        finally:
            client.close()
        await asyncio.sleep(self._options.install_seconds)

    async def _report_load(self):
        while True:
            self._report = (now(), self._current_load())
            await asyncio.sleep(self._options.load_lag)

    def _current_load(self):
        return {
            "running": len(self.batch.running),
            "queued": self.batch.queued,
            "capacity": self._options.capacity,
            "versions": dict(self.batch.versions),
            "role": self.role,
            "leaving": self.leaving,
        }

    def _application(self):
        return Application(handlers(self), log_function=lambda handler: None)

    def _fault_crash(self, value):
        os._exit(1)

    def _fault_freeze(self, value):
        self.batch.frozen = bool(value)

    def _fault_slow(self, value):
        self.batch.slow = float(value)

    def _fault_leaving(self, value):
        self.leaving = bool(value)

    def _fault_silence(self, value):
        """Connections open now go silent for good; new ones work."""
        self.silent_before = now()

    @property
    def late(self):
        """Seconds by which a late order reply is late."""
        return self._options.late


async def serve(options, name, count):
    """Serve ``count`` engines in this process until asked to stop."""
    names = [name] if count == 1 else [f"{name}-{number}" for number in range(count)]
    engines = [EngineStandIn(options, each) for each in names]
    for engine in engines:
        engine.start()
    addresses = {engine.name: engine.address for engine in engines}
    serving.print_ready(name, engines[0].address, addresses=addresses)
    await serving.until_asked_to_stop()
    await asyncio.gather(*[engine.leave() for engine in engines])
    await asyncio.gather(*[engine.close() for engine in engines])
