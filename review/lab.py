"""Parts of the scripts in ``review/4`` to ``review/8``: stand-ins and processes.

The store is the project's own stand-in, on a log whose records have an age and expire
(``RetentionS`` of PROTOCOL.md). The replica follows PROTOCOL.md: requests, streams of
items, orders of versions. All listen on loopback addresses and on free ports.
"""

import asyncio
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from sassafrasdoor.log.memory_partitioned import MemoryPartitionedLog, Partition
from sassafrasdoor.outcomes import Unavailable
from sassafrasdoor.platform import standin
from sassafrasdoor.platform.standin import StoreStandin
from sassafrasdoor.platform.store import unpack_records

ROOT = pathlib.Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
HOST = "callers.example"
HEARTBEAT_S = 1.2
RECORD_BYTES, CALL_BYTES = 262144, 2097152  # of the store, as in the settings
LOAD_S = 0.9  # a change of version, from the sheets
SETTINGS = """NodeName={name}
Role=entry
MachineClass=front
Serves=front,directory,control
Ip={ip}
Zone={zone}
Region=region-a
Zones.zone-a=region-a
Zones.zone-b=region-a
Zones.zone-c=region-a
Listen.Front={front}
Listen.Ready={ready}
Listen.Control={control}
Listen.Directory={directory}
Seeds={seeds}
Bootstrap={bootstrap}
LossCounts=false
Limits.CpuShare=0.717
Limits.Cores=3
Limits.MemoryMb=350
Limits.MaxFds=8200
Limits.LinkMbps=1000.0
Limits.DiskMb=0
Discovery=platform
Entry=directory
HeartbeatMs=1200
Contracts=base,drain,config,cost,recover,samples,stream,engine,batch,platform
FaultTolerance.Machines=1
FaultTolerance.Zones=0
FaultTolerance.Regions=0
Bounds.SeedLagS=3
Bounds.ReuseAfterS=2
Bounds.StableWindowMs=3000
Bounds.AckMs=4000
Bounds.CatchUpS=5.1
Bounds.DrainMs=2000
Bounds.GraceS=8
Bounds.LostSlackMs=200
Bounds.ConfigApplyMs=2000
Bounds.RollbackSlackMs=250
Bounds.MaxSkewMs=5000
Bounds.RecoveryS=12
Bounds.PassMs=120
Bounds.RetryAfterS=0
Bounds.FinishS=10
Bounds.StatusS=120
Bounds.CancelMs=3000
Bounds.SettleMs=1000
Bounds.QuotaOverage=0.1
Bounds.RequireFencing={fencing}
Bounds.LeaseMs=3000
Bounds.ThawMs=300
Bounds.ttl_max_s=5
Platform.Address={store}
Platform.form=log
Platform.WritesPerS=800
Platform.ReadsPerS=2000
Platform.parts=12
Platform.AppendMs=2.0
Platform.PartMbS=20.0
Platform.ReadMbS=80.0
Platform.RecordBytes=262144
Platform.CallBytes=2097152
Platform.RetentionS={retention}
Platform.PartMb=200
Platform.TtlMinMs=1000
"""


class Record:
    """What was sent, answered and run, a line each, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._began_at = time.monotonic()

    def seconds(self):
        return round(time.monotonic() - self._began_at, 3)

    def line(self, text):
        self._file.write(f"{self.seconds():8.3f} {text}\n")
        self._file.flush()

    def close(self):
        self._file.close()


class AgingPartition(Partition):
    """A partition that knows when each of its records was appended."""

    __slots__ = ("appended_at",)

    def __init__(self):
        super().__init__()
        self.appended_at = []

    def add(self, records, keyed, appended_at=None):
        moment = time.monotonic() if appended_at is None else appended_at
        self.appended_at += [moment] * len(records)
        return super().add(records, keyed)

    def expire_older_than(self, moment):
        """Drop the oldest records that were appended before a moment."""
        count = 0
        while count < len(self.appended_at) and self.appended_at[count] < moment:
            count += 1
        del self.appended_at[:count]
        self.expire(self.first + count)


class AgingLog(MemoryPartitionedLog):
    """The platform's log; records expire after ``retention`` seconds.

    ``refused`` are the partitions, as pairs of topic and number, whose calls get 503.
    """

    def __init__(self, retention):
        super().__init__()
        self._retention = retention
        self.refused = set()

    async def append(self, topic, part, records, deadline):
        if (topic, part) in self.refused:
            return Unavailable("down")
        return await super().append(topic, part, records, deadline)

    async def read(self, topic, part, offset, wait, slack, max_bytes=None):
        if (topic, part) in self.refused:
            return Unavailable("down")
        return await super().read(topic, part, offset, wait, slack, max_bytes)

    def partition(self, topic, part):
        return self._partitions.setdefault((topic, part), AgingPartition())

    async def expire(self):
        """Drop expired records until cancelled."""
        while True:
            before = time.monotonic() - self._retention
            for partition in list(self._partitions.values()):
                partition.expire_older_than(before)
            await asyncio.sleep(0.25)


class BoundedAppend(standin._Append):
    """Refuses records and calls that are longer than the settings say."""

    async def post(self):
        records = unpack_records(self.request.body) or []
        longest = max(map(len, records), default=0)
        if longest > RECORD_BYTES or sum(map(len, records)) > CALL_BYTES:
            self._store.refused_appends += 1
            self.set_status(400)
            self.finish({})
            return
        await super().post()


standin._Append = BoundedAppend


def new_store(retention):
    """Return a ``StoreStandin`` whose records expire, and the task that does it."""
    log = AgingLog(retention)
    store = StoreStandin(log)
    store.refused_appends = 0
    return store, asyncio.ensure_future(log.expire())


def free_port():
    """Return a port below the ephemeral range that nobody listens on."""
    free_port.last = getattr(free_port, "last", 15000 + os.getpid() % 150 * 100)
    while True:
        free_port.last += 1
        with socket.socket() as sock:
            if sock.connect_ex((LOOPBACK, free_port.last)):
                return free_port.last


class Node:
    """One process of the program, started with the command of ``deploy/system.toml``."""

    def __init__(self, folder, name, zone, store, fencing, retention=300):
        self.name = name
        ports = [f"{LOOPBACK}:{free_port()}" for _ in range(4)]
        self.front, self.ready, self.control, self.directory = ports
        self._zone, self._store = zone, store
        self._fencing, self._retention = fencing, retention
        self._path = pathlib.Path(folder) / f"{name}.conf"
        self.log_path = pathlib.Path(folder) / f"{name}.log"
        self._metrics_port = free_port()
        self.process = None

    def configure(self, nodes, bootstrap):
        """Write the settings file; ``nodes`` are all nodes, which are the seeds."""
        text = SETTINGS.format(
            name=self.name,
            ip=LOOPBACK,
            zone=self._zone,
            front=self.front,
            ready=self.ready,
            control=self.control,
            directory=self.directory,
            seeds=",".join(node.control for node in nodes[:3]),
            bootstrap=str(bootstrap).lower(),
            fencing=str(self._fencing).lower(),
            store=self._store,
            retention=self._retention,
        )
        self._path.write_text(text, "utf-8")

    def start(self):
        command = f"-m sassafrasdoor.platform --metrics-port {self._metrics_port}"
        environment = {
            "SASSAFRASDOOR_BOOT": str(self._path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "PATH": os.environ.get("PATH", ""),
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *command.split()],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def log_lines(self, message_type):
        """Return the log's lines of one message type, decoded."""
        lines = []
        for text in self.log_path.read_text("utf-8").splitlines():
            if f'"{message_type}"' in text:
                lines.append(json.loads(text))
        return lines


class Order:
    """An order as a replica received it."""

    def __init__(self, at, document, status):
        self.at = at
        self.holder = document.get("Holder", "")
        self.token = document.get("FencingToken", 0)
        self.model = document.get("Model", "")
        self.version = document.get("Version", 0)
        self.status = status


class Replica:
    """One replica: whole answers on ``/plain/``, else streams of ``events`` events.

    ``make_event(request_id, number)`` returns the data of an event, ``pause`` are the
    seconds between two. ``lengths`` maps request ids to the number of events of streams
    that are longer or shorter than ``events``, ``statuses`` maps others to the status of
    each answer, sent after ``status_after`` seconds; ``failed`` has their times and ids,
    ``finished`` those of the streams that were complete. ``spoils(request_id)`` says
    whether one byte of a refusal is wrong. ``checks_fences`` is ``RequireFencing``.
    """

    def __init__(self, record, identity, service, models=(), slots=12, zone="zone-a"):
        self.record = record
        self.identity = identity
        self.service = service
        self.versions = dict.fromkeys(models, 1)
        self.slots = slots
        self.zone = zone
        self.checks_fences = False
        self.highest_token = 0
        self.loading_until = 0.0
        self.orders = []
        self.accepted_orders = 0
        self.running = 0
        self.runs = []
        self.events = 6
        self.lengths = {}
        self.statuses = {}
        self.status_after = 0.05
        self.failed = []
        self.finished = []
        self.answers = 0
        self.spoils = lambda request_id: False
        self.pause = 0.05
        self.make_event = lambda request_id, number: f"{request_id}.{number}"
        self.state = "ready"
        self.beat_number = 0
        self._server = HTTPServer(
            Application(
                [
                    (r"/-/order", _OrderHandler, {"replica": self}),
                    (r"/.*", _WorkHandler, {"replica": self}),
                ],
                log_function=lambda handler: None,
            )
        )
        port = free_port()
        self._server.listen(port, LOOPBACK)
        self.address = f"{LOOPBACK}:{port}"

    def entry(self):
        self.beat_number += 1
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Models": [
                {"Name": name, "Version": version, "Adapters": []}
                for name, version in self.versions.items()
            ],
            "Sequence": self.beat_number,
        }

    async def beat(self, store):
        """Write the replica's entry as often as HeartbeatMs says, until cancelled."""
        while True:
            await store.put("keyed.servers", self.identity, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def stop(self):
        self._server.stop()


class _ReplicaHandler(RequestHandler):
    def initialize(self, replica):
        self.replica = replica

    def is_misdirected(self):
        expected = self.request.headers.get("Sassafrasdoor-Expect-Instance")
        if expected is None or expected == self.replica.identity:
            return False
        self.set_status(421)
        self.set_header("Sassafrasdoor-Instance-Id", self.replica.identity)
        return True


class _OrderHandler(_ReplicaHandler):
    def post(self):
        replica = self.replica
        if self.is_misdirected():
            return
        document = json.loads(self.request.body)
        status = self.judge(document)
        self.set_status(status)
        order = Order(replica.record.seconds(), document, status)
        replica.orders.append(order)
        replica.record.line(
            f"order at {replica.identity}: {order.model} version {order.version}"
            f" holder {order.holder} token {order.token} -> {status}"
        )

    def judge(self, document):
        replica = self.replica
        token, model = document.get("FencingToken"), document.get("Model")
        if token is None or "Holder" not in document:
            return 400
        if replica.checks_fences and token < replica.highest_token:
            return 412
        replica.highest_token = max(replica.highest_token, token)
        if replica.versions.get(model) == document.get("Version"):
            return 200
        if time.monotonic() < replica.loading_until:
            return 409
        replica.loading_until = time.monotonic() + LOAD_S
        replica.accepted_orders += 1
        asyncio.get_running_loop().call_later(LOAD_S, self.apply, document)
        return 202

    def apply(self, document):
        self.replica.versions[document["Model"]] = document["Version"]


class _WorkHandler(_ReplicaHandler):
    _left = False

    def on_connection_close(self):
        self._left = True

    async def post(self):
        replica, headers = self.replica, self.request.headers
        request_id = headers.get("Sassafrasdoor-Request-Id", "")
        self.set_header("Sassafrasdoor-Request-Id", request_id)
        self.set_header("Keep-Alive", "timeout=55")
        replica.answers += 1
        if self.is_misdirected():
            return
        if replica.running >= replica.slots:
            replica.record.line(f"refused by {replica.identity}: {request_id}")
            self.set_status(503)
            self.set_header("Sassafrasdoor-Not-Run", "1")
            if replica.spoils(request_id):
                replica.record.line(f"that answer to {request_id} has a wrong byte")
                self.set_header("Keep-Alive", b"timeout=5\xb2".decode("latin-1"))
            return
        replica.running += 1
        replica.runs.append((replica.record.seconds(), request_id))
        replica.record.line(f"run at {replica.identity}: {request_id}")
        stamp = f"{replica.identity}.{len(replica.runs)}"
        self.set_header("Sassafrasdoor-Server-Stamp", stamp)
        try:
            if request_id in replica.statuses:
                await asyncio.sleep(replica.status_after)
                status = replica.statuses[request_id]
                if not self._left:
                    replica.failed.append((replica.record.seconds(), request_id))
                    replica.record.line(f"{request_id} is answered {status}")
                self.set_status(status)
            elif self.request.path.startswith("/plain/"):
                await asyncio.sleep(replica.pause)
                self.finish(f"answer to {request_id}".encode())
            else:
                await self.stream(request_id)
        except StreamClosedError:
            pass
        finally:
            replica.running -= 1

    async def stream(self, request_id):
        replica, headers = self.replica, self.request.headers
        model = headers.get("Sassafrasdoor-Model", "")
        version = replica.versions.get(model, 1)
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Sassafrasdoor-Weight-Versions", str(version))
        last = headers.get("Last-Event-Id")
        first = 1 if last is None else int(last) + 1
        events = replica.lengths.get(request_id, replica.events)
        for number in range(first, events + 1):
            await asyncio.sleep(replica.pause)
            if self._left:
                return
            lines = [f"id: {number}", f"data: {replica.make_event(request_id, number)}"]
            if replica.versions.get(model, 1) != version:
                version = replica.versions[model]
                lines.insert(0, f"sassafrasdoor-weight-versions: {version}")
            self.write("\n".join(lines) + "\n\n")
            await self.flush()
        replica.finished.append((replica.record.seconds(), request_id))


class Stream:
    """What a caller got of a stream: its status, its bytes, whether it ended as complete."""

    def __init__(self):
        self.status = 0
        self.body = b""
        self.is_complete = False
        self.seconds = 0.0


async def read_stream(address, path, request_id, deadline_ms, record):
    """Send a request on a new connection, read its answer to the end; return it."""
    host, _, port = address.rpartition(":")
    result, began_at = Stream(), time.monotonic()
    record.line(f"POST {address}{path} {request_id}")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError as error:
        record.line(f"{request_id}: not connected: {error}")
        return result
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 1\r\n"
        f"Sassafrasdoor-Request-Id: {request_id}\r\n"
        f"Sassafrasdoor-Deadline-Ms: {deadline_ms}\r\n"
        "Sassafrasdoor-Token-Count: 20,400\r\n\r\n"
    )
    try:
        writer.write(head.encode() + b"q")
        async with asyncio.timeout(deadline_ms / 1000):
            await _read_answer(reader, result)
    except (asyncio.IncompleteReadError, OSError, ValueError, TimeoutError) as error:
        record.line(f"{request_id}: ended by {type(error).__name__}")
    writer.close()
    result.seconds = round(time.monotonic() - began_at, 3)
    record.line(
        f"{request_id}: status {result.status} after {result.seconds} s,"
        f" {len(result.body)} bytes, complete: {result.is_complete}"
    )
    return result


async def _read_answer(reader, result):
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    result.status = int(lines[0].split()[1])
    pairs = (line.partition(":") for line in lines[1:] if line)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    if "content-length" in headers:
        result.body = await reader.readexactly(int(headers["content-length"]))
        result.is_complete = True
        return
    while not result.is_complete:
        size = int((await reader.readline()).strip(), 16)
        result.body += await reader.readexactly(size)
        await reader.readexactly(2)
        result.is_complete = not size


class Client:
    """Sends requests and records them with their answers."""

    def __init__(self, record):
        self._record = record
        self._client = AsyncHTTPClient(force_instance=True, max_clients=200)

    async def call(
        self, address, path, method="GET", body=None, timeout=5.0, **headers
    ):
        """Return ``(status, body)``; status 0 for a connection without an answer."""
        request = HTTPRequest(
            f"http://{address}{path}",
            method=method,
            body=body,
            headers={"Host": HOST, **headers},
            request_timeout=timeout,
            allow_nonstandard_methods=True,
        )
        try:
            reply = await self._client.fetch(request, raise_error=False)
            status, data = reply.code, reply.body or b""
            status = 0 if status == 599 else status
        except (HTTPClientError, OSError):
            status, data = 0, b""
        self._record.line(f"{method} {address}{path} -> {status} {data[:120]!r}")
        return status, data

    async def is_ready(self, node):
        request = HTTPRequest(f"http://{node.ready}/-/ready", request_timeout=1.0)
        try:
            return (await self._client.fetch(request, raise_error=False)).code == 200
        except OSError:
            return False

    def close(self):
        self._client.close()


async def wait_until(condition, seconds):
    """Return whether a condition, plain or awaitable, holds within some seconds."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        result = condition()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return True
        await asyncio.sleep(0.05)
    return False
