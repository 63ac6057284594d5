"""The process of one instance: constructs its components, runs and stops them."""

import asyncio
import math
import signal
import uuid

from tornado.netutil import bind_sockets

from sassafrasdoor.callers.accounting import process_budget
from sassafrasdoor.callers.budget import CallerLimits
from sassafrasdoor.callers.server import CallerServer
from sassafrasdoor.clock import now, passed, remaining
from sassafrasdoor.decisions import note
from sassafrasdoor.duties.service import Duties
from sassafrasdoor.log.demand import CallCounter
from sassafrasdoor.log.partition_retry import Intervals
from sassafrasdoor.log.relay import RelayedLog
from sassafrasdoor.log.sharing import (
    ReadCoordinator,
    answer_pause,
    backlog_share,
    confirm_interval,
    follower_pause,
    list_retry_pause,
)
from sassafrasdoor.log.tail import KeyedTail, Tail, all_caught_up
from sassafrasdoor.log.turns import ReadSlot
from sassafrasdoor.pauses import LoopMonitor
from sassafrasdoor.platform import (
    configuration,
    front,
    handlers,
    settings as platform_settings,
)
from sassafrasdoor.platform.duties import WireDuties
from sassafrasdoor.platform.peers import Peers
from sassafrasdoor.platform.prompts import prompt_of
from sassafrasdoor.platform.servers import WireReplicas
from sassafrasdoor.platform.store import Store
from sassafrasdoor.requests.access import Access
from sassafrasdoor.requests.admission import CallAdmission
from sassafrasdoor.requests.buffers import BufferBudget
from sassafrasdoor.requests.crash_watch import TOPIC as CRASHES_TOPIC, CrashWatch
from sassafrasdoor.requests.direct import DirectService
from sassafrasdoor.requests.stop_admission import StopAdmission
from sassafrasdoor.requests.stop_policy import StopTimes
from sassafrasdoor.requests.streaming import StreamService
from sassafrasdoor.routing.instances import STEP_READERS_KEY, Instances
from sassafrasdoor.routing.load_datagrams import LoadDatagrams
from sassafrasdoor.routing.replicas import Replicas, Subset
from sassafrasdoor.routing.silence import Silences
from sassafrasdoor.steps.durable.outbox import Outbox
from sassafrasdoor.steps.durable.runner import Runner
from sassafrasdoor.steps.durable.service import SHARD_COUNT, TOPIC, StepService
from sassafrasdoor.steps.durable.shards import ShardLease, Shards
from sassafrasdoor.steps.durable.state import Steps
from sassafrasdoor.steps.durable.trainers import Trainers
from sassafrasdoor.stopping import (
    cancel_all_tasks,
    force_exit_at,
    start_critical_tasks,
    stop_listening,
)
from sassafrasdoor.table.routes import RoutesInForce
from sassafrasdoor.weights.controller import WeightsController

# Seconds between reads of the list of replicas: a leaving replica is noticed well
# within two seconds, and one read returns the heartbeats of all replicas.
REPLICA_LIST_READ_INTERVAL = 0.35
# Seconds between reads of the crash list: all instances see a crash within a second.
CRASH_LIST_READ_INTERVAL = 0.5
# Ends of the phases of a planned stop, as shares of its duration. At first open
# connections and callers that cached the address are still served, then only requests in
# progress may finish, then the last counted requests are written and tasks cancelled.
# Of 8 s 0.32 s remain for a SIGTERM that is handled late on a busy machine.
DRAIN_SHARE, FINISH_IN_FLIGHT_SHARE = 0.86, 0.94
LAST_FLUSH_SHARE, CLEANUP_SHARE = 0.95, 0.96
# Share of that duration after which the process exits whatever it still does.
FORCED_EXIT_SHARE = 0.97
# How long a stop accepts requests that may outlive it, by an estimate: the shorter of
# a share of the stop and the seconds in which callers renew the directory's answer.
ESTIMATE_SHARE = 0.3
ESTIMATE_TIME = handlers.DIRECTORY_TTL + 0.5
CLOSING_TIME = 1.0  # seconds before the end of the drain; connections are then closed
IN_FLIGHT_CHECK_INTERVAL = 0.02  # seconds
# Up to this number of replicas one process runs all shards; with more it would lack CPU
# time and keep too many connections.
MAX_REPLICAS_FOR_ONE_RUNNER = 60
# Added to the shard ranks of all other instances while the holder of the weights lease
# is alive. After a start the holder first reads megabytes of the log. If the next in
# rank finished slightly earlier and ran the steps, loads and items would be assigned by
# different processes, and replicas that are loading weights refuse items.
NON_CONTROLLER_RANK_OFFSET = 3
FENCED_HANDOVER_DELAY = 0.3  # seconds; a former holder's order arrives within it
# Seconds between checks whether to read the steps; shorter while waiting for a slot.
FOLLOW_CHECK_INTERVAL, READ_SLOT_CHECK_INTERVAL = 0.2, 0.05
# Minimum seconds between reads of a shard that this process does not run.
UNOWNED_SHARD_MIN_READ_INTERVAL = 0.4
# Used until the operator's limits have been loaded; seconds and bytes.
INITIAL_IDLE_TIMEOUT = 60.0
INITIAL_BODY_LIMIT = 100 * 1024 * 1024
CLEANUP_INTERVAL = 10.0  # seconds
ROUTES_CHECK_INTERVAL = 0.5  # seconds between checks of the age of the routes
CALL_REPORT_INTERVAL = 5.0  # seconds between log lines with the calls to the log
SETTINGS_CHECK_INTERVAL = 1.0  # seconds; a check is a single stat() of the file
MAX_LOGGED_FINDINGS = 5
# Seconds for which finished steps stay readable beyond the promised retention.
RESULT_RETENTION_MARGIN = 60.0
LISTEN_BACKLOG = 512
MAX_UNUSED_BODY_BYTES = 64 * 1024  # of a request at an address that takes no bodies


class Process:
    """The components of one instance.

    ``ready`` says whether callers should be sent here, ``closing`` whether connections
    are being closed. ``in_flight`` is the set of handlers of requests that have been
    read and whose answers have not been sent completely. ``stopping_since`` is the
    monotonic time at which a planned stop began, infinite before.
    """

    def __init__(self, settings, path, metrics_port=0):
        self._settings = settings
        self._path = path
        self._settings_signature = platform_settings.file_signature(path)
        self._metrics_port = metrics_port
        self._stop = asyncio.Event()
        self._read_slot = ReadSlot()
        self._following = asyncio.Event()
        self._listeners = []
        self._body_applications = []
        self._tasks = []
        self.closing = False
        self.stopping_since = math.inf
        self.in_flight = set()
        self._build()

    def _build(self):
        settings = self._settings
        self._call_counter = CallCounter()
        self._loop_monitor = LoopMonitor()
        self._store = Store(settings.store, self._call_counter)
        self._peers = Peers(settings.peers)
        self._log = RelayedLog(self._store, self._relay_clients, self._record_append)
        self._read_coordinator = ReadCoordinator(
            self._backlog_share, self._retry_pause, self._retry_intervals
        )
        is_bounded = "buffers" not in settings.disabled_parts
        limits = settings.caller_limits if is_bounded else CallerLimits()
        self._budget = process_budget(limits)
        uses_subsets = "subsets" not in settings.disabled_parts
        self._client = WireReplicas(
            BufferBudget(limits.memory_bytes), rotates_connections=uses_subsets
        )
        self._routes = RoutesInForce(
            lambda: self._operator_tail.confirmed_boot_at,
            lambda: settings.config_apply,
            lambda: self._operator_tail.confirmed_at,
            lambda: self._operator_tail.request_confirmation(),
        )
        self._access = Access(self._routes, settings)
        self._replicas = Replicas(
            settings.instance.availability_zone,
            settings.heartbeat,
            settings.has_load_control,
            Silences(self._loop_monitor.pauses),
        )
        self._replicas.on_restart(self._client.forget)
        if uses_subsets:
            self._replicas.subset = Subset(
                settings.front,
                lambda: self._instances.zone_entry_points,
                self._client.has_idle_connection,
            )
        self._crashes = CrashWatch(
            self._client,
            self._replicas,
            self._log,
            settings.name,
            lambda: self._instances.rank(CRASHES_TOPIC) == 0,
        )
        self._crash_list_tail = KeyedTail(
            self._log,
            CRASHES_TOPIC,
            self._crashes.apply_record,
            CRASH_LIST_READ_INTERVAL,
            self._peers.newest,
            # Not shared with other tails: a slow crash list must not delay the steps.
            ReadCoordinator(self._backlog_share, self._retry_pause),
        )
        self._steps = Steps()
        self._budget.reserved = lambda: self._steps.held_bytes
        # The shard after those of the steps holds no steps: its lease decides which
        # instance orders loads of weights.
        shard_count = min(SHARD_COUNT, settings.partitions - 1)
        self._weights_shard = shard_count
        member = f"{settings.front}/{uuid.uuid4().hex[:8]}"
        self._instances = Instances(
            settings,
            self._log,
            settings.front,
            settings.front,
            settings.cores,
            self._peers.newest,
            settings.control,
            member,
            self._read_coordinator,
        )
        self._tails = [
            Tail(
                self._log,
                TOPIC,
                shard,
                self._make_fold(shard),
                self._make_pause(shard),
                self._following,
                self._read_coordinator,
                # An accepted step must not be unknown to one instance.
                skips_unusable=False,
            )
            for shard in range(shard_count + 1)
        ]
        self._outboxes = [
            Outbox(self._log, TOPIC, shard) for shard in range(shard_count + 1)
        ]
        self._trainers = Trainers(settings, self._steps, self._replicas, self._routes)
        self._runner = Runner(
            self._client,
            self._replicas,
            self._routes,
            self._steps,
            self._outboxes,
            settings,
            self._trainers,
            prompt_of,
        )
        self._shards = Shards(
            self._log,
            TOPIC,
            self._steps,
            self._tails,
            member,
            self._shard_rank,
            self._on_shard_gained,
            self._runner.stop_shard,
            self._instances,
        )
        self._stop_admission = StopAdmission(lambda: bool(self._instances.peers()))
        self._load_datagrams = self._build_load_datagrams()
        self._build_weights()
        self._build_duties(member)
        operator_topic = configuration.OperatorTopicReader(
            self._routes, self._weights.set_target_version
        )
        self._operator_tail = KeyedTail(
            self._log,
            configuration.OPERATOR_TOPIC,
            operator_topic.apply,
            newest_from_peer=self._peers.newest,
            read_coordinator=self._read_coordinator,
            confirm_interval=self._routes_confirm_interval,
        )
        servers_topic = configuration.ServersTopicReader(self._replicas)
        self._replica_list_tail = KeyedTail(
            self._log,
            configuration.SERVERS_TOPIC,
            servers_topic.apply,
            REPLICA_LIST_READ_INTERVAL,
            self._peers.newest,
            self._read_coordinator,
        )
        self._replicas.list_tail = self._replica_list_tail

    def _build_load_datagrams(self):
        """Return the exchange of load reports, None if it is off."""
        settings = self._settings
        if settings.port_range is None or "load-exchange" in settings.disabled_parts:
            return None
        return LoadDatagrams(
            settings.front,
            settings.port_range[0],
            self._replicas,
            lambda: self._instances.other_entry_points,
        )

    def _record_append(self, topic, part, end):
        if topic == TOPIC:
            self._tails[part].record_append(end)

    def _on_shard_gained(self, shard):
        self._runner.start_shard(shard)
        if shard == self._weights_shard:
            self._weights.wake()

    def _relay_clients(self):
        return self._peers.relays(
            self._instances.peer_control_addresses(),
            self._instances.lapsed_control_addresses(),
        )

    def _build_weights(self):
        self._lease = ShardLease(self._shards, self._weights_shard, self._settings.name)
        self._weights = WeightsController(
            self._client,
            self._lease,
            self._replicas,
            self._routes,
            handover=lambda: self._handover_delay,
            work=self._runner,
            trainers=self._trainers,
        )
        self._steps.mark_used(self._weights_shard)
        self._steps.on_change(self._weights.record_demand)

    def _build_duties(self, member):
        self._duties = Duties(
            WireDuties(self._settings.duties_address),
            self._log,
            self._lease,
            lambda: self._handover_delay,
            self._settings,
            member,
            self._replicas,
            self._routes,
            self._steps,
        )

    @property
    def _handover_delay(self):
        """Seconds to wait after gaining the weights lease before the first order.

        Replicas that check fencing tokens reject a former holder's orders themselves.
        Others accept any order, so there the former holder's lease must have expired.
        """
        return (
            FENCED_HANDOVER_DELAY
            if self._settings.fenced
            else self._settings.lease + 0.2
        )

    @property
    def ready(self):
        """Whether callers should be sent here."""
        return (
            self._routes.current is not None
            and self._replica_list_tail.loaded
            and not self._stop.is_set()
        )

    async def run(self):
        """Serve until SIGTERM, then drain and return."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings)
        note(
            "process.started",
            front=self._settings.front,
            zone=self._settings.instance.availability_zone,
        )
        self._listen()
        self._routes.on_change(self._apply_limits)
        self._tasks = start_critical_tasks(self._background_jobs())
        await self._stop.wait()
        await self._shut_down()
        if self._load_datagrams is not None:
            self._load_datagrams.close()
        self._store.close()
        self._peers.close()
        self._client.close()

    def _background_jobs(self):
        exchange = self._load_datagrams
        return [
            *([exchange.run()] if exchange is not None else ()),
            self._loop_monitor.run(),
            self._operator_tail.run(),
            self._replica_list_tail.run(),
            self._crash_list_tail.run(),
            self._crashes.run(),
            self._crashes.expire(),
            self._instances.tail.run(),
            self._instances.renew(lambda: self.ready),
            self._weights.run(),
            self._runner.run(),
            self._shards.run(),
            self._update_following(),
            self._discard_expired_steps(),
            self._watch_settings(),
            self._report_call_counts(),
            self._check_routes(),
            *(tail.run() for tail in self._tails),
            *(outbox.run() for outbox in self._outboxes),
            *self._duties.jobs(),
        ]

    def _listen(self):
        callers = (
            self._client,
            self._replicas,
            self._crashes,
            self._access,
            self._duties.usage,
        )
        parts = handlers.Parts(
            DirectService(
                *callers, admission=CallAdmission(self._replicas, self._settings)
            ),
            StreamService(*callers),
            self._instances,
            self,
            self._routes,
            StepService(
                self._log,
                self._steps,
                self._tails[: self._weights_shard],
                self._settings.record_bytes,
                self._budget.limits.may_reserve,
            ),
            self._store,
            self._access,
            self._budget,
            self._stop_admission,
        )
        tails = (
            self._operator_tail,
            self._replica_list_tail,
            self._instances.tail,
            self._crash_list_tail,
        )
        parts.lists = {tail.topic: tail for tail in tails}
        applications = [(self._settings.ready, front.ready_application(parts))]
        if self._settings.directory:
            application = front.directory_application(parts)
            applications.append((self._settings.directory, application))
        if self._metrics_port:
            host = self._settings.instance.host
            application = front.metrics_application(parts)
            applications.append((f"{host}:{self._metrics_port}", application))
        for address, application in applications:
            application.keeps_bodies = False
            application.max_body_bytes = MAX_UNUSED_BODY_BYTES
            self._listen_at(address, application)
        applications = [(self._settings.front, front.front_application(parts))]
        if self._settings.control:
            application = front.control_application(parts)
            applications.append((self._settings.control, application))
        for address, application in applications:
            application.max_body_bytes = INITIAL_BODY_LIMIT
            self._body_applications.append(application)
            self._listen_at(address, application)

    def _listen_at(self, address, application):
        """Serve an application at an address."""
        host, _, port = address.rpartition(":")
        server = CallerServer(application, idle_timeout=INITIAL_IDLE_TIMEOUT)
        (sock,) = bind_sockets(int(port), host, backlog=LISTEN_BACKLOG)
        server.start(sock)
        self._listeners.append((server, sock))

    def _apply_limits(self, configuration):
        """Apply the operator's limits on request sizes and idle connections.

        A caller whose idle connection is closed earlier than it expects may send its
        next request on the closing connection.
        """
        limits = configuration.limits
        for server, _ in self._listeners:
            server.set_limits(limits.header_bytes, limits.idle_timeout)
        for application in self._body_applications:
            application.max_body_bytes = limits.body_bytes

    async def _update_following(self):
        while True:
            if self._should_follow_steps():
                self._following.set()
            else:
                self._following.clear()
            step_tails = self._tails[: self._weights_shard]
            self._instances.has_read = self._following.is_set() and all_caught_up(
                step_tails
            )
            awaits_slot = not (self._read_slot.has_come or self._instances.in_reserve)
            await asyncio.sleep(
                READ_SLOT_CHECK_INTERVAL if awaits_slot else FOLLOW_CHECK_INTERVAL
            )

    def _should_follow_steps(self):
        """Return whether this instance reads the records of the steps itself.

        A process that runs a shard always does, even if it is no entry point: it must
        learn which steps have ended. Other entry points first wait for a slot to read,
        after a start and when they become entry points.
        """
        if not self._instances.tail.loaded:
            return False
        if self._shards.holds_any:
            return True
        if not self._instances.is_entry_point:
            self._read_slot.reset()
            return False
        if not self._read_slot.has_come:
            self._acquire_read_slot()
        return self._read_slot.has_come

    def _acquire_read_slot(self):
        ahead = self._unread_instances_ahead
        waited = self._read_slot.try_acquire(ahead, now())
        if waited is not None:
            note(
                "steps.reading",
                ahead=ahead,
                followers=self._instances.entry_point_count,
                seconds=round(waited, 2),
            )

    @property
    def _unread_instances_ahead(self):
        """Number of instances that read first; 0 if this is first for some shard."""
        keys = set(map(self._ranking_key, range(self._weights_shard + 1)))
        if any(self._instances.unread_entry_points_before(key) == 0 for key in keys):
            return 0
        return self._instances.unread_entry_points_before(STEP_READERS_KEY)

    def _shard_rank(self, shard):
        """Return this instance's rank among those that could run a shard, from 0.

        The holder of the weights lease ranks first for the steps too: it orders a load
        only once the queued items have started, and sends no items to a replica that is
        loading. If another process ran the steps, replicas would refuse many items.
        """
        rank = self._instances.rank(self._ranking_key(shard))
        if (
            self._replicas.count > MAX_REPLICAS_FOR_ONE_RUNNER
            or shard == self._weights_shard
        ):
            return rank
        if self._shards.runs_here(self._weights_shard):
            return 0
        if self._shards.runs_elsewhere(self._weights_shard):
            return rank + NON_CONTROLLER_RANK_OFFSET
        return rank + 1

    def _ranking_key(self, shard):
        """Return the key by which instances are ranked for a shard.

        Up to ``MAX_REPLICAS_FOR_ONE_RUNNER`` all shards have the same key: a single
        runner knows the load of every replica and reuses its connections to them.
        """
        return (
            f"shard-{shard}"
            if self._replicas.count > MAX_REPLICAS_FOR_ONE_RUNNER
            else STEP_READERS_KEY
        )

    def _make_pause(self, shard):
        """Return a function that returns the seconds between reads of a shard."""

        def pause():
            interval = follower_pause(
                self._instances.entry_point_count,
                len(self._steps.used_shards),
                self._settings.reads_per_second,
            )
            if self._shards.runs_here(shard):
                return interval
            return max(interval, UNOWNED_SHARD_MIN_READ_INTERVAL)

        return pause

    def _backlog_share(self):
        # Any instance may start to follow the steps before the others notice.
        return backlog_share(
            self._instances.alive_count,
            self._settings.read_bytes_per_second,
            self._settings.record_bytes,
        )

    def _retry_pause(self):
        return list_retry_pause(
            self._instances.alive_count, self._settings.reads_per_second
        )

    def _retry_intervals(self):
        # All partitions may fail, which are then not followed.
        followers, settings = self._instances.entry_point_count, self._settings
        return Intervals(
            follower_pause(followers, len(self._tails), settings.reads_per_second),
            answer_pause(
                followers, settings.read_bytes_per_second, settings.record_bytes
            ),
        )

    def _routes_confirm_interval(self):
        return confirm_interval(
            self._instances.alive_count, self._settings.reads_per_second
        )

    def _make_fold(self, shard):
        return lambda offset, data: self._steps.fold(shard, offset, data)

    async def _discard_expired_steps(self):
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL)
            self._steps.discard_done(
                now() - self._settings.results_kept - RESULT_RETENTION_MARGIN
            )

    async def _check_routes(self):
        while True:
            self._routes.report_age()
            await asyncio.sleep(ROUTES_CHECK_INTERVAL)

    async def _report_call_counts(self):
        while True:
            await asyncio.sleep(CALL_REPORT_INTERVAL)
            self._call_counter.report()

    async def _watch_settings(self):
        """Reload the settings when the file has changed."""
        while True:
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL)
            if platform_settings.file_signature(self._path) != self._settings_signature:
                self._reload_settings()

    def _reload_settings(self):
        """Apply the settings that may change at run time; log those that may not.

        An invalid file is logged and ignored, so that the process keeps serving; it
        would prevent the next start.
        """
        self._settings_signature = platform_settings.file_signature(self._path)
        loaded = platform_settings.load(self._path)
        if not loaded:
            findings = [
                str(finding) for finding in loaded.findings[:MAX_LOGGED_FINDINGS]
            ]
            note("process.reloaded", valid=False, findings=findings)
            return
        applied, deferred = self._settings.take_over(loaded)
        note("process.reloaded", valid=True, taken=applied, at_next_start=deferred)

    async def _shut_down(self):
        """Deregister and release the shards; serve until the drain deadline.

        Every wait ends by a deadline of the stop, also while the store answers nothing.
        """
        started_at, duration = now(), self._settings.stop_within
        self.stopping_since = started_at
        drain_deadline = started_at + duration * DRAIN_SHARE
        finish_deadline = started_at + duration * FINISH_IN_FLIGHT_SHARE
        flush_deadline = started_at + duration * LAST_FLUSH_SHARE
        cleanup_deadline = started_at + duration * CLEANUP_SHARE
        estimate_time = min(duration * ESTIMATE_SHARE, ESTIMATE_TIME)
        self._stop_admission.begin_stop(
            StopTimes(started_at + estimate_time, finish_deadline, finish_deadline)
        )
        force_exit_at(started_at + duration * FORCED_EXIT_SHARE)
        note("process.stopping", seconds=round(remaining(drain_deadline), 2))
        leaving = start_critical_tasks(
            [self._instances.leave(), self._release_shards()]
        )
        await asyncio.sleep(remaining(drain_deadline - CLOSING_TIME))
        self.closing = True
        await asyncio.sleep(remaining(drain_deadline))
        for task in leaving:
            task.cancel()
        # Leaves the store time to answer while requests in progress finish.
        flushing = start_critical_tasks([self._duties.flush_once(flush_deadline)])
        await stop_listening(self._listeners)
        while self.in_flight and not passed(finish_deadline):  # noqa: ASYNC110
            await asyncio.sleep(IN_FLIGHT_CHECK_INTERVAL)
        # Nothing waits any more for a request that comes on a kept connection.
        self._stop_admission.end_intake()
        await self._duties.end(flush_deadline)
        await asyncio.wait(flushing, timeout=remaining(flush_deadline))
        cut = len(self.in_flight)
        unfinished = await cancel_all_tasks(cleanup_deadline)
        names = [task.get_coro().__qualname__ for task in unfinished]
        note("process.stopped", in_flight=cut, unfinished=names)

    async def _release_shards(self):
        """Release all shards, after writing what was received of their items."""
        for shard, release in self._shards.leave().items():
            self._runner.stop_shard(shard)
            self._outboxes[shard].put(release)
        await asyncio.gather(*(outbox.flush() for outbox in self._outboxes))
