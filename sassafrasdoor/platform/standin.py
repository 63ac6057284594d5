"""Simple stand-ins for the platform's store and replicas; attributes inject faults.

They implement the platform's protocol on the product's in-memory log, for tests and the
fault soak only, and validate only what those need.
"""

import asyncio
import json
import socket
import struct
from collections import deque

from tornado.escape import utf8
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from sassafrasdoor.clock import deadline_in, now
from sassafrasdoor.log.memory_partitioned import MemoryPartitionedLog
from sassafrasdoor.log.partitioned import keyed_record
from sassafrasdoor.outcomes import Expired, Outcome, ReplyLost
from sassafrasdoor.platform import configuration, wire
from sassafrasdoor.platform.store import batch_document, newest_document, unpack_records
from sassafrasdoor.platform.stutter import SentAnswer, Stutter

LOOPBACK = "127.0.0.1"
READ_SLACK = 1.0
MAX_KEPT_CALLS = 50_000  # the last ones that the store answered

# Value of SO_LINGER with a time of 0: closing a socket resets its connection.
LINGER_RESET = struct.pack("ii", 1, 0)


class _Server(HTTPServer):
    """Calls ``on_accept()`` for each connection that it accepts."""

    on_accept = None

    def handle_stream(self, stream, address):
        if self.on_accept is not None:
            self.on_accept()
        super().handle_stream(stream, address)


def serve(application, port=0, on_accept=None):
    """Serve on a port, by default a free one; return ``(server, "host:port")``."""
    server = _Server(application)
    server.on_accept = on_accept
    sockets = bind_sockets(port, LOOPBACK)
    server.add_sockets(sockets)
    return server, f"{LOOPBACK}:{sockets[0].getsockname()[1]}"


class StoreStandin:
    """The store; faults are set on ``log``, and no call is answered while ``answering``
    is cleared.

    ``record_read_seconds`` maps topics to the seconds that reading one record takes; a
    read of such a topic returns a single record. ``answered_calls`` has for each call
    the time of its answer as ``steady`` of the log lines, the seconds it took, its status,
    path and query.
    """

    def __init__(self, log=None):
        self.log = log or MemoryPartitionedLog()
        self.record_read_seconds = {}
        self.answered_calls = deque(maxlen=MAX_KEPT_CALLS)
        self.answering = asyncio.Event()
        self.answering.set()
        routes = [
            (r"/-/log-append", _Append, {"store": self}),
            (r"/-/log-read", _Read, {"store": self}),
            (r"/-/log-newest", _Newest, {"store": self}),
        ]
        self._server, self.address = serve(
            Application(routes, log_function=_log_nothing)
        )

    async def put(self, topic, key, document):
        """Write one key of a keyed topic; a document of None deletes it."""
        value = b"" if document is None else json.dumps(document).encode()
        record = keyed_record(key, value)
        await self.log.append(topic, 0, [record], deadline_in(1))

    async def configure(self, document):
        """Write the operator's configuration."""
        key = configuration.CONFIGURATION_KEY
        await self.put(configuration.OPERATOR_TOPIC, key, document)

    def stop(self):
        """Stop serving."""
        self._server.stop()


def _log_nothing(handler):
    """Replace Tornado's log line for each answer by none."""


class _StoreHandler(RequestHandler):
    def initialize(self, store):
        self._store = store

    async def prepare(self):
        await self._store.answering.wait()

    def on_finish(self):
        self._store.answered_calls.append(
            (
                round(now(), 3),
                round(self.request.request_time(), 3),
                self.get_status(),
                self.request.path,
                self.request.query,
            )
        )

    def _partition(self):
        return self.get_query_argument("Topic"), int(self.get_query_argument("part"))

    def _reply_failure(self, outcome):
        if isinstance(outcome, ReplyLost):
            self.request.connection.stream.close()
            return
        if isinstance(outcome, Expired):
            self.set_status(410)
            self.finish({"First": outcome.first})
            return
        self.set_status(503)
        self.finish({})


class _Append(_StoreHandler):
    async def post(self):
        records = unpack_records(self.request.body)
        result = await self._store.log.append(*self._partition(), records, None)
        if isinstance(result, Outcome):
            self._reply_failure(result)
        else:
            self.finish({"Offset": result.first, "End": result.end})


class _Read(_StoreHandler):
    async def get(self):
        wait = int(self.get_query_argument("WaitMs", "0")) / 1000
        offset = int(self.get_query_argument("From"))
        partition = self._partition()
        result = await self._store.log.read(*partition, offset, wait, READ_SLACK)
        if isinstance(result, Outcome):
            self._reply_failure(result)
            return
        seconds = self._store.record_read_seconds.get(partition[0])
        if seconds and result.records:
            del result.records[1:]
            await asyncio.sleep(seconds)
        first = self._store.log.partition(*partition).first
        self.finish(batch_document(result, first))


class _Newest(_StoreHandler):
    async def get(self):
        result = await self._store.log.newest(self.get_query_argument("Topic"))
        if isinstance(result, Outcome):
            self._reply_failure(result)
            return
        self.finish(newest_document(result))


class DutiesStandin:
    """The platform's address for duties; checks fencing numbers by duty.

    ``calls`` has ``(holder, fence, document)`` of each accepted report, ``orders`` that
    of each accepted order of replicas. ``failures`` are
    statuses of the next answers; a call that is answered 500 has taken effect.
    """

    def __init__(self):
        self.calls = []
        self.orders = []
        self.failures = []
        self.refused = 0
        self._fences = {}
        routes = [(r"/(usage|scale)", _Duty, {"duties": self})]
        self._server, self.address = serve(
            Application(routes, log_function=_log_nothing)
        )

    def accept(self, duty, holder, fence, document):
        """Return the status for a call."""
        if fence < self._fences.get(duty, 0):
            self.refused += 1
            return 409
        status = self.failures.pop(0) if self.failures else 200
        if status in (200, 500):
            self._fences[duty] = fence
            accepted = self.calls if duty == "usage" else self.orders
            accepted.append((holder, fence, document))
        return status

    def stop(self):
        """Stop serving."""
        self._server.stop()


class _Duty(RequestHandler):
    def initialize(self, duties):
        self._duties = duties

    def post(self, duty):
        headers = self.request.headers
        self.set_status(
            self._duties.accept(
                duty,
                headers[wire.HOLDER],
                int(headers[wire.FENCE]),
                json.loads(self.request.body),
            )
        )


class Run:
    """A request that a replica has started; ``ended`` is None until it has ended.

    ``answer`` is the replica's own complete ``SentAnswer``, None without one.
    """

    def __init__(self, request_id, path, body, after, headers):
        self.answer = None
        self.headers = headers
        self.request_id = request_id
        self.path = path
        self.body = body
        self.after = after
        self.stamp = ""
        self.at = asyncio.get_running_loop().time()
        self.ended = None


class ReplicaStandin:
    """One replica: each sample has ``events`` events, ``pause`` seconds apart.

    Each entry of ``break_after`` closes one stream after that many events. ``failures``
    are statuses for the next answers; if ``full``, every request is refused.
    A request with a path in ``crash_paths`` crashes the replica ``crash_after`` seconds
    after it has started. ``away`` seconds later the replica serves again under a new
    identity, and ``on_recovered(former identity)`` is awaited.
    ``paths_running_at_crash`` has a list of the running requests' paths for each crash.
    Other requests that are not streams end only while ``may_answer`` is set, and nothing
    is sent while ``sending`` is cleared. ``pace``,
    if set, is the multiple of the usual work time; it is reported with the load.
    ``padding`` maps paths to the bytes that are added to each answer or event.
    ``stutter`` adds surplus bytes to answers. ``connection_count`` and ``request_count``
    count what was accepted.
    """

    def __init__(self, identity, slots=8, events=4, pause=0.02):
        self.identity = identity
        self.slots = slots
        self.events = events
        self.pause = pause
        self.version = 1
        self.runs = []
        self.orders = []
        self.break_after = []
        self.failures = []
        self.full = False
        self.pace = None
        self.born = 1
        self.crash_paths = set()
        self.crash_after = 0.05
        self.away = 1.0
        self.on_recovered = _ignore_recovery
        self.padding = {}
        self.streams = set()
        self.crashes = 0
        self.paths_running_at_crash = []
        self.stutter = Stutter(identity)
        self.connection_count = self.request_count = 0
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.sending = asyncio.Event()
        self.sending.set()
        routes = [
            (r"/-/order", _Order, {"replica": self}),
            (r"/.*", _Work, {"replica": self}),
        ]
        self._application = Application(routes, log_function=_log_nothing)
        self._server, self.address = serve(self._application, on_accept=self._count)

    @property
    def running(self):
        """The runs that have not ended."""
        return [run for run in self.runs if run.ended is None]

    @property
    def load_report(self):
        """Running and waiting requests, slots and the pace in percent."""
        return f"{len(self.running)},0,{self.slots},{int(self.pace * 100)}"

    def _count(self):
        self.connection_count += 1

    async def work(self):
        """Take the time of one event or answer."""
        await asyncio.sleep(self.pause * (self.pace or 1.0))
        await self.sending.wait()

    def entry(self, service, models, state="ready"):
        """Return the replica's entry in the list of replicas."""
        versions = [{"Name": name, "Version": self.version} for name in models]
        return {
            "Service": service,
            "Address": self.address,
            "Zone": "z",
            "Slots": self.slots,
            "State": state,
            "Models": versions,
            "born": self.born,
        }

    def restart(self):
        """Restart under the same identity: running streams are closed."""
        self.born += 1
        self.orders = []
        self.break_after = []

    async def crash(self):
        """Stop at once, then serve again at the same address under a new identity."""
        self.crashes += 1
        self._server.stop()
        self.paths_running_at_crash.append([run.path for run in self.running])
        for run in self.running:
            run.ended = asyncio.get_running_loop().time()
        for stream in self.streams:
            if not stream.closed():
                sock = stream.socket
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
                stream.close()
        self.streams.clear()
        await asyncio.sleep(self.away)
        former = self.identity
        self.identity = f"{former.partition('.')[0]}.{self.crashes}"
        self.restart()
        port = int(self.address.rpartition(":")[2])
        self._server, _ = serve(self._application, port, self._count)
        await self.on_recovered(former)

    def stop(self):
        """Stop serving."""
        self._server.stop()


async def _ignore_recovery(former):
    """Do nothing; default of ``on_recovered``."""


class _StutteringHandler(RequestHandler):
    def initialize(self, replica):
        self._replica = replica
        self._stream = self.request.connection.stream
        self._body = b""
        replica.request_count += 1

    @property
    def _answer(self):
        """The answer as far as it has been written."""
        pairs = list(self._headers.get_all())
        return SentAnswer(self.get_status(), pairs, self._body)

    def write(self, chunk):
        self._body += utf8(chunk)
        super().write(chunk)

    def flush(self, include_footers=False):
        if not self._headers_written:
            self._replica.stutter.before_answer(self._stream, self._answer)
        return super().flush(include_footers)

    def on_finish(self):
        self._replica.stutter.after_answer(self._stream, self._answer)


class _ReplicaHandler(_StutteringHandler):
    def initialize(self, replica):
        super().initialize(replica)
        self._run = None
        self._connection_closed = False
        self._incarnation = replica.born
        replica.streams.add(self._stream)

    def on_connection_close(self):
        self._connection_closed = True

    def _begin(self):
        """Start a run; return False if the request is misdirected or refused."""
        headers = self.request.headers
        replica = self._replica
        self.set_header(wire.REQUEST_ID, headers.get(wire.REQUEST_ID, ""))
        if replica.pace:
            self.set_header(wire.LOAD, replica.load_report)
        if headers.get(wire.EXPECT_INSTANCE) != replica.identity:
            self.set_status(wire.MISDIRECTED)
            return False
        if replica.full or len(replica.running) >= replica.slots:
            self.set_status(503)
            self.set_header(wire.NOT_RUN, "1")
            return False
        after = headers.get(wire.LAST_EVENT)
        self._run = Run(
            headers[wire.REQUEST_ID],
            self.request.path,
            self.request.body,
            None if after is None else int(after),
            headers,
        )
        replica.runs.append(self._run)
        self._run.stamp = f"{replica.identity}.{len(replica.runs)}"
        self.set_header(wire.STAMP, self._run.stamp)
        return True

    def on_finish(self):
        if self._run is not None and self._run.ended is None:
            self._run.answer = self._answer
        self._end()
        super().on_finish()

    def _end(self):
        if self._run is not None and self._run.ended is None:
            self._run.ended = asyncio.get_running_loop().time()


class _Work(_ReplicaHandler):
    async def post(self):
        if not self._begin():
            return
        if self.request.path in self._replica.crash_paths:
            await asyncio.sleep(self._replica.crash_after)
            if self._run.ended is None:
                await self._replica.crash()
        elif self._replica.failures:
            self.set_status(self._replica.failures.pop(0))
        elif self.request.path.startswith("/plain"):
            await self._replica.work()
            await self._replica.may_answer.wait()
            padding = bytes(self._replica.padding.get(self.request.path, 0))
            self.finish(b"answer to " + self._run.request_id.encode() + padding)
        else:
            await self._send_events()

    async def _send_events(self):
        replica = self._replica
        self.set_header(wire.VERSIONS, str(replica.version))
        first = 0 if self._run.after is None else self._run.after + 1
        break_at = replica.break_after.pop(0) if replica.break_after else None
        padding = replica.padding.get(self.request.path, 0)
        try:
            for number in range(first, replica.events):
                await replica.work()
                is_over = self._connection_closed or self._incarnation != replica.born
                if is_over or number - first == break_at:
                    self._end()
                    self.request.connection.stream.close()
                    return
                data = f"{self._run.request_id}.{number}" + "x" * padding
                self.write(f"id: {number}\ndata: {data}\n\n")
                await self.flush()
        except StreamClosedError:
            self._end()


class _Order(_StutteringHandler):
    def post(self):
        document = json.loads(self.request.body)
        self._replica.orders.append(document)
        self._replica.version = document["Version"]
        self.set_status(202)
