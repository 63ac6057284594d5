"""Parts of the scripts in ``review/4`` to ``review/8``: stand-ins and processes.

The store is the project's log in memory behind the protocol of PROTOCOL.md, with records
that have an age and expire. The replica follows PROTOCOL.md: requests, streams of
items, orders of versions. All listen on loopback addresses and on free ports.
"""

import asyncio
import base64
import json
import os
import pathlib
import signal
import socket
import struct
import subprocess
import sys
import time
import tomllib
import types

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from sassafrasdoor.log.memory_partitioned import MemoryPartitionedLog, Partition
from sassafrasdoor.log.partitioned import keyed_record
from sassafrasdoor.outcomes import Expired, Outcome, Unavailable

ROOT = pathlib.Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
HOST = "callers.example"
HEARTBEAT_S = 1.2
RECORD_BYTES, CALL_BYTES = 262144, 2097152  # of the store, as in the settings
LOAD_S = 0.9  # a change of version, from the sheets
FOLDER = pathlib.Path(__file__).resolve().parent
SETTINGS = (FOLDER / "lab.conf").read_text("utf-8")
WIRE = types.SimpleNamespace(**tomllib.loads((FOLDER / "lab.toml").read_text("utf-8")))
READ_OFFSETS, RECORD_LENGTH = struct.Struct(">QQ"), struct.Struct(">I")


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


def pack(records):
    return b"".join(RECORD_LENGTH.pack(len(record)) + record for record in records)


def unpack(data):
    records, at = [], 0
    while at + RECORD_LENGTH.size <= len(data):
        (length,) = RECORD_LENGTH.unpack_from(data, at)
        at += RECORD_LENGTH.size
        records.append(data[at : at + length])
        at += length
    return records


class Store:
    """The platform's store on a log; ``refused_appends`` counts those that are too long."""

    def __init__(self, log):
        self.log = log
        self.refused_appends = 0
        arguments = {"store": self}
        self._server = HTTPServer(
            Application(
                [
                    (WIRE.APPEND, _Append, arguments),
                    (WIRE.READ, _Read, arguments),
                    (WIRE.NEWEST, _Newest, arguments),
                ],
                log_function=lambda handler: None,
            )
        )
        port = free_port()
        self._server.listen(port, LOOPBACK)
        self.address = f"{LOOPBACK}:{port}"

    async def put(self, topic, key, document):
        """Write one key of a keyed topic, as operators, trainers and replicas do."""
        record = keyed_record(key, json.dumps(document).encode())
        await self.log.append(topic, 0, [record], None)

    async def configure(self, document):
        """Write the operator's configuration."""
        await self.put(WIRE.OPERATOR, "config", document)

    def stop(self):
        self._server.stop()


class _StoreHandler(RequestHandler):
    def initialize(self, store):
        self.store = store

    def partition(self):
        return self.get_query_argument("Topic"), int(self.get_query_argument("part"))

    def fail(self, outcome):
        self.set_status(410 if isinstance(outcome, Expired) else 503)
        self.finish({"First": outcome.first} if isinstance(outcome, Expired) else {})


class _Append(_StoreHandler):
    async def post(self):
        records = unpack(self.request.body)
        longest = max(map(len, records), default=0)
        if longest > RECORD_BYTES or sum(map(len, records)) > CALL_BYTES:
            self.store.refused_appends += 1
            self.set_status(400)
            self.finish({})
            return
        result = await self.store.log.append(*self.partition(), records, None)
        if isinstance(result, Outcome):
            self.fail(result)
        else:
            self.finish({"Offset": result.first, "End": result.end})


class _Read(_StoreHandler):
    async def get(self):
        offset = int(self.get_query_argument("From"))
        wait = int(self.get_query_argument("WaitMs", "0")) / 1000
        limit = int(self.get_query_argument("MaxKb", "1024")) * 1024
        partition = self.partition()
        result = await self.store.log.read(*partition, offset, wait, 0, limit)
        if isinstance(result, Outcome):
            self.fail(result)
            return
        first = self.store.log.partition(*partition).first
        self.finish(READ_OFFSETS.pack(result.end, first) + pack(result.records))


class _Newest(_StoreHandler):
    async def get(self):
        newest = await self.store.log.newest(self.get_query_argument("Topic"))
        items = [
            {"Key": key, "Value": base64.b64encode(value).decode(), "Offset": 0}
            for key, value in newest.values.items()
        ]
        self.finish({"Items": items, "HasMore": False, "End": newest.end})


def new_store(retention):
    """Return a ``Store`` whose records expire, and the task that does it."""
    log = AgingLog(retention)
    return Store(log), asyncio.ensure_future(log.expire())


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
            WIRE.BOOT: str(self._path),
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
        self.token = document.get(WIRE.FENCE, 0)
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
                    (WIRE.ORDER, _OrderHandler, {"replica": self}),
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
            await store.put(WIRE.SERVERS, self.identity, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def stop(self):
        self._server.stop()


class _ReplicaHandler(RequestHandler):
    def initialize(self, replica):
        self.replica = replica

    def is_misdirected(self):
        expected = self.request.headers.get(WIRE.EXPECT)
        if expected is None or expected == self.replica.identity:
            return False
        self.set_status(421)
        self.set_header(WIRE.INSTANCE, self.replica.identity)
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
        token, model = document.get(WIRE.FENCE), document.get("Model")
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
        request_id = headers.get(WIRE.REQUEST_ID, "")
        self.set_header(WIRE.REQUEST_ID, request_id)
        self.set_header("Keep-Alive", "timeout=55")
        replica.answers += 1
        if self.is_misdirected():
            return
        if replica.running >= replica.slots:
            replica.record.line(f"refused by {replica.identity}: {request_id}")
            self.set_status(503)
            self.set_header(WIRE.NOT_RUN, "1")
            if replica.spoils(request_id):
                replica.record.line(f"that answer to {request_id} has a wrong byte")
                self.set_header("Keep-Alive", b"timeout=5\xb2".decode("latin-1"))
            return
        replica.running += 1
        replica.runs.append((replica.record.seconds(), request_id))
        replica.record.line(f"run at {replica.identity}: {request_id}")
        stamp = f"{replica.identity}.{len(replica.runs)}"
        self.set_header(WIRE.STAMP, stamp)
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
        model = headers.get(WIRE.MODEL, "")
        version = replica.versions.get(model, 1)
        self.set_header("Content-Type", "text/event-stream")
        self.set_header(WIRE.VERSIONS, str(version))
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
        f"{WIRE.REQUEST_ID}: {request_id}\r\n"
        f"{WIRE.DEADLINE}: {deadline_ms}\r\n"
        f"{WIRE.TOKENS}: 20,400\r\n\r\n"
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
        request = HTTPRequest(f"http://{node.ready}{WIRE.READY}", request_timeout=1.0)
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
