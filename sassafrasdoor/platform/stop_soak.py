"""The soak test of planned stops: stops, restarts and changes in overlapping series.

    python3 -m sassafrasdoor.platform.stop_soak --seed 1 --seconds 30 --instances 4

Callers keep their connections to an instance, and use them until its process has ended.
Ends only processes that it started. Exit code 1 if a guarantee was violated.
"""

import asyncio
import random
import shutil
import signal
import tempfile
from collections import Counter
from enum import StrEnum

import typer

from sassafrasdoor.backends.connections import Connections, OutgoingRequest, Reply
from sassafrasdoor.backends.interface import Broken
from sassafrasdoor.clock import deadline_in, now, passed
from sassafrasdoor.platform import configuration, wire
from sassafrasdoor.platform.local import LocalInstance
from sassafrasdoor.platform.standin import ReplicaStandin, StoreStandin
from sassafrasdoor.soak import checks, stops
from sassafrasdoor.soak.checks import Violations
from sassafrasdoor.soak.stops import Observation, RunningProcess

HOST = "h.example"
CALLERS = 5  # for each instance
CALL_PAUSES = (0.0, 0.02, 0.2)  # seconds between two requests of a caller
CALLER_TIMES = (1.0, 3.0, 20.0)  # seconds that callers wait
ROUTE_TIMEOUT = 12.0  # seconds
REPLICAS, SLOTS = 3, 400  # of each service
ACTION_INTERVALS = (0.1, 2.0)  # seconds between two actions
AWAY_TIMES = (0.0, 1.0)  # seconds from the end of a process to its next start
START_TIMEOUT = 30.0  # seconds until all instances serve
GRACE_SLACK = 0.5  # seconds beyond the grace time for the end of a process to be seen
ANSWER_TIME = 2.0  # seconds that callers wait beyond the time that they state
MAX_SHOWN_VIOLATIONS = 20
VIOLATION_EXIT_CODE = 1


class Service(StrEnum):
    """The services, by what their requests take."""

    PLAIN = "plain"
    SHORT = "short"
    LONG = "long"


# Events of an answer and seconds between them, as shares of the grace time.
WORK_SHARES = {
    Service.PLAIN: (1, 0.006),
    Service.SHORT: (4, 0.01),
    Service.LONG: (40, 0.014),
}
TARGET_SHARE = 0.05  # of the grace time, for the target latency of all routes


class RequestType:
    """A kind of request: its path prefix, service and the kind of its route."""

    __slots__ = ("kind", "prefix", "resumable", "service")

    def __init__(self, prefix, service, kind, resumable=False):
        self.prefix = prefix
        self.service = service
        self.kind = kind
        self.resumable = resumable

    @property
    def runs_once(self):
        """Whether a request may run once at most."""
        return self.kind != "safe" and not self.resumable

    @property
    def is_short_call(self):
        """Whether it is a short call that may be repeated."""
        return self.service is Service.PLAIN and self.kind == "safe"

    def route(self, grace):
        """Return the route as the operator writes it; ``grace`` is that of a stop."""
        return {
            "Name": self.prefix,
            "Host": HOST,
            "PathPrefix": self.prefix,
            "Kind": self.kind,
            "Resumable": self.resumable,
            "Service": str(self.service),
            "TimeoutMs": int(ROUTE_TIMEOUT * 1000),
            "TargetLatencyMs": int(TARGET_SHARE * grace * 1000),
            "MaxAttempts": 3,
            "RetentionS": 60,
        }


REQUEST_TYPES = (
    RequestType("/plain/safe/", Service.PLAIN, "safe"),
    RequestType("/plain/once/", Service.PLAIN, "unsafe"),
    RequestType("/short/once/", Service.SHORT, "streaming"),
    RequestType("/short/again/", Service.SHORT, "streaming", resumable=True),
    RequestType("/long/once/", Service.LONG, "streaming"),
    RequestType("/long/again/", Service.LONG, "streaming", resumable=True),
)


class StopSoak:
    """One run: instances, callers, actions and the violations found."""

    def __init__(self, seed, seconds, instances, grace, folder):
        self._rng = random.Random(seed)
        # Of its own, so that the series of actions does not depend on timing.
        self._caller_rng = random.Random(f"{seed} callers")
        self._seconds = seconds
        self._instance_count = instances
        self._grace = grace
        self._folder = folder
        self._version = 0
        self._number = 0
        self._tasks = set()
        self._processes = []
        self.observations = []
        self.counts = Counter()
        self.violations = Violations()

    async def run(self):
        """Play the actions, check the guarantees and return a summary."""
        self._connections = Connections()
        try:
            await self._start()
            callers = [
                self._spawn(self._call_instance(index))
                for index in range(self._instance_count)
                for _ in range(CALLERS)
            ]
            await self._act(deadline_in(self._seconds))
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
        finally:
            self._stop()
        stops.check(self.observations, self._runs, self._grace, self.violations)
        return self._summary()

    @property
    def _runs(self):
        """How many times replicas have run each request, by its id."""
        return Counter(
            run.request_id
            for replicas in self._replicas.values()
            for replica in replicas
            for run in replica.runs
        )

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _start(self):
        self._store = StoreStandin()
        self._replicas = {
            service: [
                ReplicaStandin(f"{service}-{at}", SLOTS, events, pause * self._grace)
                for at in range(REPLICAS)
            ]
            for service, (events, pause) in WORK_SHARES.items()
        }
        for service, replicas in self._replicas.items():
            for replica in replicas:
                entry = replica.entry(service, [])
                await self._store.put(
                    configuration.SERVERS_TOPIC, replica.identity, entry
                )
        await self._configure()
        more = f"Bounds.GraceS={self._grace}\n"
        self._instances = [
            LocalInstance(self._folder, f"i{at}", self._store.address, more=more)
            for at in range(self._instance_count)
        ]
        self._processes = [RunningProcess(instance) for instance in self._instances]
        deadline = deadline_in(START_TIMEOUT)
        for instance in self._instances:
            while not await self._is_ready(instance):
                if passed(deadline):
                    raise TimeoutError(f"{instance.name} is not ready in time")
                await asyncio.sleep(0.1)

    async def _is_ready(self, instance):
        request = OutgoingRequest(
            "GET", "/-/ready", {"Host": HOST}, deadline=deadline_in(1.0)
        )
        reply = await self._connections.send(instance.ready, request)
        return isinstance(reply, Reply) and reply.status == checks.OK

    def _stop(self):
        for task in list(self._tasks):
            task.cancel()
        for instance in self._instances:
            instance.close()
        for replicas in self._replicas.values():
            for replica in replicas:
                replica.stop()
        self._store.stop()
        self._connections.close()

    async def _configure(self):
        self._version += 1
        await self._store.configure(
            {
                "Version": self._version,
                "Routes": [each.route(self._grace) for each in REQUEST_TYPES],
                "Services": [{"Name": str(service)} for service in Service],
            }
        )

    # Actions.

    async def _act(self, end):
        while not passed(end):
            action = self._rng.choices(ACTIONS, ACTION_WEIGHTS)[0]
            self.counts[action.__name__.removeprefix("_")] += 1
            index = self._rng.randrange(self._instance_count)
            self._spawn(action(self, index))
            await asyncio.sleep(self._rng.uniform(*ACTION_INTERVALS))

    async def _terminate(self, index):
        """Stop a process as planned, wait for its end and start the next one."""
        process = self._processes[index]
        instance = process.instance
        if process.stopped_at is not None or not instance.running:
            return
        process.stopped_at = now()
        instance.signal(signal.SIGTERM)
        deadline = process.stopped_at + self._grace
        while instance.running and not passed(deadline + GRACE_SLACK):  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        if instance.running:
            self.violations.add("planned stop ends", instance.name)
        await self._restart(index)

    async def _terminate_all(self, index):
        """Stop all processes as planned, one shortly after the other."""
        for other in range(self._instance_count):
            self._spawn(self._terminate(other))
            await asyncio.sleep(self._caller_rng.uniform(0, 0.3))

    async def _kill(self, index):
        process = self._processes[index]
        if process.killed or not process.instance.running:
            return
        process.killed = True
        process.instance.kill()
        if process.stopped_at is None:
            await self._restart(index)

    async def _restart(self, index):
        """Start the next process of an instance whose former one has ended."""
        process = self._processes[index]
        if process.instance.running:
            process.killed = True
            process.instance.kill()
        await asyncio.sleep(self._caller_rng.uniform(*AWAY_TIMES))
        self._processes[index] = RunningProcess(process.instance)
        process.instance.start()

    async def _hang_up(self, index):
        self._processes[index].instance.signal(signal.SIGHUP)

    async def _reconfigure(self, index):
        await self._configure()

    # Callers.

    async def _call_instance(self, index):
        """Send requests to one instance on kept connections, also while it stops."""
        while True:
            await self._send(index, self._caller_rng.choice(REQUEST_TYPES))
            await asyncio.sleep(self._caller_rng.choice(CALL_PAUSES))

    async def _send(self, index, request_type):
        self._number += 1
        request_id = f"r{self._number}"
        process, seconds = self._processes[index], self._caller_rng.choice(CALLER_TIMES)
        headers = {
            "Host": HOST,
            wire.REQUEST_ID: request_id,
            wire.DEADLINE: str(int(seconds * 1000)),
        }
        path = f"{request_type.prefix}{self._number}"
        deadline = deadline_in(min(seconds, ROUTE_TIMEOUT))
        # The caller waits longer, so that it sees the instance's own answer.
        request = OutgoingRequest(
            "POST",
            path,
            headers,
            b"b",
            deadline_in(seconds + ANSWER_TIME),
        )
        seen = Observation(request_id, request_type, process, deadline)
        seen.result = await self._connections.send(process.instance.front, request)
        seen.ended_at = now()
        seen.was_killed = process.killed
        # If it was restarted meanwhile, it is not known which process took the request.
        if self._processes[index] is process:
            self.observations.append(seen)
        if isinstance(seen.result, Broken) and not seen.result.began:
            await asyncio.sleep(0.05)

    def _summary(self):
        during = [seen for seen in self.observations if seen.seconds_stopping > 0]
        statuses = Counter(str(seen.status) for seen in during)
        cut = sum(seen.is_cut and not seen.was_killed for seen in self.observations)
        actions = ", ".join(f"{name} {count}" for name, count in self.counts.items())
        return (
            f"{actions}; {len(self.observations)} requests, {len(during)} during a stop "
            f"({dict(statuses)}), {cut} cut, {len(self.violations.messages)} violations"
        )


ACTIONS = (
    StopSoak._terminate,
    StopSoak._terminate_all,
    StopSoak._kill,
    StopSoak._hang_up,
    StopSoak._reconfigure,
)
ACTION_WEIGHTS = (10, 1, 1, 2, 3)


def main(
    seed: int = typer.Option(1, help="The first seed."),
    seeds: int = typer.Option(1, help="Number of seeds, run one after the other."),
    seconds: float = typer.Option(30.0, help="Duration of each seed's run in seconds."),
    instances: int = typer.Option(4, help="Number of instances."),
    grace: float = typer.Option(8.0, help="Seconds for a planned stop."),
    keep: str = typer.Option("", help="Folder for the logs of failed seeds."),
):
    """Stop real processes in overlapping series and check what their callers see."""
    has_violations = False
    for current_seed in range(seed, seed + seeds):
        with tempfile.TemporaryDirectory() as folder:
            soak = StopSoak(current_seed, seconds, instances, grace, folder)
            print(f"seed {current_seed}: {asyncio.run(soak.run())}", flush=True)
            if soak.violations.messages and keep:
                shutil.copytree(folder, f"{keep}/{current_seed}", dirs_exist_ok=True)
        messages = list(dict.fromkeys(soak.violations.messages))
        for message in messages[:MAX_SHOWN_VIOLATIONS]:
            print(f"seed {current_seed}: BROKEN {message}", flush=True)
        has_violations |= bool(messages)
    raise typer.Exit(VIOLATION_EXIT_CODE if has_violations else 0)


if __name__ == "__main__":
    typer.run(main)
