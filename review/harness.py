"""Stand-ins and processes for the cases under ``review/``.

The store, the replicas and the callers speak the users' pages on loopback addresses. The
program is started with the command of ``deploy/system.toml``, one process an instance,
each on a loopback address of its own, since all use the same metrics port.
"""

import argparse
import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "ficu95.example"
METRICS_PORT = 9464
STORE_DELAY = 0.004  # seconds for an answer
READ_OFFSETS, RECORD_LENGTH = struct.Struct(">QQ"), struct.Struct(">I")
RETENTION = 300.0  # seconds, as in the settings
NEWEST_PAGE = 500
ENTRY_LAPSES_AFTER = 3  # heartbeat intervals
# Value of SO_LINGER with a time of 0: closing a socket resets its connection.
LINGER_RESET = struct.pack("ii", 1, 0)
NO_ANSWER = 599  # status of a call without a complete answer
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
PLAY_TIMEOUT = 110.0  # seconds
MAX_SHOWN_BREAKS = 10
FOLDER = pathlib.Path(__file__).resolve().parent
SETTINGS = (FOLDER / "settings.conf").read_text("utf-8")
WIRE = tomllib.loads((FOLDER / "wire.toml").read_text("utf-8"))
HEADERS, PATHS, TOPICS = WIRE["headers"], WIRE["paths"], WIRE["topics"]
FIELDS = WIRE["fields"]
ID, STAMP = HEADERS["id"], HEADERS["stamp"]
EXPECT, NOT_RUN = HEADERS["expect"], HEADERS["not_run"]
WEIGHTS, DEADLINE = HEADERS["weights"], HEADERS["deadline"]


def route(kind, name, prefix, service, **fields):
    """Return a route as the operator writes it; ``kind`` names a table of wire.toml."""
    where = {"Name": name, "Host": HOST, FIELDS["prefix"]: prefix, "Service": service}
    return {**where, **WIRE[kind], **fields}


def configuration(version, routes, engines, models):
    """Return a configuration with one service of engines."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {
                "Name": engines,
                "HealthPath": "/health",
                "MaxConnections": 150,
                "Protocol": "h1",
                "Tls": False,
                "Engine": {
                    "Slots": 12,
                    "KvCacheTokens": 36588,
                    "Models": [{"Name": model} for model in models],
                },
            }
        ],
        "Limits": WIRE["limits"],
    }


def token_headers(model, prompt):
    """Return the headers of a request for tokens."""
    return {
        HEADERS["model"]: model,
        HEADERS["tokens"]: "271,60",
        HEADERS["prefix"]: prompt,
    }


def batch_job(step, model, min_version, prefix, item_ids):
    """Return the body of a submission; two items make up a group."""
    rows = [
        {
            "Id": item_id,
            "Path": f"{prefix}{number}/{item_id[:4]}",
            "Headers": token_headers(model, f"{number // 2 + 1:x}:255,{item_id}:16"),
            "Body": base64.b64encode(item_id.encode()).decode(),
            "Tokens": 331,
            "Group": f"{step}-{number // 2}",
        }
        for number, item_id in enumerate(item_ids)
    ]
    return json.dumps(
        {
            "Step": step,
            "Model": model,
            "MinVersion": min_version,
            "Desired": len(rows) // 2,
            "Items": rows,
        }
    )


def new_ids(count):
    """Return new ids of requests, items or batch jobs."""
    return [f"{random.getrandbits(64):016x}" for _ in range(count)]


class CannotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class Recorder:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._started_at = time.monotonic()
        self._path = path
        path.write_text("", "utf-8")

    @property
    def seconds(self):
        """Seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, event, **fields):
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self._path.open("a", encoding="utf-8") as file:
            file.write(f"{self.seconds:8.3f} {event} {text}\n")


def free_port(host):
    """Return a port that is free at ``host``."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


def loopback_hosts(count):
    """Return loopback addresses at which the metrics port is free."""
    hosts, net = [], random.randrange(20, 250)
    for last in range(1, 250):
        host = f"127.{net}.{random.randrange(1, 250)}.{last}"
        try:
            with socket.socket() as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                sock.bind((host, METRICS_PORT))
        except OSError:
            continue
        hosts.append(host)
        if len(hosts) == count:
            return hosts
    raise CannotRun("no free loopback addresses")


def serve(application, host="127.0.0.1", port=0):
    """Serve an application; return ``(server, "host:port")``."""
    server = HTTPServer(application, idle_connection_timeout=60)
    sockets = bind_sockets(port, host)
    server.add_sockets(sockets)
    return server, f"{host}:{sockets[0].getsockname()[1]}"


def _quiet(handler):
    """Replace Tornado's log line for each answer by none."""


class Partition:
    """Records with the times at which they were appended."""

    def __init__(self):
        self.first = 0
        self.records = []
        self.times = []
        self.newest = {}
        self.changed = asyncio.Event()

    @property
    def end(self):
        """The offset of the next append."""
        return self.first + len(self.records)

    def expire(self):
        """Drop the records that are older than the retention time."""
        limit = time.monotonic() - RETENTION
        count = 0
        while count < len(self.times) and self.times[count] < limit:
            count += 1
        del self.records[:count], self.times[:count]
        self.first += count


class Store:
    """The platform's metadata store.

    ``fault(handler, call, topic, part)`` may return "refused" for a call that is answered
    503, "late" for an append that is done later and not answered, "lost" for one that is
    done and not answered, or None. ``handler.caller`` names the instance that calls.
    """

    def __init__(self, recorder):
        self.recorder = recorder
        self.partitions = {}
        self.fault = lambda handler, call, topic, part: None
        self.late_seconds = 3.0

    def open_address(self, caller):
        """Serve one caller at an address of its own, so that its calls are known."""
        arguments = {"store": self, "caller": caller}
        application = Application(
            [
                (PATHS["append"], _Append, arguments),
                (PATHS["read"], _Read, arguments),
                (PATHS["newest"], _Newest, arguments),
            ],
            log_function=_quiet,
        )
        _, address = serve(application)
        return address

    def partition(self, topic, part):
        """Return a partition, created on first use."""
        key = (topic, int(part))
        if key not in self.partitions:
            self.partitions[key] = Partition()
        self.partitions[key].expire()
        return self.partitions[key]

    def append(self, topic, part, records):
        """Append records; return the offset of the first."""
        partition = self.partition(topic, part)
        offset = partition.end
        for data in records:
            partition.records.append(data)
            partition.times.append(time.monotonic())
            if topic.startswith("keyed."):
                size = data[0]
                key, value = data[1 : 1 + size].decode(), data[1 + size :]
                partition.newest.pop(key, None)
                if value:
                    partition.newest[key] = (value, partition.end - 1)
        partition.changed.set()
        partition.changed = asyncio.Event()
        return offset

    def put(self, topic, key, document):
        """Write one key of a keyed topic; None drops it."""
        value = b"" if document is None else json.dumps(document).encode()
        name = key.encode()
        self.append(topic, 0, [bytes([len(name)]) + name + value])

    def configure(self, document):
        """Write the operator's configuration."""
        self.put(TOPICS["operator"], "config", document)
        self.recorder.write("operator.config", version=document["Version"])

    def name_version(self, model, version):
        """Write the trainer's new version of a model."""
        self.put(
            TOPICS["operator"], f"version/{model}", {"Model": model, "Version": version}
        )
        self.recorder.write("trainer.version", model=model, version=version)

    def age(self, seconds):
        """Make all records older, as if nothing had run for that time."""
        for partition in self.partitions.values():
            partition.times = [moment - seconds for moment in partition.times]


class _StoreHandler(RequestHandler):
    def initialize(self, store, caller):
        self._store = store
        self.caller = caller

    async def prepare(self):
        await asyncio.sleep(STORE_DELAY)

    def _partition(self):
        return self.get_query_argument("Topic"), int(self.get_query_argument("part"))


class _Append(_StoreHandler):
    async def post(self):
        records, position, body = [], 0, self.request.body
        while position < len(body):
            (length,) = RECORD_LENGTH.unpack_from(body, position)
            position += RECORD_LENGTH.size
            records.append(body[position : position + length])
            position += length
        topic, part = self._partition()
        fault = self._store.fault(self, "append", topic, part)
        if fault == "refused":
            self.set_status(503)
            return
        if fault == "late":
            await asyncio.sleep(self._store.late_seconds)
        offset = self._store.append(topic, part, records)
        if fault is not None:
            self._auto_finish = False
            self.request.connection.stream.close()
            return
        self.finish({"Offset": offset, "End": offset + len(records)})


class _Read(_StoreHandler):
    async def get(self):
        topic, part = self._partition()
        offset = int(self.get_query_argument("From"))
        wait = int(self.get_query_argument("WaitMs", "0")) / 1000
        limit = int(self.get_query_argument("MaxKb", "1024")) * 1024
        if self._store.fault(self, "read", topic, part) == "refused":
            self.set_status(503)
            return
        until = time.monotonic() + wait
        partition = self._store.partition(topic, part)
        while partition.end <= offset and time.monotonic() < until:
            try:
                await asyncio.wait_for(
                    partition.changed.wait(), until - time.monotonic()
                )
            except TimeoutError:
                break
        partition.expire()
        if offset < partition.first:
            self.set_status(410)
            self.finish({"First": partition.first})
            return
        body, size = [READ_OFFSETS.pack(partition.end, partition.first)], 0
        for data in partition.records[offset - partition.first :]:
            size += len(data) + RECORD_LENGTH.size
            if len(body) > 1 and size > limit:
                break
            body.append(RECORD_LENGTH.pack(len(data)) + data)
        self.finish(b"".join(body))


class _Newest(_StoreHandler):
    def get(self):
        topic, part = self._partition()
        if self._store.fault(self, "newest", topic, part) == "refused":
            self.set_status(503)
            return
        partition = self._store.partition(topic, part)
        after = self.get_query_argument("After", "")
        keys = sorted(key for key in partition.newest if key > after)
        items = [
            {
                "Key": key,
                "Value": base64.b64encode(partition.newest[key][0]).decode(),
                "Offset": partition.newest[key][1],
            }
            for key in keys[:NEWEST_PAGE]
        ]
        more = len(keys) > NEWEST_PAGE
        self.finish({"Items": items, "HasMore": more, "End": partition.end})


class Replica:
    """A replica; ``orders`` has ``(seconds, holder, token, version, status)``.

    A load takes ``load_seconds``; meanwhile requests for the model are refused.
    """

    def __init__(self, recorder, identity, service, slots, models=(), fenced=True):
        self.recorder = recorder
        self.identity = identity
        self.service = service
        self.slots = slots
        self.models = dict.fromkeys(models, 1)
        self.fenced = fenced
        self.orders = []
        self.fence = 0
        self.sequence = 0
        self.loading_until = 0.0
        self.load_seconds = 0.9
        self.running = 0
        self.state = "ready"
        self.events, self.pause = 6, 0.05
        self.runs = []
        self.is_down = False
        self.connections = set()
        arguments = {"replica": self}
        self._application = Application(
            [
                (PATHS["order"], _Order, arguments),
                (r"/health", _Health, arguments),
                (r"/.*", _Work, arguments),
            ],
            log_function=_quiet,
        )
        self._server, self.address = serve(self._application)

    def crash(self):
        """Reset all connections and listen no more, as a killed process."""
        self.is_down = True
        self._server.stop()
        for stream in self.connections:
            if not stream.closed():
                stream.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET
                )
                stream.close()
        self.connections.clear()

    def start_again(self, identity):
        """Listen again at the same address as a new incarnation."""
        self.identity = identity
        self.is_down = False
        self.sequence = 0
        port = int(self.address.rpartition(":")[2])
        self._server, _ = serve(self._application, port=port)

    def entry(self):
        """Return the replica's entry in the list."""
        entry = {
            "Service": self.service,
            "Address": self.address,
            "Zone": "z-a",
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": self.sequence,
        }
        if self.models:
            entry["Stage"] = "both"
            entry["Models"] = [
                {"Name": name, "Version": version, "Adapters": []}
                for name, version in self.models.items()
            ]
        return entry

    async def beat(self, store, interval=1.2):
        """Write the entry at each heartbeat until cancelled."""
        listed, silent = None, 0
        while True:
            if self.is_down:
                silent += 1
            else:
                self.sequence += 1
                silent, listed = 0, self.identity
                store.put(TOPICS["servers"], self.identity, self.entry())
            if silent == ENTRY_LAPSES_AFTER and listed is not None:
                store.put(TOPICS["servers"], listed, None)
                listed = None
            await asyncio.sleep(interval)

    def take(self, document):
        """Return the status for an order."""
        model, version = document["Model"], document["Version"]
        token = document[FIELDS["fence"]]
        if self.fenced and token < self.fence:
            return 412
        self.fence = max(self.fence, token)
        if time.monotonic() < self.loading_until:
            return 409
        if self.models.get(model) == version:
            return 200
        self.models[model] = version
        self.loading_until = time.monotonic() + self.load_seconds
        return 202


class _ReplicaHandler(RequestHandler):
    def initialize(self, replica):
        self._replica = replica
        self._left = False
        replica.connections.add(self.request.connection.stream)

    def on_connection_close(self):
        self._left = True

    def _misdirected(self):
        request_id = self.request.headers.get(ID)
        if request_id is not None:
            self.set_header(ID, request_id)
        if self.request.headers.get(EXPECT, self._replica.identity) == (
            self._replica.identity
        ):
            return False
        self.set_status(421)
        self.set_header(NOT_RUN, "1")
        return True


class _Health(_ReplicaHandler):
    def get(self):
        self.set_header(HEADERS["instance"], self._replica.identity)


class _Order(_ReplicaHandler):
    def post(self):
        if self._misdirected():
            return
        replica, document = self._replica, json.loads(self.request.body)
        status = replica.take(document)
        order = (
            replica.recorder.seconds,
            document["Holder"],
            document[FIELDS["fence"]],
            document["Version"],
            status,
        )
        replica.orders.append(order)
        replica.recorder.write(
            "replica.order",
            replica=replica.identity,
            holder=order[1],
            token=order[2],
            model=document["Model"],
            version=order[3],
            status=status,
        )
        self.set_status(status)


class _Work(_ReplicaHandler):
    async def post(self):
        if self._misdirected():
            return
        replica = self._replica
        model = self.request.headers.get(HEADERS["model"])
        loading = model and time.monotonic() < replica.loading_until
        if replica.running >= replica.slots or loading:
            self.set_status(503)
            self.set_header(NOT_RUN, "1")
            return
        run = {
            "at": replica.recorder.seconds,
            "id": self.request.headers.get(ID),
            "replica": replica.identity,
            "after": self.request.headers.get("Last-Event-Id"),
            "path": self.request.path,
            "ended": None,
        }
        replica.runs.append(run)
        replica.running += 1
        replica.recorder.write("replica.run", **{**run, "at": ""})
        try:
            await self.answer(run, model)
        except StreamClosedError:
            self._left = True
        finally:
            # Nothing can be sent to a caller that has left.
            self._auto_finish = not self._left
            run["ended"] = replica.recorder.seconds
            replica.running -= 1

    async def answer(self, run, model):
        """Answer a plain request, or send the events of an item."""
        replica = self._replica
        self.set_header(STAMP, f"{replica.identity}.{len(replica.runs)}")
        if model is None:
            await asyncio.sleep(replica.pause)
            if not self._left:
                self.finish(b"answer to " + (run["id"] or "").encode())
            return
        self.set_header(WEIGHTS, str(replica.models[model]))
        self.set_header("Content-Type", "text/event-stream")
        first = 0 if run["after"] is None else int(run["after"]) + 1
        for number in range(first, replica.events):
            await asyncio.sleep(replica.pause)
            if self._left:
                return
            self.write(f"id: {number}\ndata: {run['id']}.{number}\n\n")
            await self.flush()


class Instance:
    """One process of the program with its own loopback address."""

    def __init__(self, folder, name, host, store_address, more):
        self.name = name
        ports = {"Front": 0, "Ready": 0, "Control": 0, "Directory": 0}
        self.addresses = {key: f"{host}:{free_port(host)}" for key in ports}
        self.front = self.addresses["Front"]
        self.ready = self.addresses["Ready"]
        self.settings = pathlib.Path(folder) / f"{name}.conf"
        self._host, self._store, self._more = host, store_address, more
        self.log = pathlib.Path(folder) / f"{name}.log"
        self.process = None

    def write_settings(self, seeds, port_range=None):
        """Write the settings file."""
        low = port_range or free_port(self._host)
        lines = [
            f"NodeName={self.name}",
            f"Ip={self._host}",
            *(f"Listen.{key}={value}" for key, value in self.addresses.items()),
            f"PortRange={low},{low + 15}",
            f"Seeds={','.join(seeds)}",
            f"Platform.Address={self._store}",
            *self._more,
        ]
        self.settings.write_text(SETTINGS + "\n".join(lines) + "\n", "utf-8")

    def start(self):
        """Start the process with the command of the deploy file."""
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            command = tomllib.load(file)["roles"]["entry"]["run"].split()
        if command[0] == "python3":
            command[0] = sys.executable
        environment = {
            WIRE["settings_variable"]: str(self.settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
        }
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number):
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


def _options():
    """Return the options that ``run.sh`` passes on."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--trouble", required=True, help="0 leaves the disruption out")
    parser.add_argument("--record", required=True, type=pathlib.Path)
    return parser.parse_args()


class Case:
    """A small deployment: a store, replicas and instances, and a record of events."""

    def __init__(self, folder, more=(), instances=3):
        options = _options()
        self.folder = pathlib.Path(folder)
        self.trouble = options.trouble != "0"
        self.record = Recorder(options.record)
        self.record.write("case", name=self.folder.name, trouble=int(self.trouble))
        self.temporary = tempfile.TemporaryDirectory()
        self.store = Store(self.record)
        self.replicas = []
        self.tasks = []
        self.client = AsyncHTTPClient(force_instance=True, max_clients=200)
        self.instances = [
            Instance(
                self.temporary.name,
                name,
                host,
                self.store.open_address(name),
                list(more),
            )
            for name, host in zip(
                (f"front-z-a-{number}" for number in range(1, instances + 1)),
                loopback_hosts(instances),
                strict=True,
            )
        ]
        seeds = [instance.addresses["Control"] for instance in self.instances[:3]]
        low = free_port("127.0.0.1")
        for instance in self.instances:
            instance.write_settings(seeds, low)

    def add_replica(self, identity, service, slots, models=(), fenced=True):
        """Start a replica and its heartbeats."""
        replica = Replica(self.record, identity, service, slots, models, fenced)
        self.replicas.append(replica)
        self.spawn(replica.beat(self.store))
        return replica

    def spawn(self, coroutine):
        """Run a coroutine until the end of the case."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    def start(self, instance):
        """Start an instance."""
        self.record.write("process.start", instance=instance.name)
        instance.start()

    def kill(self, instance):
        """Kill an instance."""
        self.record.write("process.kill", instance=instance.name)
        instance.kill()

    async def fetch(
        self, address, path, method="GET", body=None, timeout=10, **headers
    ):
        """Return ``(status, body, headers)``; status ``NO_ANSWER`` without one."""
        request = HTTPRequest(
            f"http://{address}{path}",
            method=method,
            body=body,
            headers={"Host": HOST, **headers},
            request_timeout=timeout,
            connect_timeout=1.0,
            follow_redirects=False,
        )
        try:
            reply = await self.client.fetch(request, raise_error=False)
        except (HTTPClientError, OSError):
            return NO_ANSWER, b"", {}
        return reply.code, reply.body or b"", reply.headers

    async def wait_ready(self, seconds=20.0, instances=None):
        """Wait until the instances are ready."""
        until = time.monotonic() + seconds
        for instance in instances or self.instances:
            while (await self.fetch(instance.ready, PATHS["ready"]))[0] != 200:
                if time.monotonic() > until or instance.process.poll() is not None:
                    raise CannotRun(f"{instance.name} is not ready")
                await asyncio.sleep(0.05)
            self.record.write("process.ready", instance=instance.name)

    async def wait_for(self, condition, seconds, what):
        """Wait for a condition."""
        until = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > until:
                raise CannotRun(f"not seen in time: {what}")
            await asyncio.sleep(0.02)

    def close(self):
        """End all processes and tasks."""
        for task in self.tasks:
            task.cancel()
        for instance in self.instances:
            instance.kill()
        if os.environ.get("KEEP_LOGS"):
            for instance in self.instances:
                target = self.folder / instance.log.name
                target.write_bytes(instance.log.read_bytes())
        self.temporary.cleanup()


async def _play(build, play):
    """Return the exit status of a case."""
    case = None
    try:
        case = build()
        async with asyncio.timeout(PLAY_TIMEOUT):
            breaks = await play(case)
        for text in breaks[:MAX_SHOWN_BREAKS]:
            case.record.write("break", what=text)
            print(text)
        result = "broken" if breaks else "held"
        status = BROKEN if breaks else HELD
    except (CannotRun, TimeoutError, OSError) as error:
        result, status = f"could not run: {error!r}", COULD_NOT_RUN
    finally:
        if case is not None:
            case.close()
    if case is not None:
        case.record.write("verdict", result=result)
    print(result)
    return status


def main(build, play):
    """Play a case and exit with its verdict.

    ``build()`` returns the ``Case``; ``await play(case)`` returns the list of breaks.
    """
    status = COULD_NOT_RUN
    try:
        status = asyncio.run(_play(build, play))
    except Exception:
        # An error of the case itself says nothing about the rule.
        traceback.print_exc()
    sys.exit(status)
