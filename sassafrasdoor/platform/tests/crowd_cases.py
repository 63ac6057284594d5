"""Test case for crowds of callers at an instance on the platform's protocol."""

import base64
import json
import tempfile

from sassafrasdoor.clock import deadline_in
from sassafrasdoor.crowds import Bounds
from sassafrasdoor.platform import configuration, wire
from sassafrasdoor.platform.local import LOOPBACK, PORTS, LocalInstance
from sassafrasdoor.platform.standin import ReplicaStandin, StoreStandin
from sassafrasdoor.platform.tests.cases import (
    ENGINES,
    HOST,
    MODEL,
    PLAIN,
    ROUTES,
    SERVICES,
)
from sassafrasdoor.steps.durable import records
from sassafrasdoor.steps.durable.service import TOPIC, shard_of
from sassafrasdoor.tests.crowd_cases import ORDINARY_BODY, CrowdCase

LARGE_ANSWER, LARGE_ANSWER_BYTES = "/plain/large", 1_000_000
LARGE_STREAM, LARGE_EVENT_BYTES = "/o/large", 500_000
STEP_ID = "large-step"
SAMPLES, SAMPLE_BYTES = 8, 200_000  # of that step; a page has up to 900,000 bytes


class _Instance(LocalInstance):
    """A local instance with a metrics address."""

    def __init__(self, folder, store, bounds):
        port = next(PORTS)
        self.metrics = f"{LOOPBACK}:{port}"
        more = (
            f"Limits.MemoryMb={bounds.memory_mb}\nLimits.MaxFds={bounds.descriptors}\n"
        )
        arguments = ("--metrics-port", port)
        super().__init__(folder, f"i{port}", store, more=more, arguments=arguments)

    @property
    def pid(self):
        return self.process.pid

    @property
    def lines(self):
        return self.log_path.read_text("utf-8").splitlines()


class InstanceCase(CrowdCase):
    """One instance, an engine, a plain replica and a store."""

    bounds = Bounds(memory_mb=96, descriptors=800, large_body_bytes=8_000_000)
    ordinary_headers = {"Host": HOST, wire.REQUEST_ID: "ordinary"}

    @classmethod
    async def start(cls):
        await super().start()
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.folder = folder.name
        cls.store = StoreStandin()
        cls.engine, cls.plain = ReplicaStandin("e"), ReplicaStandin("p")
        cls.plain.padding[LARGE_ANSWER] = LARGE_ANSWER_BYTES
        cls.engine.padding[LARGE_STREAM] = LARGE_EVENT_BYTES
        document = {"Version": 1, "Routes": ROUTES, "Services": SERVICES}
        await cls.store.configure(document)
        for replica, service, models in (
            (cls.engine, ENGINES, [MODEL]),
            (cls.plain, PLAIN, []),
        ):
            entry = replica.entry(service, models)
            await cls.store.put(configuration.SERVERS_TOPIC, replica.identity, entry)
        await cls.store_large_step()

    @classmethod
    async def store_large_step(cls):
        """Append a step whose samples are listed and long."""
        items = [
            records.Item(f"i{at}", "/s/x", {}, b"b" * 1000, 1, 1, "g", MODEL)
            for at in range(SAMPLES)
        ]
        spec = records.StepSpec(STEP_ID, HOST, "/s/", 0, MODEL, 0, SAMPLES, items)
        packed = records.encode_step(spec, 262_144)
        for item in items:
            sample = records.Sample(
                STEP_ID, item.item_id, records.COMPLETED, "t" * SAMPLE_BYTES, [1]
            )
            packed.append(records.encode(sample))
        await cls.store.log.append(TOPIC, shard_of(MODEL), packed, deadline_in(5))

    @classmethod
    async def start_process(cls):
        if cls.process is not None:
            cls.process.close()
        cls.process = _Instance(cls.folder, cls.store.address, cls.bounds)

    @classmethod
    async def stop(cls):
        await super().stop()
        if cls.process is not None:
            cls.process.close()
        for standin in (cls.store, cls.engine, cls.plain):
            standin.stop()

    async def check_ordinary_callers(self):
        instance = self.process
        newest = f"/-/log-newest?Topic={configuration.OPERATOR_TOPIC}"
        for call in (
            (instance.front, "/plain/x", "POST", b"b"),
            (instance.ready, "/-/ready"),
            (instance.directory, "/-/resolve?Zone=z"),
            (instance.metrics, "/metrics"),
            (instance.control, newest),
            (instance.front, f"/-/lots/{STEP_ID}?After={SAMPLES - 1}"),
            (instance.front, "/plain/x", "POST", ORDINARY_BODY),
        ):
            await self.wait_for_answer(200, *call)


def step_fields(size):
    """Return a submission of very many empty items."""
    return b'{"Items":[' + b'{"a":{}},' * (size // 9) + b"0]}"


def step_of_short_headers(size):
    """Return a submission whose items have very many short headers."""
    headers = {f"{number:x}": "" for number in range(1000)}
    body = base64.b64encode(b"b").decode()
    row = {"Path": "/s/x", "Headers": headers, "Body": body}
    rows = [{**row, "Id": f"{at}"} for at in range(size // len(json.dumps(row)))]
    document = {"Step": 1, "Model": MODEL, "MinVersion": 1, "Desired": 1}
    return json.dumps({**document, "Items": rows}).encode()
